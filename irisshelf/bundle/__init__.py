"""Signed and versioned configuration of the fleet."""
