"""Runs stand-ins as a process: ``python -m irisshelf.testing.stand_in``."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Annotated

import gevent
import typer
from gevent import pywsgi
from gevent import socket

from irisshelf import boottime
from irisshelf.testing import engine
from irisshelf.testing import platform as fake_platform
from irisshelf.testing import platform_server
from irisshelf.testing import service

app = typer.Typer(help="Stand-ins for the systems around irisshelf.")


@app.command()
def platform(port: int, list_lag_s: float = 1.0, seed: int = 1) -> None:
    """Serves the fake platform on loopback."""
    fake = fake_platform.FakePlatform(
        clock=boottime.now, rng=random.Random(seed), sleep=gevent.sleep
    )
    fake.faults = fake_platform.Faults(list_lag_s=list_lag_s)
    _serve({port: platform_server.PlatformServer(platform=fake)})


@app.command()
def engines(
    port: int,
    count: int,
    token_s: float = 0.01,
    cache_tokens: int = 200_000,
    ignores_fencing: bool = False,
) -> None:
    """Serves a backend server with engines ``e0``, ``e1``, ..."""
    server = engine.FakeEngineServer(
        engines=tuple(f"e{i}" for i in range(count)),
        cfg=engine.EngineConfig(token_s=token_s, cache_tokens=cache_tokens),
        checks_fencing=not ignores_fencing,
    )
    _serve({port: server})


@app.command()
def plain(ports: Annotated[list[int], typer.Argument()]) -> None:
    """Serves one plain backend server on each port."""
    _serve({port: service.FakeService() for port in ports})


class _Handler(pywsgi.WSGIHandler):
    def __init__(self, sock, address, server):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)


def _serve(apps: dict[int, Callable]) -> None:
    servers = [
        pywsgi.WSGIServer(
            ("127.0.0.1", port),
            served,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )
        for port, served in apps.items()
    ]
    for server in servers:
        server.start()
    gevent.wait()


if __name__ == "__main__":
    app()
