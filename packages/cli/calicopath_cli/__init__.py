"""Let operators check, apply and follow configuration from a terminal."""
