"""A stand-in for a backend server with model engines.

Speaks the engines' protocol (docs/notes/backend-protocol.md) and keeps its own
record of what ran, which a caller's story can be compared with. An answer
consists of words that repeat the last message's first word, so that a piece of
another caller's answer shows at once.
"""

from __future__ import annotations

import dataclasses
import json
import time
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import gevent
from gevent import event

from irisshelf.routing.owned import context
from irisshelf.testing import prefix_cache

RESUME_KEEP_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineConfig:
    """How a stand-in engine behaves.

    Attributes:
        token_s: Time to decode a token.
        prefill_tokens_per_s: Pace of uncached prompt tokens.
        cache_tokens: Size of the prefix cache.
        slots: Requests run at a time; more wait.
        prefill_weight: Work of an uncached prompt token.
    """

    token_s: float = 0.01
    prefill_tokens_per_s: float = 200_000.0
    cache_tokens: int = 200_000
    slots: int = 64
    prefill_weight: float = 0.1


@dataclasses.dataclass(kw_only=True, frozen=True)
class Run:
    """One attempt that an engine ran."""

    attempt_id: str
    engine: str
    nonce: str
    prompt_tokens: int
    cached_tokens: int
    started_s: float


class _Generation:
    """Tokens of one attempt, made in the background, read by any stream."""

    def __init__(self, *, attempt_id: str, events: list[bytes]):
        self.attempt_id = attempt_id
        self.generation_id = uuid.uuid4().hex
        self.events = events
        self.made = 0
        self.cancelled = False
        self.changed = event.Event()

    def wake(self) -> None:
        self.changed.set()
        self.changed.clear()


class FakeEngine:
    """One engine: a batch of running generations and a prefix cache.

    Args:
        name: The engine's name on its server.
        cfg: How it behaves.
    """

    def __init__(self, *, name: str, cfg: EngineConfig):
        self.name = name
        self.cfg = cfg
        self.cache = prefix_cache.PrefixCache(capacity_tokens=cfg.cache_tokens)
        self.runs: list[Run] = []
        self.orders: dict[str, dict[str, Any]] = {}
        self.fence = 0
        self.kv: dict[str, bytes] = {}
        self.running = 0
        self.waiting = 0
        self.cancelled = 0
        self.dead = False
        self._work = 0.0
        self._generations: dict[str, _Generation] = {}
        self._slot_free = event.Event()

    @property
    def work(self) -> float:
        """Outstanding work in tokens."""
        return max(0.0, self._work)

    def start(self, *, attempt_id: str, body: dict[str, Any]) -> _Generation:
        """Begins a generation; the same attempt id is never begun twice."""
        known = self._generations.get(attempt_id)
        if known is not None:
            return known
        messages = body["messages"]
        blocks = _blocks(messages)
        prompt = sum(block.tokens for block in blocks)
        cached = self.cache.match(blocks)
        self.cache.insert(blocks)
        nonce = str(messages[-1]["content"]).split(" ", 1)[0]
        count = int(body.get("max_tokens", 16))
        self.runs.append(
            Run(
                attempt_id=attempt_id,
                engine=self.name,
                nonce=nonce,
                prompt_tokens=prompt,
                cached_tokens=cached,
                started_s=time.time(),
            )
        )
        events = _events(attempt_id, nonce, count, prompt, cached)
        generation = _Generation(attempt_id=attempt_id, events=events)
        self._generations[attempt_id] = generation
        answer = {"role": "assistant", "content": f"{nonce} " * count}
        self.cache.insert(_blocks([*messages, answer]))
        gevent.spawn(self._decode, generation, prompt - cached, count)
        return generation

    def find(self, attempt_id: str) -> _Generation | None:
        """Returns a generation that can still be read."""
        return self._generations.get(attempt_id)

    def cancel(self, attempt_id: str) -> bool:
        """Stops a generation; tells whether it was there."""
        generation = self._generations.get(attempt_id)
        if generation is None:
            return False
        if generation.made < len(generation.events):
            self.cancelled += 1
        generation.cancelled = True
        generation.wake()
        return True

    def kill(self) -> None:
        """Dies: every stream is cut and nothing more is answered."""
        self.dead = True
        for generation in self._generations.values():
            generation.cancelled = True
            generation.wake()

    def _decode(self, generation: _Generation, uncached: int, count: int):
        weighed = uncached * self.cfg.prefill_weight
        self._work += weighed + count
        left = weighed + count
        self._take_slot()
        try:
            gevent.sleep(uncached / self.cfg.prefill_tokens_per_s)
            self._work -= weighed
            left -= weighed
            for made in range(1, len(generation.events) + 1):
                if generation.cancelled:
                    break
                gevent.sleep(self.cfg.token_s)
                generation.made = made
                if left >= 1:
                    self._work -= 1
                    left -= 1
                generation.wake()
        finally:
            self._work -= left
            self.running -= 1
            self._slot_free.set()
        gevent.sleep(RESUME_KEEP_S)
        self._generations.pop(generation.attempt_id, None)

    def _take_slot(self) -> None:
        self.waiting += 1
        while self.running >= self.cfg.slots:
            self._slot_free.clear()
            self._slot_free.wait()
        self.waiting -= 1
        self.running += 1


