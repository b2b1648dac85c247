"""Proxy HTTP requests of callers to replicas on a gateway box."""
