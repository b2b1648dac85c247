"""Model a deployment and follow its records in the platform's store: routes, services, replicas."""
