"""Callers that are rejected and return, on simulated time.

A service of one queue has less capacity than its callers ask for. Each instance
admits new callers by its part of the capacity, and those that return when they
were told while the queue is short; these are charged to the same part.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
import string
import types
from collections.abc import Callable
from typing import Any

from irisshelf.catalog import model
from irisshelf.gateway import messages
from irisshelf.gateway.requests import returning
from irisshelf.overload import admission
from irisshelf.overload import reservations
from irisshelf.overload import returns
from irisshelf.testing import return_network

_SERVICE = "plain"
_SLOTS = 32
_SERVICE_S = 0.25
_CAPACITY_PER_S = _SLOTS / _SERVICE_S
_OBJECTIVE_S = 0.6
_DEADLINE_S = 2.5
_MAX_WAIT_S = _OBJECTIVE_S * admission.MAX_WAIT_SHARE
_DECISIVE = (reservations.State.EARLY, reservations.State.DUE)
# Part of the capacity that an instance can save up, and owe, in seconds.
_MAX_CREDIT_S = 0.2
# What callers that ignore Retry-After take for a new connection.
_RECONNECT_S = 0.005
_IMMEDIATE_RETRIES = 3
_HEARTBEAT_S = 1.0
# Time that datagrams take between two data centres.
_REMOTE_S = (0.01, 0.03)
_ROUTE = model.Route(
    name="valve",
    host="h",
    path_prefix="/valve/",
    kind=model.RouteKind.SAFE,
    timeout_s=_DEADLINE_S,
    latency_target_s=_OBJECTIVE_S,
    split=(model.Split(service=_SERVICE, weight=1.0),),
)


@dataclasses.dataclass(kw_only=True, eq=False)
class Caller:
    """A caller and what became of its request.

    Attributes:
        number: Its number; no two callers send the same content.
        arrived_s: When it came first.
        ignores: Whether it ignores Retry-After.
        attempts: How often it has come.
        told_s: Time at which it was told to return, within its deadline.
        returned_s: When it came last.
        began_s: When its answer began; None if it was not served.
    """

    number: int
    arrived_s: float
    ignores: bool
    attempts: int = 0
    told_s: float | None = None
    returned_s: float = 0.0
    began_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether its answer began within the objective of its last attempt."""
        return (
            self.began_s is not None
            and self.began_s - self.returned_s <= _OBJECTIVE_S
        )


