"""Bench of the routing decision: real decision code before fake engines."""
