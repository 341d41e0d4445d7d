"""Errors of the HTTP transport."""

from __future__ import annotations


class TransportError(Exception):
    """Base class for failures of a connection to a peer."""


class ConnectError(TransportError):
    """No connection could be established; nothing was sent.

    Args:
        detail: A description for logs and error messages.
        timed_out: Whether the peer did not respond at all, as opposed to
            refusing the connection.
    """

    def __init__(self, detail: str, *, timed_out: bool = False):
        super().__init__(detail)
        self.timed_out = timed_out


class BrokenConnectionError(TransportError):
    """The connection was closed or failed, or the data is not valid HTTP."""


class ResponseLimitError(TransportError):
    """A response, or a part of it, is longer than any valid one.

    Args:
        what: What is too long.
        limit: The limit, in bytes or parts.
        field: The setting of the limit; empty if there is none.
    """

    def __init__(self, what: str, limit: int, field: str = ""):
        allowed = f"{limit} ({field})" if field else f"{limit}"
        super().__init__(f"{what} is too long, allowed: {allowed}")


class MemoryLimitError(TransportError):
    """A message was ended, as all messages together take too much memory."""


class RelayLostError(BrokenConnectionError):
    """The tunnel to the peer was lost, which shows nothing about the peer."""


class TunnelLostError(OSError):
    """Raised by a tunnel's socket if the tunnel itself was lost."""


class PeerTimeoutError(TransportError):
    """The peer did not send or read data within the time limit."""


class UnreachableError(TransportError):
    """The peer does not respond, and new connections to it fail."""


class CallerDisconnectedError(Exception):
    """The caller has closed its connection."""


class SlowCallerError(CallerDisconnectedError):
    """The caller is disconnected, as it does not read its response."""


class ShutdownError(Exception):
    """Raised in the greenlet of a request that the instance's stop ends."""


class CloseIdleError(Exception):
    """Raised in an idle connection's greenlet when the instance closes it."""
