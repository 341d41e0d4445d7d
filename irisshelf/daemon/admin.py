"""The admin port: metrics, liveness, readiness, status, time line."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from irisshelf.daemon import http
from irisshelf.daemon import node
from irisshelf.daemon import peers as peers_module
from irisshelf.observe import timeline


class Admin:
    """A WSGI application for operators and the balancer.

    Args:
        nd: This instance.
        peers: What it knows of the others.
    """

    def __init__(self, *, nd: node.Node, peers: peers_module.Peers):
        self._nd = nd
        self._peers = peers
        self.caller_timeout_s = nd.cfg.limits.caller_timeout_s
        self._paths: dict[str, Callable] = {
            "/metrics": self._metrics,
            "/live": self._live,
            "/ready": self._ready,
            "/status": self._status,
            "/timeline": self._timeline,
        }

    def __call__(
        self, environ: dict, start_response: http.StartResponse
    ) -> list[bytes]:
        """Serves one request."""
        handler = self._paths.get(environ["PATH_INFO"])
        if handler is None:
            allowed = {"error": f"allowed: {sorted(self._paths)}"}
            return http.answer(start_response, 404, allowed)
        return handler(start_response)

    def _metrics(self, start_response: http.StartResponse) -> list[bytes]:
        for name, router in self._nd.services.items():
            running = self._nd.metrics.running.labels(name)
            running.set(router.admission.running)
            waiting = self._nd.metrics.waiting.labels(name)
            waiting.set(router.admission.waiting)
        self._nd.metrics.platform_up.set(self._nd.follower.platform_up)
        return http.answer_bytes(
            start_response,
            200,
            self._nd.metrics.expose(),
            "text/plain; version=0.0.4; charset=utf-8",
        )

    def _live(self, start_response: http.StartResponse) -> list[bytes]:
        return http.answer(start_response, 200, {"live": True})

    def _ready(self, start_response: http.StartResponse) -> list[bytes]:
        ready = self._nd.ready
        document = {"ready": ready, "state": self._nd.state}
        return http.answer(start_response, 200 if ready else 503, document)

    def _status(self, start_response: http.StartResponse) -> list[bytes]:
        document = status(self._nd)
        document["peers"] = self._peers.statuses()
        document["name_conflicts"] = self._peers.gossip.name_conflicts
        return http.answer(start_response, 200, document)

    def _timeline(self, start_response: http.StartResponse) -> list[bytes]:
        events = [timeline.encode(e) for e in self._nd.timeline.events()]
        return http.answer(start_response, 200, {"events": events})


def status(nd: node.Node) -> dict[str, Any]:
    """Returns what an operator wants to know of an instance."""
    bundle = nd.bundle
    servers = bundle.backend_servers if bundle else {}
    return {
        "instance": nd.cfg.instance,
        "data_centre": nd.cfg.data_centre,
        "state": nd.state,
        "bundle": bundle.number if bundle else 0,
        "platform_up": nd.follower.platform_up,
        "instances_known": nd.instances,
        "open_requests": nd.open_requests,
        "engines_owned": sum(
            router.owns(target.name)
            for router in nd.services.values()
            for target in router.targets
            if target.engine
        ),
        "backend_servers": {name: nd.health.state(name) for name in servers},
    }
