"""Links between instances."""
