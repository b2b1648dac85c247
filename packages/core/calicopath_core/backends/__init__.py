"""Define the interfaces to engines, stage pools and plain services."""
