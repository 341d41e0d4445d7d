"""Loads of a simulated service, and what their callers saw."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable

from irisshelf.testing import slow_servers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        name: For the outcome.
        priority: Its rank, 0 is the most urgent.
        per_s: How many come in a second, on an ordinary day.
        place_s: How long one takes a place at a server.
        objective_s: Time within which it should begin.
        patience_s: Its caller leaves if it has not begun by then.
        returns_within_s: A refused caller comes back once, when it is told to,
            but stays away no longer than this.
    """

    name: str
    priority: int
    per_s: float
    place_s: float
    objective_s: float
    patience_s: float
    returns_within_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """What comes, and what is there to serve it.

    Attributes:
        kinds: Kinds of requests.
        servers: Servers of the service.
        slots: Requests that one runs at a time.
        queue: Requests that may wait at one; more are turned down.
        instances: Entry instances.
        length_s: How long requests come.
        factor: How many times the ordinary load comes at a time.
        team: Draws a request's team at a time.
        callers_return: Whether refused callers come back.
        subjects: How many shared histories the requests are about, each with
            servers ranked for it, as ``server_choice`` takes them; none:
            requests share nothing, and ``server_choice`` itself is asked.
        rest_s: A server that rests turns all down for so long, and asks for it.
        rests: When servers begin to rest whatever their load, by number.
        rests_when_full: Whether a server that is full begins to rest.
        first_share: Share of the requests, at a time, that come at the first
            instance whatever the others get; callers that return go to any.
        slowdowns: How slow servers are, which they report; None: they are of
            normal speed and report nothing of it.
    """

    kinds: tuple[Kind, ...]
    servers: int
    slots: int
    queue: int
    instances: int
    length_s: float
    factor: Callable[[float], float] = lambda at_s: 1.0
    team: Callable[[float, random.Random], str] = lambda at_s, rng: "team"
    callers_return: bool = False
    subjects: int = 0
    rest_s: float = 0.0
    rests: tuple[tuple[float, int], ...] = ()
    rests_when_full: bool = False
    first_share: Callable[[float], float] = lambda at_s: 0.0
    slowdowns: slow_servers.Slowdowns | None = None


@dataclasses.dataclass(kw_only=True)
class Seen:
    """What callers saw.

    Attributes:
        asked: Requests that came.
        in_time: Begun within their objective.
        late: Begun later.
        refused: Told at once to come back.
        turned_down: Found the queue of a server full.
        left: Callers that left, having waited for nothing.
        returned: Callers that came back after a refusal.
        served_at_return: Those of them that were admitted then.
        retry_after_s: When each refused caller was told to come back, seconds
            from the start, in the order of the refusals.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    turned_down: int = 0
    left: int = 0
    returned: int = 0
    served_at_return: int = 0
    retry_after_s: list[float] = dataclasses.field(default_factory=list)

    def share(self, count: int) -> float:
        """Returns a count as a share of what came."""
        return count / self.asked if self.asked else 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What callers saw, by the kind of their request and by their team.

    Attributes:
        by_kind: By kind.
        by_team: By team.
        rests: How many rests each server took.
        last_rest_s: When the last rest began; minus infinity without.
        most_in_a_rest: Requests of one instance that a resting server turned
            down half a second after the first or later, at the most.
        observer: What servers did.
    """

    by_kind: dict[str, Seen]
    by_team: dict[str, Seen]
    rests: tuple[int, ...] = ()
    last_rest_s: float = -math.inf
    most_in_a_rest: int = 0
    observer: slow_servers.Observer | None = None
