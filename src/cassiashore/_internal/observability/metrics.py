"""Metrics of one instance."""

from __future__ import annotations

from functools import lru_cache

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from cassiashore._internal.observability.largest_names import LargestNames

_LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


_MAX_CACHED_SERIES = 4096
MAX_WORKSPACE_SERIES = 20  # by name; there may be thousands of workspaces


class Metrics:
    """All metrics of the instance, in a separate registry.

    The ``count_`` and ``observe_`` methods cache labelled series, which are costly to look up.
    """

    def __init__(self) -> None:
        """Register every metric."""
        registry = CollectorRegistry()
        self.registry = registry
        self.requests = Counter(
            "cassiashore_requests",
            "Requests by service and by what was told to the caller",
            ["service", "outcome", "reason"],
            registry=registry,
        )
        self.latency = Histogram(
            "cassiashore_request_seconds",
            "Time until the head of the answer",
            ["service"],
            buckets=_LATENCY_BUCKETS,
            registry=registry,
        )
        self.attempts = Counter(
            "cassiashore_attempts",
            "Attempts by service, kind of place and result",
            ["service", "place", "result"],
            registry=registry,
        )
        self.retries = Counter(
            "cassiashore_retries", "Retries taken from the budget", ["service"], registry=registry
        )
        self.moved = Counter(
            "cassiashore_moved_requests", "Moved requests admitted here", registry=registry
        )
        self.lookups = Counter(
            "cassiashore_lookups", "Look-ups by protocol", ["protocol"], registry=registry
        )
        self.version = Gauge(
            "cassiashore_catalogue_version", "Catalogue version in force", registry=registry
        )
        self.slots = Gauge(
            "cassiashore_slots", "Slots admitted to here", ["service", "state"], registry=registry
        )
        self.pauses = Counter(
            "cassiashore_pauses", "Pauses after which all rights were dropped", registry=registry
        )
        self.ejections = Counter(
            "cassiashore_ejections",
            "Targets that get nothing for a while",
            ["service", "failure_domain"],
            registry=registry,
        )
        self.workspace_requests = Counter(
            "cassiashore_workspace_requests",
            "Requests of workspaces with a rate limit: the largest ones by name, the rest as other",
            ["workspace", "result"],
            registry=registry,
        )
        self._largest_workspaces = LargestNames(MAX_WORKSPACE_SERIES, self._remove_workspace)
        self.limited_targets = Gauge(
            "cassiashore_limited_targets",
            "Targets whose last response to this instance named a rate limit",
            registry=registry,
        )
        self.control_bytes = Gauge(
            "cassiashore_control_bytes", "Bytes sent to peers", registry=registry
        )
        self.control_messages = Gauge(
            "cassiashore_control_messages", "Messages sent to peers", registry=registry
        )
        self.store_calls = Gauge(
            "cassiashore_store_calls", "Calls made to the store", registry=registry
        )
        self.log_lines_dropped = Gauge(
            "cassiashore_log_lines_dropped", "Log lines dropped", registry=registry
        )
        self._request_series = lru_cache(_MAX_CACHED_SERIES)(self.requests.labels)
        self._attempt_series = lru_cache(_MAX_CACHED_SERIES)(self.attempts.labels)
        self._latency_series = lru_cache(_MAX_CACHED_SERIES)(self.latency.labels)

    def count_request(self, service: str, outcome: str, reason: str) -> None:
        """Count a request by the outcome reported to its caller."""
        self._request_series(service, outcome, reason).inc()

    def count_attempt(self, service: str, place: str, result: str) -> None:
        """Count an attempt to send a request to a target or an instance."""
        self._attempt_series(service, place, result).inc()

    def count_workspace_request(self, name: str, size: float, is_admitted: bool) -> None:
        """Count a request of a workspace by whether its limit of ``size`` admitted it."""
        series = self._largest_workspaces.label_of(name, size)
        self.workspace_requests.labels(series, "admitted" if is_admitted else "rejected").inc()

    def _remove_workspace(self, name: str) -> None:
        self.workspace_requests.remove_by_labels({"workspace": name})

    def observe_latency(self, service: str, seconds: float) -> None:
        """Record the time until the head of a response."""
        self._latency_series(service).observe(seconds)
