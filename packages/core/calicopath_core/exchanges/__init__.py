"""Pass callers' HTTP exchanges through to replicas, byte for byte."""
