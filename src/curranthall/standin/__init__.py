"""Small stand-ins for the external systems: the platform and the workers."""
