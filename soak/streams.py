"""What callers read of streams, over all their attempts."""

from __future__ import annotations

import re
from collections.abc import Callable

import gevent

from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import world
from irisshelf.transport import client
from irisshelf.transport import errors

_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+(?: of (\S+))?\n\n")
_SUFFIX = re.compile(rb" of \S+(?=\n\n)")
_READ_S = 10.0


def versions(body: bytes) -> frozenset[str]:
    """Returns the versions that the whole events of a body name."""
    return frozenset(
        version.decode() or server.FIRST_VERSION
        for _, version in _EVENT.findall(body)
    )


def last_event_id(body: bytes) -> int | None:
    """Returns the id of a body's last whole event; None if it has none."""
    found = _EVENT.findall(body)
    return int(found[-1][0]) if found else None


def without_versions(body: bytes) -> bytes:
    """Returns a body as if all servers had the first version."""
    return _SUFFIX.sub(b"", body)


def read_part(conn: client.Connection, most: int) -> world.Answer:
    """Collects an answer until it has so many events; then leaves."""
    answer = _read(conn, lambda body: body.count(b"\n\n") < most)
    conn.close()
    return answer


def read_slowly(conn: client.Connection, pause_s: float) -> world.Answer:
    """Collects an answer, with a pause before each read of its body."""

    def pause(body: bytes) -> bool:
        gevent.sleep(pause_s)
        return True

    return _read(conn, pause)


def _read(
    conn: client.Connection, goes_on: Callable[[bytes], bool]
) -> world.Answer:
    """Collects an answer as long as its caller goes on."""
    try:
        status, raw = conn.read_head(timeout_s=_READ_S)
    except errors.TransportError:
        return world.Answer(status=0, headers={}, body=b"", whole=False)
    body = b""
    whole = False
    try:
        while goes_on(body):
            data = conn.read_data(timeout_s=_READ_S)
            if data is None:
                whole = True
                break
            body += data
    except errors.TransportError:
        # What has come counts as it is.
        whole = False
    headers = {n.decode().lower(): v.decode() for n, v in raw}
    return world.Answer(status=status, headers=headers, body=body, whole=whole)
