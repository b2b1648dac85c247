"""Limit calls in flight, queue waiting calls, and limit retries."""
