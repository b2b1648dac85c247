"""Serve callers' HTTP exchanges on a box."""
