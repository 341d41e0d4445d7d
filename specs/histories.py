"""Concurrent runs of real instances against faulty fakes, and their check."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import random
import time

import gevent

from irisshelf.bundle import schema
from irisshelf.testing import engine
from irisshelf.testing import faulty
from irisshelf.testing import harness
from irisshelf.testing import history
from irisshelf.testing import platform as fake_platform
from irisshelf.testing import service

TEAM_KEY = "key-of-a-team"
ENGINES = ("e0", "e1")
INSTANCES = 2
CALLS = 14
_TOKENS = 6
_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What one run gave."""

    history: history.History
    violations: tuple[history.Violation, ...]
    faults: int


class Rig:
    """Back ends, platform and instances of one run.

    Args:
        rng: Decides everything.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self.platform = fake_platform.FakePlatform(
            clock=time.monotonic, rng=rng, sleep=gevent.sleep
        )
        self.platform.faults = fake_platform.Faults(
            lose_request=rng.choice((0.0, 0.1, 0.3)),
            lose_answer=rng.choice((0.0, 0.1, 0.3)),
            delay_s=rng.choice((0.0, 0.001)),
        )
        share = rng.choice((0.0, 0.2, 0.5))
        self._engines = [
            engine.FakeEngineServer(
                engines=ENGINES, cfg=engine.EngineConfig(token_s=0.0005)
            )
            for _ in range(2)
        ]
        self._services = [service.FakeService(delay_s=0.001) for _ in range(2)]
        self._faulty = [
            faulty.Faulty(
                app=app,
                plan=faulty.Plan(share=share, late_s=0.003),
                rng=random.Random(rng.random()),
            )
            for app in (*self._engines, *self._services)
        ]
        self._servers = [harness.Server(app=app) for app in self._faulty]
        bundle = self._bundle()
        self.instances = [
            harness.Instance(
                name=f"i{i}",
                platform=self.platform,
                bundle=bundle,
                seed=rng.getrandbits(32),
            )
            for i in range(INSTANCES)
        ]

    @property
    def faults(self) -> int:
        """Faults that were injected at back ends."""
        return sum(app.injected for app in self._faulty)

    def runs(self) -> tuple[history.Run, ...]:
        """Returns the back ends' own record."""
        found = []
        for server in self._engines:
            for run in server.record()["runs"]:
                found.append(
                    history.Run(
                        marker=run["nonce"],
                        key="",
                        attempt_id=run["attempt_id"],
                    )
                )
        for app in self._services:
            for run in app.runs:
                marker = run.path.rpartition("/")[2]
                found.append(
                    history.Run(
                        marker=marker, key=run.key, attempt_id=run.attempt_id
                    )
                )
        return tuple(found)

    def stop(self) -> None:
        """Ends everything."""
        for instance in self.instances:
            instance.stop()
        for server in self._servers:
            server.stop()

    def _bundle(self) -> schema.Bundle:
        addresses = [server.address for server in self._servers]
        key = "A" * 43 + "="
        servers = {
            f"s{i}": {
                "service": "lm" if i < 2 else "crew",
                "data_centre": "here",
                "address": address,
                "engines": list(ENGINES) if i < 2 else [],
            }
            for i, address in enumerate(addresses)
        }
        once = [{"method": "POST", "path": "/alarms"}]
        return schema.Bundle.model_validate(
            {
                "format": 1,
                "number": 1,
                "signers": {"keys": {"anna": key}},
                "data_centres": {"here": {"region": "here"}},
                "services": {
                    "lm": {"kind": "model", "timeouts": {"idle_s": 2}},
                    "crew": {
                        "kind": "plain",
                        "not_repeatable": once,
                        "timeouts": {"idle_s": 2},
                    },
                },
                "backend_servers": servers,
                "teams": {"t": {"key_sha256": _sha256(TEAM_KEY)}},
            }
        )


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


