"""Track, on every box, the requests during which replicas crashed, and block repeat offenders."""
