"""Help tests, the bench and the demo; never shipped."""
