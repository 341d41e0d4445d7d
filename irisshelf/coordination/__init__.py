"""Coordination protocols between instances, without input or output."""
