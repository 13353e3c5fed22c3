"""Limits on requests moved between failure domains or regions, and on bytes between regions.

The operator's shift cap is divided into an integer share per target, and the shares add up to the
cap. Only the holder of a target's admission right may use the target's share, and a new holder may
use it only after a full window. So the sum over all instances stays under the cap in every window,
without any messages between them. ``docs/PROOFS.md`` explains why.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cassiashore._internal.admission.rights import AdmissionRights, Right
from cassiashore._internal.admission.window import SlidingWindow, TokenBucket
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.catalogue.schema import ShiftCapScope

CATALOGUE_PROPAGATION_SECONDS = 15.0  # every instance has a new version by then
LINK_BURST_SECONDS = 0.05
USES_PER_DIRECTION = 2


@dataclass(slots=True)
class _HeldShare:
    right: Right
    share: int
    usable_at: float


class ShiftLimiter:
    """Admits moved requests up to the shares of the cap that this instance may use."""

    def __init__(
        self, rights: AdmissionRights, failure_domain: str, monotonic: Callable[[], float]
    ) -> None:
        """Create a limiter that admits no moved request until a catalogue is applied."""
        self._rights = rights
        self._failure_domain = failure_domain
        self._monotonic = monotonic
        self._catalogue: Catalogue | None = None
        self._window = SlidingWindow(1.0)
        self._held_by_target: dict[str, _HeldShare] = {}
        self._previous_shares: list[tuple[float, dict[str, int]]] = []
        self._share_by_target: dict[str, int] = {}

    def update(self, catalogue: Catalogue) -> None:
        """Apply a catalogue version.

        While other instances may still use the old version, a target's share is the smaller of its
        old and new value.
        """
        shares = {
            target.key: target.shift_share
            for service in catalogue.service_by_name.values()
            for target in service.target_by_name.values()
            if target.failure_domain == self._failure_domain
        }
        if self._catalogue is not None:
            until = self._monotonic() + CATALOGUE_PROPAGATION_SECONDS
            self._previous_shares.append((until, self._share_by_target))
        self._catalogue = catalogue
        self._share_by_target = shares
        if catalogue.shift_cap.window_seconds != self._window.seconds:
            self._window.seconds = catalogue.shift_cap.window_seconds

    def is_move(self, home_region: str, home_domain: str) -> bool:
        """Return whether a request that runs here leaves its home region or failure domain."""
        catalogue = self._catalogue
        if catalogue is None:
            return False
        if catalogue.shift_cap.scope is ShiftCapScope.REGION:
            return catalogue.region_by_failure_domain.get(self._failure_domain) != home_region
        return self._failure_domain != home_domain

    def allowance(self) -> int:
        """Return how many moved requests this instance may admit per window."""
        now = self._monotonic()
        self._previous_shares = [
            (until, shares) for until, shares in self._previous_shares if until > now
        ]
        self._sync_with_rights(now)
        return sum(
            min([held_share.share, *(shares.get(key, 0) for _, shares in self._previous_shares)])
            for key, held_share in self._held_by_target.items()
            if now >= held_share.usable_at
        )

    def remaining(self) -> int:
        """Return how many more moved requests may be admitted now."""
        return max(0, self.allowance() - self._window.count(self._monotonic()))

    def try_admit(self) -> bool:
        """Count a moved request if the shares allow it; return whether they do."""
        return self._window.try_add(self._monotonic(), self.allowance())

    def _sync_with_rights(self, now: float) -> None:
        held = self._rights.right_by_target
        for key in [k for k in self._held_by_target if k not in held]:
            del self._held_by_target[key]
        for key, right in held.items():
            share = self._share_by_target.get(key, 0)
            held_share = self._held_by_target.get(key)
            if held_share is None or held_share.right is not right:
                self._held_by_target[key] = _HeldShare(right, share, now + self._window.seconds)
            else:
                held_share.share = share


class LinkRateLimiter:
    """Limits bytes between regions to this instance's share of each link's bandwidth.

    The bandwidth of a link in one direction is divided by use (requests of one region, responses to
    the other) and then among instances by the slots that they hold in their region.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Create a limiter whose rate is zero until ``set_rate``."""
        self._monotonic = monotonic
        self._rate = 0.0
        self._bucket_by_region: dict[str, TokenBucket] = {}

    def set_rate(self, link_bytes_per_second: float, share: float) -> None:
        """Set this instance's share of every link, between 0 and 1."""
        self._rate = link_bytes_per_second * share / USES_PER_DIRECTION
        for bucket in self._bucket_by_region.values():
            bucket.rate = self._rate
            bucket.burst = self._rate * LINK_BURST_SECONDS

    def reserve(self, region: str, size: int) -> float:
        """Reserve ``size`` bytes on the link to a region; return the seconds to wait first."""
        now = self._monotonic()
        bucket = self._bucket_by_region.get(region)
        if bucket is None:
            bucket = TokenBucket(self._rate, self._rate * LINK_BURST_SECONDS, now)
            self._bucket_by_region[region] = bucket
        return bucket.reserve(size, now)
