"""A service of batching servers under a load, on simulated time.

Several instances decide by themselves, each by what it has sent and by what
servers told it; what they tell each other comes later. No network, no clock:
``play`` runs a whole load and returns what its callers saw.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from irisshelf.catalog import directory
from irisshelf.overload import admission
from irisshelf.overload import local_admission
from irisshelf.routing.direct import availability
from irisshelf.routing.direct import prompt
from irisshelf.routing.direct import server_choice
from irisshelf.testing import busy_load
from irisshelf.testing import busy_server
from irisshelf.testing import slow_servers

_SERVICE = "busy"
DATA_CENTRE = "here"
# How long the way from an instance to a server and back takes together.
_WAY_S = 0.004
# Instances tell each other the loads of servers four times a second.
_TELL_S = 0.25
# What an instance sends to a server so soon after it has asked for rest may
# have been on its way.
_REST_KNOWN_S = 0.5


class Play:
    """One run of a load.

    Args:
        load: The load.
        seed: Of arrivals, teams and ties.
        admitting: Whether instances refuse early; if not, all is sent.
        fixed_retry_after_s: Refused callers retry after this time; None: as the
            instance says.
        heeding: Whether instances send nothing to servers that rest.

    Attributes:
        by_kind: What callers saw, by kind.
        by_team: The same by team.
    """

    def __init__(
        self,
        load: busy_load.Load,
        seed: int,
        admitting: bool,
        fixed_retry_after_s: float | None,
        heeding: bool,
    ):
        self._load = load
        self._heeding = heeding
        self._rng = random.Random(seed)
        self._admitting = admitting
        self._fixed_retry_after_s = fixed_retry_after_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._servers = [
            busy_server.Server(load.slots) for _ in range(load.servers)
        ]
        self._names = [str(n) for n in range(load.servers)]
        self._listed = {
            name: directory.BackendServer(
                server_id=name,
                service=_SERVICE,
                address=name,
                data_centre=DATA_CENTRE,
                slots=load.slots,
            )
            for name in self._names
        }
        self._rankings = [
            self._rng.sample(self._names, load.servers)
            for _ in range(load.subjects)
        ]
        self._choosers = [
            server_choice.Chooser(
                data_centre=DATA_CENTRE, rng=random.Random(seed + number)
            )
            for number in range(load.instances)
        ]
        self._stats = [chooser.stats for chooser in self._choosers]
        self._gates = [
            local_admission.AdmissionControl() for _ in range(load.instances)
        ]
        self._known = [
            availability.Availability(rng=random.Random(seed + number))
            for number in range(load.instances)
        ]
        self.observer = slow_servers.Observer(
            cap_factor=server_choice.CAP_FACTOR,
            cap_extra=server_choice.CAP_EXTRA,
        )
        self.by_kind: dict[str, busy_load.Seen] = collections.defaultdict(
            busy_load.Seen
        )
        self.by_team: dict[str, busy_load.Seen] = collections.defaultdict(
            busy_load.Seen
        )

    def run(self) -> None:
        """Runs the load to its end."""
        for kind in self._load.kinds:
            self._after(self._gap_s(kind), lambda kind=kind: self._come(kind))
        self._after(_TELL_S, self._tell)
        for at_s, number in self._load.rests:
            server = self._servers[number]
            self._after(at_s, lambda server=server: self._begin_rest(server))
        while self._events:
            self._now, _, what = heapq.heappop(self._events)
            what()

    def _after(self, wait_s: float, what: Callable[[], None]) -> None:
        event = (self._now + wait_s, next(self._order), what)
        heapq.heappush(self._events, event)

    def _gap_s(self, kind: busy_load.Kind) -> float:
        return self._rng.expovariate(kind.per_s * self._load.factor(self._now))

    def _tell(self) -> None:
        for stats in self._stats:
            for name, server in zip(self._names, self._servers, strict=True):
                stats.record_load_report(
                    name,
                    work=server.work,
                    at_s=self._now,
                    slowdown=self._slowdown(name),
                )
        if self._now < self._load.length_s:
            self._after(_TELL_S, self._tell)

    def _come(self, kind: busy_load.Kind) -> None:
        if self._now > self._load.length_s:
            return
        self._after(self._gap_s(kind), lambda: self._come(kind))
        request = busy_server.Request(
            kind=kind,
            team=self._load.team(self._now, self._rng),
            came_s=self._now,
            instance=self._instance(),
        )
        self._count(request, "asked")
        self._choose(request)

    def _instance(self) -> int:
        """Draws the instance that a new request comes at."""
        share = self._load.first_share(self._now)
        if share and self._rng.random() < share:
            return 0
        return self._rng.randrange(self._load.instances)

    def _choose(self, request: busy_server.Request) -> None:
        stats = self._stats[request.instance]
        known = self._known[request.instance]
        names = [n for n in self._names if not known.block(n, self._now)]
        if not names:
            self._refuse_all_resting(request)
            return
        choice = self._choice(request.instance, names)
        name = choice.server.server_id
        if self._admitting and self._is_refused(request, choice):
            return
        known.record_sent(name, self._now)
        request = dataclasses.replace(request, sent_s=self._now)
        stats.record_start(name, self._now)
        self._after(_WAY_S, lambda: self._reach(request, name))

    def _choice(self, instance: int, names: list[str]) -> server_choice.Choice:
        """Chooses the server that a request is sent to."""
        if self._load.subjects:
            return self._choice_by_ranking(instance, names)
        choice = self._choosers[instance].choose(
            [self._listed[name] for name in names],
            prompt.Prompt(),
            avoid=frozenset(),
            now=self._now,
        )
        assert choice is not None
        return choice

    def _choice_by_ranking(
        self, instance: int, names: list[str]
    ) -> server_choice.Choice:
        loads = self._stats[instance].loads(names, self._now)
        ranked = self._rng.choice(self._rankings)
        mean = sum(loads.values()) / len(loads)
        bound = server_choice.LOAD_FACTOR * mean + server_choice.LOAD_EXTRA
        open_ones = [name for name in ranked if name in loads]
        within = (name for name in open_ones if loads[name] + 1 <= bound)
        name = next(within, open_ones[0])
        return server_choice.Choice(
            server=self._listed[name],
            reason=server_choice.Reason.HOME,
            load=loads[name],
            mean_load=mean,
            report_age_s=0.0,
        )

    def _refuse_all_resting(self, request: busy_server.Request) -> None:
        if not request.returning:
            self._count(request, "refused")
            if self._load.callers_return:
                known = self._known[request.instance]
                blocks = [known.block(n, self._now) for n in self._names]
                self._return(request, min(b.remaining_s for b in blocks))

    def _is_refused(
        self, request: busy_server.Request, choice: server_choice.Choice
    ) -> bool:
        gate = self._gates[request.instance]
        refusal = gate.admit(
            admission.Arrival(
                priority=request.kind.priority,
                team=request.team,
                objective_s=request.kind.objective_s,
                remaining_s=request.kind.patience_s,
            ),
            gate.estimated_wait_s(choice.load, self._load.slots),
            self._now,
            full=choice.full,
        )
        if refusal is None:
            if request.returning:
                self._count(request, "served_at_return")
            return False
        retry_after_s = (
            refusal.retry_after_s
            if self._fixed_retry_after_s is None
            else self._fixed_retry_after_s
        )
        if not request.returning:
            self._count(request, "refused")
            if self._load.callers_return:
                self._return(request, retry_after_s)
        for seen in self._seen(request):
            seen.retry_after_s.append(self._now + retry_after_s)
        return True

    def _return(
        self, request: busy_server.Request, retry_after_s: float
    ) -> None:
        again = dataclasses.replace(
            request,
            instance=self._rng.randrange(self._load.instances),
            returning=True,
        )
        self._count(request, "returned")
        wait_s = min(retry_after_s, request.kind.returns_within_s)
        self._after(wait_s, lambda: self._choose(again))

    def _reach(self, request: busy_server.Request, name: str) -> None:
        server = self._servers[int(name)]
        rests = self._now < server.rests_until_s
        if rests or len(server.waiting) >= self._load.queue:
            self._turn_down(request, name, server)
            return
        server.enqueue(request, request.kind.priority)
        self.observer.record_arrival(
            [one.work for one in self._servers], int(name), self._now
        )
        self._start(server, name)

    def _turn_down(
        self,
        request: busy_server.Request,
        name: str,
        server: busy_server.Server,
    ) -> None:
        self._count(request, "turned_down")
        self._stats[request.instance].record_end(name, self._now)
        if self._now >= server.rests_until_s:
            if not self._load.rests_when_full:
                return
            self._begin_rest(server)
        server.in_rests[-1][request.instance].append(self._now)
        if self._heeding:
            left_s = server.rests_until_s - self._now
            self._known[request.instance].record_backoff(
                name, left_s, self._now
            )
            self._choosers[request.instance].load_limits.record_backoff(
                name, self._now
            )

    def _begin_rest(self, server: busy_server.Server) -> None:
        server.rested_s = self._now
        server.rests_until_s = self._now + self._load.rest_s
        server.in_rests.append(collections.defaultdict(list))

    def _start(self, server: busy_server.Server, name: str) -> None:
        while server.waiting and server.free:
            request = server.next_request()
            stats = self._stats[request.instance]
            stats.record_load_report(
                name,
                work=server.work + 1,
                at_s=self._now,
                slowdown=self._slowdown(name),
            )
            waited_s = self._now - request.came_s
            if waited_s > request.kind.patience_s and not request.returning:
                self._count(request, "left")
                stats.record_end(name, self._now)
                continue
            known = self._known[request.instance]
            known.record_answer(name, request.sent_s)
            in_time = waited_s <= request.kind.objective_s
            self._count(request, "in_time" if in_time else "late")
            server.free -= 1
            server.running += 1
            self._after(
                self._duration_s(name, request.kind.place_s),
                lambda request=request: self._end(server, name, request),
            )

    def _end(
        self,
        server: busy_server.Server,
        name: str,
        request: busy_server.Request,
    ) -> None:
        server.free += 1
        server.running -= 1
        stats = self._stats[request.instance]
        self.observer.served.append(
            slow_servers.Served(
                server=int(name), came_s=request.came_s, ended_s=self._now
            )
        )
        if self._load.slowdowns is not None:
            stats.record_response_time(name, request.sent_s, self._now)
        stats.record_residence_time(self._now - request.sent_s)
        stats.record_end(name, self._now)
        self._gates[request.instance].record_service_time(request.kind.place_s)
        self._start(server, name)

    def _slowdown(self, name: str) -> float | None:
        if self._load.slowdowns is None:
            return None
        return self._load.slowdowns.at(int(name), self._now)

    def _duration_s(self, name: str, normal_s: float) -> float:
        if self._load.slowdowns is None:
            return normal_s
        return self._load.slowdowns.duration_s(int(name), self._now, normal_s)

    def _seen(
        self, request: busy_server.Request
    ) -> tuple[busy_load.Seen, busy_load.Seen]:
        return self.by_kind[request.kind.name], self.by_team[request.team]

    def outcome(self) -> busy_load.Outcome:
        """Returns what callers and servers saw."""
        counts = [
            sum(at_s > times_s[0] + _REST_KNOWN_S for at_s in times_s)
            for server in self._servers
            for rest in server.in_rests
            for times_s in rest.values()
        ]
        return busy_load.Outcome(
            by_kind=dict(self.by_kind),
            by_team=dict(self.by_team),
            rests=tuple(len(server.in_rests) for server in self._servers),
            last_rest_s=max(server.rested_s for server in self._servers),
            most_in_a_rest=max(counts, default=0),
            observer=self.observer,
        )

    def _count(self, request: busy_server.Request, what: str) -> None:
        for seen in self._seen(request):
            setattr(seen, what, getattr(seen, what) + 1)


def play(
    load: busy_load.Load,
    *,
    seed: int,
    admitting: bool = True,
    fixed_retry_after_s: float | None = None,
    heeding: bool = True,
) -> busy_load.Outcome:
    """Plays a load from start to end.

    Args:
        load: The load.
        seed: Of arrivals, teams and ties.
        admitting: Whether instances refuse early; if not, all is sent.
        fixed_retry_after_s: Refused callers retry after this time, whatever the
            instance would say. None: as the instance says.
        heeding: Whether instances send nothing to servers that rest.

    Returns:
        What callers saw.
    """
    run = Play(load, seed, admitting, fixed_retry_after_s, heeding)
    run.run()
    return run.outcome()
