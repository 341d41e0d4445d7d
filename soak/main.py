"""The fault soak's command line: ``make soak SEEDS=1-50``."""

from __future__ import annotations

import json
import pathlib
import secrets
import subprocess
import sys
import tempfile
from typing import Annotated

import typer

from soak import plan
from soak import run as run_module

_REGRESSIONS = pathlib.Path(__file__).parent / "regressions.json"
# Seeds that take many instances, with how many; too long for each landing.
_AT_SIZE = pathlib.Path(__file__).parent / "at_size.json"
# Instances that run side by side, of all seeds that do.
_INSTANCES_AT_A_TIME = 12


def main() -> None:
    """Runs the program."""
    typer.run(_soak)


def _soak(
    seeds: Annotated[
        str,
        typer.Option(
            help="Such as 1-50; 'fresh:20' draws; 'regressions'; 'at-size'."
        ),
    ] = "regressions",
    logs: Annotated[
        pathlib.Path | None, typer.Option(help="Folder to keep logs in.")
    ] = None,
    instances: Annotated[
        int, typer.Option(min=1, max=200, help="In each seed's fleet.")
    ] = plan.INSTANCES,
    one: Annotated[bool, typer.Option(hidden=True)] = False,
) -> None:
    """Plays seeds; each is a fleet of its own. Exit code 1: a promise broke."""
    chosen = numbers(seeds)
    if seeds == "at-size":
        instances = json.loads(_AT_SIZE.read_text())["instances"]
    if one:
        _play(chosen[0], instances, logs)
        return
    folder = logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    total = {"seeds": 0, "faults": 0, "requests": 0, "violations": 0}
    broken = []
    together = max(1, _INSTANCES_AT_A_TIME // instances)
    for start in range(0, len(chosen), together):
        some = chosen[start : start + together]
        for seed, text in _side_by_side(some, instances, folder):
            typer.echo(text.strip())
            if not _add(total, text):
                broken.append(seed)
    typer.echo(f"{total}; broken seeds: {broken}; logs in {folder}")
    raise typer.Exit(1 if broken else 0)


def numbers(seeds: str) -> list[int]:
    """Returns the seeds that a text names; see the program's help."""
    if seeds == "regressions":
        return [item["seed"] for item in json.loads(_REGRESSIONS.read_text())]
    if seeds == "at-size":
        listed = json.loads(_AT_SIZE.read_text())["seeds"]
        return [item["seed"] for item in listed]
    if seeds.startswith("fresh:"):
        count = int(seeds.partition(":")[2])
        return [secrets.randbelow(plan.SEEDS_UNTIL) for _ in range(count)]
    found = []
    for item in seeds.split(","):
        first, _, last = item.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def _side_by_side(
    numbers: list[int], instances: int, folder: pathlib.Path
) -> list[tuple[int, str]]:
    processes = []
    for seed in numbers:
        own = folder / str(seed)
        own.mkdir(parents=True, exist_ok=True)
        command = [sys.executable, "-m", "soak.main", "--one"]
        command += ["--seeds", str(seed), "--logs", str(own)]
        command += ["--instances", str(instances)]
        processes.append(
            subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        )
    return [
        (seed, process.communicate()[0])
        for seed, process in zip(numbers, processes, strict=True)
    ]


def _play(seed: int, instances: int, folder: pathlib.Path | None) -> None:
    where = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    faults = [str(fault) for fault in plan.draw(seed, instances)]
    (where / "plan.txt").write_text("\n".join(faults))
    run = run_module.Run(seed=seed, folder=where, instances=instances)
    verdict = run.play()
    document = {
        "seed": seed,
        "faults": verdict.faults,
        "requests": verdict.requests,
        "served": verdict.served,
        "own_exits": verdict.own_exits,
        "resumed": verdict.resumed,
        "unknown": verdict.unknown,
        "counted": verdict.counted,
        "ends": verdict.ends,
        "violations": [
            f"{v.promise.value}: {v.request_id} {v.detail}"
            for v in verdict.violations
        ],
    }
    typer.echo(json.dumps(document))


def _add(total: dict[str, int], text: str) -> bool:
    """Adds a verdict to the totals; returns whether all held."""
    total["seeds"] += 1
    try:
        verdict = json.loads(text)
    except ValueError:
        # The run died; its own output says why.
        total["violations"] += 1
        return False
    total["faults"] += verdict["faults"]
    total["requests"] += verdict["requests"]
    count = len(verdict["violations"]) + verdict["own_exits"]
    total["violations"] += count
    return not count


if __name__ == "__main__":
    main()
