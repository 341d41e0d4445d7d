"""Errors of the transport."""

from __future__ import annotations


class TransportError(Exception):
    """A connection that did not do what it should."""


class ConnectError(TransportError):
    """No connection came about; nothing was sent.

    Args:
        detail: For people.
        silent: Whether the peer said nothing at all, rather than refuse.
    """

    def __init__(self, detail: str, *, silent: bool = False):
        super().__init__(detail)
        self.silent = silent


class BrokenError(TransportError):
    """The peer broke the connection, or sent what is no HTTP."""


class SilentError(TransportError):
    """The peer sent nothing in time."""


class OutOfReachError(TransportError):
    """The peer is silent, and new connections to it do not come about."""


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class CloseIdleError(Exception):
    """The instance wants to close a connection that is at rest."""
