"""Streams that callers begin, break off and resume, in tests of versions."""

import dataclasses
import random
import re

import gevent

from irisshelf.gateway import settings
from irisshelf.platform.stand_in import server as server_module
from irisshelf.transport import errors

_EVENTS = 12
# So long that no stream of before the start of all instances is resumed.
SERVERS_AGE_S = 3600.0
_EVENT_S = 0.004
TWO = ("v1", "v1.1")
THREE = ("v1", "v1.1", "v1.2")
# Streams of a case; a choice that knows no versions mixes about half of them.
STREAMS = 24
_BROKEN_AFTER = 4
_NAMED = re.compile(rb"id: (\d+)\ndata: piece \d+(?: of (\S+))?\n\n")
PATH = "/digest/1"
# So that the retry budget does not end streams here.
_BOUNDS = settings.Bounds(retry_share=1.0, retry_slack=1000.0)
# Of the share of new streams that begin, the least share that goes on.
LEAST_SHARE = 0.5


@dataclasses.dataclass(kw_only=True)
class Stream:
    """A caller's stream, over all its attempts."""

    first_id: str
    body: bytes = b""
    statuses: list[int] = dataclasses.field(default_factory=list)

    @property
    def last_event_id(self):
        """Id of the last whole event."""
        return int(_NAMED.findall(self.body)[-1][0])

    @property
    def versions(self):
        """Versions of the servers that sent events."""
        return {version or b"v1" for _, version in _NAMED.findall(self.body)}

    @property
    def whole(self):
        """Whether all events have come, once each and in order."""
        numbers = [int(number) for number, _ in _NAMED.findall(self.body)]
        return numbers == list(range(1, _EVENTS + 1))


def open_stream(world, entry, number):
    """Begins a stream; returns it after some events, and its connection."""
    stream = Stream(first_id=f"begun-{number}")
    conn = world.connect(entry)
    headers = world.headers(b"{}", Request_Id=stream.first_id)
    conn.send("POST", PATH, headers, b"{}", timeout_s=5.0)
    status, _ = conn.read_head(timeout_s=5.0)
    stream.statuses.append(status)
    while stream.body.count(b"\n\n") < _BROKEN_AFTER:
        stream.body += conn.read_data(timeout_s=5.0)
    return stream, conn


def begin(world, entry, number):
    """Begins a stream and leaves after some events."""
    stream, conn = open_stream(world, entry, number)
    conn.close()
    drop_partial_event(stream)
    return stream


def drop_partial_event(stream):
    """Keeps what a caller can resume a stream after."""
    stream.body = b"".join(m[0] for m in _NAMED.finditer(stream.body))


def read_on(stream, conn):
    """Reads what comes of a stream that has begun."""
    try:
        while (data := conn.read_data(timeout_s=5.0)) is not None:
            stream.body += data
    except errors.TransportError:
        return


def take_up(world, entry, stream, number, **headers):
    """Takes a stream up where its caller has left it."""
    named = {
        "Resumes": stream.first_id,
        "Last_Event_Id": str(stream.last_event_id),
        "Request_Id": f"taken-up-{number}",
    }
    answer = world.ask(PATH, entry=entry, **(named | headers))
    stream.statuses.append(answer.status)
    if answer.status == 200:
        stream.body += answer.body
    return answer


def each(calls):
    """Runs calls at once; returns their results."""
    greenlets = [gevent.spawn(*call) for call in calls]
    gevent.joinall(greenlets)
    return [greenlet.get() for greenlet in greenlets]


def begin_all(world, entry, count=STREAMS):
    return each((begin, world, entry, number) for number in range(count))


def take_up_all(world, entry, streams):
    """Takes streams up in another order, as all instances draw the same."""
    numbers = list(range(len(streams)))
    random.Random(len(numbers)).shuffle(numbers)
    answers = each(
        (take_up, world, entry, streams[number], number) for number in numbers
    )
    return [
        answer
        for _, answer in sorted(
            zip(numbers, answers, strict=True), key=lambda pair: pair[0]
        )
    ]


def make(make_world, **options):
    world = make_world(
        **{
            "servers": 6,
            "versions": TWO,
            "data_centres": ("a", "a", "b"),
            "servers_age_s": SERVERS_AGE_S,
        }
        | options,
        bounds=_BOUNDS,
        events=_EVENTS,
        event_s=_EVENT_S,
    )
    expected = {one.server_id for one in world.engines}
    world.wait(
        lambda: all(listed(entry) >= expected for entry in world.entries)
    )
    return world


def listed(entry):
    return {server.entry_id for server in entry.inst.directory.servers()}


def mixed(streams):
    return [stream for stream in streams if len(stream.versions) > 1]


def share_whole(streams):
    return sum(stream.whole for stream in streams) / len(streams)


def fail_first_runs(world, fault=server_module.Fault.CUT):
    """Makes each stream's first run fail midway."""
    for one in world.engines:
        one.fault_of = lambda run: (
            fault if not run.after_event else server_module.Fault.NONE
        )


def wait_for_list(world):
    expected = {
        one.server_id
        for one in (*world.engines, *world.plain)
        if not one.closed
    }
    world.wait(
        lambda: all(
            listed(entry) == expected
            for entry in world.entries
            if not entry.closed
        )
    )
