"""Provide the command line by which operators check, apply and monitor configuration."""
