"""Plays one seed: a fleet on loopback, callers, faults, the verdict."""

from __future__ import annotations

import dataclasses
import pathlib
import time

import gevent

from irisshelf import boottime
from irisshelf.platform.stand_in import server
from irisshelf.platform.stand_in import store
from irisshelf.testing import ports
from irisshelf.transport import client
from irisshelf.transport import errors
from soak import callers
from soak import checker
from soak import crashing
from soak import extremes
from soak import faults
from soak import fleet
from soak import hard_load
from soak import observations
from soak import plan
from soak import resting_callers
from soak import server_faults
from soak import server_links
from soak import stream_checks

_START_S = 20.0
_EVENT_S = 0.01
_LONG_EVENT_S = 0.04
# When the servers say that they started, Unix ms.
_BORN_MS = 1_700_000_000_000
# After the faults: links are back, processes restarted, lapses over.
_SETTLE_S = 6.0
_CALM_S = 3.0
_BOUNDS = checker.Bounds(key_s=5.0, left_s=2.5)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What came of a seed.

    Attributes:
        seed: The seed.
        faults: How many were injected.
        requests: How many were asked.
        served: How many of these were served whole.
        own_exits: Processes that ended of themselves.
        resumed: Resumptions of streams, and how many of them went on.
        unknown: How many were refused as it is not known which version began.
        counted: Resumptions that are compared with streams that begin, and how
            many of them went on.
        ends: Servers that ended under the crashing request.
        violations: Promises that were broken.
    """

    seed: int
    faults: int
    requests: int
    served: int
    own_exits: int
    resumed: tuple[int, int]
    unknown: int
    counted: tuple[int, int]
    ends: int
    violations: tuple[checker.Violation, ...]


class Run:
    """One seed's run.

    Args:
        seed: Draws the faults.
        folder: For settings and logs.
        instances: How many there are.
    """

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        instances: int = plan.INSTANCES,
    ):
        self._seed = seed
        self._instances = instances
        self._faults = plan.draw(seed, instances)
        self.store = store.Store().start()
        self.servers = [
            *self._make_servers("crew", plan.SERVERS, streaming=False),
            *self._make_servers(
                "lm", plan.streaming_servers(seed), streaming=True
            ),
        ]
        self.links = [
            server_links.ServerLink(target=one.address) for one in self.servers
        ]
        self._injector = faults.Injector(
            seed=seed,
            served=self.store,
            servers=self.servers,
            links=self.links,
        )
        if plan.is_hard(seed):
            self._injector.of_servers.limit()
        if plan.has_versions(seed):
            self._injector.of_servers.begin_versions()
        for number, one in enumerate(self.servers):
            one.unframed = plan.is_unframed(seed)
            if plan.has_endings(seed):
                one.announces_close, one.http_version = plan.FRAMINGS[
                    number % len(plan.FRAMINGS)
                ]
            if plan.has_extremes(seed):
                one.extra_work_s = extremes.extra_work_s
        self._injector.prepare()
        self._crashing: crashing.CrashingRequest | None = None
        if crashing.is_asked(seed):
            self._crashing = crashing.CrashingRequest(
                seed=seed,
                servers=self.servers,
                links=self.links,
                list_again=self._injector.of_servers.list_unless_left,
            )
        self._ports = ports.Block()
        peers = [f"127.0.0.1:{self._ports.take()}" for _ in range(instances)]
        places = plan.data_centres(seed, instances)
        self.entries = [
            fleet.Entry(
                number=number,
                folder=folder,
                store=self._open_store(),
                peers=peers[number],
                block=self._ports,
                # By turns, so that there is one of each data centre.
                seeds=peers[: max(len(places), plan.INSTANCES)],
                data_centre=places[number % len(places)],
                # Servers of a single one's instances may stand elsewhere.
                data_centres=places if len(places) > 1 else (),
                overload=plan.overload(seed),
            )
            for number in range(instances)
        ]
        self._injector.entries = self.entries
        self._callers = callers.Callers(
            seed=seed, entries=self.entries, injector=self._injector
        )

        self._hard_load: hard_load.HardLoad | None = None
        if plan.is_hard(seed):
            self._hard_load = hard_load.HardLoad(
                seed=seed,
                entries=self.entries,
                others=self._callers,
                bursts=self._injector.bursts,
                surges=self._injector.surges,
            )

    def play(self) -> Verdict:
        """Plays the run to its end."""
        try:
            return self._play()
        finally:
            self.close()

    def close(self) -> None:
        """Ends all that the run has started."""
        for entry in self.entries:
            entry.close()
        self._injector.endless.close()
        for link in self.links:
            link.close()
        for one in self.servers:
            one.close()
        self.store.close()
        self._ports.close()

    def _play(self) -> Verdict:
        for entry in self.entries:
            entry.start()
        if not self._all_serve(time.monotonic() + _START_S):
            raise RuntimeError("the instances did not come up")
        self._callers.start()
        began_s = time.monotonic()
        if self._crashing is not None:
            until_s = began_s + self._crashing.until_s
            self._callers.spawn(
                self._crashing.ask_until, until_s, self._callers.crash
            )
        last_s = max(fault.at_s + fault.for_s for fault in self._faults)
        if self._hard_load is not None:
            self._callers.spawn(self._hard_load.run_until, began_s + last_s)
        if plan.has_extremes(self._seed):
            resting_callers.RestingCallers(
                seed=self._seed, entries=self.entries, others=self._callers
            ).start(began_s + last_s)
        for fault in self._faults:
            gevent.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            self._injector.inject(fault)
        if self._crashing is not None and plan.has_parts(self._seed):
            last_s = max(last_s, self._crashing.until_s)
        gevent.sleep(max(0.0, began_s + last_s - time.monotonic()))
        gevent.sleep(_SETTLE_S)
        self._all_serve(time.monotonic() + _START_S)
        self._callers.calm = True
        gevent.sleep(_CALM_S)
        self._callers.stop()
        return self._verdict()

    def _verdict(self) -> Verdict:
        # Servers note the time that counts while a machine sleeps.
        apart_s = boottime.now() - time.monotonic()
        record = observations.Record(
            asked=tuple(self._callers.asked),
            ran=tuple(
                observations.Ran(
                    request_id=run.request_id,
                    server_id=run.server_id,
                    at_s=run.at_s - apart_s,
                    server=number,
                    far=one.data_centre == faults.FAR,
                )
                for number, one in enumerate(self.servers)
                for run in one.runs
            ),
            withdrawn=self._injector.withdrawn,
            left=self._injector.of_servers.left,
            disturbed=tuple(self._injector.disturbed),
            stopped=tuple(self._injector.stopped),
            events=callers.EVENTS,
            ends_s=tuple(self._crashing.ends_s if self._crashing else ()),
            evacuated=tuple(self._injector.evacuated),
            partitioned=tuple(self._injector.partitioned),
            cold=tuple(self._injector.of_servers.cold),
            unlisted=tuple(self._injector.unlisted),
            lagged=tuple(self._injector.lagged),
            versions=tuple(self._injector.of_servers.versions),
            keys=self._keys_checked(),
            peaks_bytes=tuple(
                entry.peak_bytes
                for entry in self.entries
                if plan.has_extremes(self._seed)
            ),
            padding_bytes=(
                server_faults.PADDING_BYTES if plan.is_hard(self._seed) else 0
            ),
            arrived=tuple(
                observations.Arrived(
                    request_id=one.request_id,
                    server=number,
                    life=one.born_ms,
                    at_s=one.at_s - apart_s,
                    leaving=one.leaving,
                    rest_s=one.rest_s,
                )
                for number, served in enumerate(self.servers)
                for one in served.arrivals
            ),
        )
        counted, _ = stream_checks.compared(record, checker.in_touch(record))
        return Verdict(
            seed=self._seed,
            faults=len(self._faults),
            requests=len(self._callers.asked),
            served=sum(
                a.status == 200 and a.whole for a in self._callers.asked
            ),
            own_exits=sum(entry.own_exits for entry in self.entries),
            resumed=(
                sum(bool(a.resumes) for a in self._callers.asked),
                sum(
                    bool(a.resumes) and a.status == 200
                    for a in self._callers.asked
                ),
            ),
            unknown=sum(
                stream_checks.is_unknown(a) for a in self._callers.asked
            ),
            counted=(len(counted), sum(counted)),
            ends=len(record.ends_s),
            violations=tuple(checker.check(record, _BOUNDS)),
        )

    def _keys_checked(self) -> frozenset[str]:
        """Returns all keys that were ever valid, if others are tried."""
        if not plan.has_extremes(self._seed):
            return frozenset()
        return frozenset(self._injector.issued)

    def _make_servers(
        self, service: str, count: int, *, streaming: bool
    ) -> list[server.Server]:
        return [
            server.Server(
                server_id=f"{service}-{number}",
                service=service,
                streaming=streaming,
                events=callers.EVENTS,
                event_s=self._event_s(),
                work_s=0.01,
                born_ms=_BORN_MS,
                data_centre=self._place(number),
            ).start()
            for number in range(count)
        ]

    def _event_s(self) -> float:
        """Returns the pause before each event of a stream.

        With versions streams last longer, so that more of them are cut off by
        what happens.
        """
        if plan.has_versions(self._seed):
            return _LONG_EVENT_S
        return _EVENT_S

    def _open_store(self) -> str:
        """Returns the store's address for the next instance.

        With partitions, each instance has links of its own to the servers.
        """
        if not plan.has_partitions(self._seed):
            return self.store.address
        port = self.store.open_port()
        pairs = []
        for link in self.links:
            pairs.append(link.add_pair())
            port.addresses[link.address] = pairs[-1].address
        self._injector.pairs.append(pairs)
        return port.address

    def _place(self, number: int) -> str:
        """Returns where a server stands."""
        places = plan.data_centres(self._seed, self._instances)
        if len(places) > 1:
            return places[number % len(places)]
        far = plan.is_further(self._seed) and number % 2
        return faults.FAR if far else "a"

    def _all_serve(self, until_s: float) -> bool:
        return all(
            fleet.wait_until(lambda e=entry: _is_ready(e), until_s)
            for entry in self.entries
        )


def _is_ready(entry: fleet.Entry) -> bool:
    try:
        conn = client.connect(entry.ready, timeout_s=0.5)
        conn.send("GET", "/", [(b"Host", b"x")], b"", timeout_s=0.5)
        status, _ = conn.read_head(timeout_s=0.5)
    except errors.TransportError:
        return False
    conn.close()
    return status == 200
