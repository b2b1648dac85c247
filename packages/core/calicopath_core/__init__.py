"""Decide how requests run, without any I/O of its own.

Time, randomness, stores and endpoints come in as arguments, so that the same code serves
the daemon, the tests on a fake clock and the bench.
"""
