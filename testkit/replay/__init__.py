"""Replay patterns of load against the scheduler on virtual time, before fake stages and engines."""
