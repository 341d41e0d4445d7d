"""Logs, metrics and the event time line."""
