"""Implement the daemon's commands."""
