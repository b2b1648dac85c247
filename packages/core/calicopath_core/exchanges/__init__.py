"""Forward callers' HTTP exchanges to replicas, byte for byte."""
