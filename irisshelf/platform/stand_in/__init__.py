"""Stand-ins for the users' platform, for tests and the fault soak."""
