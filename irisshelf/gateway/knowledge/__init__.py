"""What an instance learns: from the shared store, and from other instances."""
