"""Places where a request can run: here, at a peer, or in another failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cassiashore._internal.models.address import Address


class PlaceKind(StrEnum):
    """How a place is reached."""

    LOCAL = "local"
    PEER = "peer"
    REMOTE = "remote"


@dataclass(frozen=True, slots=True)
class Place:
    """A place and its most recently reported load.

    ``round_trip`` and ``latency`` are in seconds; ``latency`` is the mean response time of the
    targets there. ``is_move`` tells that running there counts against the shift cap.
    """

    kind: PlaceKind
    name: str
    failure_domain: str
    region: str
    address: Address | None
    round_trip: float
    free: int
    total: int
    queued: int
    latency: float
    is_move: bool

    @property
    def utilisation(self) -> float:
        """Return the share of slots in use, 1.0 when there are none."""
        return 1.0 - self.free / self.total if self.total else 1.0

    @property
    def expected_wait(self) -> float:
        """Estimate the seconds until a slot is free there."""
        if self.free > 0:
            return 0.0
        if self.total == 0:
            return float("inf")
        return self.latency * (self.queued + 1) / self.total
