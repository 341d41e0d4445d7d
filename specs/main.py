"""``make prove``: models, broken variants, histories, fuzzing.

Ends with one JSON line; exits with 0 only if everything holds.
"""

from __future__ import annotations

import dataclasses
import io
import json
import multiprocessing
import random
import sys
import time
from typing import Annotated

import gevent
import typer

from specs import check
from specs import fuzz
from specs import histories

PROCESSES = 6
HISTORIES = 1020
FUZZ_ROUNDS = 2000
FUZZ_PARTS = 6


@dataclasses.dataclass(frozen=True, kw_only=True)
class HistoryPart:
    """Sum over some histories."""

    histories: int
    faults: int
    violations: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class FuzzPart:
    """Sum over some fuzzing."""

    inputs: int
    crashes: tuple[str, ...]


def _quiet() -> None:
    """Keeps faults that we inject off the terminal."""
    gevent.get_hub().exception_stream = io.StringIO()


def _play(seeds: list[int]) -> HistoryPart:
    _quiet()
    faults = 0
    violations = []
    for seed in seeds:
        outcome = histories.run(seed)
        faults += outcome.faults
        violations += [
            f"seed {seed}: {v.promise}: {v.detail}" for v in outcome.violations
        ]
    return HistoryPart(
        histories=len(seeds), faults=faults, violations=tuple(violations)
    )


def _fuzz(seed: int) -> FuzzPart:
    _quiet()
    fuzzer = fuzz.Fuzzer(rng=random.Random(seed))
    fuzzer.run(FUZZ_ROUNDS // FUZZ_PARTS)
    return FuzzPart(
        inputs=fuzzer.inputs,
        crashes=tuple(
            f"{c.target}: {c.error} for {c.data}" for c in fuzzer.crashes
        ),
    )


def _check_model(index: int) -> list[check.Checked]:
    """Checks one of the models, or all broken variants."""
    if index < check.MODEL_COUNT:
        return [check.model(index)]
    return check.mutants()


def _main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Histories.")] = HISTORIES,
) -> None:
    """Proves what can be proved, and says what was found."""
    began = time.monotonic()
    share = count // PROCESSES
    seeds = [
        list(range(seed + i * share, seed + (i + 1) * share))
        for i in range(PROCESSES)
    ]
    context = multiprocessing.get_context("spawn")
    with context.Pool(PROCESSES) as pool:
        checked = pool.map_async(
            _check_model, range(check.MODEL_COUNT + 1), chunksize=1
        )
        played = pool.map_async(_play, seeds, chunksize=1)
        fuzzed = pool.map_async(
            _fuzz, range(seed, seed + FUZZ_PARTS), chunksize=1
        )
        found = checked.get()
        parts = played.get()
        fuzz_parts = fuzzed.get()
    models = [item for some in found[:-1] for item in some]
    figures = _figures(models, found[-1], parts, fuzz_parts)
    _explain(models, found[-1], parts, fuzz_parts)
    print(f"{time.monotonic() - began:.0f} s")
    print(json.dumps(figures))
    sys.exit(0 if _holds(figures, models) else 1)


def _figures(models, mutants, parts, fuzz_parts) -> dict[str, int]:
    planted = histories.planted()
    return {
        "models_proved": sum(not m.broken for m in models),
        "models_total": len(models),
        "states_explored": sum(m.states for m in (*models, *mutants)),
        "mutants_refuted": sum(bool(m.broken) for m in mutants),
        "mutants_total": len(mutants),
        "histories_checked": sum(p.histories for p in parts),
        "faults_injected": sum(p.faults for p in parts),
        "violations": sum(len(p.violations) for p in parts),
        "planted_violations_found": sum(
            histories.found(made) for _, made in planted
        ),
        "planted_violations_total": len(planted),
        "fuzz_inputs": sum(p.inputs for p in fuzz_parts),
        "crashes": sum(len(p.crashes) for p in fuzz_parts),
    }


def _explain(models, mutants, parts, fuzz_parts) -> None:
    for model in models:
        told = f"BROKEN {model.broken}" if model.broken else "holds"
        print(f"{model.name}: {model.states} states, {told}")
        for step in model.trace:
            print(f"    {step}")
    for mutant in mutants:
        told = "refuted" if mutant.broken else "NOT REFUTED"
        steps = f"in {len(mutant.trace) - 1} steps" if mutant.broken else ""
        print(f"  {mutant.name}: {told} {steps}".rstrip())
    for part in parts:
        for violation in part.violations[:5]:
            print(f"VIOLATION {violation}")
    for fuzz_part in fuzz_parts:
        for crash in fuzz_part.crashes[:5]:
            print(f"CRASH {crash}")


def _holds(figures: dict[str, int], models) -> bool:
    return (
        figures["models_proved"] == len(models)
        and figures["mutants_refuted"] == figures["mutants_total"]
        and figures["planted_violations_found"]
        == figures["planted_violations_total"]
        and figures["violations"] == 0
        and figures["crashes"] == 0
    )


if __name__ == "__main__":
    typer.run(_main)
