"""Check that tests fail where a mechanism is broken."""
