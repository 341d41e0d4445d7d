"""Errors of the layer that links instances."""

from __future__ import annotations


class LinkError(Exception):
    """A link that could not be made, broke, or carried what it must not."""
