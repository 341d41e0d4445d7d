"""Stand-ins for the platform, backend servers and clients of the cases."""
