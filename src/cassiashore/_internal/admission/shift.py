"""The operator's cap on requests moved between places, and the budgets of region links.

Each target carries a whole part of the cap, and the parts add up to it. Only the holder of a
target's admission right may spend its part, and a right that changed hands brings its part only
after a whole window. So the sum over all instances stays under the cap in every window, without
messages. ``docs/PROOFS.md`` gives the argument.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cassiashore._internal.admission.rights import AdmissionRights, Right
from cassiashore._internal.admission.window import SlidingWindow, TokenBucket
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.catalogue.schema import Scope

CATALOGUE_PROPAGATION_SECONDS = 15.0
LINK_BURST_SECONDS = 0.05
DIRECTIONS_PER_LINK = 2


@dataclass(slots=True)
class _Part:
    right: Right
    share: int
    usable_at: float


class ShiftLimiter:
    """Admits moved requests within the parts of the cap that this instance may spend."""

    def __init__(
        self, rights: AdmissionRights, failure_domain: str, monotonic: Callable[[], float]
    ) -> None:
        """Create a limiter that admits nothing until a catalogue is applied."""
        self._rights = rights
        self._failure_domain = failure_domain
        self._monotonic = monotonic
        self._catalogue: Catalogue | None = None
        self._window = SlidingWindow(1.0)
        self._part_by_target: dict[str, _Part] = {}
        self._lowered: list[tuple[float, dict[str, int]]] = []
        self._share_by_target: dict[str, int] = {}

    def update(self, catalogue: Catalogue) -> None:
        """Apply a catalogue version.

        Until every instance must have it, a target's part is the smaller of its old and new one.
        """
        shares = {
            target.key: target.shift_share
            for service in catalogue.service_by_name.values()
            for target in service.target_by_name.values()
            if target.failure_domain == self._failure_domain
        }
        if self._catalogue is not None:
            until = self._monotonic() + CATALOGUE_PROPAGATION_SECONDS
            self._lowered.append((until, self._share_by_target))
        self._catalogue = catalogue
        self._share_by_target = shares
        if catalogue.shift_cap.window_seconds != self._window.seconds:
            self._window.seconds = catalogue.shift_cap.window_seconds

    def is_move(self, home_region: str, home_domain: str) -> bool:
        """Tell whether running a request here moves it away from its home place."""
        catalogue = self._catalogue
        if catalogue is None:
            return False
        if catalogue.shift_cap.scope is Scope.REGION:
            return catalogue.region_by_failure_domain.get(self._failure_domain) != home_region
        return self._failure_domain != home_domain

    def allowance(self) -> int:
        """Return how many moved requests this instance may admit in a window."""
        now = self._monotonic()
        self._lowered = [(until, shares) for until, shares in self._lowered if until > now]
        self._follow_rights(now)
        return sum(
            min([part.share, *(shares.get(key, 0) for _, shares in self._lowered)])
            for key, part in self._part_by_target.items()
            if now >= part.usable_at
        )

    def remaining(self) -> int:
        """Return how many more moved requests may be admitted now."""
        return max(0, self.allowance() - self._window.count(self._monotonic()))

    def try_admit(self) -> bool:
        """Count a moved request if the parts allow it; tell whether they do."""
        return self._window.try_add(self._monotonic(), self.allowance())

    def _follow_rights(self, now: float) -> None:
        held = self._rights.right_by_target
        for key in [k for k in self._part_by_target if k not in held]:
            del self._part_by_target[key]
        for key, right in held.items():
            share = self._share_by_target.get(key, 0)
            part = self._part_by_target.get(key)
            if part is None or part.right is not right:
                self._part_by_target[key] = _Part(right, share, now + self._window.seconds)
            else:
                part.share = share


class LinkRateLimiter:
    """Paces bytes between regions within this instance's part of each link.

    A link's budget in one direction is divided by use (requests one way, answers the other) and by
    the slots that an instance holds in its region.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Create budgets that allow nothing until ``set_rate``."""
        self._monotonic = monotonic
        self._rate = 0.0
        self._bucket_by_region: dict[str, TokenBucket] = {}

    def set_rate(self, link_bytes_per_second: float, share: float) -> None:
        """Set this instance's part of every link, ``share`` between 0 and 1."""
        self._rate = link_bytes_per_second * share / DIRECTIONS_PER_LINK
        for bucket in self._bucket_by_region.values():
            bucket.rate = self._rate
            bucket.burst = self._rate * LINK_BURST_SECONDS

    def reserve(self, region: str, size: int) -> float:
        """Take ``size`` bytes of the link to a region; return the seconds to wait first."""
        now = self._monotonic()
        bucket = self._bucket_by_region.get(region)
        if bucket is None:
            bucket = TokenBucket(self._rate, self._rate * LINK_BURST_SECONDS, now)
            self._bucket_by_region[region] = bucket
        return bucket.reserve(size, now)
