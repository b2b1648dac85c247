"""Bound what is in progress, what waits and what is tried again."""
