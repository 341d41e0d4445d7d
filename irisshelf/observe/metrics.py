"""Prometheus metrics of one daemon."""

from __future__ import annotations

import prometheus_client

_LATENCY_BUCKETS = (0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 60)


class Metrics:
    """Metrics of one daemon, in a separate registry."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by how they ended.", "service", "result"
        )
        self.retries = self._counter("retries", "Further attempts.", "service")
        self.resumes = self._counter("resumes", "Resumed streams.", "service")
        self.placements = self._counter(
            "placements", "Sends by why the engine was chosen.", "reason"
        )
        self.prompt_tokens = self._counter(
            "prompt_tokens", "Prompt tokens that engines reported.", "service"
        )
        self.cached_tokens = self._counter(
            "cached_prompt_tokens", "Prompt tokens found cached.", "service"
        )
        self.claims = self._counter("claims", "Claims by step.", "step")
        self.control_bytes = self._counter(
            "control_bytes", "Control traffic by kind.", "kind"
        )
        self.peer_refusals = self._counter(
            "peer_refusals", "Peers and messages refused.", "where"
        )
        self.first_byte_seconds = prometheus_client.Histogram(
            "irisshelf_first_byte_seconds",
            "Time from a request to its answer's first byte.",
            ("service",),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.running = self._gauge(
            "running_requests", "Requests that run.", "service"
        )
        self.waiting = self._gauge(
            "waiting_requests", "Requests that wait.", "service"
        )
        self.bundle_number = self._gauge(
            "bundle_number", "Number of the bundle in force."
        )
        self.platform_up = self._gauge(
            "platform_up", "1 if the platform answered last time."
        )

    def expose(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(
        self, name: str, description: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"irisshelf_{name}_total",
            description,
            labels,
            registry=self.registry,
        )

    def _gauge(
        self, name: str, description: str, *labels: str
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"irisshelf_{name}", description, labels, registry=self.registry
        )
