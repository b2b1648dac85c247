"""Stand in for the outside systems, each as a separate process; never shipped."""
