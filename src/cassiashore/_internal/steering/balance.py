"""Share of a service's keys that a region serves with its own targets.

A region may have a third of the callers and an eighth of a service's slots. If each request prefers
its own region, the targets there are always full, and requests overflow to targets in other regions
that have not cached their objects. So a stable share of the keys is assigned to other regions, as
large as the capacity that the region lacks.

The initial share compares the region's fraction of the slots with its fraction of the instances,
over which callers are spread. It is then adjusted to the reported load in small steps, since each
step moves keys to targets that have not cached them. One instance decides for the whole region: if
each one used its own estimates, they would send the same key to several targets, which would all
have to cache its object. The decisions stay in the store when all instances stop, since the caches
of the targets still match them.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from cassiashore._internal.steering.registry import RegisteredTarget

SHARE_ROUNDING = 0.05  # half a step; shares are rounded so that all instances agree on them
# Share of the keys moved at a time; one step in each interval stays below the shift cap.
SHARE_STEP = 0.1
DECISION_INTERVAL_SECONDS = 2.0  # the window of the shift cap, so that it contains one step
# One step: without requests, the region would not notice that it has free capacity again.
MIN_SHARE = 0.1
HIGH_UTILISATION = 0.8  # of the region, above which keys move to other regions
LOW_UTILISATION = 0.45  # of the region, below which keys move back
MIN_UTILISATION = 0.05  # of all regions; at or below it, as before callers arrive, the share stays
UTILISATION_GAP = 0.15  # by which the other regions must be less utilised to receive keys


@dataclass(frozen=True, slots=True)
class RegionLoad:
    """Number of slots, and of busy slots, of a group of targets."""

    slots: int
    busy: float

    @property
    def utilisation(self) -> float:
        """Return the ratio of busy slots to all slots; 1 if there are none."""
        return self.busy / self.slots if self.slots else 1.0


def initial_share(own_slots: int, all_slots: int, own_instances: int, all_instances: int) -> float:
    """Return the share of a region by its slots and instances, without load.

    >>> initial_share(12, 96, 3, 10)
    0.4
    >>> initial_share(48, 96, 3, 10)
    1.0
    """
    if own_slots == 0 or own_instances == 0:
        return MIN_SHARE
    slot_share = own_slots / max(1, all_slots)
    instance_share = own_instances / max(1, all_instances)
    return min(1.0, max(MIN_SHARE, _rounded(slot_share / instance_share)))


def next_share(share: float, own: RegionLoad, others: RegionLoad) -> float:
    """Return the share of a region, moved by at most one step according to the load.

    >>> next_share(0.5, RegionLoad(10, 10), RegionLoad(50, 20))
    0.4
    >>> next_share(0.5, RegionLoad(10, 3), RegionLoad(50, 20))
    0.6
    """
    if others.slots == 0:
        return 1.0
    if (
        own.utilisation > HIGH_UTILISATION
        and own.utilisation > others.utilisation + UTILISATION_GAP
    ):
        return max(MIN_SHARE, _rounded(share - SHARE_STEP))
    if own.utilisation < LOW_UTILISATION and share < 1.0:
        return min(1.0, _rounded(share + SHARE_STEP))
    return share


def _rounded(share: float) -> float:
    return round(round(share / SHARE_ROUNDING) * SHARE_ROUNDING, 4)


class RegionBalance:
    """The share of the own region for each service."""

    def __init__(self, own_region: str) -> None:
        """Create a balance without services."""
        self._own_region = own_region
        self._initial_by_service: dict[str, float] = {}
        self._share_by_service: dict[str, float] = {}

    def share(self, service: str) -> float:
        """Return the share of a service's keys that the own region serves."""
        decided = self._share_by_service.get(service)
        return self._initial_by_service.get(service, 1.0) if decided is None else decided

    def merged_decisions(
        self, share_by_service: dict[str, float], services: Container[str]
    ) -> dict[str, float]:
        """Return the current decisions updated with new ones, for existing services only.

        The published value must be complete, and must not collect services that were removed.
        """
        shares = {**self._share_by_service, **share_by_service}
        return {service: share for service, share in shares.items() if service in services}

    def apply_decisions(self, share_by_service: dict[str, float]) -> None:
        """Apply the shares that the deciding instance of the region published."""
        for service, share in share_by_service.items():
            self._share_by_service[service] = min(1.0, max(MIN_SHARE, share))

    def set_initial_share(
        self,
        service: str,
        targets: list[RegisteredTarget],
        own_instances: int,
        all_instances: int,
    ) -> None:
        """Set the share of a service that is used until the first decision."""
        own_slots = sum(t.report.slots for t in targets if t.region == self._own_region)
        slots = sum(t.report.slots for t in targets)
        self._initial_by_service[service] = initial_share(
            own_slots, slots, own_instances, all_instances
        )

    def decide(self, service: str, targets: list[RegisteredTarget], now: float) -> float | None:
        """Return the new share for the load of a service's targets, or None if unchanged."""
        own = _load_of([t for t in targets if t.region == self._own_region], now)
        others = _load_of([t for t in targets if t.region != self._own_region], now)
        if own.busy + others.busy <= MIN_UTILISATION * (own.slots + others.slots):
            return None
        share = next_share(self.share(service), own, others)
        return None if share == self.share(service) else share


def _load_of(targets: list[RegisteredTarget], now: float) -> RegionLoad:
    slots = sum(t.report.slots for t in targets)
    return RegionLoad(slots, sum(t.load.busy(now) for t in targets))
