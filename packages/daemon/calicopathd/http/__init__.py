"""Serve callers, operators' tools and monitoring over HTTP."""
