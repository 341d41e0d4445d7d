"""Greenlets that watch the platform's list and the backend servers."""

from __future__ import annotations

import gevent
import result

from irisshelf.backends import engine
from irisshelf.backends import messages
from irisshelf.bundle import schema
from irisshelf.daemon import node
from irisshelf.routing.owned import health
from irisshelf.routing.owned import load
from irisshelf.store import messages as platform_messages

_TICK_S = 0.1
_JITTER = 0.2


def tick(nd: node.Node, give_up) -> None:
    """Runs the timers of all services for ever.

    Args:
        nd: This instance.
        give_up: Called with each waiting request that is refused.
    """
    while True:
        for call in list(nd.running):
            call.progress()
        for router in nd.services.values():
            for refused in router.tick(nd.now()):
                give_up(refused)
        gevent.sleep(_TICK_S)


def watch_nodes(nd: node.Node) -> None:
    """Follows the platform's list of live and leaving nodes for ever."""
    version = 0
    while True:
        listed = nd.platform.nodes(since=version)
        if isinstance(listed, result.Ok):
            version = listed.ok_value.version
            take_nodes(nd, listed.ok_value)
        gevent.sleep(_jittered(nd, nd.cfg.pace.nodes_poll_s))


def take_nodes(nd: node.Node, changes: platform_messages.NodeChanges) -> None:
    """Takes changes of the platform's list of nodes."""
    nodes = {} if changes.whole else dict(nd.nodes)
    nodes.update({item.name: item for item in changes.changed})
    for name in changes.removed:
        nodes.pop(name, None)
    nd.nodes = nodes
    nd.clients.retain_peers(
        frozenset(item.relay_address for item in nodes.values())
    )
    instances = 0
    for item in nodes.values():
        live = item.state is platform_messages.NodeState.LIVE
        if item.role is platform_messages.NodeRole.INSTANCE:
            instances += live
    nd.set_instances(max(1, instances))
    for item in changes.changed:
        server = item.role is platform_messages.NodeRole.BACKEND_SERVER
        if server and item.state is platform_messages.NodeState.LEAVING:
            nd.observe(item.name, health.Event.LEAVE, "listed as leaving")


def probe_servers(nd: node.Node) -> None:
    """Asks backend servers for their load where that is needed, for ever."""
    while True:
        bundle = nd.bundle
        if bundle is not None:
            for name, server in bundle.backend_servers.items():
                if _needs_probe(nd, name, server):
                    gevent.spawn(probe, nd, name, server)
        gevent.sleep(_jittered(nd, nd.cfg.pace.probe_s))


def _needs_probe(
    nd: node.Node, name: str, server: schema.BackendServer
) -> bool:
    """Tells whether real traffic does not already show how a server is.

    A server with engines is its owners' to probe; one that is not healthy is
    probed by everyone who saw it, until it is.
    """
    unfit = [name, *(f"{name}/{engine}" for engine in server.engines)]
    if any(nd.health.state(item) != "healthy" for item in unfit):
        return True
    owned = any(
        router.owns(f"{name}/{engine}")
        for engine in server.engines
        for router in nd.services.values()
        if router.name == server.service
    )
    quiet_s = nd.now() - nd.health.last_success_s(name)
    return owned and quiet_s > nd.cfg.pace.probe_s


def probe(nd: node.Node, name: str, server: schema.BackendServer) -> None:
    """Asks a backend server for its load and takes what it says."""
    asked_s = nd.now()
    answer = engine.fetch_load_report(
        nd.clients,
        server.address,
        timeout_s=nd.cfg.pace.probe_s,
        count=nd.count_control,
    )
    if isinstance(answer, result.Err):
        unreachable = answer.err_value.unreachable
        event = (
            health.Event.UNREACHABLE if unreachable else health.Event.FAILURE
        )
        nd.observe(name, event, f"probe: {answer.err_value.detail}")
        return
    report = answer.ok_value
    if report.draining:
        nd.observe(name, health.Event.LEAVE, "says so")
    elif nd.health.state(name) == "leaving":
        # Its own report does not take back what the platform's list says.
        if not _listed_as_leaving(nd, name):
            nd.observe(name, health.Event.REJOIN)
    else:
        nd.observe(name, health.Event.PROBE_OK)
    for engine_name in server.engines:
        _take_engine(
            nd,
            f"{name}/{engine_name}",
            report.engines.get(engine_name),
            asked_s,
        )


def _listed_as_leaving(nd: node.Node, name: str) -> bool:
    listed = nd.nodes.get(name)
    leaving = platform_messages.NodeState.LEAVING
    return listed is not None and listed.state is leaving


def _take_engine(
    nd: node.Node,
    name: str,
    found: messages.EngineLoad | None,
    at_s: float,
) -> None:
    """Takes a server's report of one engine; one it does not name is down."""
    if found is None:
        nd.observe(name, health.Event.UNREACHABLE, "not in its server's report")
        return
    nd.observe(name, health.Event.PROBE_OK)
    for router in nd.services.values():
        router.report(name, load.LoadReport(work=found.work, at_s=at_s))


def _jittered(nd: node.Node, seconds: float) -> float:
    return seconds * (1 + nd.rng.uniform(-_JITTER, _JITTER))
