"""A fleet in front of plain servers under a hard load, on simulated time.

Plain servers process requests in order of arrival. Callers come from several
teams, return when they are told to or at once, at another instance, and give
up at their deadline. A request is in time if it is answered within its
objective.
"""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Callable

from irisshelf.overload import admission
from irisshelf.overload import demand as demand_module
from irisshelf.overload import local_admission
from irisshelf.overload import slot_time
from irisshelf.routing.direct import server_choice
from irisshelf.testing import busy_load
from irisshelf.testing import busy_server
from irisshelf.testing import busy_service
from irisshelf.testing import demand_play

# Callers wait no longer than this share of their remaining time.
_PATIENT_SHARE = 1 / 3
# A caller that returns at once takes this time to connect again.
_RECONNECT_S = 0.005


class Order(enum.StrEnum):
    """In which order a server processes the requests that wait at it.

    Attributes:
        ARRIVAL: In order of arrival, as plain servers do.
        PRIORITY: The most urgent first, as engines do.
    """

    ARRIVAL = "arrival"
    PRIORITY = "priority"


def _any_instance(at_s: float, rng: random.Random) -> float:
    return rng.random()


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetLoad(busy_load.Load):
    """A load of a fleet.

    Attributes:
        fleet_admission: Whether requests are admitted by the demand of the
            fleet; if not, each instance decides by what it sees itself.
        order: In which order servers process requests.
        retries: How often a refused caller returns when it is told to.
        hasty_share: Share of the callers that return at once instead.
        hasty_retries: How often these return.
        position: Draws, from 0 to 1, at which of the instances a caller comes.
        restarts: When instances restart and have forgotten all, by number.
        ends: When instances end for good, by number. Their callers come back
            elsewhere; what was sent for them is lost.
        service_time_error: Instances take the time that requests occupy a slot
            for this multiple of the measured one in the demand.
        team_weights: Weights of teams in fair shares.
    """

    fleet_admission: bool = True
    order: Order = Order.ARRIVAL
    retries: int = 1
    hasty_share: float = 0.0
    hasty_retries: int = 3
    position: Callable[[float, random.Random], float] = _any_instance
    restarts: tuple[tuple[float, int], ...] = ()
    ends: tuple[tuple[float, int], ...] = ()
    service_time_error: float = 1.0
    team_weights: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Caller:
    """What one caller did and saw.

    Attributes:
        kind: The kind of its request.
        team: Its team.
        came_s: When it came first.
        hasty: Whether it returns at once when it is refused.
        refusals: How often it was refused.
        asked_s: When it came last.
        sent: Whether it was admitted.
        load: Requests that its server had when it was admitted, as the instance
            knew it.
        answered_s: When it was answered; None if it was not.
    """

    kind: busy_load.Kind
    team: str
    came_s: float
    hasty: bool
    refusals: int = 0
    asked_s: float = 0.0
    sent: bool = False
    load: float = 0.0
    answered_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its objective, from its first try."""
        return self.within(self.came_s)

    @property
    def in_time_of_return(self) -> bool:
        """Whether it was answered within its objective, from its last try."""
        return self.within(self.asked_s)

    def within(self, from_s: float) -> bool:
        """Tells whether it was answered within its objective from a time."""
        if self.answered_s is None:
            return False
        return self.answered_s - from_s <= self.kind.objective_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Request(busy_server.Request):
    caller: Caller


class FleetPlay(busy_service.Play):
    """One run of a load.

    Args:
        load: The load.
        seed: Of arrivals, teams and ties.
    """

    def __init__(self, load: FleetLoad, seed: int):
        super().__init__(load, seed, True, None, True)
        self._load: FleetLoad = load
        self._seed = seed
        self._alive = set(range(load.instances))
        self._exchange = demand_play.Exchange(load.instances, after=self._after)
        self._fleet_gates = [self._new_gate() for _ in range(load.instances)]
        self.callers: list[Caller] = []
        # Requests at each server at each exchange, for the balance of loads.
        self.factors: list[tuple[float, float]] = []

    def run(self) -> None:
        """Runs the load to its end."""
        first_s = demand_play.CYCLE_S - demand_play.LEAD_S
        self._after(first_s, self._tell_demand)
        for at_s, instance in self._load.restarts:
            self._after(at_s, lambda n=instance: self._restart(n))
        for at_s, instance in self._load.ends:
            self._after(at_s, lambda n=instance: self._alive.discard(n))
        super().run()

    def _new_gate(self) -> admission.FleetAdmission:
        return admission.FleetAdmission(team_weights=self._load.team_weights)

    def _tell_demand(self) -> None:
        self._exchange.begin_cycle(sorted(self._alive), self._now)
        self.factors.append((self._now, self._fleet_gates[0].factor))
        if self._now < self._load.length_s:
            self._after(demand_play.CYCLE_S, self._tell_demand)

    def _restart(self, instance: int) -> None:
        self._choosers[instance] = server_choice.Chooser(
            data_centre=busy_service.DATA_CENTRE,
            rng=random.Random(self._seed + 1000 + instance),
        )
        self._stats[instance] = self._choosers[instance].stats
        self._gates[instance] = local_admission.AdmissionControl()
        self._fleet_gates[instance] = self._new_gate()
        self._exchange.restart(instance)

    def _come(self, kind: busy_load.Kind) -> None:
        if self._now > self._load.length_s:
            return
        self._after(self._gap_s(kind), lambda: self._come(kind))
        caller = Caller(
            kind=kind,
            team=self._load.team(self._now, self._rng),
            came_s=self._now,
            hasty=self._rng.random() < self._load.hasty_share,
        )
        self.callers.append(caller)
        self._ask(caller)

    def _ask(self, caller: Caller) -> None:
        """Lets a caller send its request at an instance that lives."""
        caller.asked_s = self._now
        alive = sorted(self._alive)
        position = self._load.position(self._now, self._rng)
        request = _Request(
            kind=caller.kind,
            team=caller.team,
            came_s=caller.came_s,
            instance=alive[int(position * len(alive))],
            returning=caller.refusals > 0,
            caller=caller,
        )
        self._count_arrival(request)
        self._choose(request)

    def _count_arrival(self, request: _Request) -> None:
        self._exchange.meter(request.instance).record_arrival(
            demand_play.SERVICE,
            request.kind.priority,
            demand_module.team_key(request.team),
            self._now,
        )

    def _record_begun(self, request: _Request, *, in_time: bool) -> None:
        self._exchange.meter(request.instance).record_begun(
            demand_play.SERVICE,
            request.kind.priority,
            self._now,
            in_time=in_time,
        )

    def _record_slot_time(
        self, request: _Request, server: busy_server.Server
    ) -> None:
        measured_s = slot_time.estimate_s(
            self._now - request.sent_s,
            load=request.caller.load,
            slots=self._load.slots,
            load_after=server.work,
        )
        self._exchange.meter(request.instance).record_slot_time(
            demand_play.SERVICE,
            request.kind.priority,
            measured_s * self._load.service_time_error,
        )

    def _is_refused(
        self, request: _Request, choice: server_choice.Choice
    ) -> bool:
        gate = self._gates[request.instance]
        if self._load.fleet_admission:
            gate = self._fleet_gates[request.instance]
        wait_s = gate.estimated_wait_s(choice.load, self._load.slots)
        caller = request.caller
        deadline_s = caller.came_s + caller.kind.patience_s
        arrival = admission.Arrival(
            priority=request.kind.priority,
            team=request.team,
            objective_s=request.kind.objective_s,
            remaining_s=deadline_s - self._now,
        )
        if isinstance(gate, admission.FleetAdmission):
            refusal = gate.admit(
                arrival,
                wait_s=wait_s,
                now=self._now,
                full=choice.full,
                demand=self._exchange.demand(request.instance, self._now),
                capacity_slots=float(self._load.servers * self._load.slots),
                backlog_s=gate.estimated_wait_s(
                    choice.mean_load, self._load.slots
                ),
                idle=max(0.0, 1 - choice.mean_load / self._load.slots),
            )
        else:
            refusal = gate.admit(arrival, wait_s, self._now, full=choice.full)
        meter = self._exchange.meter(request.instance)
        service, priority = demand_play.SERVICE, request.kind.priority
        if refusal is None:
            meter.record_admitted(service, priority, self._now)
            caller.sent = True
            caller.load = choice.load
            return False
        meter.record_rejected(service, priority, self._now)
        self._refuse(request, refusal.retry_after_s)
        return True

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        caller = request.caller
        caller.refusals += 1
        remaining_s = caller.came_s + caller.kind.patience_s - self._now
        wait_s = min(retry_after_s, remaining_s * _PATIENT_SHARE)
        most = self._load.retries
        if caller.hasty:
            wait_s = _RECONNECT_S
            most = self._load.hasty_retries
        if caller.refusals <= most and remaining_s > wait_s:
            self._after(wait_s, lambda: self._ask(caller))

    def _reach(self, request: _Request, name: str) -> None:
        server = self._servers[int(name)]
        if len(server.waiting) >= self._load.queue:
            self._turn_down(request, name, server)
            return
        rank = 0
        if self._load.order is Order.PRIORITY:
            rank = request.kind.priority
        server.enqueue(request, rank)
        self._start(server, name)

    def _turn_down(
        self, request: _Request, name: str, server: busy_server.Server
    ) -> None:
        stats = self._stats[request.instance]
        stats.record_end(name, self._now)
        stats.record_load_report(name, work=server.work, at_s=self._now)
        # It has been admitted, so that it counts as late and not as rejected.
        self._record_begun(request, in_time=False)
        self._refuse(request, _RECONNECT_S)

    def _start(self, server: busy_server.Server, name: str) -> None:
        while server.waiting and server.free:
            request = server.next_request()
            stats = self._stats[request.instance]
            waited_s = self._now - request.came_s
            if waited_s > request.kind.patience_s:
                stats.record_end(name, self._now)
                self._record_begun(request, in_time=False)
                continue
            server.free -= 1
            server.running += 1
            self._after(
                request.kind.place_s,
                lambda request=request: self._end(server, name, request),
            )

    def _end(
        self, server: busy_server.Server, name: str, request: _Request
    ) -> None:
        server.free += 1
        server.running -= 1
        self._start(server, name)
        if request.instance not in self._alive:
            # Its caller has turned to another instance when this one ended.
            self._ask_elsewhere(request.caller)
            return
        stats = self._stats[request.instance]
        stats.record_residence_time(self._now - request.sent_s)
        stats.record_end(name, self._now)
        stats.record_load_report(name, work=server.work, at_s=self._now)
        for gates in (self._gates, self._fleet_gates):
            gates[request.instance].record_service_time(request.kind.place_s)
        caller = request.caller
        if caller.answered_s is None:
            caller.answered_s = self._now
        self._record_begun(request, in_time=caller.in_time_of_return)
        self._record_slot_time(request, server)

    def _ask_elsewhere(self, caller: Caller) -> None:
        if self._now - caller.came_s < caller.kind.patience_s:
            self._ask(caller)


def play(load: FleetLoad, *, seed: int) -> list[Caller]:
    """Plays a load from start to end.

    Args:
        load: The load.
        seed: Of arrivals, teams and ties.

    Returns:
        All callers, in the order in which they came.
    """
    run = FleetPlay(load, seed)
    run.run()
    return run.callers
