"""Choose the endpoint of each call."""
