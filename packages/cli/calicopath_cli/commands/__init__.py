"""Carry out the operators' commands, one module each."""
