"""Test the modules that stand alone."""
