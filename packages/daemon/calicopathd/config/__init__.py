"""Check the daemon's settings."""
