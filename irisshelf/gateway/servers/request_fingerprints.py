"""The fingerprints of a request; see ``routing.fingerprints``."""

from __future__ import annotations

from irisshelf.gateway import messages
from irisshelf.routing import crash_suspects
from irisshelf.routing import fingerprints

# Parts of a prompt that are looked at; those after them are the cause of a
# crash only as far as the whole content of the request is.
_MAX_PARTS = 512

RequestKey = tuple[str, str, str, bytes]


def request_key(job: messages.Job) -> RequestKey:
    """Returns what all repeats of a request have in common."""
    inbound = job.inbound
    return (job.team, inbound.method, inbound.target, inbound.body)


def content(job: messages.Job) -> bytes:
    """Returns the fingerprint of the whole content; hashes the body."""
    return fingerprints.request_fingerprint(*request_key(job))


def parts(job: messages.Job) -> list[bytes]:
    """Returns the fingerprints of the shared parts of the prompt."""
    shared = job.head.prompt.shared[:_MAX_PARTS]
    return [
        fingerprints.part_fingerprint(job.service, part.part_id)
        for part in shared
    ]


def part_id(job: messages.Job, fingerprint: bytes) -> str:
    """Returns the id of the part that has a fingerprint; empty if none has."""
    for part in job.head.prompt.shared:
        found = fingerprints.part_fingerprint(job.service, part.part_id)
        if found == fingerprint:
            return part.part_id
    return ""


def possibly_suspect(
    job: messages.Job, suspects: crash_suspects.CrashSuspects
) -> list[bytes]:
    """Returns the fingerprints of a request that may be suspect.

    The body is hashed only if team, method, path and length match a suspect
    request, as hashing a long body blocks the event loop.
    """
    found = parts(job)
    inbound = job.inbound
    prefix = fingerprints.fingerprint_prefix(
        job.team, inbound.method, inbound.target, len(inbound.body)
    )
    if suspects.has_prefix(prefix):
        found.append(content(job))
    return found
