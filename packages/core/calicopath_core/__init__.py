"""Decide how requests run, without performing I/O.

Clocks, random generators, stores and endpoints are passed as arguments, so that the daemon, the
tests on a fake clock and the benchmarks run the same code.
"""
