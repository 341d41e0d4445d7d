"""A bundle of the coming size: bytes, and what a change costs an instance."""

from __future__ import annotations

import gc
import json
import pathlib
import random
import time
from collections.abc import Callable
from typing import Any

from irisshelf.bundle import canonical
from irisshelf.bundle import envelope
from irisshelf.bundle import schema
from irisshelf.bundle import signing
from irisshelf.routing.owned import health
from irisshelf.routing.owned import ownership
from irisshelf.routing.owned import service

SERVERS = 1_200
ENGINES = 9_300
TEAMS = 3_900
MODELS = 7
DATA_CENTRES = 14
REGIONS = 6
INSTANCES = 400
CHANGES_PER_DAY = 3_800
INSTANCE_CHANGES_PER_DAY = 2 * 370
_DAY_S = 86_400
_TIMES = 5


def document(key: str, *, share: float = 1.0) -> dict[str, Any]:
    """Returns a bundle of the coming size as decoded JSON."""
    per_server = -(-ENGINES // SERVERS)
    places = [f"dc-{i}" for i in range(DATA_CENTRES)]
    servers = {}
    left = ENGINES
    for i in range(SERVERS):
        count = min(per_server, left - (SERVERS - i - 1))
        left -= count
        servers[f"server-{i}"] = {
            "service": f"model-{i % MODELS}",
            "data_centre": places[i % DATA_CENTRES],
            "address": f"10.0.{i // 250}.{i % 250}:8000",
            "engines": [f"e{n}" for n in range(count)],
        }
    teams = {
        f"team-{i}": {"key_sha256": f"{i:064x}", "share": 1.0}
        for i in range(TEAMS)
    }
    teams["team-7"]["share"] = share
    return {
        "format": 1,
        "number": 1,
        "signers": {"keys": {"anna": key}},
        "data_centres": {
            p: {"region": f"region-{i % REGIONS}"} for i, p in enumerate(places)
        },
        "services": {f"model-{i}": {"kind": "model"} for i in range(MODELS)},
        "backend_servers": servers,
        "teams": teams,
    }


def measure() -> dict[str, float]:
    """Returns the figures of the last line."""
    private_pem = signing.generate_key()
    key = signing.public_key(private_pem)
    before = _rss_mb()
    bundle = schema.Bundle.model_validate(document(key))
    sealed, sections = envelope.create(bundle)
    sealed = signing.sign(sealed, name="anna", private_pem=private_pem)
    changed, changed_sections = envelope.create(
        schema.Bundle.model_validate(document(key, share=2.0))
    )
    new = [
        changed_sections[name]
        for name, digest in changed.manifest.sections.items()
        if sealed.manifest.sections.get(name) != digest
    ]
    parts = [envelope.encode(changed), *new]
    change_bytes = sum(len(canonical.compress(part)) for part in parts)
    open_s = _median(lambda: _open(sealed, sections, key))
    routers = _routers()
    configure_s = _median(lambda: _configure(routers, bundle))
    owners_s = _median(lambda: _own(routers))
    gc.collect()
    per_s = CHANGES_PER_DAY / _DAY_S
    lives_per_s = INSTANCE_CHANGES_PER_DAY / _DAY_S
    busy = (open_s + configure_s) * per_s + owners_s * lives_per_s
    return {
        "bundle_bytes": float(sum(map(len, sections.values()))),
        "bundle_change_bytes": float(change_bytes),
        "bundle_change_bytes_per_s": change_bytes * per_s,
        "bundle_open_ms": open_s * 1e3,
        "bundle_configure_ms": configure_s * 1e3,
        "owners_ms": owners_s * 1e3,
        "bundle_cpu_share": busy,
        "bundle_rss_mb": _rss_mb() - before,
    }


def _open(
    sealed: envelope.Envelope, sections: dict[str, bytes], key: str
) -> None:
    signing.verify(sealed, keys={"anna": key}, required=1).unwrap()
    envelope.assemble_bundle(sealed, sections).unwrap()


def _routers() -> list[service.ServiceRouter]:
    tracker = health.HealthTracker()
    return [
        service.ServiceRouter(
            name=f"model-{i}", health_tracker=tracker, rng=random.Random(1)
        )
        for i in range(MODELS)
    ]


def _configure(
    routers: list[service.ServiceRouter], bundle: schema.Bundle
) -> None:
    for router in routers:
        router.configure(bundle=bundle, instances=INSTANCES, now=0.0)


def _own(routers: list[service.ServiceRouter]) -> None:
    live = [
        ownership.Candidate(name=f"i-{i}", data_centre=f"dc-{i % DATA_CENTRES}")
        for i in range(INSTANCES)
    ]
    for router in routers:
        engines = {t.name: t.data_centre for t in router.targets}
        owners = ownership.OwnershipMap(engines=engines, instances=live)
        router.set_owners(owners, instance="i-0")


def _median(run: Callable[[], None]) -> float:
    taken = []
    for _ in range(_TIMES):
        began = time.process_time()
        run()
        taken.append(time.process_time() - began)
    return sorted(taken)[_TIMES // 2]


def _rss_mb() -> float:
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


if __name__ == "__main__":
    print(json.dumps(measure()))