class _Callers:
    """Callers of one run, all at once; some repeat a key elsewhere."""

    def __init__(self, *, rig: Rig, rng: random.Random):
        self._rig = rig
        self._rng = rng
        self.calls: list[history.Call] = []

    def run(self) -> bool:
        """Plays all calls; tells whether all ended in time."""
        playing = []
        for number in range(CALLS):
            kind = self._rng.choice(("stream", "whole", "once", "plain"))
            times = self._rng.choice((1, 1, 2, 3)) if kind == "once" else 1
            for repeat in range(times):
                playing.append(
                    gevent.spawn(
                        self._one,
                        kind,
                        f"m{number}",
                        f"c{number}.{repeat}",
                        self._rng.choice(self._rig.instances),
                        self._rng.uniform(0, 0.02),
                    )
                )
        gevent.joinall(playing, timeout=_LIMIT_S)
        ended = all(greenlet.ready() for greenlet in playing)
        gevent.killall(playing)
        return ended

    def _one(
        self,
        kind: str,
        marker: str,
        call_id: str,
        instance: harness.Instance,
        wait_s: float,
    ) -> None:
        place = len(self.calls)
        key = marker if kind == "once" else ""
        asked = history.Call(
            call_id=call_id, key=key, marker=marker, told=history.Told.NOTHING
        )
        self.calls.append(asked)
        gevent.sleep(wait_s)
        if kind in ("stream", "whole"):
            told, answer = self._model(instance, marker, kind == "stream")
        else:
            told, answer = self._service(instance, marker, key)
        self.calls[place] = dataclasses.replace(asked, told=told, answer=answer)

    def _model(self, instance: harness.Instance, marker: str, stream: bool):
        body = {
            "model": "lm",
            "messages": [{"role": "user", "content": f"{marker} please"}],
            "max_tokens": _TOKENS,
            "stream": stream,
        }
        got = instance.call(
            "POST",
            "/v1/chat/completions",
            key=TEAM_KEY,
            body=json.dumps(body).encode(),
        )
        if got.status != 200:
            return _refused(got), ""
        text = _stream_text(got) if stream else _whole_text(got)
        if text is None:
            return history.Told.UNKNOWN, ""
        right = text == f"{marker} " * _TOKENS
        return history.Told.ANSWER, marker if right else text

    def _service(self, instance: harness.Instance, marker: str, key: str):
        method = "POST" if key else "GET"
        place = "alarms" if key else "valves"
        got = instance.call(
            method,
            f"/services/crew/{place}/{marker}",
            key=TEAM_KEY,
            headers={"Idempotency-Key": key} if key else {},
        )
        if got.status != 200:
            return _refused(got), ""
        found = got.json()["path"].rpartition("/")[2]
        return history.Told.ANSWER, found


def _refused(got: harness.Answer) -> history.Told:
    try:
        return history.Told(got.outcome)
    except ValueError:
        return history.Told.NOTHING


def _stream_text(got: harness.Answer) -> str | None:
    """Returns a stream's text; None if it says that it is not whole."""
    parts = []
    for event in got.body.split(b"\n\n"):
        if event.startswith(b"event: error"):
            return None
        data = event.partition(b"data: ")[2]
        if data == b"[DONE]":
            return "".join(parts)
        if data:
            parts.append(json.loads(data)["choices"][0]["delta"]["content"])
    return "cut: " + "".join(parts)


def _whole_text(got: harness.Answer) -> str:
    return got.json()["choices"][0]["message"]["content"]


def run(seed: int) -> Outcome:
    """Plays one history from a seed and checks it."""
    rng = random.Random(seed)
    rig = Rig(rng=rng)
    playing = _Callers(rig=rig, rng=rng)
    try:
        playing.run()
        made = history.History(calls=tuple(playing.calls), runs=rig.runs())
    finally:
        rig.stop()
    return Outcome(
        history=made,
        violations=tuple(history.check(made)),
        faults=rig.faults,
    )


def planted() -> list[tuple[str, history.History]]:
    """Histories with one violation each, which the checker must find."""
    call = history.Call(
        call_id="c",
        key="k",
        marker="m",
        told=history.Told.ANSWER,
        answer="m",
    )
    ran = history.Run(marker="m", key="k", attempt_id="a")
    twice = dataclasses.replace(ran, attempt_id="b")
    refused = dataclasses.replace(call, told=history.Told.NOT_RUN)
    other = dataclasses.replace(call, answer="n")
    part = dataclasses.replace(call, whole=False)
    silent = dataclasses.replace(call, told=history.Told.NOTHING)
    return [
        ("ran twice", history.History(calls=(call,), runs=(ran, twice))),
        ("refused but ran", history.History(calls=(refused,), runs=(ran,))),
        ("another's answer", history.History(calls=(other,), runs=(ran,))),
        ("a part only", history.History(calls=(part,), runs=(ran,))),
        ("never answered", history.History(calls=(silent,), runs=())),
        ("answer without run", history.History(calls=(call,), runs=())),
    ]


def found(made: history.History) -> bool:
    """Tells whether the checker objects to a history."""
    return bool(history.check(made))
