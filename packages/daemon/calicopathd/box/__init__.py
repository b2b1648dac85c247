"""Assemble, run and monitor one box."""
