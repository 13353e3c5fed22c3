"""State of the other failure domains, as reported by their digests."""

from __future__ import annotations

from dataclasses import dataclass

from cassiashore._internal.peers.messages import DomainDigest, Gateway, ServiceLoad

STALE_AFTER_SECONDS = 6.0  # six digest intervals; older views are not used for routing
# Digests of seven failure domains fit into the 4 KB per second allowed for control traffic.
DOMAINS_PER_BASE_INTERVAL = 7
# Longer than any outage between failure domains after which the old digests could still be used.
MAX_VIEW_AGE_SECONDS = 3600.0


@dataclass(frozen=True, slots=True)
class DomainView:
    """A digest and when it was created, in seconds of this instance's monotonic clock."""

    digest: DomainDigest
    created_at: float

    def age(self, now: float) -> float:
        """Return the age of the digest in seconds."""
        return now - self.created_at

    def load_of(self, service: str) -> ServiceLoad | None:
        """Return the load that the digest reports for a service, or None."""
        for load in self.digest.loads:
            if load.service == service:
                return load
        return None


class DomainTable:
    """The newest digest of each other failure domain, by the domain's name."""

    def __init__(self, own_domain: str) -> None:
        """Create an empty table."""
        self._own_domain = own_domain
        self.view_by_domain: dict[str, DomainView] = {}

    def merge(self, digest: DomainDigest, now: float) -> bool:
        """Store a digest if it is newer than the known one; return whether it was."""
        if digest.failure_domain == self._own_domain:
            return False
        created_at = now - digest.age_ms / 1000
        known = self.view_by_domain.get(digest.failure_domain)
        if known is not None and known.created_at >= created_at:
            return False
        self.view_by_domain[digest.failure_domain] = DomainView(digest, created_at)
        return True

    def interval_factor(self) -> float:
        """Return the factor by which the number of failure domains lengthens digest intervals."""
        return max(1.0, len(self.view_by_domain) / DOMAINS_PER_BASE_INTERVAL)

    def fresh(self, now: float) -> list[DomainView]:
        """Return the views that are recent enough for routing decisions."""
        limit = STALE_AFTER_SECONDS * self.interval_factor()
        return [view for view in self.view_by_domain.values() if view.age(now) <= limit]

    def gateways(self, now: float) -> list[Gateway]:
        """Return the instances of other failure domains that accept requests."""
        return [
            gateway
            for view in self.fresh(now)
            for gateway in view.digest.gateways
            if gateway.ready and not gateway.leaving
        ]

    def known_versions(self) -> dict[str, int]:
        """Return the catalogue version that each failure domain last reported."""
        return {name: view.digest.version for name, view in self.view_by_domain.items()}

    def remove_expired(self, now: float) -> None:
        """Remove views older than ``MAX_VIEW_AGE_SECONDS``."""
        for name in [
            n for n, v in self.view_by_domain.items() if v.age(now) > MAX_VIEW_AGE_SECONDS
        ]:
            del self.view_by_domain[name]
