"""Callers of many instances, in tests of streams that are resumed."""

import dataclasses
import random
import re

import gevent

from irisshelf.gateway import settings
from irisshelf.platform.stand_in import store
from irisshelf.tests import resumed_streams
from irisshelf.transport import errors

DATA_CENTRES = ("a", "b", "c")
INSTANCES = 24
ENGINES = 8
EVENTS = 12
_EVENT_S = 0.01
_EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+(?: of (\S+))?\n\n")
# Events after which a caller breaks a stream off.
BROKEN_AFTER = 4
_TIMEOUT_S = 5.0
# Longer ago than a stream can have begun.
_SERVERS_AGE_S = 3600.0
# So that neither the retry budget nor keys that the store does not confirm end
# streams here.
_BOUNDS = settings.Bounds(
    retry_share=1.0, retry_slack=1000.0, keys_strict=False
)
# Of the streams of a case, as many at most may have events of two versions.
MAX_MIXED = 2
# Shares of fewer resumptions say little.
MIN_COUNTED = 12
# Servers of a version, from which on its streams must go on.
_MIN_SERVERS = 2


@dataclasses.dataclass(kw_only=True)
class Resumption:
    """One attempt of a caller to go on with its stream.

    Attributes:
        status: HTTP status; 0 if there was none.
        counted: Whether two servers of the stream's version served as it began
            and as it ended.
        goes_on: Whether the events that the caller waited for came.
        error: The body of an answer that has none.
    """

    status: int
    error: bytes
    counted: bool
    goes_on: bool


