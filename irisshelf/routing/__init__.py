"""Decisions about where a request runs; free of input and output."""
