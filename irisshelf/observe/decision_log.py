"""One JSON line for each decision, on standard output, bounded.

Writing never blocks: lines wait in a queue of ``MAX_QUEUED`` and are written
by a greenlet as the reader takes them. Lines about requests are limited to
``lines_per_s``; what does not fit is counted and told by a line of its own.
Lines about the instance itself are never limited, only queued.
"""

from __future__ import annotations

import collections
import logging
import os
import time
from typing import Any

import gevent
from gevent import event
from gevent import socket
from pythonjsonlogger import json as json_logger

from irisshelf import boottime

MAX_QUEUED = 5000
_STDOUT = 1
_WRITE_BYTES = 65536
_DROPPED_EVERY_S = 1.0


class _Bucket:
    """Token bucket for lines."""

    def __init__(self, *, per_s: float):
        self._per_s = per_s
        self._tokens = per_s
        self._at_s = boottime.now()

    def take(self, now: float) -> bool:
        """Takes a token, if there is one."""
        self._tokens = min(
            self._per_s, self._tokens + (now - self._at_s) * self._per_s
        )
        self._at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes decisions; ``run`` is its greenlet.

    Args:
        instance: Named in every line.
        lines_per_s: Most lines about requests in a second.
        fd: Where lines go.
    """

    def __init__(
        self, *, instance: str, lines_per_s: float = 200.0, fd: int = _STDOUT
    ):
        self._instance = instance
        self._fd = fd
        self._bucket = _Bucket(per_s=lines_per_s)
        self._queue: collections.deque[bytes] = collections.deque()
        self._wake = event.Event()
        self._formatter = json_logger.JsonFormatter("%(message)s")
        self._told_s = boottime.now()
        self.dropped = 0
        self._untold = 0
        os.set_blocking(fd, False)

    def request(self, name: str, request: str, **fields: Any) -> None:
        """Logs a decision that touches a request.

        Args:
            name: What was decided.
            request: The request's id.
            **fields: Inputs, their age or version, and the outcome.
        """
        now = boottime.now()
        if not self._bucket.take(now):
            self._drop()
            return
        self._put(name, {"request": request, **fields}, "INFO")

    def instance(self, name: str, **fields: Any) -> None:
        """Logs what the instance does or believes from now on."""
        self._put(name, fields, "INFO")

    def warning(self, name: str, **fields: Any) -> None:
        """Logs what should not be, and what is done about it."""
        self._put(name, fields, "WARNING")

    def run(self) -> None:
        """Writes lines as long as the process lives."""
        while True:
            self._wake.wait()
            self._wake.clear()
            self.flush(wait=True)

    def flush(self, *, wait: bool = False) -> None:
        """Writes what is queued; without ``wait``, what can be now."""
        while self._queue:
            lines = []
            size = 0
            while self._queue and size < _WRITE_BYTES:
                lines.append(self._queue.popleft())
                size += len(lines[-1])
            if not self._write(b"".join(lines), wait):
                return

    def _write(self, data: bytes, wait: bool) -> bool:
        while data:
            try:
                data = data[os.write(self._fd, data) :]
            except BlockingIOError:
                if not wait:
                    return False
                socket.wait_write(self._fd)
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                return False
        return True

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1

    def _put(self, name: str, fields: dict[str, Any], level: str) -> None:
        now = boottime.now()
        if self._untold and now - self._told_s > _DROPPED_EVERY_S:
            untold, self._untold = self._untold, 0
            self._told_s = now
            self._line("lines_dropped", {"count": untold}, "WARNING")
        self._line(name, fields, level)

    def _line(self, name: str, fields: dict[str, Any], level: str) -> None:
        if len(self._queue) >= MAX_QUEUED:
            self._drop()
            return
        record = logging.LogRecord(
            "irisshelf", logging.INFO, "", 0, name, (), None
        )
        record.__dict__.update(
            time=round(time.time(), 4),
            level=level,
            instance=self._instance,
            **fields,
        )
        self._queue.append(self._formatter.format(record).encode() + b"\n")
        self._wake.set()


def start(log: DecisionLog) -> gevent.Greenlet:
    """Starts a log's greenlet."""
    return gevent.spawn(log.run)
