"""Provide helpers for the commands."""
