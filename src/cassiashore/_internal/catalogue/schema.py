"""Pydantic models that validate the catalogue as written by operators."""

from __future__ import annotations

import ipaddress
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from cassiashore._internal.models.address import Address

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
MAX_DEADLINE_MS = 600_000
MAX_TTL_SECONDS = 300

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Fraction = Annotated[float, Field(gt=0, le=1)]


class Objective(StrEnum):
    """What routing optimises for a service: low latency, or free slots in every place."""

    LATENCY = "latency"
    HEADROOM = "headroom"


class ServiceClass(StrEnum):
    """How a service is treated when capacity is short."""

    INTERACTIVE = "interactive"
    TRANSACTION = "transaction"
    BATCH = "batch"


class DrainKind(StrEnum):
    """What is being drained."""

    TARGET = "target"
    INSTANCE = "instance"
    FAILURE_DOMAIN = "failure_domain"


class ShiftCapScope(StrEnum):
    """Whether requests count against the shift cap when they leave their region or domain."""

    REGION = "region"
    FAILURE_DOMAIN = "failure_domain"


class _Model(BaseModel):
    """Base of the schema models: immutable, and unknown fields are errors."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=False)


class RegionSpec(_Model):
    """A region, with the one-way latency to other regions in milliseconds."""

    name: Name
    latency_ms: dict[Name, Annotated[float, Field(ge=0, le=1000)]] = Field(default_factory=dict)


class FailureDomainSpec(_Model):
    """A failure domain and the region that contains it."""

    name: Name
    region: Name


class NetworkSpec(_Model):
    """A network of callers and the region nearest to it."""

    cidr: str
    region: Name

    @field_validator("cidr")
    @classmethod
    def _check_cidr(cls, value: str) -> str:
        return str(ipaddress.ip_network(value))


class TargetSpec(_Model):
    """A target of a service: its location, and its limits on requests and connections."""

    name: Name
    failure_domain: Name
    address: str
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=1, le=100_000)]

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        return str(Address.parse(value))

    @model_validator(mode="after")
    def _check_connections(self) -> Self:
        if self.connections < self.slots:
            raise ValueError(f"connections ({self.connections}) must be at least slots")
        return self


class ServiceLimits(_Model):
    """Limits on the requests of a service."""

    max_body_bytes: Annotated[int, Field(ge=0, le=1 << 34)] = 64 << 20
    max_deadline_ms: Annotated[int, Field(ge=10, le=MAX_DEADLINE_MS)] = 2_000
    queue_ms: Annotated[int, Field(ge=0, le=60_000)] = 50
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 64
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    utilisation: Fraction = 1.0


class ServiceSpec(_Model):
    """A service, its owner, class, limits and targets."""

    name: Name
    owner: Annotated[str, Field(min_length=1, max_length=200)]
    service_class: Annotated[ServiceClass, Field(alias="class")] = ServiceClass.INTERACTIVE
    objective: Objective = Objective.LATENCY
    policy: str = "adaptive"
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    health_path: Annotated[str, Field(pattern=r"^/[^\s]*$")] = "/health"
    probe_seconds: Annotated[float, Field(ge=0.1, le=300)] = 2.0
    shed_header: Annotated[str, Field(pattern=r"^[a-z0-9-]+$")] = "x-load-shed"
    limits: ServiceLimits = ServiceLimits()
    targets: Annotated[list[TargetSpec], Field(min_length=1)]

    model_config = ConfigDict(frozen=True, extra="forbid", populate_by_name=True)

    @model_validator(mode="after")
    def _check_targets(self) -> Self:
        _require_unique("target name", (target.name for target in self.targets))
        _require_unique("target address", (target.address for target in self.targets))
        return self


class ShiftCapSpec(_Model):
    """Limit on requests per window that may run outside their home region or failure domain."""

    requests: Annotated[int, Field(ge=0)]
    window_ms: Annotated[int, Field(ge=100, le=600_000)] = 1_000
    scope: ShiftCapScope = ShiftCapScope.REGION


class LookupSpec(_Model):
    """Response TTL and number of instances of look-ups."""

    ttl_seconds: Annotated[int, Field(ge=1, le=MAX_TTL_SECONDS)] = 5
    instances: Annotated[int, Field(ge=1, le=16)] = 3


class DrainSpec(_Model):
    """A target, instance or failure domain that operators are draining."""

    kind: DrainKind
    name: Name
    service: Name | None = None
    reason: Annotated[str, Field(max_length=500)] = ""

    @model_validator(mode="after")
    def _check_service(self) -> Self:
        if (self.kind is DrainKind.TARGET) != (self.service is not None):
            raise ValueError("service must be given for a target drain, and only for that")
        return self


class CatalogueSpec(_Model):
    """The whole catalogue."""

    regions: Annotated[list[RegionSpec], Field(min_length=1)]
    failure_domains: Annotated[list[FailureDomainSpec], Field(min_length=1)]
    networks: list[NetworkSpec] = Field(default_factory=list)
    services: Annotated[list[ServiceSpec], Field(min_length=1)]
    shift_cap: ShiftCapSpec
    link_mbit: Annotated[int, Field(ge=1, le=10_000_000)] = 4_000
    lookup: LookupSpec = LookupSpec()
    drains: list[DrainSpec] = Field(default_factory=list)

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        region_names = {region.name for region in self.regions}
        domain_names = {domain.name for domain in self.failure_domains}
        _require_unique("region", (region.name for region in self.regions))
        _require_unique("failure domain", (domain.name for domain in self.failure_domains))
        _require_unique("service", (service.name for service in self.services))
        _require_unique("network", (network.cidr for network in self.networks))
        _require_unique("drain", (f"{d.kind} {d.service or ''} {d.name}" for d in self.drains))
        for region in self.regions:
            _require_known("region", region.latency_ms, region_names, f"region {region.name}")
        for domain in self.failure_domains:
            _require_known("region", [domain.region], region_names, f"domain {domain.name}")
        for network in self.networks:
            _require_known("region", [network.region], region_names, f"network {network.cidr}")
        for service in self.services:
            used = {target.failure_domain for target in service.targets}
            _require_known("failure domain", used, domain_names, f"service {service.name}")
        self._check_drains(domain_names)
        return self

    def _check_drains(self, domain_names: set[str]) -> None:
        targets_by_service = {s.name: {t.name for t in s.targets} for s in self.services}
        for drain in self.drains:
            if drain.kind is DrainKind.FAILURE_DOMAIN:
                _require_known("failure domain", [drain.name], domain_names, "drains")
            if drain.kind is DrainKind.TARGET:
                known = targets_by_service.get(drain.service or "", set())
                _require_known(f"target of service {drain.service}", [drain.name], known, "drains")


def _require_unique(what: str, values: Iterable[str]) -> None:
    repeated = sorted(value for value, count in Counter(values).items() if count > 1)
    if repeated:
        raise ValueError(f'{what} "{repeated[0]}" is given twice; each must be unique')


def _require_known(what: str, used: Iterable[str], known: set[str], where: str) -> None:
    for name in used:
        if name not in known:
            allowed = ", ".join(sorted(known)) or "none"
            raise ValueError(f'{what} "{name}" in {where} does not exist; known: {allowed}')
