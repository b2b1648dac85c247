"""Remember which requests replicas have ended under, at every box."""
