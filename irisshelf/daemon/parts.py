"""An HTTP answer in parts, with something to do at its end."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator


class Closing:
    """Parts of an answer; ``then`` runs once when nobody wants more.

    Args:
        parts: The answer's parts.
        then: Runs at the end, also if the caller went away.
    """

    def __init__(self, parts: Iterable[bytes], then: Callable[[], object]):
        self._parts = parts
        self._then = then
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._parts)

    def close(self) -> None:
        """Called by the WSGI server at the end."""
        if self._closed:
            return
        self._closed = True
        close = getattr(self._parts, "close", None)
        if close is not None:
            close()
        self._then()
