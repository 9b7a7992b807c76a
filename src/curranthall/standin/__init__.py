"""Small stand-ins for the outside systems: the platform and the workers."""
