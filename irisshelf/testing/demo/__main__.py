"""Runs the demo: ``python -m irisshelf.testing.demo --fleet painevirta``."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import random
import subprocess
import tempfile
from typing import Annotated
from typing import Any

import gevent
import typer

from irisshelf import boottime
from irisshelf.testing.demo import callers
from irisshelf.testing.demo import fleets
from irisshelf.testing.demo import layout
from irisshelf.testing.demo import processes
from irisshelf.testing.demo import rig
from irisshelf.testing.demo import verdict

LOAD_S = 24.0
CHATS_OF_LARGE_TEAM = 12
CHATS_OF_SMALL_TEAM = 3
_READY_EVERY_S = 0.2
_IN_FORCE_LIMIT_S = 15.0
_STEP_S = 0.05


class Demo:
    """One run of the demo.

    Args:
        fleet: Whose fleet to play.
        folder: Where files and logs go.
        seed: Decides what callers do.
        page: Where to write the time line; None for nowhere.
    """

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        folder: pathlib.Path,
        seed: int,
        page: pathlib.Path | None = None,
    ):
        self._page = page
        self._rig = rig.Rig(fleet=fleet, folder=folder)
        self._plan = self._rig.plan
        self._processes = self._rig.processes
        self._live = list(self._plan.instances)
        self._ready: list[layout.Instance] = []
        self._callers = callers.Callers(
            plan=self._plan,
            rng=random.Random(seed),
            ready=lambda: self._ready,
        )
        self._in_force_s = 0.0
        self._control: list[float] = []

    def run(self) -> dict[str, Any]:
        """Runs everything; returns the last line's object."""
        try:
            self._start()
            self._load()
            return self._judge()
        finally:
            self._rig.stop()

    def _start(self) -> None:
        self._rig.start()
        self._wait_in_force(1)
        _say(f"{len(self._plan.instances)} instances serve bundle 1")

    def _wait_in_force(self, number: int) -> float:
        """Waits until every instance has a bundle; returns the seconds."""
        began_s = boottime.now()
        waiting = list(self._live)
        while waiting and boottime.now() - began_s < _IN_FORCE_LIMIT_S:
            waiting = [i for i in waiting if self._rig.bundle_of(i) < number]
            gevent.sleep(_STEP_S)
        return boottime.now() - began_s

    def _load(self) -> None:
        until_s = boottime.now() + LOAD_S
        balancer = gevent.spawn(self._watch_ready)
        while not self._ready:
            gevent.sleep(_STEP_S)
        before = {i.name: _control_bytes(i) for i in self._plan.instances}
        began_s = boottime.now()
        playing = self._play(until_s)
        self._faults()
        gevent.joinall(playing)
        lasted_s = boottime.now() - began_s
        for instance in self._live:
            if instance.name in before:
                grown = _control_bytes(instance) - before[instance.name]
                self._control.append(grown / lasted_s)
        balancer.kill()

    def _play(self, until_s: float) -> list[gevent.Greenlet]:
        playing = []
        for index, team in enumerate(self._plan.team_keys):
            large = index < self._plan.fleet.large_teams
            chats = CHATS_OF_LARGE_TEAM if large else CHATS_OF_SMALL_TEAM
            for _ in range(chats):
                playing.append(gevent.spawn(self._callers.chat, team, until_s))
            playing.append(gevent.spawn(self._callers.once, team, until_s))
            playing.append(gevent.spawn(self._callers.lookups, team, until_s))
        return playing

    def _faults(self) -> None:
        """One fault after the other, while callers go on."""
        plan = self._plan
        gevent.sleep(4)
        victim, engine = self._busy_engine()
        processes.call(victim.address, f"/engines/{engine}/_kill", {})
        _say(f"engine {victim.name}/{engine} died in mid-stream")
        gevent.sleep(2)
        leaver = plan.servers[1]
        processes.call(leaver.address, "/_drain", {})
        self._rig.list_server(leaver, "leaving")
        _say(f"backend server {leaver.name} leaves")
        gevent.sleep(2)
        gevent.spawn(self._planned_stop, plan.instances[0])
        gevent.sleep(4)
        self._kill_and_replace(plan.instances[1])
        gevent.sleep(3)
        self._submit_under_load()

    def _busy_engine(self) -> tuple[layout.Server, str]:
        """Finds an engine that streams; not on the server that leaves."""
        server = self._plan.servers[0]
        while True:
            loads = processes.call(server.address, "/load")["engines"]
            busy = [name for name, load in loads.items() if load["running"]]
            if busy:
                return server, busy[0]
            gevent.sleep(_STEP_S)

    def _planned_stop(self, instance: layout.Instance) -> None:
        self._live.remove(instance)
        self._processes.terminate(instance.name)
        self._rig.list_instance(instance, "leaving")
        _say(f"instance {instance.name} is stopped as planned")

    def _kill_and_replace(self, instance: layout.Instance) -> None:
        self._live.remove(instance)
        self._processes.kill(instance.name)
        processes.call(
            self._plan.platform, "/_remove_node", {"name": instance.name}
        )
        self._rig.start_instance(self._plan.spare)
        self._live.append(self._plan.spare)
        _say(f"instance {instance.name} is killed, {self._plan.spare.name}"
             " replaces it")  # fmt: skip

    def _submit_under_load(self) -> None:
        submit = gevent.get_hub().threadpool.spawn(
            self._rig.submit, number=2, note="second"
        )
        began_s = boottime.now()
        submit.get()
        submitted_s = boottime.now()
        self._wait_in_force(2)
        self._in_force_s = boottime.now() - submitted_s
        _say(f"bundle 2 submitted in {submitted_s - began_s:.1f} s, in force"
             f" everywhere {self._in_force_s:.1f} s later")  # fmt: skip

    def _watch_ready(self) -> None:
        """Plays the balancer's readiness checks."""
        while True:
            known = [*self._plan.instances, self._plan.spare]
            checks = [gevent.spawn(_is_ready, i) for i in known]
            gevent.joinall(checks)
            self._ready = [
                i for i, c in zip(known, checks, strict=True) if c.value
            ]
            gevent.sleep(_READY_EVERY_S)

    def _judge(self) -> dict[str, Any]:
        plan = self._plan
        engine_runs = []
        service_runs = []
        for server in plan.servers:
            record = processes.call(server.address, "/_runs", timeout_s=10)
            if server.engines:
                engine_runs += [
                    {**run, "engine": f"{server.name}/{run['engine']}"}
                    for run in record["runs"]
                ]
            else:
                service_runs += record["runs"]
        found = verdict.judge(
            self._callers.stories,
            engine_runs=engine_runs,
            service_runs=service_runs,
            stopped=plan.instances[0].name,
            killed=plan.instances[1].name,
            once_path=plan.fleet.once_path,
        )
        self._explain()
        if self._page is not None:
            self._processes.run(
                "irisshelf.cli.main", "timeline", "--html", str(self._page),
                "--platform", self._plan.platform,
            )  # fmt: skip
            _say(f"time line: {self._page}")
        return self._last_line(found)

    def _explain(self) -> None:
        for story in self._callers.stories:
            if story.told in (callers.Told.WRONG, callers.Told.CUT):
                _say(f"{story.told}: {story}")

    def _last_line(self, found: verdict.Verdict) -> dict[str, Any]:
        stopped = self._processes.has_ended(self._plan.instances[0].name)
        control = max(self._control, default=0.0)
        promises = {
            "every answer was whole and the caller's own": found.wrong == 0,
            "what was refused as not run did not run":
                found.not_run_but_ran == 0,
            "what may not be repeated ran at most once": found.run_twice == 0,
            "the planned stop cut nothing": found.cut_by_planned_stop == 0,
            "the stopped instance ended by itself": stopped,
            "the bundle was in force within 8 s": 0 < self._in_force_s < 8,
            "callers were served": found.whole > 0.9 * found.requests,
        }  # fmt: skip
        for promise, held in promises.items():
            _say(f"{'held  ' if held else 'BROKEN'} {promise}")
        return {
            **dataclasses.asdict(found),
            "cached_token_share": round(found.cached_token_share, 4),
            "skew_max_over_mean": round(found.skew_max_over_mean, 3),
            "bundle_in_force_s": round(self._in_force_s, 2),
            "control_bytes_per_s_per_instance": round(control),
            "ok": all(promises.values()),
        }


