"""Callers of prompts of which one shared part crashes each server that runs it.

They run beside callers whose prompts share all other parts, in a world whose
engines return under ids of their own.
"""

import dataclasses
import functools
import itertools
import random

import gevent

from irisshelf import boottime
from irisshelf.platform.stand_in import world as world_module
from irisshelf.transport import errors

CRASHING = "crashing"
# Part of every prompt, and of some of them; of the crashing ones too.
FIRST = "first"
MIDDLES = ("middle-0", "middle-1", "middle-2")
_SUBJECTS = 8
# What an instance has learnt reaches the others earlier.
CONTACT_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sound:
    """First attempts of sound requests.

    Attributes:
        at_s: When it was sent.
        status: Status of the response; 0 if there was none.
        whole: Whether it came to its end.
        body: Its body.
    """

    at_s: float
    status: int
    whole: bool
    body: bytes

    @property
    def began(self):
        """Whether its response began."""
        return self.status == 200


class Callers:
    """Sends requests of both kinds at all instances, in turn and at random.

    Args:
        world: The world.
        target: Path of the requests.
        crashing: Parts that crash servers; a request takes them by turns.
        position: Index of that part among the shared ones.
        repeats: How often a caller repeats a request at once elsewhere.
        seed: Of the random choices.
    """

    def __init__(
        self,
        world,
        *,
        target="/query/1",
        crashing=(CRASHING,),
        position=2,
        repeats=0,
        seed=1,
    ):
        self.world = world
        self.sound = []
        self.statuses = []
        self._target = target
        self._crashing = itertools.cycle(crashing)
        self._position = position
        self._repeats = repeats
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._stopped = False
        self.end_times_s = []
        for engine in world.engines:
            engine.ends_under = lambda run: bool(
                shared_parts(run).intersection(crashing)
            )
            engine.on_end = lambda: self.end_times_s.append(boottime.now())
            engine.on_return = functools.partial(return_renewed, world, engine)

    def send_sound(self, entry=None, parts=None):
        """Sends one sound request and records how it went."""
        number = next(self._numbers)
        subject = f"subject-{self._rng.randrange(_SUBJECTS)}"
        middle = self._rng.choice(MIDDLES)
        parts = parts or [FIRST, middle, subject]
        at_s = boottime.now()
        answer = self._ask(parts, number, self._entry(entry))
        self.sound.append(
            Sound(
                at_s=at_s,
                status=answer.status,
                whole=answer.whole,
                body=answer.body,
            )
        )
        return answer

    def send_crashing(self, entry=None, extra=()):
        """Sends one request with a crashing part, and repeats of it."""
        number = next(self._numbers)
        parts = [FIRST, self._rng.choice(MIDDLES), *extra]
        parts.insert(self._position, next(self._crashing))
        entry = self._entry(entry)
        for attempt in range(1 + self._repeats):
            place = (entry + attempt) % len(self.world.entries)
            if self.world.entries[place].closed:
                place = self._entry(None)
            answer = self._ask(parts, number, place)
            self.statuses.append(answer.status)
        return answer

    def keep_sending(self, send, pause_s):
        """Sends until ``stop``, without waiting for responses."""
        while not self._stopped:
            gevent.spawn(send)
            low, high = pause_s
            gevent.sleep(self._rng.uniform(low, high))

    def send_bursts(self, count, pause_s):
        """Sends several crashing requests at once, until ``stop``."""
        while not self._stopped:
            for _ in range(count):
                gevent.spawn(self.send_crashing)
            gevent.sleep(pause_s)

    def stop(self):
        """Ends all loops."""
        self._stopped = True

    def runs_after(self, at_s):
        """Returns how many crashing requests servers ran after a time."""
        return sum(
            run.at_s > at_s and engine.ends_under(run)
            for engine in self.world.engines
            for run in engine.runs
        )

    def count_since(self, at_s):
        """Returns how many sound requests sent since then are answered."""
        return sum(one.at_s >= at_s for one in self.sound)

    def share_begun(self, after_s, until_s):
        """Returns the share of sound requests that began at once."""
        sent = [one for one in self.sound if after_s <= one.at_s < until_s]
        if not sent:
            raise ValueError("no sound request was sent in this time")
        return sum(one.began for one in sent) / len(sent)

    def _entry(self, entry):
        if entry is not None:
            return entry
        running = [
            place
            for place, one in enumerate(self.world.entries)
            if not one.closed
        ]
        return self._rng.choice(running)

    def _ask(self, parts, number, entry):
        listed = ",".join(f"{part}:10" for part in [*parts, f"last-{number}"])
        try:
            return self.world.ask(
                self._target,
                body=b'{"n": %d}' % number,
                entry=entry,
                Prefix_Hash=listed,
            )
        except errors.ConnectError:
            # The instance has been killed since it was drawn.
            return world_module.Answer(
                status=0, headers={}, body=b"", whole=False
            )


def shared_parts(run):
    """Returns the shared parts of the prompt of a request that ran."""
    listed = run.headers.get("prefix-hash", "").split(",")
    return {item.strip().partition(":")[0] for item in listed[:-1]}


def return_renewed(world, engine):
    """Lists an engine that is back at its address under an id of its own."""
    world.store.drop("servers", engine.server_id)
    name, _, life = engine.server_id.partition(".")
    engine.server_id = f"{name}.{int(life or 0) + 1}"
    world.list_server(engine)
