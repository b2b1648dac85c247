"""Read, write and watch persistent objects in the platform's object store."""
