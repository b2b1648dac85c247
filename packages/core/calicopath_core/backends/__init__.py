"""Define what calicopath needs of engines, stage pools and plain services."""