class FakeEngineServer:
    """A WSGI application: one backend server and its engines.

    Args:
        engines: Names of the engines.
        cfg: How each behaves.
        checks_fencing: Whether an order with an old number is refused.
    """

    def __init__(
        self,
        *,
        engines: tuple[str, ...],
        cfg: EngineConfig,
        checks_fencing: bool = True,
    ):
        self.engines = {
            name: FakeEngine(name=name, cfg=cfg) for name in engines
        }
        self.checks_fencing = checks_fencing
        self.draining = False
        self.started_while_draining = 0

    def __call__(self, environ: dict, start_response: Callable):
        """Serves one request."""
        path = environ["PATH_INFO"]
        if path == "/load":
            return _json(start_response, 200, self._load())
        if path == "/_runs":
            return _json(start_response, 200, self.record())
        if path == "/_drain":
            self.draining = True
            return _json(start_response, 200, {})
        parts = path.split("/")
        if len(parts) < 4 or parts[2] not in self.engines:
            return _json(start_response, 404, {"error": path})
        engine = self.engines[parts[2]]
        if parts[3] == "_kill":
            engine.kill()
        if engine.dead:
            headers = [("X-Not-Run", "1")]
            return _json(start_response, 503, {"error": "dead"}, headers)
        handler = getattr(self, f"_on_{parts[3]}", None)
        if handler is None:
            return _json(start_response, 404, {"error": path})
        return handler(engine, parts[4:], environ, start_response)

    def record(self) -> dict[str, Any]:
        """Returns the server's own record of what ran."""
        return {
            "draining": self.draining,
            "started_while_draining": self.started_while_draining,
            "runs": [
                dataclasses.asdict(run)
                for engine in self.engines.values()
                for run in engine.runs
            ],
        }

    def _load(self) -> dict[str, Any]:
        return {
            "draining": self.draining,
            "engines": {
                name: {
                    "work": engine.work,
                    "running": engine.running,
                    "waiting": engine.waiting,
                }
                for name, engine in self.engines.items()
                if not engine.dead
            },
        }

    def _on_v1(self, engine, rest, environ, start_response):
        if self.draining:
            headers = [("X-Not-Run", "1"), ("X-Draining", "1")]
            return _json(start_response, 503, {"error": "draining"}, headers)
        attempt_id = environ.get("HTTP_X_ATTEMPT_ID", "")
        body = json.loads(environ["wsgi.input"].read())
        generation = engine.start(attempt_id=attempt_id, body=body)
        return self._stream(engine, generation, 0, start_response)

    def _on_streams(self, engine, rest, environ, start_response):
        attempt_id = rest[0]
        if environ["REQUEST_METHOD"] == "DELETE":
            found = engine.cancel(attempt_id)
            return _json(start_response, 200, {"found": found})
        generation = engine.find(attempt_id)
        wanted = environ.get("HTTP_X_GENERATION", "")
        if generation is None or generation.generation_id != wanted:
            return _json(start_response, 404, {"error": "no such generation"})
        last = environ.get("HTTP_LAST_EVENT_ID", "").rpartition(":")[2]
        return self._stream(engine, generation, int(last) + 1, start_response)

    def _on_cache_events(self, engine, rest, environ, start_response):
        cache = engine.cache
        query = environ.get("QUERY_STRING", "")
        since = int(query.removeprefix("since=") or 0)
        kept = len(cache.added) + len(cache.evicted)
        first = max(since, cache.events - kept)
        document = {
            "first": first,
            "next": cache.events,
            "added": [f"{key:016x}" for key in cache.added],
            "evicted": [f"{key:016x}" for key in cache.evicted],
        }
        return _json(start_response, 200, document)

    def _on_orders(self, engine, rest, environ, start_response):
        order = json.loads(environ["wsgi.input"].read())
        if self.checks_fencing and order["fence"] < engine.fence:
            headers = [("X-Not-Run", "1")]
            error = {"error": f"fence is {engine.fence}"}
            return _json(start_response, 409, error, headers)
        engine.fence = max(engine.fence, order["fence"])
        engine.orders.setdefault(order["order_id"], order)
        return _json(start_response, 200, {})

    def _on_kv(self, engine, rest, environ, start_response):
        key = "/".join(rest)
        if environ["REQUEST_METHOD"] == "PUT":
            engine.kv[key] = environ["wsgi.input"].read()
            return _json(start_response, 200, {})
        if key not in engine.kv:
            return _json(start_response, 404, {"error": "not cached"})
        start_response("200 OK", [("Content-Type", "application/octet-stream")])
        return [engine.kv[key]]

    def _stream(self, engine, generation, first, start_response):
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                ("X-Attempt-Id", generation.attempt_id),
                ("X-Generation", generation.generation_id),
                ("X-Engine-Work", f"{engine.work:.1f}"),
            ],
        )
        return _read_events(generation, first)


