"""Hold the typed data that the rest of the system passes around."""
