"""Speak HTTP with the platform and with endpoints, one adapter a module."""
