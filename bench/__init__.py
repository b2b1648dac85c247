"""Measure the scheduling policy, the daemon, and the cost of the control plane."""
