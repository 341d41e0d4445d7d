r"""Compares ways to decide: the same days and seeds, one choice changed.

    python -m irisshelf.platform.ways --scorer PROGRAM --out DIR \
        --way sources=known --way gossip=false --day trouble-1 SITE...

A way is a field of ``routing.direct.policy.Policy`` and a value that is not the
one that stands. Each is played in a clone of the committed tree whose settings
template makes that choice; the users' program plays the same days with the same
luck, processor time not charged. Shown are differences to the tree as it
stands, paired by day, with a confidence interval and a picture.
"""

from __future__ import annotations

import dataclasses
import enum
import itertools
import json
import pathlib
import re
import statistics
import subprocess
import typing
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent import futures
from typing import Annotated

import matplotlib
import typer
from matplotlib import pyplot
from scipy import stats

from irisshelf.routing.direct import policy

STANDING = "standing"
_CONFIDENCE = 0.95
_TEMPLATE = pathlib.Path("deploy/settings.json.tmpl")
# A day's line: its name, machines and servers, score, worth, share served.
_DAY = re.compile(r"^(\S+) +\d+/\d+ +(-?[\d.]+) +(-?[\d.]+) +(-?[\d.]+) ")
_BROKEN = re.compile(r"BROKEN: (.+?)(?: \(|$)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Played:
    """What one day was worth.

    Attributes:
        worth: Credit earned of credit owed, less prices.
        served: Share of the requests' worth that was served.
        broken: Rules that were broken, as the program names them.
    """

    worth: float
    served: float
    broken: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """A way against the one that stands, paired by day.

    Attributes:
        days: How many were paired.
        worth: Mean difference of their worth.
        low: Lower end of its confidence interval; the mean for one day.
        high: Upper end of it.
        served: Mean difference of the share served.
        broken: Days on which a rule was broken.
    """

    days: int
    worth: float
    low: float
    high: float
    served: float
    broken: tuple[str, ...] = ()


def parse_way(text: str) -> tuple[str, typing.Any]:
    """Reads a way such as ``sources=known``.

    Returns:
        The field of the policy, and the value as settings write it.

    Raises:
        ValueError: There is no such field, or no such value.
    """
    name, _, value = text.partition("=")
    hints = typing.get_type_hints(policy.Policy)
    if name not in hints:
        raise ValueError(f"way is {name!r}, allowed: {', '.join(hints)}")
    allowed = _values(hints[name])
    if value not in allowed:
        raise ValueError(
            f"value of {name} is {value!r}, allowed: {', '.join(allowed)}"
        )
    return name, allowed[value]


def _values(kind: type) -> dict[str, typing.Any]:
    if issubclass(kind, enum.Enum):
        return {member.value: member.value for member in kind}
    return {"true": True, "false": False}


def template(text: str, way: str) -> str:
    """Returns a settings template in which a choice is made.

    Args:
        text: The template, a JSON object with gaps.
        way: The choice; ``STANDING`` changes nothing.

    Raises:
        ValueError: There is no such choice.

    Example:
        >>> template('{"a": 1}', "gossip=false")
        '{"policy": {"gossip": false}, "a": 1}'
    """
    if way == STANDING:
        return text
    name, value = parse_way(way)
    settings = json.dumps({name: value})
    return text.replace("{", f'{{"policy": {settings}, ', 1)


def read_day(output: str) -> Played | None:
    """Reads the day's line of the program's output; None if there is none."""
    for line in output.splitlines():
        match = _DAY.match(line)
        if match:
            broken = _BROKEN.search(line)
            return Played(
                worth=float(match[3]),
                served=float(match[4]),
                broken=broken[1] if broken else "",
            )
    return None


def compare(
    base: Mapping[str, Played], other: Mapping[str, Played]
) -> Difference:
    """Pairs a way's days with those of the tree as it stands.

    Raises:
        ValueError: Not the same days were played.
    """
    if base.keys() != other.keys():
        raise ValueError(f"days are {sorted(other)}, allowed: {sorted(base)}")
    names = sorted(base)
    worth = [other[n].worth - base[n].worth for n in names]
    mean = statistics.fmean(worth)
    low = high = mean
    if len(names) > 1 and statistics.pstdev(worth) > 0:
        found = stats.ttest_1samp(worth, 0.0)
        low, high = found.confidence_interval(_CONFIDENCE)
    return Difference(
        days=len(names),
        worth=mean,
        low=float(low),
        high=float(high),
        served=statistics.fmean(
            other[n].served - base[n].served for n in names
        ),
        broken=tuple(
            f"{n}: {other[n].broken}" for n in names if other[n].broken
        ),
    )


def table(rows: Mapping[tuple[str, str], Difference]) -> str:
    """Returns a table in Markdown of sites and ways."""
    lines = [
        "| site | way | days | worth | interval | served | rules broken |",
        "|---|---|---|---|---|---|---|",
    ]
    for (site, way), row in rows.items():
        lines.append(
            f"| {site} | {way} | {row.days} | {row.worth:+.3f} "
            f"| {row.low:+.3f} to {row.high:+.3f} | {row.served:+.3f} "
            f"| {'; '.join(row.broken) or 'none'} |"
        )
    return "\n".join(lines)


def picture(
    rows: Mapping[tuple[str, str], Difference], path: pathlib.Path
) -> None:
    """Draws the differences and their intervals, a line a site and way."""
    matplotlib.use("Agg")
    height = 1.0 + 0.3 * len(rows)
    figure, axes = pyplot.subplots(figsize=(7.0, height), layout="tight")
    for place, ((site, way), row) in enumerate(reversed(rows.items())):
        reach = [[row.worth - row.low], [row.high - row.worth]]
        axes.errorbar(row.worth, place, xerr=reach, fmt="o", color="black")
        axes.text(
            1.02,
            place,
            f"{way}, {site}",
            transform=axes.get_yaxis_transform(),
            va="center",
            fontsize="small",
        )
    axes.axvline(0.0, color="grey", linewidth=0.8)
    axes.set_yticks([])
    axes.set_xlabel("worth, against the way that stands")
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


def _make_variant(way: str, folder: pathlib.Path) -> None:
    if folder.exists():
        return
    subprocess.run(["git", "clone", "-q", ".", str(folder)], check=True)
    path = folder / _TEMPLATE
    path.write_text(template(path.read_text(), way))
    author = ["-c", "user.name=ways", "-c", "user.email=ways@invalid"]
    commit = ["commit", "-q", "--allow-empty", "-am", f"way: {way}"]
    subprocess.run(["git", *author, *commit], cwd=folder, check=True)


def _play(
    scorer: pathlib.Path,
    site: pathlib.Path,
    day: str,
    folder: pathlib.Path,
) -> Played:
    command = [str(scorer), "run", str(site), day, "--no-cpu", "--jobs", "1"]
    command += ["--why", f"ways: {folder.name}, {day}"]
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=False
    )
    name = f"{folder.name}-{site.stem}-{pathlib.Path(day).stem}.txt"
    (folder.parent / name).write_text(done.stdout)
    played = read_day(done.stdout)
    if played is None:
        raise RuntimeError(f"{command} told no day: {done.stderr[-300:]!r}")
    return played