class Simulation:
    """Plays an overload.

    Args:
        instances: Number of instances.
        overload_factor: Offered load of new callers, as a multiple of the
            capacity.
        ignoring_share: Share of the callers that ignore Retry-After.
        duration_s: For how long callers come.
        killed: Number of instances that end in the middle.
        data_centres: Over how many data centres the instances are spread;
            callers return in any of them.
        is_earlier: Whether the instances keep reservations in their data
            centre, as the earlier build does.
        recognises: Whether instances look for reservations before they admit.
        seed: Of the random numbers.

    Attributes:
        callers: All callers, in the order of arrival.
        began_s: When the first one came.
        served: How many were served.
    """

    def __init__(
        self,
        *,
        instances: int,
        overload_factor: float = 2.4,
        ignoring_share: float = 0.0,
        duration_s: float = 8.0,
        killed: int = 0,
        data_centres: int = 1,
        is_earlier: bool = False,
        recognises: bool = True,
        seed: int = 1,
    ):
        self._recognises = recognises
        self._rng = random.Random(seed)
        names = [
            f"{string.ascii_lowercase[n % data_centres]}-{n}"
            for n in range(instances)
        ]
        self._network = return_network.Network(
            names, earlier=names if is_earlier else ()
        )
        self._network.remote_s = _REMOTE_S
        self._alive = list(self._network.instances)
        self._part_per_s = _CAPACITY_PER_S / instances
        self._credit = {name: (0.0, self._network.now) for name in self._alive}
        self._insts = {name: self._inst(name) for name in self._alive}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        # When each slot is free, earliest first.
        self._free_s = [0.0] * _SLOTS
        self.began_s = self._network.now
        self.callers = [
            Caller(
                number=number,
                arrived_s=self.began_s
                + number / (overload_factor * _CAPACITY_PER_S),
                ignores=self._rng.random() < ignoring_share,
            )
            for number in range(
                int(duration_s * overload_factor * _CAPACITY_PER_S)
            )
        ]
        for caller in self.callers:
            self._at(caller.arrived_s, functools.partial(self._arrive, caller))
        for number in range(int(duration_s + _DEADLINE_S)):
            self._at(
                self.began_s + number * _HEARTBEAT_S, self._network.keep_known
            )
        self._at(
            self.began_s + duration_s / 2, functools.partial(self._kill, killed)
        )

    def run(self) -> None:
        """Plays until all callers have been answered."""
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._network.advance(at_s - self._network.now)
            action()

    @property
    def bytes_sent(self) -> float:
        """Bytes that all instances have sent each other, headers included."""
        return sum(
            one.metrics.return_bytes._value.get()
            for one in self._network.instances.values()
        )

    @property
    def served(self) -> int:
        """Number of callers that were served within the objective."""
        return sum(caller.in_time for caller in self.callers)

    def _inst(self, name: str) -> Any:
        one = self._network.instances[name]
        one.exchange.rate_per_s = self._rate_per_s
        return types.SimpleNamespace(
            now=lambda: self._network.now,
            metrics=one.metrics,
            returns=one.exchange,
            log=types.SimpleNamespace(request=lambda *args, **fields: None),
        )

    def _rate_per_s(self, service: str, priority: int) -> float:
        part_per_s = _CAPACITY_PER_S / len(self._alive)
        return returns.RETURN_SHARE * part_per_s

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _kill(self, count: int) -> None:
        for name in self._rng.sample(self._alive, count):
            self._alive.remove(name)
            self._network.cut.add(name)

    def _arrive(self, caller: Caller) -> None:
        name = self._rng.choice(self._alive)
        caller.attempts += 1
        caller.returned_s = self._network.now
        refusal = self._admit(name, caller)
        if refusal is None:
            free_s = heapq.heappop(self._free_s)
            caller.began_s = max(self._network.now, free_s)
            heapq.heappush(self._free_s, caller.began_s + _SERVICE_S)
            return
        self._return_later(caller, refusal)

    def _admit(self, name: str, caller: Caller) -> admission.Refusal | None:
        wait_s = max(0.0, self._free_s[0] - self._network.now)
        refusal = admission.Refusal(
            retry_after_s=0.0, wait_s=wait_s, max_wait_s=_MAX_WAIT_S
        )
        has_room = wait_s <= _MAX_WAIT_S
        inst, job = self._insts[name], self._job(caller)
        claim = returning.recognise(inst, job) if self._recognises else None
        is_new = claim is None or claim.state not in _DECISIVE
        if is_new and has_room and self._take_credit(name, least=1.0):
            return None
        resolved = returning.resolve(inst, job, refusal, claim=claim)
        if resolved is None and not has_room:
            resolved = returning.resolve(inst, job, refusal)
        if resolved is None:
            self._take_credit(name, least=-1.0)
        return resolved

    def _take_credit(self, name: str, *, least: float) -> bool:
        """Charges a request; returns False if there is less credit."""
        now = self._network.now
        credit, at_s = self._credit[name]
        part_per_s = _CAPACITY_PER_S / len(self._alive)
        most = max(1.0, _MAX_CREDIT_S * part_per_s)
        credit = min(most, credit + (now - at_s) * part_per_s)
        has_credit = credit >= least
        if has_credit or least < 0:
            credit = max(-most, credit - 1.0)
        self._credit[name] = (credit, now)
        return has_credit

    def _return_later(self, caller: Caller, refusal: admission.Refusal) -> None:
        now = self._network.now
        remaining_s = caller.arrived_s + _DEADLINE_S - now
        if caller.ignores:
            if caller.attempts <= _IMMEDIATE_RETRIES:
                self._at(
                    now + _RECONNECT_S, functools.partial(self._arrive, caller)
                )
            return
        if caller.attempts > 1:
            return
        if refusal.why != returning.NO_PLACE:
            caller.told_s = now + refusal.retry_after_s
        wait_s = min(
            refusal.retry_after_s, returns.CALLER_WAIT_SHARE * remaining_s
        )
        self._at(
            now + wait_s + _RECONNECT_S, functools.partial(self._arrive, caller)
        )

    def _job(self, caller: Caller) -> messages.Job:
        return messages.Job(
            inbound=messages.InboundRequest(
                method="POST",
                target="/valve/1",
                headers=(),
                body=str(caller.number).encode(),
                has_body=True,
                arrived_s=self._network.now,
            ),
            head=messages.RequestHead(
                request_id=f"{caller.number}-{caller.attempts}",
                host="h",
                path="/valve/1",
            ),
            route=_ROUTE,
            service=_SERVICE,
            team="",
            priority=1,
            version=1,
            deadline_s=caller.arrived_s + _DEADLINE_S,
        )
