"""State received from the shared store and from other instances."""
