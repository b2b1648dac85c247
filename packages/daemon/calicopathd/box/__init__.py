"""Put the parts of one box together."""
