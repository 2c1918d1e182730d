"""Stand-ins for the platform, the backend servers and the network, for the demo and tests."""
