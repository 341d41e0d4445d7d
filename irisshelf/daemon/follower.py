"""Brings the fleet's bundle into force on this instance."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from collections.abc import Mapping

import gevent
import pydantic
import result

from irisshelf.bundle import canonical
from irisshelf.bundle import check
from irisshelf.bundle import envelope
from irisshelf.bundle import errors as bundle_errors
from irisshelf.bundle import schema
from irisshelf.bundle import signing
from irisshelf.charts import chart
from irisshelf.coordination import head
from irisshelf.observe import log
from irisshelf.observe import timeline
from irisshelf.store import errors
from irisshelf.store import interface

_JITTER = 0.2


class Follower:
    """Polls the bundle head, fetches, verifies and puts in force.

    Args:
        platform: Where head and bundles are.
        keys: The settings' entitled public keys by name.
        required: Signatures that the settings require.
        poll_s: Time between looks at the head.
        rng: Spreads the looks of many instances.
        events: The time line.
        adopt: Called with each bundle that comes into force.
    """

    def __init__(
        self,
        *,
        platform: interface.Platform,
        keys: Mapping[str, str],
        required: int,
        poll_s: float,
        rng: random.Random,
        events: timeline.Timeline,
        adopt: Callable[[schema.Bundle], None],
    ):
        self._platform = platform
        self._keys = keys
        self._required = required
        self._poll_s = poll_s
        self._rng = rng
        self._events = events
        self._adopt = adopt
        self._follower = head.Follower()
        self._chart = chart.load("bundle_roll")
        self._state = self._chart.initial
        self._sections: dict[str, bytes] = {}
        self._bundle: schema.Bundle | None = None
        self._head_in_force: head.Head | None = None
        self._envelope = b""
        self._from_peers: Callable[[str], bytes | None] = lambda key: None
        self._log: logging.Logger = log.get("bundle")
        self.platform_up = False
        self.fetched_bytes = 0

    @property
    def state(self) -> str:
        """Where the latest bundle stands, as in ``charts/bundle_roll.json``."""
        return self._state

    @property
    def in_force(self) -> int:
        """Number of the bundle in force; 0 for none."""
        return self._follower.in_force

    @property
    def head_in_force(self) -> head.Head | None:
        """The head of the bundle in force."""
        return self._head_in_force

    def set_from_peers(self, fetch: Callable[[str], bytes | None]) -> None:
        """Sets how objects are fetched from other instances."""
        self._from_peers = fetch

    def held(self, key: str) -> bytes | None:
        """Returns an object of the bundle in force, for other instances."""
        wanted = self._head_in_force
        if wanted is not None and key == wanted.object_key:
            return canonical.compress(self._envelope)
        digest = key.removeprefix(envelope.SECTION_PREFIX)
        data = self._sections.get(digest)
        return None if data is None else canonical.compress(data)

    @property
    def bundle(self) -> schema.Bundle | None:
        """The bundle in force."""
        return self._bundle

    def run(self) -> None:
        """Follows the head for ever."""
        while True:
            self.look()
            jitter = 1 + self._rng.uniform(-_JITTER, _JITTER)
            gevent.sleep(self._poll_s * jitter)

    def look(self) -> None:
        """Reads the head once and goes after it."""
        row = self._platform.read(head.ROW)
        self.platform_up = not (
            row.is_err() and isinstance(row.err_value, errors.Unavailable)
        )
        if isinstance(row, result.Err):
            return
        seen = head.decode(row.ok_value.value)
        if seen is None:
            self._log.error("head row is malformed")
            return
        self.see(seen)

    def see(self, seen: head.Head) -> None:
        """Goes after a head, whoever told of it."""
        if not self._follower.observe(seen):
            return
        if self._chart.has_tag(self._state, "busy"):
            return
        self._move("see")
        self._go_after(self._follower.pending or seen)

    def _go_after(self, wanted: head.Head) -> None:
        fetched = self._fetch(wanted)
        if fetched is None:
            self._move("fetch_failed")
            return
        self._move("fetched")
        opened = self._verify(wanted, *fetched)
        if isinstance(opened, result.Err):
            self._refuse(wanted, str(opened.err_value))
            return
        self._put_in_force(wanted, opened.ok_value, *fetched)

    def _fetch(
        self, wanted: head.Head
    ) -> tuple[envelope.Envelope, dict[str, bytes]] | None:
        """Fetches an envelope and those sections that are not at hand."""
        packed = self._object(wanted.object_key)
        if packed is None:
            return None
        raw = canonical.decompress(packed)
        sealed = check.parse(raw or b"", model=envelope.Envelope)
        if isinstance(sealed, result.Err):
            empty = _no_envelope(wanted.number)
            return empty, {}
        sections = {}
        for name, digest in sealed.ok_value.manifest.sections.items():
            data = self._section(digest)
            if data is None:
                return None
            sections[name] = data
        return sealed.ok_value, sections

    def _section(self, digest: str) -> bytes | None:
        """Returns a section; one that is damaged is empty and will not do."""
        if digest in self._sections:
            return self._sections[digest]
        packed = self._object(envelope.section_key(digest))
        return None if packed is None else canonical.decompress(packed) or b""

    def _object(self, key: str) -> bytes | None:
        """Fetches an object from the platform, or else from a peer."""
        found = self._platform.get_object(key)
        if isinstance(found, result.Ok):
            data = found.ok_value
        else:
            data = self._from_peers(key)
        if data is not None:
            self.fetched_bytes += len(data)
        return data

    def _verify(
        self,
        wanted: head.Head,
        sealed: envelope.Envelope,
        sections: dict[str, bytes],
    ) -> result.Result[
        schema.Bundle, bundle_errors.SchemaError | bundle_errors.SignatureError
    ]:
        if sealed.manifest.number != wanted.number:
            return result.Err(_mismatch(wanted, sealed))
        keys, required = self._entitled()
        signed = signing.verify(sealed, keys=keys, required=required)
        if isinstance(signed, result.Err):
            return signed
        return envelope.assemble_bundle(sealed, sections)

    def _entitled(self) -> tuple[dict[str, str], int]:
        """Keys that both the settings and the bundle in force entitle."""
        if self._bundle is None:
            return dict(self._keys), self._required
        signers = self._bundle.signers
        keys = {
            name: key
            for name, key in self._keys.items()
            if signers.keys.get(name) == key
        }
        return keys, max(self._required, signers.required)

    def _put_in_force(
        self,
        wanted: head.Head,
        bundle: schema.Bundle,
        sealed: envelope.Envelope,
        sections: dict[str, bytes],
    ) -> None:
        if not self._follower.adopt(bundle.number):
            self._move("refused")
            return
        self._bundle = bundle
        self._head_in_force = wanted
        self._sections = {
            sealed.manifest.sections[name]: data
            for name, data in sections.items()
        }
        self._envelope = envelope.encode(sealed)
        self._move("verified")
        self._adopt(bundle)
        self._events.add(timeline.Kind.BUNDLE, bundle=bundle.number)
        self._log.info("bundle in force", extra={"bundle": bundle.number})

    def _refuse(self, wanted: head.Head, why: str) -> None:
        self._move("refused")
        self._follower.reject(wanted)
        self._events.add(
            timeline.Kind.BUNDLE, bundle=wanted.number, detail=f"refused: {why}"
        )
        self._log.error(
            "bundle refused", extra={"bundle": wanted.number, "why": why}
        )

    def _move(self, event: str) -> None:
        self._state = self._chart.step(self._state, event).unwrap()


def _mismatch(wanted: head.Head, sealed: envelope.Envelope):
    return bundle_errors.SignatureError(
        problem=bundle_errors.SignatureProblem.MALFORMED,
        detail=(
            f"envelope has number {sealed.manifest.number},"
            f" the head says {wanted.number}"
        ),
    )


def _no_envelope(number: int) -> envelope.Envelope:
    """Stands for an object that is no envelope; it has no signature."""
    try:
        manifest = envelope.Manifest(
            format=schema.FORMAT, number=number, sections={"root": "0" * 64}
        )
    except pydantic.ValidationError:
        manifest = envelope.Manifest(
            format=schema.FORMAT, number=1, sections={"root": "0" * 64}
        )
    return envelope.Envelope(manifest=manifest)
