"""Fetches from a peer what an instance that starts cannot read elsewhere."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import cbor2
import gevent
import msgspec

from irisshelf.catalog import departures as departures_module
from irisshelf.coordination import facts
from irisshelf.observe import decision_log

# Path at which an instance serves the servers that leave.
DEPARTURES_PATH = "/departures"
# Peers are known some tenths of a second after the start at the latest.
_FIRST_DELAY_S = 0.05
_MAX_DELAY_S = 0.5
_ATTEMPTS = 24


def fetch(
    request: Callable[[], Sequence[bytes]], apply: Callable[[bytes], None]
) -> None:
    """Requests data until peers answer, and applies all answers.

    Several peers are asked, as one may have been cut off itself.

    Args:
        request: Returns the answers of peers; none if there were none.
        apply: Applies an answer.
    """
    delay_s = _FIRST_DELAY_S
    for _ in range(_ATTEMPTS):
        answers = request()
        for data in answers:
            apply(data)
        if answers:
            return
        gevent.sleep(delay_s)
        delay_s = min(2 * delay_s, _MAX_DELAY_S)


class DepartureExchange:
    """Serves the servers that leave to peers, and applies those of a peer.

    Args:
        known: The servers that have announced that they leave.
        on_fact: Called with each of a peer's.
        log: Receives decoding errors.
    """

    def __init__(
        self,
        *,
        known: departures_module.Departures,
        on_fact: Callable[[facts.Fact], None],
        log: decision_log.DecisionLog,
    ):
        self._known = known
        self._on_fact = on_fact
        self._log = log

    def encode(self, fields: Mapping[str, str] | None = None) -> bytes:
        """Encodes the known servers, for ``apply``.

        Args:
            fields: Query parameters; ignored.
        """
        return cbor2.dumps(self._known.keys())

    def apply(self, data: bytes) -> None:
        """Applies the result of a peer's ``encode``."""
        for key in self._decode(data):
            self._on_fact(facts.ServerLeaving(server=key))

    def _decode(self, data: bytes) -> Iterable[bytes]:
        try:
            return msgspec.convert(cbor2.loads(data), list[bytes])
        except (ValueError, TypeError, cbor2.CBORDecodeError) as exc:
            self._log.warning("departures_unreadable", detail=str(exc))
            return []
