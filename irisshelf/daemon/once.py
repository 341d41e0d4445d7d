"""Runs a call that may not be repeated under a claim."""

from __future__ import annotations

from collections.abc import Callable

from irisshelf.bundle import schema
from irisshelf.coordination import claim
from irisshelf.daemon import http
from irisshelf.daemon import node
from irisshelf.observe import timeline
from irisshelf.routing import outcome
from irisshelf.routing.owned import retry

MAX_RECORDED_BYTES = 16_384
_REPLAYED = ("Idempotency-Replayed", "true")


class ClaimReport:
    """Tells what became of the call that a claim was made for.

    The call says exactly one of ``ran`` and ``did_not_run``, or neither if
    nobody knows.
    """

    def __init__(self, *, nd: node.Node, granted: claim.Granted | None):
        self._nd = nd
        self._granted = granted

    def ran(self, status: int, content_type: str, body: bytes) -> None:
        """The call ran; keep its answer for repeats.

        One too long to keep is left out whole: a repeat is then told
        ``unknown`` rather than given a piece of the answer.
        """
        if self._granted is None or len(body) > MAX_RECORDED_BYTES:
            return
        self._nd.claims.record(
            self._granted,
            claim.RecordedOutcome(
                status=status,
                content_type=content_type,
                body=body.decode("latin-1"),
            ),
        )

    def did_not_run(self) -> None:
        """The call did not run and will not; a repeat may."""
        if self._granted is not None:
            self._nd.claims.release(self._granted)


def run(
    nd: node.Node,
    *,
    row: str,
    without_platform: schema.WithoutPlatform,
    start_response: http.StartResponse,
    call: Callable[[ClaimReport], list[bytes]],
) -> list[bytes]:
    """Claims a row and, if that is granted, makes the call.

    Args:
        nd: This instance.
        row: The claim's row.
        without_platform: What to do if no claim can be made.
        start_response: Begins the HTTP answer.
        call: Makes the call and answers.

    Returns:
        The HTTP answer: the call's, or that of an earlier run of the same
        key, or a refusal.
    """
    decided = nd.claims.claim(row)
    nd.timeline.add(
        timeline.Kind.CLAIM, detail=f"{type(decided).__name__.lower()} {row}"
    )
    if isinstance(decided, claim.Granted):
        return call(ClaimReport(nd=nd, granted=decided))
    if isinstance(decided, claim.Duplicate):
        return _replay(decided, start_response)
    if without_platform is schema.WithoutPlatform.RUN_UNCLAIMED:
        return call(ClaimReport(nd=nd, granted=None))
    refusal = outcome.Refusal(
        outcome=outcome.Outcome.NOT_RUN,
        cause=outcome.Cause.NO_CLAIM,
        retry_after_s=retry.RETRY_AFTER_S,
        detail=decided.detail,
    )
    return http.answer_refusal(start_response, refusal)


def _replay(
    decided: claim.Duplicate, start_response: http.StartResponse
) -> list[bytes]:
    recorded = decided.recorded
    if recorded is not None:
        return http.answer_bytes(
            start_response,
            recorded.status,
            recorded.body.encode("latin-1"),
            recorded.content_type,
            [_REPLAYED],
        )
    refusal = outcome.Refusal(
        outcome=outcome.Outcome.UNKNOWN,
        cause=outcome.Cause.DUPLICATE,
        retry_after_s=retry.RETRY_AFTER_S,
        detail="the key was used before; its outcome is not recorded (yet)",
    )
    return http.answer_refusal(start_response, refusal)
