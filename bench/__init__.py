"""Measure the policy, the program and its control cost."""
