"""Signed, versioned configuration of the fleet."""
