"""The indexed form of the catalogue, which instances use at run time."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network

from cassiashore._internal.catalogue.schema import (
    CatalogueSpec,
    DrainKind,
    LookupSpec,
    Objective,
    ServiceSpec,
    ShiftCapScope,
)
from cassiashore._internal.models.address import Address

DEFAULT_INTER_REGION_LATENCY_MS = 50.0
INTRA_REGION_LATENCY_MS = 1.0


@dataclass(frozen=True, slots=True)
class Target:
    """A target and its limits. ``shift_share`` is its share of the shift cap, in requests."""

    service: str
    name: str
    failure_domain: str
    address: Address
    slots: int
    connections: int
    shift_share: int

    @property
    def key(self) -> str:
        """Identify the target across services."""
        return f"{self.service}/{self.name}"


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its limits, in seconds and bytes."""

    name: str
    owner: str
    objective: Objective
    policy: str
    weight: float
    health_path: str
    probe_seconds: float
    shed_header: bytes
    max_body_bytes: int
    max_deadline_seconds: float
    queue_seconds: float
    queue_length: int
    retry_share: float
    utilisation: float
    target_by_name: dict[str, Target]


@dataclass(frozen=True, slots=True)
class ShiftCap:
    """The operator's limit on requests that run outside their home region or failure domain."""

    requests: int
    window_seconds: float
    scope: ShiftCapScope


@dataclass(frozen=True, slots=True)
class Drains:
    """Targets, instances and failure domains that operators are draining."""

    target_keys: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    failure_domains: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class NetworkTable:
    """Networks of callers, sorted by first address, to find the nearest region of an address.

    ``starts``, ``ends`` and ``regions`` are parallel lists. If networks are nested, the search
    goes backwards to the innermost network that contains the address.
    """

    starts: list[int]
    ends: list[int]
    regions: list[str]

    @classmethod
    def build(cls, pairs: list[tuple[IPv4Network | IPv6Network, str]]) -> NetworkTable:
        """Sort networks by first address, wider ones first."""
        ordered = sorted(
            pairs, key=lambda p: (_as_ipv6_int(p[0].network_address), -p[0].num_addresses)
        )
        starts = [_as_ipv6_int(network.network_address) for network, _ in ordered]
        ends = [_as_ipv6_int(network.broadcast_address) for network, _ in ordered]
        return cls(starts, ends, [region for _, region in ordered])

    def region_of(self, address: IPv4Address | IPv6Address) -> str | None:
        """Return the region of the innermost network that contains the address."""
        value = _as_ipv6_int(address)
        index = bisect_right(self.starts, value) - 1
        while index >= 0:
            if self.ends[index] >= value:
                return self.regions[index]
            index -= 1
        return None


