"""Messages about reservations of returning callers, as datagrams."""

from __future__ import annotations

from typing import Annotated

import msgspec

from irisshelf.gateway.knowledge import datagrams as datagrams_module
from irisshelf.overload import reservations
from irisshelf.overload import returns
from irisshelf.routing import fingerprints

_REMAINING_BYTES = 4
RECORD_BYTES = fingerprints.CONTENT_BYTES + _REMAINING_BYTES
MAX_REMAINING_MS = int(returns.MAX_AHEAD_S * 1000)
NUMBER_BITS = 32
# IP and UDP headers.
HEADER_BYTES = 28

_Number = Annotated[int, msgspec.Meta(ge=0, lt=2**NUMBER_BITS)]
_RemainingMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_REMAINING_MS)]


class Places(msgspec.Struct, array_like=True):
    """Reservations.

    Attributes:
        records: Fingerprints, each followed by the time until it is due in ms.
    """

    records: bytes


class Question(msgspec.Struct, array_like=True, tag=0):
    """Asks a holder for a reservation, and uses it if it is due.

    Attributes:
        number: Repeated in the answer; random, so that answers cannot be forged
            blindly.
        fingerprint: Fingerprint of the caller's request.
        address: Address to which the answer is to be sent.
    """

    number: _Number
    fingerprint: bytes
    address: str

    def __post_init__(self):
        if len(self.fingerprint) != fingerprints.CONTENT_BYTES:
            raise ValueError(
                f"fingerprint has {len(self.fingerprint)} bytes, "
                f"allowed: {fingerprints.CONTENT_BYTES}"
            )
        datagrams_module.check_address(self.address)


class Answer(msgspec.Struct, array_like=True, tag=1):
    """Answers a question.

    Attributes:
        number: That of the question.
        state: What is known of the reservation.
        remaining_ms: Time until it is due.
    """

    number: _Number
    state: reservations.State
    remaining_ms: _RemainingMs


def milliseconds(remaining_s: float) -> int:
    """Returns the time until a reservation is due as it is sent."""
    return min(max(0, round(remaining_s * 1000)), MAX_REMAINING_MS)


def encode_record(fingerprint: bytes, remaining_ms: int) -> bytes:
    """Returns one of the records of ``Places``.

    Args:
        fingerprint: Fingerprint of the caller's request.
        remaining_ms: Time until the reservation is due, in milliseconds.
    """
    return fingerprint + remaining_ms.to_bytes(_REMAINING_BYTES)


def decode_records(records: bytes) -> list[tuple[bytes, int]]:
    """Returns fingerprints and the times until they are due in ms.

    Raises:
        ValueError: There is no record, one is incomplete, or a time is too
            long.
    """
    if not records or len(records) % RECORD_BYTES:
        raise ValueError(
            f"records has {len(records)} bytes, "
            f"allowed: multiples of {RECORD_BYTES}"
        )
    found = []
    for begin in range(0, len(records), RECORD_BYTES):
        record = records[begin : begin + RECORD_BYTES]
        fingerprint = record[: fingerprints.CONTENT_BYTES]
        remaining_ms = int.from_bytes(record[fingerprints.CONTENT_BYTES :])
        if remaining_ms > MAX_REMAINING_MS:
            raise ValueError(
                f"remaining time is {remaining_ms} ms, "
                f"allowed: at most {MAX_REMAINING_MS}"
            )
        found.append((fingerprint, remaining_ms))
    return found
