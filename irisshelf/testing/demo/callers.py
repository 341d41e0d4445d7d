"""Callers of the demo: returning chats, look-ups, calls that run once.

Every request carries a word of its own (its nonce), which the stand-ins
repeat. What a caller was told is kept and later held against the stand-ins'
record.
"""

from __future__ import annotations

import dataclasses
import enum
import json
import random
from collections.abc import Callable
from http import client as http_client
from typing import Any

import gevent
import geventhttpclient

from irisshelf import boottime
from irisshelf.testing.demo import layout

_TIMEOUT_S = 30.0
_TRIES = 5
_SHARED_WORDS = 700
_LOST = (OSError, http_client.HTTPException, ValueError)


class Told(enum.StrEnum):
    """What a caller was told in the end."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    CUT = "cut"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Story:
    """One request as its caller saw it."""

    nonce: str
    kind: str
    instance: str
    told: Told
    began_s: float
    ended_s: float
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reply:
    status: int
    outcome: str
    body: bytes
    retry_after_s: float = 1.0


class Callers:
    """Plays all callers.

    Args:
        plan: Addresses and keys.
        rng: Decides who asks what and when.
        ready: Returns the instances that the balancer would choose from.
    """

    def __init__(
        self,
        *,
        plan: layout.Layout,
        rng: random.Random,
        ready: Callable[[], list[layout.Instance]],
    ):
        self._plan = plan
        self._rng = rng
        self._ready = ready
        self._count = 0
        self.stories: list[Story] = []

    def chat(self, team: str, until_s: float) -> None:
        """Plays chats of one team that return after pauses."""
        while boottime.now() < until_s:
            messages = [self._shared(team)]
            for _ in range(self._rng.randint(3, 6)):
                if boottime.now() > until_s:
                    return
                self._turn(team, messages)
                gevent.sleep(self._rng.uniform(0.2, 2.0))

    def lookups(self, team: str, until_s: float) -> None:
        """Plays calls to the plain service that may be repeated."""
        while boottime.now() < until_s:
            path = f"/services/{self._plan.fleet.plain}"
            path += f"{self._plan.fleet.lookup_path}/{self._nonce()}"
            self._plain(team, "GET", path, key="")
            gevent.sleep(self._rng.uniform(0.1, 0.5))

    def once(self, team: str, until_s: float) -> None:
        """Plays calls that run at most once; some are asked twice at once."""
        while boottime.now() < until_s:
            key = self._nonce()
            path = f"/services/{self._plan.fleet.plain}"
            path += f"{self._plan.fleet.once_path}/{key}"
            twice = 1 + (self._rng.random() < 0.3)
            asked = [
                gevent.spawn(self._plain, team, "POST", path, key=key)
                for _ in range(twice)
            ]
            gevent.joinall(asked)
            gevent.sleep(self._rng.uniform(0.1, 0.5))

    def _nonce(self) -> str:
        self._count += 1
        return f"n{self._count}"

    def _shared(self, team: str) -> dict[str, str]:
        """The team's shared history: the same for all its chats."""
        text = " ".join(f"{team}-{i}" for i in range(_SHARED_WORDS))
        return {"role": "system", "content": text}

    def _turn(self, team: str, messages: list[dict[str, str]]) -> None:
        nonce = self._nonce()
        count = self._rng.randint(5, 60)
        messages.append({"role": "user", "content": f"{nonce} please"})
        body = {
            "model": self._plan.fleet.model,
            "messages": messages,
            "max_tokens": count,
            "stream": self._rng.random() < 0.7,
        }
        began_s = boottime.now()
        instance, reply = self._send(
            team, "POST", "/v1/chat/completions", json.dumps(body).encode(), {}
        )
        wanted = f"{nonce} " * count
        if body["stream"]:
            told, text = _judge_stream(reply, wanted)
        else:
            told, text = _judge_whole(reply, wanted)
        self._keep(nonce, "chat", instance, told, began_s, reply)
        messages.append({"role": "assistant", "content": text or wanted})

    def _plain(self, team: str, method: str, path: str, *, key: str) -> None:
        nonce = path.rpartition("/")[2]
        headers = {"Idempotency-Key": key} if key else {}
        began_s = boottime.now()
        for _ in range(_TRIES):
            instance, reply = self._send(team, method, path, b"", headers)
            told = _judge_plain(reply, nonce)
            if reply is None or reply.status != 409:
                break
            # The key is in use: ask again later, as the answer says.
            gevent.sleep(reply.retry_after_s)
        kind = "once" if key else "lookup"
        self._keep(nonce, kind, instance, told, began_s, reply)

    def _keep(
        self,
        nonce: str,
        kind: str,
        instance: str,
        told: Told,
        began_s: float,
        reply: _Reply | None,
    ) -> None:
        detail = ""
        if told is not Told.WHOLE and reply is not None:
            detail = f"{reply.status} {reply.body[-300:]!r}"
        self.stories.append(
            Story(
                nonce=nonce,
                kind=kind,
                instance=instance,
                told=told,
                began_s=began_s,
                ended_s=boottime.now(),
                detail=detail,
            )
        )

    def _send(
        self,
        team: str,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[str, _Reply | None]:
        """Sends as a balancer would: a refused connection goes elsewhere."""
        all_headers = {
            "Authorization": f"Bearer {self._plan.team_keys[team]}",
            **headers,
        }
        for _ in range(_TRIES):
            ready = self._ready()
            if not ready:
                gevent.sleep(0.1)
                continue
            instance = self._rng.choice(ready)
            try:
                return instance.name, _request(
                    instance.address, method, path, body, all_headers
                )
            except ConnectionRefusedError:
                continue
            except _LOST:
                return instance.name, None
        return "", _Reply(status=503, outcome="not_run", body=b"no instance")


def _request(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> _Reply:
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host,
        int(port),
        connection_timeout=_TIMEOUT_S,
        network_timeout=_TIMEOUT_S,
    )
    try:
        response = client.request(method, path, body=body, headers=headers)
        content = bytes(response.read())
        told = response.get("X-Outcome") or ""
        return _Reply(
            status=response.status_code,
            outcome=told,
            body=content,
            retry_after_s=float(response.get("Retry-After") or 1.0),
        )
    finally:
        client.close()


def _refused(reply: _Reply) -> Told:
    if reply.outcome == Told.NOT_RUN:
        return Told.NOT_RUN
    if reply.outcome == Told.UNKNOWN:
        return Told.UNKNOWN
    return Told.WRONG


def _judge_stream(reply: _Reply | None, wanted: str) -> tuple[Told, str]:
    if reply is None:
        return Told.CUT, ""
    if reply.status != 200:
        return _refused(reply), ""
    parts = []
    ended = False
    for event in reply.body.split(b"\n\n"):
        data = event.partition(b"data: ")[2]
        if event.startswith(b"event: error"):
            return Told.UNKNOWN, ""
        if data == b"[DONE]":
            ended = True
        elif data:
            chunk: Any = json.loads(data)
            parts.append(chunk["choices"][0]["delta"]["content"])
    text = "".join(parts)
    if not ended:
        return Told.CUT, ""
    return (Told.WHOLE if text == wanted else Told.WRONG), text


def _judge_whole(reply: _Reply | None, wanted: str) -> tuple[Told, str]:
    if reply is None:
        return Told.CUT, ""
    if reply.status != 200:
        return _refused(reply), ""
    document = json.loads(reply.body)
    text = document["choices"][0]["message"]["content"]
    return (Told.WHOLE if text == wanted else Told.WRONG), text


def _judge_plain(reply: _Reply | None, nonce: str) -> Told:
    if reply is None:
        return Told.CUT
    if reply.status != 200:
        return _refused(reply)
    document = json.loads(reply.body)
    right = document["path"].endswith(f"/{nonce}")
    return Told.WHOLE if right else Told.WRONG
