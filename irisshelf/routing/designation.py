"""The one server, or instance, that deals with a suspect request.

All instances designate the same one from the same list, without coordination.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

from irisshelf.routing import crash_evidence


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DesignatedServer:
    """The server that a suspect request may be sent to.

    Attributes:
        server: The server; None if there is none.
        uncertain: Whether the request may already have crashed so many servers
            that no other one must be put at risk.
    """

    server: str | None = None
    uncertain: bool = False


def designate_server(
    fingerprint: bytes,
    servers: Sequence[str],
    *,
    crashed: Collection[str] = (),
    recently_gone: Collection[str] = (),
    crash_count: int = 0,
) -> DesignatedServer:
    """Returns the only server that a suspect request may be sent to.

    If that server has just exited, a copy of the request sent by another
    instance may have crashed it and the message about the crash may still be in
    transit. Until such a message can no longer arrive, the exit is
    counted as one more crash.

    Args:
        fingerprint: The request fingerprint.
        servers: Candidates, including those that have recently exited.
        crashed: Servers that crashed while they processed the request. They may
            have restarted, but a crash of a different server is stronger
            evidence, so that they are used only if there is no other candidate.
        recently_gone: Servers whose process has exited a short time ago.
        crash_count: Number of recorded crashes.
    """
    candidates = [name for name in servers if name not in crashed]
    eligible = [
        name for name in candidates or servers if name not in recently_gone
    ]
    best = max(
        eligible, key=lambda name: _rank(fingerprint, name), default=None
    )
    best_rank = b"" if best is None else _rank(fingerprint, best)
    presumed = sum(
        name in recently_gone and _rank(fingerprint, name) > best_rank
        for name in candidates
    )
    if presumed and crash_count + presumed >= crash_evidence.CRASHES_TO_BAR:
        return DesignatedServer(uncertain=True)
    return DesignatedServer(server=best)


def designate_instance(
    fingerprint: bytes, instances: Iterable[tuple[str, str]]
) -> str:
    """Returns the only instance that may try whether a bar is still needed.

    An instance knows all others of its own data centre but only some of each
    other one, so that the data centre is chosen first.

    Args:
        fingerprint: What is barred.
        instances: Data centre and name of each known instance, the own one
            included.

    Example:
        >>> designate_instance(b"f", [("a", "a-1"), ("a", "a-2"), ("b", "b-1")])
        'b-1'
    """
    names: dict[str, list[str]] = {}
    for data_centre, name in instances:
        names.setdefault(data_centre, []).append(name)
    if not names:
        return ""
    chosen = max(names, key=lambda name: _rank(fingerprint, name))
    return max(names[chosen], key=lambda name: _rank(fingerprint, name))


def _rank(fingerprint: bytes, name: str) -> bytes:
    return hashlib.blake2b(
        name.encode(), key=fingerprint, digest_size=8
    ).digest()
