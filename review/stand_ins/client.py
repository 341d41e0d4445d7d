"""Stand-in for a client: one connection, one request at a time."""

from __future__ import annotations

import dataclasses
import http.client
import time


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a client has got.

    Attributes:
        status: HTTP status; 0 if the connection ended without one.
        body: What has come of the body.
        complete: Whether the answer has come to its end as HTTP frames it.
        error: How the connection failed; empty if it did not.
        closes: Whether the answer announces that the connection closes.
        sent_s: When the request had been sent, monotonic seconds.
        ended_s: When the answer ended, monotonic seconds.
    """

    status: int
    body: bytes
    complete: bool
    error: str
    closes: bool
    sent_s: float
    ended_s: float


class Client:
    """Keeps a connection to one instance.

    Args:
        address: The instance's address for clients.
        host: The ``Host`` of all requests.
        key: The API key; empty for none.
        deadline_ms: How long it waits for answers.
    """

    def __init__(self, *, address: str, host: str, key: str, deadline_ms: int):
        self._headers = {"Host": host, "Deadline-Ms": str(deadline_ms)}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._conn = http.client.HTTPConnection(
            address, timeout=deadline_ms / 1000
        )
        # The connection is made here, and kept for the requests.
        self._conn.connect()

    def ask(
        self, path: str, request_id: str, body: bytes = b"{}", **more: str
    ) -> Answer:
        """Sends a request and waits for its answer."""
        headers = {**self._headers, "Request-Id": request_id}
        headers |= {name.replace("_", "-"): v for name, v in more.items()}
        status, data, closes, error = 0, b"", False, ""
        sent_s = time.monotonic()
        try:
            self._conn.request("POST", path, body=body, headers=headers)
            sent_s = time.monotonic()
            answer = self._conn.getresponse()
            status, closes = answer.status, answer.will_close
            data = answer.read()
        except http.client.IncompleteRead as exc:
            data, error = exc.partial, "the answer ends early"
        except (OSError, http.client.HTTPException) as exc:
            error = f"{type(exc).__name__}: {exc}"
        return Answer(
            status=status,
            body=data,
            complete=not error,
            error=error,
            closes=closes,
            sent_s=sent_s,
            ended_s=time.monotonic(),
        )

    def close(self) -> None:
        """Closes the connection."""
        self._conn.close()
