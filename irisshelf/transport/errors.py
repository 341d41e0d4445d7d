"""Errors of the transport."""

from __future__ import annotations


class TransportError(Exception):
    """A connection that did not do what it should."""


class ConnectError(TransportError):
    """No connection came about; nothing was sent.

    Args:
        detail: For people.
        timed_out: Whether the peer said nothing at all, rather than refuse.
    """

    def __init__(self, detail: str, *, timed_out: bool = False):
        super().__init__(detail)
        self.timed_out = timed_out


class BrokenConnectionError(TransportError):
    """The peer broke the connection, or sent what is no HTTP."""


class PeerTimeoutError(TransportError):
    """The peer sent nothing in time."""


class UnreachableError(TransportError):
    """The peer is silent, and new connections to it do not come about."""


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class CloseIdleError(Exception):
    """The instance wants to close a connection that is at rest."""
