"""Client side of the platform's services."""
