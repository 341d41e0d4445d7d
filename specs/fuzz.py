"""Fuzzing of every input that comes from outside.

Valid inputs are mutated byte by byte and value by value. A crash is any
exception that the code under test does not turn into its own error.
"""

from __future__ import annotations

import dataclasses
import json
import random
from collections.abc import Callable
from typing import Any

import cbor2
import result

from irisshelf.bundle import check
from irisshelf.bundle import envelope
from irisshelf.bundle import schema
from irisshelf.coordination import claim
from irisshelf.coordination import gossip_messages
from irisshelf.coordination import head
from irisshelf.coordination import lease
from irisshelf.daemon import completion
from irisshelf.daemon import settings
from irisshelf.observe import timeline
from irisshelf.peers import relay_messages
from irisshelf.routing.owned import context
from irisshelf.routing.owned import stream
from irisshelf.store import messages
from irisshelf.testing import harness
from irisshelf.testing import platform as fake_platform

_TEAM_KEY = "key-of-a-team"
_ODD = (
    None, True, -1, 2**70, 1.5, float("nan"), "", "\x00", "a" * 500, [], {},
    [[]], {"a": {}}, b"\xff", "\ud800",
)  # fmt: skip


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crash:
    """An input that broke something."""

    target: str
    data: str
    error: str


def mutate_bytes(data: bytes, rng: random.Random) -> bytes:
    """Changes, drops, doubles or inserts some bytes."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(changed) + 1)
        kind = rng.randrange(4)
        if kind == 0 and place < len(changed):
            changed[place] = rng.randrange(256)
        elif kind == 1:
            del changed[place : place + rng.randint(1, 8)]
        elif kind == 2:
            changed[place:place] = changed[place : place + rng.randint(1, 16)]
        else:
            changed[place:place] = rng.randbytes(rng.randint(1, 8))
    return bytes(changed)


def mutate_value(value: Any, rng: random.Random) -> Any:
    """Changes one thing somewhere in a nested value."""
    if rng.random() < 0.15:
        return rng.choice(_ODD)
    if isinstance(value, dict) and value:
        key = rng.choice(list(value))
        changed = dict(value)
        if rng.random() < 0.15:
            del changed[key]
        else:
            changed[key] = mutate_value(value[key], rng)
        return changed
    if isinstance(value, list | tuple) and value:
        place = rng.randrange(len(value))
        changed = list(value)
        changed[place] = mutate_value(value[place], rng)
        return changed
    return rng.choice(_ODD)


def _json(value: Any) -> bytes:
    return json.dumps(value, default=repr).encode("utf-8", "surrogatepass")


def _cbor(value: Any) -> bytes:
    try:
        return cbor2.dumps(value)
    except (cbor2.CBORError, UnicodeError):
        return b"\x80"


class Fuzzer:
    """Runs all targets.

    Args:
        rng: Decides.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self.inputs = 0
        self.crashes: list[Crash] = []
        self._instance = _instance()

    def run(self, rounds: int) -> None:
        """Feeds each target this many inputs."""
        targets: dict[str, Callable[[], None]] = {
            "bundle": self._bundle,
            "settings": self._settings,
            "envelope": self._envelope,
            "gossip": self._gossip,
            "relay": self._relay,
            "stream": self._stream,
            "chat body": self._chat_body,
            "headers": self._headers,
            "table rows": self._rows,
            "stamps": self._stamps,
        }
        for _ in range(rounds):
            for name, target in targets.items():
                self._one(name, target)

    def _one(self, name: str, target: Callable[[], None]) -> None:
        self.inputs += 1
        self._data: Any = None
        try:
            target()
        except Exception as exc:
            self.crashes.append(
                Crash(target=name, data=repr(self._data)[:300], error=repr(exc))
            )

    def _text(self, document: Any) -> bytes:
        if self._rng.random() < 0.5:
            self._data = mutate_bytes(_json(document), self._rng)
        else:
            self._data = _json(mutate_value(document, self._rng))
        return self._data

    def _coded(self, encoded: bytes) -> bytes:
        if self._rng.random() < 0.5:
            self._data = mutate_bytes(encoded, self._rng)
        else:
            items = cbor2.loads(encoded)
            self._data = _cbor(mutate_value(items, self._rng))
        return self._data

    def _bundle(self) -> None:
        check.parse(self._text(_bundle()), model=schema.Bundle)

    def _settings(self) -> None:
        check.parse(self._text(_settings()), model=settings.Settings)

    def _envelope(self) -> None:
        bundle = schema.Bundle.model_validate(_bundle())
        sealed, sections = envelope.create(bundle)
        text = self._text(sealed.model_dump())
        parsed = check.parse(text, model=envelope.Envelope)
        if isinstance(parsed, result.Ok):
            envelope.assemble_bundle(parsed.ok_value, sections)

    def _gossip(self) -> None:
        gossip_messages.decode(self._coded(_GOSSIP))

    def _relay(self) -> None:
        relay_messages.decode(self._coded(_RELAY))

    def _stream(self) -> None:
        checker = stream.StreamChecker(attempt_id="a", next_offset=3)
        event = b'id: a:3\ndata: {"choices":[{"delta":{"content":"x"}}]}\n\n'
        self._data = mutate_bytes(event, self._rng)
        checker.check(self._data)
        completion.usage_of(self._data)
        completion.assemble([self._data], request_id="r", model="m")

    def _chat_body(self) -> None:
        body = {
            "model": "lm",
            "messages": [
                {"role": "system", "content": "history"},
                {"role": "user", "content": [{"type": "text", "text": "x"}]},
            ],
            "max_tokens": 5,
            "stream": False,
            "prompt_cache_key": "chat",
        }
        self._call("POST", "/v1/chat/completions", self._text(body), {})

    def _headers(self) -> None:
        name = self._rng.choice(
            ("Authorization", "Idempotency-Key", "Content-Type", "X-Odd")
        )
        value = mutate_bytes(b"Bearer abc", self._rng).decode("latin-1")
        path = mutate_bytes(b"/services/crew/x?y=z", self._rng)
        self._data = (name, value, path)
        self._call("GET", path.decode("latin-1"), b"", {name: value})

    def _call(self, method, path, body, headers) -> None:
        """Every answer is whole and, if it refuses, typed."""
        got = self._instance.call(
            method, path, key=_TEAM_KEY, body=body, headers=headers
        )
        refused = got.status >= 400
        if refused and got.outcome not in ("not_run", "unknown"):
            raise AssertionError(f"{got.status} without outcome")
        if got.status == 500:
            raise AssertionError(got.body[:200])

    def _rows(self) -> None:
        value = mutate_value(
            {"id": "x", "state": "done", "outcome": {"status": 200}}, self._rng
        )
        self._data = value
        row = messages.Row(key="row", value=value, version=1)
        made = claim.Claim(row="row", claim_id="c")
        claim.after_read(made, result.Ok(row))
        head.decode(value)
        state = lease.initial_state(name="a", data_centre="d")
        lease.observe(state, result.Ok(row), 1.0)

    def _stamps(self) -> None:
        text = mutate_bytes(b"12.5 3 espoo-a-1", self._rng).decode("latin-1")
        self._data = text
        self._instance.node.timeline.receive_stamp(text)
        event = timeline.encode(
            self._instance.node.timeline.add(timeline.Kind.REQUEST)
        )
        document = mutate_value(event, self._rng)
        try:
            timeline.decode(document)
        except ValueError:
            pass


