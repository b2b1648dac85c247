"""Carry messages between boxes."""
