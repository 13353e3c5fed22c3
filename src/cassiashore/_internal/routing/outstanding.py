"""Own requests at places elsewhere, beside the load that those places report."""

from __future__ import annotations

from dataclasses import dataclass

from cassiashore._internal.peers.messages import ServiceLoad


@dataclass(slots=True)
class _Count:
    """Requests under way now, and when ``report`` was first seen."""

    now: int = 0
    at_report: int = 0
    report: ServiceLoad | None = None


class OutstandingRequests:
    """Counts own requests by place and service.

    A report already contains the requests that were under way when it was made. Subtracting all
    requests of the moment would count them twice and show a place full that is half empty.
    """

    def __init__(self) -> None:
        """Start with no request under way."""
        self._count_by_place: dict[tuple[str, str], _Count] = {}

    def begin(self, place: str, service: str) -> None:
        """Count a request that is sent to a place."""
        self._count(place, service).now += 1

    def end(self, place: str, service: str) -> None:
        """Count a request as ended."""
        self._count(place, service).now -= 1

    def free_slots(self, place: str, load: ServiceLoad) -> int:
        """Return the free slots of a report, less own requests that were begun since.

        >>> requests = OutstandingRequests()
        >>> requests.begin("huron-a", "stock")
        >>> report = ServiceLoad("stock", 3, 4, 0, 1.0)  # has the request in it
        >>> requests.free_slots("huron-a", report)
        3
        >>> requests.begin("huron-a", "stock")
        >>> requests.free_slots("huron-a", report)
        2
        """
        count = self._count(place, load.service)
        if count.report is not load:
            count.report, count.at_report = load, count.now
        return min(load.total, max(0, load.free - (count.now - count.at_report)))

    def _count(self, place: str, service: str) -> _Count:
        return self._count_by_place.setdefault((place, service), _Count())
