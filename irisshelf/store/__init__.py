"""Interfaces of the shared store and its HTTP client."""
