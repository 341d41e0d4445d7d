"""The daemon's entry point: ``irisshelfd --settings FILE``."""

from __future__ import annotations

import functools
import pathlib
import random
import signal
import sys
from typing import Annotated

import gevent
import result
import typer
from gevent import pool
from gevent import pywsgi
from gevent import ssl

from irisshelf.daemon import admin
from irisshelf.daemon import admit
from irisshelf.daemon import front
from irisshelf.daemon import http
from irisshelf.daemon import node
from irisshelf.daemon import objects
from irisshelf.daemon import peers
from irisshelf.daemon import relay
from irisshelf.daemon import settings
from irisshelf.daemon import watch
from irisshelf.observe import log
from irisshelf.peers import tls
from irisshelf.store import http_client

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
_DRAIN_STEP_S = 0.05
# The balancer must see that the instance is not ready before it refuses.
_LAME_DUCK_S = 1.0


class Daemon:
    """One running instance.

    Args:
        cfg: The settings.
    """

    def __init__(self, *, cfg: settings.Settings):
        host, _, port = cfg.platform.address.rpartition(":")
        self._cfg = cfg
        platform = http_client.HttpPlatform(
            host=host, port=int(port), timeout_s=cfg.platform.timeout_s
        )
        self._node = node.Node(cfg=cfg, platform=platform, rng=random.Random())
        platform.count = self._node.count_control
        self._admitter = admit.Admitter()
        self._front = _server(
            cfg.listen,
            front.Front(nd=self._node, admitter=self._admitter),
            cfg.limits.max_connections,
        )
        self._peers = peers.Peers(nd=self._node)
        self._node.peer_unreachable = self._peers.mark_unreachable
        self._node.follower.set_from_peers(
            functools.partial(objects.fetch, self._node)
        )
        self._relay = _server(
            cfg.peers.relay_listen,
            relay.Relay(nd=self._node),
            cfg.limits.max_connections,
            context=_peer_context(cfg),
        )
        self._admin = _server(
            cfg.admin_listen, admin.Admin(nd=self._node, peers=self._peers), 100
        )
        self._stop_signals = 0

    def run(self) -> None:
        """Serves until told to stop.

        Raises:
            OSError: A port cannot be listened on.
        """
        self._admin.start()
        self._relay.start()
        self._peers.start()
        self._front.start()
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, self._on_signal)
        loops = [
            gevent.spawn(self._node.follower.run),
            gevent.spawn(self._node.claims.run),
            gevent.spawn(self._node.claims.run_records),
            gevent.spawn(watch.tick, self._node, self._admitter.give_up),
            gevent.spawn(watch.watch_nodes, self._node),
            gevent.spawn(watch.probe_servers, self._node),
            gevent.spawn(self._peers.run),
        ]
        while self._node.state != "stopped":
            gevent.sleep(_DRAIN_STEP_S)
        gevent.killall(loops)
        self._front.close()
        self._relay.close()
        self._peers.stop()
        self._admin.close()

    def _on_signal(self) -> None:
        self._stop_signals += 1
        self._node.move("stop")
        if self._stop_signals == 1:
            gevent.spawn(self._drain)

    def _drain(self) -> None:
        """Waits for open requests, but not for ever."""
        limit_s = self._node.now() + self._cfg.limits.drain_s
        gevent.sleep(_LAME_DUCK_S)
        self._front.stop_accepting()
        while self._busy() and self._node.now() < limit_s:
            gevent.sleep(_DRAIN_STEP_S)
        self._node.move("drain_limit" if self._busy() else "drained")

    def _busy(self) -> bool:
        return bool(self._node.open_requests or self._node.running)


def _peer_context(cfg: settings.Settings) -> ssl.SSLContext | None:
    if cfg.peers.tls is None:
        return None
    return tls.server_context(cfg.peers.tls.files())


def _server(
    address: str,
    app,
    max_connections: int,
    *,
    context: ssl.SSLContext | None = None,
) -> pywsgi.WSGIServer:
    host, _, port = address.rpartition(":")
    secured = {} if context is None else {"ssl_context": context}
    return pywsgi.WSGIServer(
        (host, int(port)),
        app,
        handler_class=http.Handler,
        log=None,
        error_log=log.get("http"),
        spawn=pool.Pool(max_connections),
        **secured,
    )


def _run(
    settings_file: Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings, a JSON file.")
    ],
) -> None:
    """Runs one instance of irisshelf.

    Example: irisshelfd --settings espoo-a-1.json

    Exit codes: 0 stopped as planned, 2 bad settings, 3 cannot listen.
    """
    loaded = settings.load(settings_file)
    if isinstance(loaded, result.Err):
        typer.echo(str(loaded.err_value), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    cfg = loaded.ok_value
    log.configure(level=cfg.log_level, instance=cfg.instance)
    try:
        Daemon(cfg=cfg).run()
    except OSError as exc:
        typer.echo(f"cannot listen: {exc}", err=True)
        raise typer.Exit(EXIT_CANNOT_LISTEN) from exc


def main() -> None:
    """Runs the program."""
    typer.run(_run)


if __name__ == "__main__":
    sys.exit(main())
