"""Enforce the rate limits that replicas advertise, with permits issued by one box for all boxes."""
