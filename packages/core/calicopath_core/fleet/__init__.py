"""Describe a deployment that a platform hands over whole: routes, services, replicas."""
