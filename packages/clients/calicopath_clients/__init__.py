"""Provide the HTTP adapters to the platform and to endpoints, one module each."""
