"""Keep the limits that replicas name for all boxes together, with permits of one box."""