def _play_all(
    scorer: pathlib.Path,
    sites: Iterable[pathlib.Path],
    days: Iterable[str],
    folders: Mapping[str, pathlib.Path],
    jobs: int,
) -> dict[tuple[str, str], dict[str, Played]]:
    """Plays every day with every way; returns them by site and way."""
    found: dict[tuple[str, str], dict[str, Played]] = {}
    with futures.ThreadPoolExecutor(jobs) as pool:
        running = {
            pool.submit(_play, scorer, site, day, folders[way]): (
                site.stem,
                way,
                day,
            )
            for site, way, day in itertools.product(sites, folders, days)
        }
        for done in futures.as_completed(running):
            site, way, day = running[done]
            found.setdefault((site, way), {})[day] = done.result()
            typer.echo(f"{site}: {way}, {day}: {done.result()}")
    return found


def main(
    sites: Annotated[list[pathlib.Path], typer.Argument(exists=True)],
    scorer: Annotated[pathlib.Path, typer.Option(exists=True)],
    out: Annotated[pathlib.Path, typer.Option(help="For clones, results.")],
    way: Annotated[list[str], typer.Option(help="Such as sources=known.")],
    day: Annotated[list[str], typer.Option(help="Of a site, or a file.")],
    jobs: Annotated[int, typer.Option(min=1, help="Days at a time.")] = 2,
) -> None:
    """Plays days with the committed tree, and with each choice changed."""
    folders = {}
    for name in (STANDING, *way):
        folders[name] = (out / name.replace("=", "-")).resolve()
        _make_variant(name, folders[name])
    found = _play_all(
        scorer.resolve(),
        [site.resolve() for site in sites],
        day,
        folders,
        jobs,
    )
    rows = {
        (site.stem, name): compare(
            found[site.stem, STANDING], found[site.stem, name]
        )
        for name, site in itertools.product(way, sites)
    }
    typer.echo(f"\n{table(rows)}")
    picture(rows, out / "ways.png")


if __name__ == "__main__":
    typer.run(main)