def _as_ipv6_int(address: IPv4Address | IPv6Address) -> int:
    """Return an address as a 128-bit integer, with IPv4 addresses mapped to ``::ffff:0:0/96``."""
    if isinstance(address, IPv4Address):
        return (0xFFFF << 32) | int(address)
    return int(address)


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version of the catalogue, indexed for look-ups."""

    version: int
    region_by_failure_domain: dict[str, str]
    latency_ms_by_regions: dict[tuple[str, str], float]
    service_by_name: dict[str, Service]
    networks: NetworkTable
    shift_cap: ShiftCap
    link_bytes_per_second: float
    lookup: LookupSpec
    drains: Drains = field(default_factory=Drains)

    def latency_ms(self, source: str, destination: str) -> float:
        """Return the one-way latency between two regions in milliseconds."""
        if source == destination:
            return INTRA_REGION_LATENCY_MS
        known = self.latency_ms_by_regions.get((source, destination))
        if known is None:
            known = self.latency_ms_by_regions.get((destination, source))
        return DEFAULT_INTER_REGION_LATENCY_MS if known is None else known

    def region_of_client(self, client: str) -> str | None:
        """Return the region nearest to a client address, or None if no network contains it."""
        return self.networks.region_of(ip_address(client))

    def target_is_draining(self, target: Target) -> bool:
        """Tell whether operators are draining the target or its failure domain."""
        if target.failure_domain in self.drains.failure_domains:
            return True
        return target.key in self.drains.target_keys

    def instance_is_draining(self, instance: str, failure_domain: str) -> bool:
        """Tell whether operators are draining the instance or its failure domain."""
        return instance in self.drains.instances or failure_domain in self.drains.failure_domains


def build_catalogue(spec: CatalogueSpec, version: int) -> Catalogue:
    """Build the indexed form of a validated catalogue."""
    shares = _shift_shares(spec)
    services = {s.name: _build_service(s, shares) for s in spec.services}
    latency = {(r.name, o): ms for r in spec.regions for o, ms in r.latency_ms.items()}
    networks = [(ip_network(n.cidr), n.region) for n in spec.networks]
    cap = spec.shift_cap
    return Catalogue(
        version=version,
        region_by_failure_domain={d.name: d.region for d in spec.failure_domains},
        latency_ms_by_regions=latency,
        service_by_name=services,
        networks=NetworkTable.build(networks),
        shift_cap=ShiftCap(cap.requests, cap.window_ms / 1000, cap.scope),
        link_bytes_per_second=spec.link_mbit * 1_000_000 / 8,
        lookup=spec.lookup,
        drains=_build_drains(spec),
    )


def _build_drains(spec: CatalogueSpec) -> Drains:
    names: dict[DrainKind, set[str]] = {kind: set() for kind in DrainKind}
    for drain in spec.drains:
        key = f"{drain.service}/{drain.name}" if drain.service else drain.name
        names[drain.kind].add(key)
    return Drains(
        frozenset(names[DrainKind.TARGET]),
        frozenset(names[DrainKind.INSTANCE]),
        frozenset(names[DrainKind.FAILURE_DOMAIN]),
    )


def _build_service(spec: ServiceSpec, shares: dict[str, int]) -> Service:
    targets = {
        t.name: Target(
            service=spec.name,
            name=t.name,
            failure_domain=t.failure_domain,
            address=Address.parse(t.address),
            slots=t.slots,
            connections=t.connections,
            shift_share=shares[f"{spec.name}/{t.name}"],
        )
        for t in spec.targets
    }
    return Service(
        name=spec.name,
        owner=spec.owner,
        objective=spec.objective,
        policy=spec.policy,
        weight=spec.weight,
        health_path=spec.health_path,
        probe_seconds=spec.probe_seconds,
        shed_header=spec.shed_header.encode(),
        max_body_bytes=spec.limits.max_body_bytes,
        max_deadline_seconds=spec.limits.max_deadline_ms / 1000,
        queue_seconds=spec.limits.queue_ms / 1000,
        queue_length=spec.limits.queue_length,
        retry_share=spec.limits.retry_share,
        utilisation=spec.limits.utilisation,
        target_by_name=targets,
    )


def _shift_shares(spec: CatalogueSpec) -> dict[str, int]:
    """Divide the shift cap over all targets in proportion to their slots.

    Uses the largest-remainder method, so the shares are integers that add up to the cap exactly.
    """
    slots = {f"{s.name}/{t.name}": t.slots for s in spec.services for t in s.targets}
    return divide_by_weight(spec.shift_cap.requests, slots)


def divide_by_weight(total: int, weight_by_key: dict[str, int]) -> dict[str, int]:
    """Divide an integer in proportion to weights with the largest-remainder method.

    The parts are integers that add up to ``total``; ties go to the smaller key.

    >>> divide_by_weight(10, {"a": 1, "b": 1, "c": 1})
    {'a': 4, 'b': 3, 'c': 3}
    """
    weight_sum = sum(weight_by_key.values())
    parts = {key: total * weight // weight_sum for key, weight in weight_by_key.items()}
    remainder = total - sum(parts.values())
    by_remainder = sorted(
        weight_by_key, key=lambda k: (-(total * weight_by_key[k] % weight_sum), k)
    )
    for key in by_remainder[:remainder]:
        parts[key] += 1
    return parts
