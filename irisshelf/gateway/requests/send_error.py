"""Failures of sends, and what they show about server and request."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from irisshelf.gateway import messages
from irisshelf.routing import outcome
from irisshelf.routing.direct import server_stats
from irisshelf.transport import client
from irisshelf.transport import errors

# If a connection that was idle for at least this long breaks before a response,
# the server probably closed it as idle; otherwise the server likely failed.
_STALE_AFTER_IDLE_S = 1.0


class SendError(Exception):
    """A failed send.

    Args:
        server_outcome: What the failure shows about the server.
        request_outcome: Whether the request may have run.
        detail: Description for people.
        response: The server's own error response, if it was complete.
        stale_connection: Whether an idle connection that the server had closed
            is the likely cause.
        disconnected: Whether the connection broke at the server's end.
    """

    def __init__(
        self,
        *,
        server_outcome: server_stats.Outcome,
        request_outcome: outcome.Outcome,
        detail: str,
        response: messages.CompleteAnswer | None = None,
        stale_connection: bool = False,
        disconnected: bool = False,
    ):
        super().__init__(detail)
        self.server_outcome = server_outcome
        self.request_outcome = request_outcome
        self.response = response
        self.stale_connection = stale_connection
        self.disconnected = disconnected


def transport_failure(
    exc: errors.TransportError, conn: client.Connection | None = None
) -> SendError:
    """Classifies a transport error.

    Args:
        exc: The error.
        conn: The connection, if nothing of a response has arrived yet: an idle
            connection that the server closed may then be the cause.
    """
    if isinstance(exc, errors.UnreachableError):
        return unknown_outcome(server_stats.Outcome.UNREACHABLE, str(exc))
    if isinstance(exc, errors.RelayLostError):
        # Another server, or this one by another path, may serve the request.
        return unknown_outcome(
            server_stats.Outcome.RELAY_LOST, str(exc), stale_connection=True
        )
    if isinstance(exc, errors.ResponseLimitError):
        return unknown_outcome(server_stats.Outcome.BROKEN, str(exc))
    if isinstance(exc, errors.MemoryLimitError):
        return unknown_outcome(server_stats.Outcome.ENDED, str(exc))
    if isinstance(exc, errors.PeerTimeoutError):
        return unknown_outcome(server_stats.Outcome.SILENT, str(exc))
    stale = conn is not None and conn.idle_s >= _STALE_AFTER_IDLE_S
    return unknown_outcome(
        server_stats.Outcome.BROKEN,
        str(exc),
        stale_connection=stale,
        disconnected=True,
    )


@contextlib.contextmanager
def transport_failures(conn: client.Connection | None = None) -> Iterator[None]:
    """Raises the transport errors of a block as failures of the send.

    Args:
        conn: As for ``transport_failure``.

    Raises:
        SendError: The block has raised a transport error.
    """
    try:
        yield
    except errors.TransportError as exc:
        raise transport_failure(exc, conn) from exc


def unknown_outcome(
    server_outcome: server_stats.Outcome,
    detail: str,
    *,
    stale_connection: bool = False,
    disconnected: bool = False,
) -> SendError:
    """Returns the failure of a send that may have run the request.

    Args:
        server_outcome: What the failure shows about the server.
        detail: Description for people.
        stale_connection: See ``SendError``.
        disconnected: See ``SendError``.
    """
    return SendError(
        server_outcome=server_outcome,
        request_outcome=outcome.Outcome.UNKNOWN,
        detail=detail,
        stale_connection=stale_connection,
        disconnected=disconnected,
    )
