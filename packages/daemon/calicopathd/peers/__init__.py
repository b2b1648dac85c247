"""Transport messages between boxes."""
