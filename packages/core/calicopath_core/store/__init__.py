"""Keep what lasts in the platform's object store, and follow it."""
