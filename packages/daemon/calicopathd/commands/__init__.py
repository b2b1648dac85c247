"""Carry out the daemon's commands."""