@dataclasses.dataclass(kw_only=True)
class Stream:
    """A caller's stream.

    Attributes:
        first_id: Id of the first attempt.
        entry: The instance that began it, by its place.
        events: What has come, as number and version.
        resumptions: All of them.
    """

    first_id: str
    entry: int
    events: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    resumptions: list[Resumption] = dataclasses.field(default_factory=list)

    @property
    def versions(self):
        """Versions of the servers that sent events."""
        return {version for _, version in self.events}

    @property
    def in_order(self):
        """Whether each event came once and in order, as far as they came."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, len(numbers) + 1))


class Callers:
    """Callers that begin streams at the instances of a world and resume them.

    Args:
        world: The instances and servers.
        seed: Of what is drawn.

    Attributes:
        streams: All streams that were to begin, in this order.
        rng: Draws instances.
    """

    def __init__(self, world, seed=1):
        self.streams = []
        self.rng = random.Random(seed)
        self._world = world
        self._attempts = 0

    def begin(self, entry):
        """Begins a stream and breaks it off."""
        stream = Stream(first_id=f"begun-{len(self.streams)}", entry=entry)
        self.streams.append(stream)
        self._read(stream, entry, {"Request_Id": stream.first_id}, BROKEN_AFTER)
        return stream

    def resume(self, stream, entry, until=EVENTS):
        """Resumes a stream; reads until it has so many events."""
        self._attempts += 1
        named = {
            "Resumes": stream.first_id,
            "Last_Event_Id": str(len(stream.events)),
            "Request_Id": f"resumed-{self._attempts}",
        }
        version = stream.events[0][1]
        counted = self._serve(version)
        status, error = self._read(stream, entry, named, until)
        stream.resumptions.append(
            Resumption(
                status=status,
                error=error,
                counted=counted and self._serve(version),
                goes_on=len(stream.events) >= until and stream.in_order,
            )
        )

    def other(self, than, among=None):
        """Draws a running instance other than one."""
        places = range(len(self._world.entries)) if among is None else among
        return self.rng.choice(
            [
                place
                for place in places
                if place != than and not self._world.entries[place].closed
            ]
        )

    def resume_all(self, streams, over_s, among=None, until=EVENTS):
        """Resumes streams elsewhere, in any order, spread over a time."""
        order = self.rng.sample(streams, len(streams))
        at_once = [
            (
                over_s * place / len(order),
                self.resume,
                stream,
                self.other(stream.entry, among),
                until,
            )
            for place, stream in enumerate(order)
        ]
        run_all(at_once)

    def begin_all(self, entries, over_s):
        """Begins a stream at each of these, spread over a time; returns them.

        Those that did not begin are left out.
        """
        before = len(self.streams)
        run_all(
            (over_s * place / len(entries), self.begin, entry)
            for place, entry in enumerate(entries)
        )
        return [stream for stream in self.streams[before:] if stream.events]

    def share_that_begins(self, among=None):
        """Begins one more stream at each running instance."""
        places = range(len(self._world.entries)) if among is None else among
        running = [p for p in places if not self._world.entries[p].closed]
        return len(self.begin_all(running, 0.5)) / len(running)

    def _serve(self, version):
        serving = [
            one
            for one in self._world.engines
            if not one.closed and one.version.encode() == version
        ]
        return len(serving) >= _MIN_SERVERS

    def _read(self, stream, entry, headers, until):
        """Sends a request and reads until a stream has so many events.

        Returns:
            The status, 0 if there was none, and the body of a rejection.
        """
        body = b""
        try:
            conn = self._world.connect(entry)
        except errors.TransportError:
            return 0, body
        status = 0
        try:
            sent = self._world.headers(b"{}", **headers)
            conn.send(
                "POST", resumed_streams.PATH, sent, b"{}", timeout_s=_TIMEOUT_S
            )
            status, _ = conn.read_head(timeout_s=_TIMEOUT_S)
            missing = until - len(stream.events)
            while len(_EVENT.findall(body)) < missing:
                data = conn.read_data(timeout_s=_TIMEOUT_S)
                if data is None:
                    break
                body += data
        except errors.TransportError:
            # The instance has ended; what came until then counts.
            pass
        finally:
            conn.close()
        if status != 200:
            return status, body
        found = [(int(n), v or b"v1") for n, v in _EVENT.findall(body)]
        stream.events += found[: until - len(stream.events)]
        return status, b""


def run_all(calls):
    """Runs calls, each given with its delay, and waits for them."""
    greenlets = [gevent.spawn_later(*call) for call in calls]
    gevent.joinall(greenlets)
    for greenlet in greenlets:
        greenlet.get()


def make(make_world, versions=resumed_streams.TWO, instances=INSTANCES):
    """Makes a world whose instances list all servers."""
    world = make_world(
        servers=ENGINES,
        versions=versions,
        data_centres=[
            DATA_CENTRES[place % len(DATA_CENTRES)]
            for place in range(instances)
        ],
        places=DATA_CENTRES,
        known_places=DATA_CENTRES,
        bounds=_BOUNDS,
        events=EVENTS,
        event_s=_EVENT_S,
        servers_age_s=_SERVERS_AGE_S,
    )
    resumed_streams.wait_for_list(world)
    return world


def replace_all(world, version):
    """Replaces all servers by those of another version."""
    before = [one for one in world.engines if not one.closed]
    for one in before:
        world.add_engine(version)
        world.remove_engine(one)
    resumed_streams.wait_for_list(world)


def restart(world, places):
    """Kills instances and starts as many; returns the places of these."""
    for place in places:
        world.entries[place].kill()
    begun = len(world.entries)
    for place in places:
        world.add_entry(world.entries[place].inst.cfg.data_centre)
    started = range(begun, len(world.entries))
    world.wait(lambda: all(world.entries[p].inst.ready for p in started))
    return list(started)


def lose_store(world, places):
    """Cuts instances off the store."""
    for place in places:
        world.store_ports[place].mode = store.Mode.RESET


def lose_others(world, places):
    """Cuts instances off all others."""
    for place in places:
        entry = world.entries[place]
        entry.part([other for other in world.entries if other is not entry])


def mixed(streams):
    """Returns the streams that have events of two versions."""
    return [stream for stream in streams if len(stream.versions) > 1]


def counted(streams):
    """Returns the resumptions while two servers of the version served."""
    return [r for s in streams for r in s.resumptions if r.counted]


def share_on(streams):
    """Returns the share of the counted resumptions that went on."""
    found = counted(streams)
    assert len(found) >= MIN_COUNTED
    return sum(r.goes_on for r in found) / len(found)
