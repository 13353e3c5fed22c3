"""Look-ups: which instances a caller should use.

The answer for a block of client addresses is computed, not stored: weighted rendezvous hashing
over failure domains gives each block instances that change as little as possible. When the
utilisation of the home region is too high, a share of its blocks is sent to other regions; the
blocks have a fixed order, so the same ones are always sent first.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import ip_address, ip_network

from cassiashore._internal.catalogue.index import Catalogue, Service
from cassiashore._internal.catalogue.schema import Objective
from cassiashore._internal.models.hashing import HASH_RANGE, hash64
from cassiashore._internal.peers.gossip import OwnState
from cassiashore._internal.peers.membership import Membership
from cassiashore._internal.peers.messages import Gateway, Identity, ServiceLoad
from cassiashore._internal.requests.keys import new_ticket
from cassiashore._internal.routing.domains import DomainTable

IPV4_BLOCK_BITS = 24
IPV6_BLOCK_BITS = 56
SUMMARY_CACHE_SECONDS = 0.25  # half of the heartbeat interval, at which loads change
# Number of client addresses; a thousand look-ups per second contain fewer in 10 s.
MAX_CACHED_HOMES = 10_000

# Share of a region's slots in use above which callers are sent to other regions.
MAX_UTILISATION_BY_OBJECTIVE = {Objective.LATENCY: 0.85, Objective.HEADROOM: 0.6}


@dataclass(frozen=True, slots=True)
class LookupInstance:
    """An instance that a caller may use, and a ticket from which the caller forms request keys."""

    instance: str
    address: str
    failure_domain: str
    region: str
    ticket: str


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """The answer to a look-up; ``ttl_seconds`` is how long it may be cached."""

    service: str
    version: int
    ttl_seconds: int
    region: str
    reason: str
    instances: list[LookupInstance]


@dataclass(slots=True)
class _DomainSummary:
    name: str
    region: str
    free: int
    total: int
    gateways: list[Gateway]


@dataclass(slots=True)
class _ServiceSummary:
    """Loads by region and failure domain, cached for many look-ups."""

    valid_until: float
    version: int
    domains_by_region: dict[str, list[_DomainSummary]] = field(default_factory=dict)

    def utilisation(self, region: str) -> float:
        domains = self.domains_by_region.get(region, [])
        total = sum(domain.total for domain in domains)
        return 1.0 - sum(domain.free for domain in domains) / total if total else 1.0


def block_of(client: str) -> str:
    """Return the block of a client address: its /24 network, or its /56 network for IPv6.

    >>> block_of("127.1.2.3")
    '127.1.2.0/24'
    """
    address = ip_address(client)
    bits = IPV4_BLOCK_BITS if address.version == 4 else IPV6_BLOCK_BITS
    return str(ip_network(f"{client}/{bits}", strict=False))


def weighted_rendezvous(key: str, weight_by_name: dict[str, float]) -> str | None:
    """Choose a name for a key, with a probability proportional to the name's weight.

    The same key gets the same name. Uses the logarithmic method of Schindelhauer and Schomaker
    (2005): a change of one weight moves keys only to or from that name.
    """
    best: str | None = None
    best_score = -math.inf
    for name, weight in weight_by_name.items():
        if weight <= 0:
            continue
        fraction = (hash64(f"{key}|{name}") + 0.5) / HASH_RANGE
        score = -weight / math.log(fraction)
        if score > best_score:
            best, best_score = name, score
    return best


class LookupService:
    """Answers look-ups for one instance."""

    def __init__(
        self,
        own: Identity,
        own_state: Callable[[], OwnState],
        membership: Membership,
        domains: DomainTable,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create a service that answers nothing until ``catalogue`` is set."""
        self.catalogue: Catalogue | None = None
        self._own = own
        self._own_state = own_state
        self._membership = membership
        self._domains = domains
        self._monotonic = monotonic
        self._rng = rng
        self._summaries: dict[str, _ServiceSummary] = {}
        self._home_by_client: dict[str, tuple[str, str]] = {}
        self._homes_version = 0

    def home_of(self, client: str) -> tuple[str, str]:
        """Return the home region and failure domain of a client address."""
        version = self.catalogue.version if self.catalogue else 0
        if version != self._homes_version or len(self._home_by_client) >= MAX_CACHED_HOMES:
            self._home_by_client.clear()
            self._homes_version = version
        home = self._home_by_client.get(client)
        if home is None:
            home = self._home_by_client[client] = self._find_home(client)
        return home

    def _find_home(self, client: str) -> tuple[str, str]:
        catalogue = self.catalogue
        own_domain = self._own.failure_domain
        if catalogue is None:
            return "", own_domain
        own_region = catalogue.region_by_failure_domain.get(own_domain, "")
        region = catalogue.region_of_client(client) or own_region
        if region == own_region:
            return region, own_domain
        names = sorted(d for d, r in catalogue.region_by_failure_domain.items() if r == region)
        return region, names[0] if names else own_domain

    def answer(self, service_name: str, client: str) -> LookupAnswer | None:
        """Answer a look-up; return None for an unknown service or when no catalogue is active."""
        catalogue = self.catalogue
        service = catalogue.service_by_name.get(service_name) if catalogue else None
        if catalogue is None or service is None:
            return None
        summary = self._summary(service, catalogue)
        block = block_of(client)
        home, _ = self.home_of(client)
        region, reason = self._choose_region(service, catalogue, summary, home, block)
        instances = self._choose_instances(catalogue, summary, region, home, block)
        return LookupAnswer(
            service=service_name,
            version=catalogue.version,
            ttl_seconds=catalogue.lookup.ttl_seconds,
            region=region,
            reason=reason,
            instances=instances,
        )

    def _choose_region(
        self,
        service: Service,
        catalogue: Catalogue,
        summary: _ServiceSummary,
        home: str,
        block: str,
    ) -> tuple[str, str]:
        max_utilisation = MAX_UTILISATION_BY_OBJECTIVE[service.objective]
        utilisation = summary.utilisation(home)
        if home in summary.domains_by_region and utilisation <= max_utilisation:
            return home, "home"
        # Each block has a fixed position between 0 and 1; the lowest positions leave home first.
        position = hash64(f"{block}|overflow") / HASH_RANGE
        overflow_share = (
            1.0
            if home not in summary.domains_by_region
            else (utilisation - max_utilisation) / utilisation
        )
        if position >= overflow_share:
            return home, "home"
        others = [r for r in summary.domains_by_region if r != home]
        others.sort(key=lambda r: catalogue.latency_ms(home, r))
        for region in others:
            if summary.utilisation(region) < max_utilisation:
                return region, "overflow"
        return (
            (home, "home-full")
            if home in summary.domains_by_region
            else _first_region(others, home)
        )

    def _choose_instances(
        self,
        catalogue: Catalogue,
        summary: _ServiceSummary,
        region: str,
        home: str,
        block: str,
    ) -> list[LookupInstance]:
        max_instances = catalogue.lookup.instances
        ordered: list[Gateway] = []
        regions = [region, *sorted(set(summary.domains_by_region) - {region})]
        regions[1:] = sorted(regions[1:], key=lambda r: catalogue.latency_ms(home, r))
        for name in regions:
            ordered.extend(self._order_in_region(summary, name, block))
            if len(ordered) >= max_instances:
                break
        return [self._describe_instance(catalogue, gateway) for gateway in ordered[:max_instances]]

    def _order_in_region(self, summary: _ServiceSummary, region: str, block: str) -> list[Gateway]:
        remaining = list(summary.domains_by_region.get(region, []))
        ordered: list[Gateway] = []
        while remaining:
            weights = {domain.name: float(domain.total) for domain in remaining}
            chosen = weighted_rendezvous(block, weights) or remaining[0].name
            domain = next(domain for domain in remaining if domain.name == chosen)
            remaining.remove(domain)
            ordered.extend(
                sorted(
                    domain.gateways,
                    key=lambda g: hash64(f"{block}|{g.identity.instance}"),
                )
            )
        return ordered

    def _describe_instance(self, catalogue: Catalogue, gateway: Gateway) -> LookupInstance:
        identity = gateway.identity
        return LookupInstance(
            instance=identity.instance,
            address=identity.address,
            failure_domain=identity.failure_domain,
            region=catalogue.region_by_failure_domain.get(identity.failure_domain, ""),
            ticket=new_ticket(identity.incarnation, gateway.key_slot),
        )

    def _summary(self, service: Service, catalogue: Catalogue) -> _ServiceSummary:
        now = self._monotonic()
        summary = self._summaries.get(service.name)
        if (
            summary is not None
            and now < summary.valid_until
            and summary.version == catalogue.version
        ):
            return summary
        summary = _ServiceSummary(now + SUMMARY_CACHE_SECONDS, catalogue.version)
        for domain in self._domain_summaries(service.name, catalogue, now):
            if domain.gateways and domain.name not in catalogue.drains.failure_domains:
                summary.domains_by_region.setdefault(domain.region, []).append(domain)
        self._summaries[service.name] = summary
        return summary

    def _domain_summaries(
        self, service: str, catalogue: Catalogue, now: float
    ) -> list[_DomainSummary]:
        state = self._own_state()
        own = Gateway(self._own, state.key_slot, state.ready, state.leaving)
        alive = self._membership.alive()
        gateways = [own, *(Gateway(m.identity, m.key_slot, m.ready, m.leaving) for m in alive)]
        loads = [state.loads, *(member.loads for member in alive)]
        summaries = [self._summarise(self._own.failure_domain, catalogue, service, gateways, loads)]
        for view in self._domains.fresh(now):
            name = view.digest.failure_domain
            if name in catalogue.region_by_failure_domain:
                digest = view.digest
                summaries.append(
                    self._summarise(name, catalogue, service, digest.gateways, [digest.loads])
                )
        return summaries

    def _summarise(
        self,
        name: str,
        catalogue: Catalogue,
        service: str,
        gateways: list[Gateway],
        loads: list[list[ServiceLoad]],
    ) -> _DomainSummary:
        matching = [load for group in loads for load in group if load.service == service]
        usable = [
            g
            for g in gateways
            if g.ready
            and not g.leaving
            and not catalogue.instance_is_draining(g.identity.instance, name)
        ]
        return _DomainSummary(
            name=name,
            region=catalogue.region_by_failure_domain.get(name, ""),
            free=sum(load.free for load in matching),
            total=sum(load.total for load in matching),
            gateways=usable,
        )


def _first_region(regions: list[str], default: str) -> tuple[str, str]:
    return (regions[0], "any") if regions else (default, "none")
