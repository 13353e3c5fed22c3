"""What is known of the other failure domains, from digests."""

from __future__ import annotations

from dataclasses import dataclass

from cassiashore._internal.peers.messages import DomainDigest, Gateway, ServiceLoad

STALE_AFTER_SECONDS = 6.0  # six digest intervals
DOMAINS_PER_BASE_INTERVAL = 7  # digests of seven fit the 4 KB a second of control
MAX_VIEW_AGE_SECONDS = (
    3600.0  # far beyond any outage between failure domains that is steered through
)


@dataclass(frozen=True, slots=True)
class DomainView:
    """A digest with the own time at which it was made."""

    digest: DomainDigest
    created_at: float

    def age(self, now: float) -> float:
        """Return the age of the digest in seconds."""
        return now - self.created_at

    def load_of(self, service: str) -> ServiceLoad | None:
        """Return the load of a service there."""
        for load in self.digest.loads:
            if load.service == service:
                return load
        return None


class DomainTable:
    """The newest digest of each other failure domain, by its name."""

    def __init__(self, own_domain: str) -> None:
        """Create an empty table."""
        self._own_domain = own_domain
        self.view_by_domain: dict[str, DomainView] = {}

    def merge(self, digest: DomainDigest, now: float) -> bool:
        """Keep a digest if it is newer than the one known; tell whether it is."""
        if digest.failure_domain == self._own_domain:
            return False
        created_at = now - digest.age_ms / 1000
        known = self.view_by_domain.get(digest.failure_domain)
        if known is not None and known.created_at >= created_at:
            return False
        self.view_by_domain[digest.failure_domain] = DomainView(digest, created_at)
        return True

    def interval_factor(self) -> float:
        """Return by how much digest intervals stretch with the number of failure domains."""
        return max(1.0, len(self.view_by_domain) / DOMAINS_PER_BASE_INTERVAL)

    def fresh(self, now: float) -> list[DomainView]:
        """Return the views that are recent enough to steer by."""
        limit = STALE_AFTER_SECONDS * self.interval_factor()
        return [view for view in self.view_by_domain.values() if view.age(now) <= limit]

    def gateways(self, now: float) -> list[Gateway]:
        """Return the instances of other failure domains that take requests."""
        return [
            gateway
            for view in self.fresh(now)
            for gateway in view.digest.gateways
            if gateway.ready and not gateway.leaving
        ]

    def known_versions(self) -> dict[str, int]:
        """Return the catalogue version last heard of each failure domain."""
        return {name: view.digest.version for name, view in self.view_by_domain.items()}

    def remove_expired(self, now: float) -> None:
        """Drop views that are too old to be of any use."""
        for name in [
            n for n, v in self.view_by_domain.items() if v.age(now) > MAX_VIEW_AGE_SECONDS
        ]:
            del self.view_by_domain[name]
