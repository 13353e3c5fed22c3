"""Own requests at places elsewhere, beside the load that those places report."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cassiashore._internal.peers.messages import ServiceLoad

REFUSAL_SECONDS = 0.25  # half a heartbeat by default: how long a refusal outweighs a report


@dataclass(slots=True)
class _Counter:
    """Requests under way now, and when ``report`` was first seen."""

    in_flight: int = 0
    in_flight_at_report: int = 0
    report: ServiceLoad | None = None
    full_until: float = float("-inf")


class OutstandingRequests:
    """Counts own requests by place and service.

    A report already contains the requests that were under way when it was made. Subtracting all
    requests of the moment would count them twice and show a place full that is half empty. A place
    that refused a request for want of a slot is full for a moment, whatever it reported before.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Start with no request under way."""
        self._monotonic = monotonic
        self._counter_by_place: dict[tuple[str, str], _Counter] = {}

    def begin(self, place: str, service: str) -> None:
        """Count a request that is sent to a place."""
        self._counter(place, service).in_flight += 1

    def end(self, place: str, service: str) -> None:
        """Count a request as ended."""
        self._counter(place, service).in_flight -= 1

    def record_refusal(self, place: str, service: str) -> None:
        """Take in that a place had no free slot."""
        self._counter(place, service).full_until = self._monotonic() + REFUSAL_SECONDS

    def is_full(self, place: str, service: str) -> bool:
        """Tell whether a place lately refused a request."""
        return self._monotonic() < self._counter(place, service).full_until

    def free_slots(self, place: str, load: ServiceLoad) -> int:
        """Return the free slots of a report, less own requests that were begun since.

        >>> requests = OutstandingRequests(lambda: 0.0)
        >>> requests.begin("huron-a", "stock")
        >>> report = ServiceLoad("stock", 3, 4, 0, 1.0)  # has the request in it
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
