"""Construction of the process of each role from its services."""