def _is_ready(instance: layout.Instance) -> bool:
    try:
        return processes.call(instance.admin_address, "/ready")["ready"]
    except (OSError, ValueError):
        return False


def _control_bytes(instance: layout.Instance) -> float:
    host, _, port = instance.admin_address.rpartition(":")
    client = processes.geventhttpclient.HTTPClient(host, int(port))
    text = bytes(client.get("/metrics").read()).decode()
    client.close()
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith("irisshelf_control_bytes_total{")
        and 'kind="claims"' not in line
    )


def _say(text: str) -> None:
    print(text, flush=True)


def _main(
    fleet: Annotated[str, typer.Option(help="painevirta or kanu.")],
    seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1,
    keep: Annotated[
        pathlib.Path | None, typer.Option(help="Keep files and logs here.")
    ] = None,
    page: Annotated[
        pathlib.Path | None, typer.Option(help="Write the time line there.")
    ] = None,
) -> None:
    """Runs the demo and exits with 0 only if every promise held."""
    if fleet not in fleets.FLEETS:
        typer.echo(
            f"--fleet is {fleet!r}, allowed: {sorted(fleets.FLEETS)}", err=True
        )
        raise typer.Exit(2)
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        demo = Demo(
            fleet=fleets.FLEETS[fleet], folder=folder, seed=seed, page=page
        )
        try:
            last_line = demo.run()
        except subprocess.CalledProcessError as exc:
            typer.echo(f"{exc}\n{exc.stderr}", err=True)
            raise typer.Exit(1) from exc
    print(json.dumps(last_line))
    raise typer.Exit(0 if last_line["ok"] else 1)


if __name__ == "__main__":
    typer.run(_main)