def _bundle() -> dict[str, Any]:
    return {
        "format": 1,
        "number": 1,
        "signers": {"required": 1, "keys": {"anna": "A" * 43 + "="}},
        "data_centres": {"here": {"region": "here"}},
        "services": {"lm": {"kind": "model"}, "crew": {"kind": "plain"}},
        "backend_servers": {
            # Nothing listens there: a call that gets so far is refused.
            "s0": {
                "service": "lm",
                "data_centre": "here",
                "address": "127.0.0.1:1",
                "engines": ["e0"],
            },
            "s1": {
                "service": "crew",
                "data_centre": "here",
                "address": "127.0.0.1:1",
            },
        },
        "teams": {
            "t": {
                "key_sha256": (
                    "5a9a1ba1a38ae5ee0ac33d6d4ed9cf6dd7ef9e3ba6e1c2d6b0b6d9a1"
                    "aaaaaaaa"
                )
            }
        },
    }


def _settings() -> dict[str, Any]:
    return {
        "instance": "here-1",
        "data_centre": "here",
        "listen": "127.0.0.1:8000",
        "admin_listen": "127.0.0.1:8001",
        "platform": {"address": "127.0.0.1:7000"},
        "operators": {"keys": {"anna": {"value": "A" * 43 + "="}}},
        "peers": {
            "link_listen": "127.0.0.1:8002",
            "relay_listen": "127.0.0.1:8003",
            "secret": {"env": "SECRET"},
        },
    }


def _instance() -> harness.Instance:
    import hashlib

    document = _bundle()
    hashed = hashlib.sha256(_TEAM_KEY.encode()).hexdigest()
    document["teams"] = {"t": {"key_sha256": hashed}}
    return harness.Instance(
        name="here-1",
        platform=fake_platform.FakePlatform(
            clock=lambda: 0.0, rng=random.Random(1)
        ),
        bundle=schema.Bundle.model_validate(document),
    )


_GOSSIP = gossip_messages.encode(
    gossip_messages.Message(
        version=gossip_messages.VERSION,
        sender="a",
        data_centre="here",
        wants_reply=True,
        head=gossip_messages.HeadHint(number=3, object_key="bundles/3"),
        records=(
            gossip_messages.InstanceRecord(
                name="a",
                incarnation=5,
                heartbeat=7,
                leaving=False,
                loads=(
                    gossip_messages.Load(
                        service="lm", work=10.0, engines=2, full_engines=(1,)
                    ),
                ),
            ),
        ),
        summaries=(
            gossip_messages.LoadSummary(
                data_centre="there", age_s=1.0, loads=()
            ),
        ),
    )
)
_RELAY = relay_messages.encode(
    relay_messages.Request(
        request_id="r",
        service="lm",
        priority="normal",
        context=context.Context(
            shared_key=1,
            chat_key=2,
            shared_tokens=3,
            chat_tokens=4,
            new_tokens=5,
            decode_tokens=6,
        ),
        limit=7,
        body=b"{}",
        avoid=("s0/e0",),
        hops=1,
        left_s=2.0,
        repeatable=True,
    )
)
