"""Holds what callers were told against what the stand-ins ran."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Sequence
from typing import Any

from irisshelf.testing.demo import callers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """The demo's counts; the field names are those of its last line."""

    requests: int
    whole: int
    not_run: int
    unknown: int
    cut_by_kill: int
    wrong: int
    not_run_but_ran: int
    run_twice: int
    cut_by_planned_stop: int
    cached_token_share: float
    skew_max_over_mean: float


def judge(
    stories: Sequence[callers.Story],
    *,
    engine_runs: Sequence[dict[str, Any]],
    service_runs: Sequence[dict[str, Any]],
    stopped: str,
    killed: str,
    once_path: str,
) -> Verdict:
    """Counts every promise.

    Args:
        stories: What callers were told.
        engine_runs: The engines' own record.
        service_runs: The plain servers' own record.
        stopped: The instance that was stopped as planned.
        killed: The instance that was killed.
        once_path: Path of calls that run at most once.
    """
    told = collections.Counter(story.told for story in stories)
    ran = {run["nonce"] for run in engine_runs}
    ran |= {run["path"].rpartition("/")[2] for run in service_runs}
    keys = collections.Counter(
        run["key"]
        for run in service_runs
        if run["path"].startswith(once_path) and run["key"]
    )
    cut = [story for story in stories if story.told is callers.Told.CUT]
    return Verdict(
        requests=len(stories),
        whole=told[callers.Told.WHOLE],
        not_run=told[callers.Told.NOT_RUN],
        unknown=told[callers.Told.UNKNOWN],
        cut_by_kill=sum(story.instance == killed for story in cut),
        wrong=told[callers.Told.WRONG]
        + sum(story.instance not in (killed, stopped) for story in cut),
        not_run_but_ran=_not_run_but_ran(stories, ran),
        run_twice=sum(count > 1 for count in keys.values()),
        cut_by_planned_stop=sum(story.instance == stopped for story in cut),
        cached_token_share=_cached_share(engine_runs),
        skew_max_over_mean=_skew(engine_runs),
    )


def _not_run_but_ran(stories: Sequence[callers.Story], ran: set[str]) -> int:
    """Counts refusals as not run of what ran.

    A key asked twice at once may be refused once and run once, so for such a
    key only a refusal of every asker counts.
    """
    by_nonce = collections.defaultdict(list)
    for story in stories:
        by_nonce[story.nonce].append(story.told)
    return sum(
        set(tolds) == {callers.Told.NOT_RUN} and nonce in ran
        for nonce, tolds in by_nonce.items()
    )


def _cached_share(runs: Sequence[dict[str, Any]]) -> float:
    prompt = sum(run["prompt_tokens"] for run in runs)
    cached = sum(run["cached_tokens"] for run in runs)
    return cached / prompt if prompt else 0.0


def _skew(runs: Sequence[dict[str, Any]]) -> float:
    """Runs of the busiest engine over the mean of those that ran any."""
    counts = collections.Counter(run["engine"] for run in runs)
    if not counts:
        return 0.0
    return max(counts.values()) * len(counts) / sum(counts.values())
