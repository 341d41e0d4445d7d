"""The shared store: one abstract entry and its backends."""
