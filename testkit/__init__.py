"""Provide shared helpers for tests, the bench and the demo; not part of any release."""
