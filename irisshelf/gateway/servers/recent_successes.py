"""Which requests and prompt parts have had a successful response lately."""

from __future__ import annotations

import collections
import itertools

from irisshelf.gateway import messages
from irisshelf.gateway.servers import request_fingerprints
from irisshelf.routing import fingerprints

# Number of recent successful requests that are remembered, and the largest body
# among them: about 3 MB at most. A request that many callers repeat is usually
# among them when a server exits, and is then not blamed for the crash.
_MAX_REQUESTS = 512
_MAX_BODY_BYTES = 4096
# Prompt parts that are remembered, and for how long they count: about 1 MB.
_MAX_PARTS = 8192
_RECENT_S = 60.0


class RecentSuccesses:
    """Remembers successful requests by content and by prompt part."""

    def __init__(self):
        self._requests: collections.deque[request_fingerprints.RequestKey] = (
            collections.deque(maxlen=_MAX_REQUESTS)
        )
        # Of the requests above, those that have been hashed.
        self._unhashed = 0
        self._hashed: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_REQUESTS
        )
        # When each part was last in a successful request, oldest first.
        self._parts_s: dict[bytes, float] = {}

    def record(self, job: messages.Job, now: float) -> None:
        """Records a successful request."""
        if len(job.inbound.body) <= _MAX_BODY_BYTES:
            self._requests.append(request_fingerprints.request_key(job))
            self._unhashed = min(self._unhashed + 1, _MAX_REQUESTS)
        for fingerprint in request_fingerprints.parts(job):
            self._parts_s.pop(fingerprint, None)
            self._parts_s[fingerprint] = now
        while len(self._parts_s) > _MAX_PARTS:
            del self._parts_s[next(iter(self._parts_s))]

    def has_request(self, job: messages.Job) -> bool:
        """Returns whether a request with the same content has succeeded."""
        return request_fingerprints.request_key(job) in self._requests

    def has_fingerprint(self, fingerprint: bytes) -> bool:
        """Returns whether a request with a content fingerprint succeeded."""
        if len(fingerprint) != fingerprints.CONTENT_BYTES:
            return False
        first = len(self._requests) - self._unhashed
        for key in itertools.islice(self._requests, first, None):
            self._hashed.append(fingerprints.request_fingerprint(*key))
        self._unhashed = 0
        return fingerprint in self._hashed

    def add_part(self, fingerprint: bytes, at_s: float) -> None:
        """Adds a part that succeeded at another instance."""
        if at_s > self._parts_s.get(fingerprint, float("-inf")):
            self._parts_s.pop(fingerprint, None)
            self._parts_s[fingerprint] = at_s

    def latest_parts(self, count: int) -> list[tuple[bytes, float]]:
        """Returns the parts that succeeded last, and when, oldest first."""
        first = max(0, len(self._parts_s) - count)
        return list(itertools.islice(self._parts_s.items(), first, None))

    def has_part(self, fingerprint: bytes, at_s: float) -> bool:
        """Returns whether a part was in a successful request before a time."""
        last_s = self._parts_s.get(fingerprint, float("-inf"))
        return at_s - last_s <= _RECENT_S