def _read_events(generation: _Generation, first: int) -> Iterator[bytes]:
    position = first
    while position < len(generation.events):
        while generation.made <= position:
            if generation.cancelled:
                raise ConnectionAbortedError("the stream is cut")
            generation.changed.wait()
        yield b"".join(generation.events[position : generation.made])
        position = generation.made


def _events(
    attempt_id: str, nonce: str, count: int, prompt: int, cached: int
) -> list[bytes]:
    events = []
    for offset in range(count):
        chunk: dict[str, Any] = {
            "object": "chat.completion.chunk",
            "choices": [
                {"index": 0, "delta": {"content": f"{nonce} "}},
            ],
        }
        if offset == count - 1:
            chunk["choices"][0]["finish_reason"] = "stop"
            chunk["usage"] = {
                "prompt_tokens": prompt,
                "completion_tokens": count,
                "prompt_tokens_details": {"cached_tokens": cached},
            }
        data = json.dumps(chunk, separators=(",", ":"))
        events.append(f"id: {attempt_id}:{offset}\ndata: {data}\n\n".encode())
    events.append(f"id: {attempt_id}:{count}\ndata: [DONE]\n\n".encode())
    return events


def _blocks(messages: list[dict[str, Any]]) -> list[prefix_cache.Block]:
    blocks = []
    key = 0
    for message in messages:
        text = f"{message['role']}\n{message['content']}".encode()
        key = context.hash64(key.to_bytes(8, "big"), text)
        tokens = max(1, len(text) // context.BYTES_PER_TOKEN)
        blocks.append(prefix_cache.Block(key=key, tokens=tokens))
    return blocks


def _json(
    start_response: Callable,
    status: int,
    document: Any,
    headers: list[tuple[str, str]] | None = None,
) -> list[bytes]:
    body = json.dumps(document).encode()
    start_response(
        f"{status} Status",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *(headers or []),
        ],
    )
    return [body]
