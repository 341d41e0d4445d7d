"""Requests that end every server that begins to run them.

They come again and again, at any instance, with an id of their own each time:
either one request, or requests that have one part of their prompts in common. A
server that ends is away for seconds: nobody listens at its address.
"""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable

import gevent

from irisshelf.platform.stand_in import proxy
from irisshelf.platform.stand_in import server
from soak import observations
from soak import plan

# Runs of every third seed may have such a request.
_EVERY = 3
_BODY = b"ends whoever runs it"
_PART = "ends-whoever-runs-it"
_AWAY_S = 2.0
_PAUSE_S = (0.05, 0.4)
# Requests with such a part come for longer than other faults last, so that
# sound ones are seen beside them when all instances know it.
PARTS_UNTIL_S = 14.0
_KINDS = (
    observations.RequestKind.UNSAFE,
    observations.RequestKind.STREAM,
    observations.RequestKind.RESUMABLE,
)


def is_asked(seed: int) -> bool:
    """Tells whether a seed's run has such a request.

    Not those with planned work alone: a server that ends under it breaks off
    streams beside a planned stop, which are not that stop's doing.
    """
    if plan.is_hard(seed):
        return False
    if plan.has_herds(seed) and not plan.has_parts(seed):
        return False
    every = 1 if plan.has_parts(seed) else _EVERY
    return seed % every == 1 % every and not plan.is_planned(seed)


class CrashingRequest:
    """Repeats it, and ends the servers that run it.

    Args:
        seed: Of the run.
        servers: Backend servers.
        links: Their proxies, in the same order.
        list_again: Lists a server that is back, by its number.

    Attributes:
        ends_s: When servers ended under it, monotonic seconds.
    """

    def __init__(
        self,
        *,
        seed: int,
        servers: list[server.Server],
        links: list[proxy.Proxy],
        list_again: Callable[[int], None],
    ):
        # Its own, so that it changes no other draw of a seed.
        self._rng = random.Random(f"crashing {seed}")
        self._kind = self._rng.choice(_KINDS)
        self._has_parts = plan.has_parts(seed)
        if self._has_parts:
            self._kind = self._rng.choice(_KINDS[1:])
        self._serial = itertools.count()
        moment = self._rng.choice(list(server.Moment))
        self._links = links
        self._list_again = list_again
        self.ends_s: list[float] = []
        for number, one in enumerate(servers):
            one.ends_under = _has_part if self._has_parts else _has_body
            if self._has_parts:
                one.ends_at = moment
            one.away_s = _AWAY_S
            one.on_end = lambda n=number: self._end(n)
            one.on_return = lambda n=number: self._return(n)

    @property
    def until_s(self) -> float:
        """Until when it is repeated, in seconds from the run's start."""
        return PARTS_UNTIL_S if self._has_parts else plan.FAULTS_UNTIL_S

    def ask_until(
        self,
        until_s: float,
        ask: Callable[[observations.RequestKind, bytes, str], None],
    ) -> None:
        """Repeats the request until a time.

        Args:
            until_s: Monotonic seconds.
            ask: Sends it to some instance: its kind, its body, and a part that
                its prompt has beside those of others.
        """
        while time.monotonic() < until_s:
            body, part = _BODY, ""
            if self._has_parts:
                body, part = b"%d" % next(self._serial), _PART
            ask(self._kind, body, part)
            gevent.sleep(self._rng.uniform(*_PAUSE_S))

    def _end(self, number: int) -> None:
        self.ends_s.append(time.monotonic())
        self._links[number].set_listening(False)

    def _return(self, number: int) -> None:
        self._links[number].set_listening(True)
        self._list_again(number)


def _has_body(run: server.Run) -> bool:
    return run.body == _BODY


def _has_part(run: server.Run) -> bool:
    return f"{_PART}:" in run.headers.get("prefix-hash", "")
