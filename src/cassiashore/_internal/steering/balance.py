"""How much of a service's requests a region keeps for its own targets.

Load pattern: a third of the callers stand in a region that has an eighth of a service's slots. If
each request prefers its own region, the targets there are always full, and what overflows goes
elsewhere to targets that do not keep its object. A stable part of the keys belongs elsewhere for
good instead, as large as the region lacks room.

The part begins with what the registries show: slots of the region against its share of the
instances, over which callers are spread. Then it follows the load that targets report, in small
steps, since every step moves keys to targets that do not keep them yet. One instance of the region
decides for all of them: if each followed what it sees itself, they would send one key to several
targets, which would all have to keep it. What was decided stays in the store when all instances
end, since the targets still keep the objects by it.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from cassiashore._internal.steering.registry import RegisteredTarget

ROUNDING = 0.05  # of a share: instances must agree on it, and half a step
# Share of keys moved at a time; once in ``DECISION_INTERVAL_SECONDS`` it stays below the shift cap.
STEP = 0.1
DECISION_INTERVAL_SECONDS = 2.0  # the window in which the shift cap is judged
MIN_SHARE = 0.1  # one step: with nothing at home, nothing would show that there is room again
FULL_LOAD = 0.8  # busy slots of a region above which keys move away
LIGHT_LOAD = 0.45  # below which they come back
NO_LOAD = 0.05  # of all slots; below it the load says nothing, as before callers come
LOAD_GAP = 0.15  # by which the other regions must be less loaded


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Slots of a service's targets and how many of them are busy."""

    slots: int
    busy: float

    @property
    def utilisation(self) -> float:
        """Return busy slots per slot."""
        return self.busy / self.slots if self.slots else 1.0


def initial_share(own_slots: int, all_slots: int, own_instances: int, all_instances: int) -> float:
    """Return the part of its requests for which a region has room.

    >>> initial_share(12, 96, 3, 10)
    0.4
    >>> initial_share(48, 96, 3, 10)
    1.0
    """
    if own_slots == 0 or own_instances == 0:
        return MIN_SHARE
    room = own_slots / max(1, all_slots)
    demand = own_instances / max(1, all_instances)
    return min(1.0, max(MIN_SHARE, _rounded(room / demand)))


def next_share(share: float, own: RegionLoad, others: RegionLoad) -> float:
    """Return the part of its requests that a region keeps from now on.

    >>> next_share(0.5, RegionLoad(10, 10), RegionLoad(50, 20))
    0.4
    >>> next_share(0.5, RegionLoad(10, 3), RegionLoad(50, 20))
    0.6
    """
    if others.slots == 0:
        return 1.0
    if own.utilisation > FULL_LOAD and own.utilisation > others.utilisation + LOAD_GAP:
        return max(MIN_SHARE, _rounded(share - STEP))
    if own.utilisation < LIGHT_LOAD and share < 1.0:
        return min(1.0, _rounded(share + STEP))
    return share


def _rounded(share: float) -> float:
    return round(round(share / ROUNDING) * ROUNDING, 4)


class RegionBalance:
    """The part that the own region keeps, by service."""

    def __init__(self, own_region: str) -> None:
        """Start with no service known."""
        self._own_region = own_region
        self._initial_by_service: dict[str, float] = {}
        self._share_by_service: dict[str, float] = {}

    def share(self, service: str) -> float:
        """Return the part of a service's requests that the own region keeps."""
        decided = self._share_by_service.get(service)
        return self._initial_by_service.get(service, 1.0) if decided is None else decided

    def merged_decisions(
        self, share_by_service: dict[str, float], services: Container[str]
    ) -> dict[str, float]:
        """Return all that holds with new decisions, for services that there still are.

        What is published stands for itself, and outlasts the services of a day.
        """
        shares = {**self._share_by_service, **share_by_service}
        return {service: share for service, share in shares.items() if service in services}

    def apply_decisions(self, share_by_service: dict[str, float]) -> None:
        """Take over what the deciding instance of the region says."""
        for service, share in share_by_service.items():
            self._share_by_service[service] = min(1.0, max(MIN_SHARE, share))

    def set_initial_share(
        self,
        service: str,
        targets: list[RegisteredTarget],
        own_instances: int,
        all_instances: int,
    ) -> None:
        """Take in the room of a region, which counts until something was decided."""
        here = sum(t.report.slots for t in targets if t.region == self._own_region)
        slots = sum(t.report.slots for t in targets)
        self._initial_by_service[service] = initial_share(here, slots, own_instances, all_instances)

    def decide(self, service: str, targets: list[RegisteredTarget], now: float) -> float | None:
        """Return the part for the load of a service's targets, or None to leave it as it is."""
        own = _load_of([t for t in targets if t.region == self._own_region], now)
        others = _load_of([t for t in targets if t.region != self._own_region], now)
        if own.busy + others.busy <= NO_LOAD * (own.slots + others.slots):
            return None
        share = next_share(self.share(service), own, others)
        return None if share == self.share(service) else share


def _load_of(targets: list[RegisteredTarget], now: float) -> RegionLoad:
    slots = sum(t.report.slots for t in targets)
    return RegionLoad(slots, sum(t.load.busy(now) for t in targets))
