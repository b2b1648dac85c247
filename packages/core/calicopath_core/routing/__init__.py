"""Choose endpoints."""
