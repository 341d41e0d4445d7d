"""Specifications, checked against the very functions the daemon runs."""
