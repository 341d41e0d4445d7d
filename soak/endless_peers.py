"""Servers and callers of a soak run whose bytes do not end."""

from __future__ import annotations

import itertools
import subprocess
import sys

import gevent

from irisshelf.platform.stand_in import endless
from irisshelf.platform.stand_in import endless_caller
from irisshelf.platform.stand_in import endless_process
from irisshelf.platform.stand_in import store
from irisshelf.platform.stand_in import world
from soak import plan

_CALLER_CONNECTIONS = "3"
# Services whose list an endless server joins, by turns.
_SERVICES = ("crew", "lm")


class EndlessPeers:
    """Runs them.

    Args:
        served: The store, in which the servers are listed.
    """

    def __init__(self, *, served: store.Store):
        self._served = served
        self._serial = itertools.count()
        self._servers: list[endless_process.EndlessServer] = []
        self._callers: list[subprocess.Popen] = []

    def serve(self, fault: plan.Fault) -> None:
        """Lists such a server for a while."""
        form, _, pace = fault.variant.partition("/")
        made = endless_process.EndlessServer(
            form=endless.Form(form), pace=endless.Pace(pace)
        )
        self._servers.append(made)
        number = next(self._serial)
        name = f"endless-{number}"
        entry = made.entry(_SERVICES[number % len(_SERVICES)])
        self._served.put("servers", name, entry)
        # It goes on sending to whoever still reads.
        gevent.spawn_later(fault.for_s, self._served.drop, "servers", name)

    def call(self, fault: plan.Fault, address: str) -> None:
        """Runs such callers of an instance for a while."""
        process = subprocess.Popen(
            [
                *(sys.executable, "-m", endless_caller.__name__),
                *(address, fault.variant, world.KEY, _CALLER_CONNECTIONS),
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self._callers.append(process)
        gevent.spawn_later(fault.for_s, process.kill)

    def close(self) -> None:
        """Ends them all."""
        for one in self._servers:
            one.close()
        for process in self._callers:
            process.kill()
            process.wait()
