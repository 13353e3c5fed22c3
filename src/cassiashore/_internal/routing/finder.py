"""Lists the places where a request of a service can run."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from cassiashore._internal.admission.slots import ServiceSlots
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.catalogue.schema import ShiftCapScope
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers.membership import Membership
from cassiashore._internal.peers.messages import Gateway, Identity, ServiceLoad
from cassiashore._internal.routing.domains import DomainTable, DomainView
from cassiashore._internal.routing.outstanding import OutstandingRequests
from cassiashore._internal.routing.places import Place, PlaceKind

CACHE_SECONDS = 0.05  # a tenth of the heartbeat interval, at which loads change
PEER_ROUND_TRIP_SECONDS = 0.0005  # within a failure domain
SECONDS_PER_MILLISECOND = 0.001


@dataclass(frozen=True, slots=True)
class _CacheKey:
    service: str
    home_region: str
    home_domain: str


@dataclass(frozen=True, slots=True)
class _CacheEntry:
    valid_until: float
    version: int
    places: list[Place]


class PlaceFinder:
    """Builds places from the load reports of members and of other failure domains.

    The list of other places is cached for ``CACHE_SECONDS``, so that its cost does not grow with
    the request rate.
    """

    def __init__(
        self,
        own: Identity,
        membership: Membership,
        domains: DomainTable,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Store the sources of the load reports."""
        self._own = own
        self._membership = membership
        self._domains = domains
        self._monotonic = monotonic
        self._rng = rng
        self._cache: dict[_CacheKey, _CacheEntry] = {}
        self.outstanding = OutstandingRequests(monotonic)

    def local_place(
        self, slots: ServiceSlots, catalogue: Catalogue, home_region: str, home_domain: str
    ) -> Place:
        """Describe this instance as a place."""
        totals = slots.totals()
        domain = self._own.failure_domain
        return Place(
            kind=PlaceKind.LOCAL,
            name=self._own.instance,
            failure_domain=domain,
            region=catalogue.region_by_failure_domain.get(domain, ""),
            address=None,
            round_trip=0.0,
            free=totals.free,
            total=totals.total,
            queued=slots.queued,
            latency=totals.latency,
            is_move=self._is_move(catalogue, domain, home_region, home_domain),
        )

    def other_places(
        self, service: str, catalogue: Catalogue, home_region: str, home_domain: str
    ) -> list[Place]:
        """List the other instances of this failure domain and the other failure domains."""
        now = self._monotonic()
        key = _CacheKey(service, home_region, home_domain)
        entry = self._cache.get(key)
        if entry is not None and now < entry.valid_until and entry.version == catalogue.version:
            return [
                place for place in entry.places if not self.outstanding.is_full(place.name, service)
            ]
        places = [
            *self._peer_places(service, catalogue, home_region, home_domain),
            *self._remote_places(service, catalogue, home_region, home_domain, now),
        ]
        self._cache[key] = _CacheEntry(now + CACHE_SECONDS, catalogue.version, places)
        return places

    def identity_of(self, incarnation: str) -> Identity | None:
        """Find a running instance by its incarnation."""
        member = self._membership.member_by_incarnation.get(incarnation)
        if member is not None and member in self._membership.alive():
            return member.identity
        for gateway in self._all_gateways():
            if gateway.identity.incarnation == incarnation:
                return gateway.identity
        return None

    def identity_at(self, address: Address) -> Identity | None:
        """Find a running instance by the address of its HTTP service."""
        text = str(address)
        for member in self._membership.alive():
            if member.identity.address == text:
                return member.identity
        for gateway in self._all_gateways():
            if gateway.identity.address == text:
                return gateway.identity
        return None

    def _all_gateways(self) -> list[Gateway]:
        views = self._domains.view_by_domain.values()
        return [gateway for view in views for gateway in view.digest.gateways]

    def _peer_places(
        self, service: str, catalogue: Catalogue, home_region: str, home_domain: str
    ) -> list[Place]:
        domain = self._own.failure_domain
        region = catalogue.region_by_failure_domain.get(domain, "")
        is_move = self._is_move(catalogue, domain, home_region, home_domain)
        places = []
        for member in self._membership.alive():
            load = _load_of(member.loads, service)
            if load is None or member.leaving or not member.ready or load.total == 0:
                continue
            places.append(
                self._build_place(
                    PlaceKind.PEER,
                    member.identity,
                    load,
                    region,
                    PEER_ROUND_TRIP_SECONDS,
                    member.identity.instance,
                    is_move,
                )
            )
        return places

    def _remote_places(
        self, service: str, catalogue: Catalogue, home_region: str, home_domain: str, now: float
    ) -> list[Place]:
        own_region = catalogue.region_by_failure_domain.get(self._own.failure_domain, "")
        places = []
        for view in self._domains.fresh(now):
            domain = view.digest.failure_domain
            region = catalogue.region_by_failure_domain.get(domain)
            load = view.load_of(service)
            gateway = self._choose_gateway(view)
            if region is None or load is None or gateway is None or load.total == 0:
                continue
            if domain in catalogue.drains.failure_domains:
                continue
            round_trip = 2 * SECONDS_PER_MILLISECOND * catalogue.latency_ms(own_region, region)
            is_move = self._is_move(catalogue, domain, home_region, home_domain)
            places.append(
                self._build_place(
                    PlaceKind.REMOTE, gateway.identity, load, region, round_trip, domain, is_move
                )
            )
        return places

    def _build_place(
        self,
        kind: PlaceKind,
        identity: Identity,
        load: ServiceLoad,
        region: str,
        round_trip: float,
        name: str,
        is_move: bool,
    ) -> Place:
        return Place(
            kind=kind,
            name=name,
            failure_domain=identity.failure_domain,
            region=region,
            address=Address.parse(identity.address),
            round_trip=round_trip,
            free=self.outstanding.free_slots(name, load),
            total=load.total,
            queued=load.queued,
            latency=load.latency_ms * SECONDS_PER_MILLISECOND,
            is_move=is_move,
        )

    def _choose_gateway(self, view: DomainView) -> Gateway | None:
        usable = [g for g in view.digest.gateways if g.ready and not g.leaving]
        return self._rng.choice(usable) if usable else None

    def _is_move(
        self, catalogue: Catalogue, domain: str, home_region: str, home_domain: str
    ) -> bool:
        if catalogue.shift_cap.scope is ShiftCapScope.REGION:
            return catalogue.region_by_failure_domain.get(domain) != home_region
        return domain != home_domain


def _load_of(loads: list[ServiceLoad], service: str) -> ServiceLoad | None:
    for load in loads:
        if load.service == service:
            return load
    return None
