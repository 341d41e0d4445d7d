"""Counters and latency histograms of an entry instance."""

from __future__ import annotations

import prometheus_client

_LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class Metrics:
    """All metrics of an instance, in a separate registry."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests by route kind and result.", "kind", "result"
        )
        self.sends = self._counter(
            "sends", "Requests sent to servers, by reason.", "reason"
        )
        self.retries = self._counter("retries", "Further sends.", "service")
        self.failures = self._counter(
            "send_failures", "Sends that went wrong, by cause.", "cause"
        )
        self.rests = self._counter(
            "server_rests", "Servers left alone for a while.", "service"
        )
        self.reports = self._counter(
            "server_reports",
            "Servers that want no requests, by what their answers say.",
            "says",
        )
        self.server_entries = self._counter(
            "server_entries",
            "Entries that differ from what is known of their servers.",
            "verdict",
        )
        self.store_calls = self._counter(
            "store_calls",
            "Calls to the store for a table.",
            "table",
            "result",
        )
        self.store_updates = self._counter(
            "store_updates",
            "Updates from the data centre's watcher, by what came of them.",
            "verdict",
        )
        self.tables_relayed = self._counter(
            "tables_relayed",
            "Whole tables of the store that other instances relayed.",
            "table",
        )
        self.crashes = self._counter(
            "crash_suspects",
            "Requests that servers ended under, by what came of it.",
            "change",
        )
        self.resumptions = self._counter(
            "stream_resumptions",
            "Streams that callers resumed, by how their version was known.",
            "known_by",
        )
        self.origin_bytes = prometheus_client.Counter(
            "irisshelf_stream_origin_bytes_total",
            "Bytes sent to other instances about the origins of streams.",
            registry=self.registry,
        )
        self.origin_wait = prometheus_client.Histogram(
            "irisshelf_stream_origin_wait_seconds",
            "Time from when an origin of a stream is due until it is sent.",
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.origins_dropped = prometheus_client.Counter(
            "irisshelf_stream_origins_dropped_total",
            "Origins of streams that were not sent, as too many waited.",
            registry=self.registry,
        )
        self.returns = self._counter(
            "returns",
            "Rejected callers, by whether they have a time to return at.",
            "service",
            "result",
        )
        self.return_bytes = prometheus_client.Counter(
            "irisshelf_return_bytes_total",
            "Bytes sent to other instances about returning callers.",
            registry=self.registry,
        )
        self.silent_holders = prometheus_client.Counter(
            "irisshelf_return_holders_silent_total",
            "Questions about returning callers that were not answered in time.",
            registry=self.registry,
        )
        self.reservations_not_sent = prometheus_client.Counter(
            "irisshelf_return_reservations_not_sent_total",
            "Reservations not sent to a data centre, as too many bytes were.",
            registry=self.registry,
        )
        self.connects = self._counter(
            "connects", "New connections to servers.", "service"
        )
        self.relay_connects = self._counter(
            "relay_connects",
            "Attempts to reach servers through other instances, by result.",
            "verdict",
        )
        self.relayed_sends = self._counter(
            "relayed_sends",
            "Requests sent through other instances.",
            "service",
        )
        self.relay_requests = self._counter(
            "relay_requests",
            "Connections that other instances have asked for, by result.",
            "verdict",
        )
        self.relayed_bytes = prometheus_client.Counter(
            "irisshelf_relayed_bytes_total",
            "Bytes passed between other instances and servers.",
            registry=self.registry,
        )
        self.relayed_open = self._gauge(
            "relayed_connections",
            "Open connections to servers for other instances.",
        )
        self.response_memory = self._gauge(
            "response_memory_bytes",
            "Memory for responses of servers that are not complete yet.",
        )
        self.request_memory = self._gauge(
            "request_memory_bytes", "Memory for the bodies of requests."
        )
        self.offered_slots = self._gauge(
            "service_offered_slots",
            "Load that the fleet receives, in slots.",
            "service",
        )
        self.admitted_slots = self._gauge(
            "service_admitted_slots",
            "Load that the fleet admits, in slots.",
            "service",
        )
        self.available_slots = self._gauge(
            "service_available_slots",
            "Slots of the servers that accept requests, by their speed.",
            "service",
        )
        self.in_time_share = self._gauge(
            "service_in_time_share",
            "Share of the admitted requests that began within the objective.",
            "service",
        )
        self.buffered_bytes = self._gauge(
            "response_buffer_bytes",
            "Bytes of responses that callers have not read yet.",
        )
        self.slow_callers = self._counter(
            "slow_callers_ended",
            "Callers disconnected as they did not read, by reason.",
            "reason",
        )
        self.slept = prometheus_client.Counter(
            "irisshelf_slept_seconds_total",
            "Time that the machine was suspended.",
            registry=self.registry,
        )
        self.first_byte = self._histogram(
            "first_byte_seconds", "Time to an answer's first byte.", "kind"
        )
        self.duration = self._histogram(
            "duration_seconds", "Time to an answer's end.", "kind"
        )
        self.evacuated = self._gauge(
            "evacuated_data_centres", "Data centres under evacuation."
        )
        self.in_flight = self._gauge("requests_in_flight", "Requests now.")
        self.catalog_version = self._gauge(
            "catalog_version", "Version of the configuration in force."
        )
        self.ready = self._gauge("ready", "1 if the balancer is told to come.")
        self.store_up = self._gauge(
            "store_up", "1 if the store answered last time."
        )
        self.servers = self._gauge("servers_listed", "Backend servers listed.")
        self.lines_dropped = self._gauge(
            "log_lines_dropped", "Log lines left out so far."
        )

    def expose(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def forget_demand(self, service: str) -> None:
        """Removes the demand and capacity of a service."""
        for gauge in (
            self.offered_slots,
            self.admitted_slots,
            self.available_slots,
            self.in_time_share,
        ):
            gauge.remove(service)

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"irisshelf_{name}_total", text, labels, registry=self.registry
        )

    def _gauge(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"irisshelf_{name}", text, labels, registry=self.registry
        )

    def _histogram(
        self, name: str, text: str, *labels: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            f"irisshelf_{name}",
            text,
            labels,
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
