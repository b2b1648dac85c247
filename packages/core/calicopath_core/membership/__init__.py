"""Track the other boxes and spread configuration among them by gossip."""
