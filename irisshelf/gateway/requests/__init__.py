"""Requests of callers: admission, sends to backend servers, answers."""
