"""Counts requests that this instance has in flight at other places.

The counts correct the load reports of those places, which are older than the requests sent since.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cassiashore._internal.peers.messages import ServiceLoad

# How long a refusal overrides the reported load: half of the default heartbeat interval.
REFUSAL_SECONDS = 0.25


@dataclass(slots=True)
class _Counter:
    """Requests in flight now, and the number in flight when ``report`` was first seen."""

    in_flight: int = 0
    in_flight_at_report: int = 0
    report: ServiceLoad | None = None
    full_until: float = float("-inf")


class OutstandingRequests:
    """Counts the requests that this instance sent, by place and service.

    A load report already includes the requests that were in flight when it was made. Subtracting
    all requests now in flight would count those twice and make a half empty place look full. A
    place that refused a request because it had no free slot counts as full for
    ``REFUSAL_SECONDS``, whatever it reported before.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Start with no request in flight."""
        self._monotonic = monotonic
        self._counter_by_place: dict[tuple[str, str], _Counter] = {}

    def begin(self, place: str, service: str) -> None:
        """Count a request that is being sent to a place."""
        self._counter(place, service).in_flight += 1

    def end(self, place: str, service: str) -> None:
        """Remove a request that ended from the count."""
        self._counter(place, service).in_flight -= 1

    def record_refusal(self, place: str, service: str) -> None:
        """Record that a place refused a request because it had no free slot."""
        self._counter(place, service).full_until = self._monotonic() + REFUSAL_SECONDS

    def is_full(self, place: str, service: str) -> bool:
        """Tell whether a place refused a request within the last ``REFUSAL_SECONDS``."""
        return self._monotonic() < self._counter(place, service).full_until

    def free_slots(self, place: str, load: ServiceLoad) -> int:
        """Return the reported free slots minus the requests sent since the report was first seen.

        >>> requests = OutstandingRequests(lambda: 0.0)
        >>> requests.begin("huron-a", "stock")
        >>> report = ServiceLoad("stock", 3, 4, 0, 1.0)  # includes the request
        >>> requests.free_slots("huron-a", report)
        3
        >>> requests.begin("huron-a", "stock")
        >>> requests.free_slots("huron-a", report)
        2
        """
        counter = self._counter(place, load.service)
        if counter.report is not load:
            counter.report, counter.in_flight_at_report = load, counter.in_flight
        if self.is_full(place, load.service):
            return 0
        return min(
            load.total, max(0, load.free - (counter.in_flight - counter.in_flight_at_report))
        )

    def _counter(self, place: str, service: str) -> _Counter:
        return self._counter_by_place.setdefault((place, service), _Counter())
