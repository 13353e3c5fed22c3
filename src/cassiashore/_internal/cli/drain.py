"""``cassiashore drain`` and ``undrain``: drains a target, an instance or a failure domain."""

from __future__ import annotations

from collections import Counter
from typing import Any

from cassiashore._internal.catalogue.schema import CatalogueSpec, DrainKind, DrainSpec
from cassiashore._internal.cli.catalogue import (
    call_or_exit,
    client_or_exit,
    fetch_catalogue,
    publish_and_report,
)
from cassiashore._internal.cli.output import EXIT_USAGE, fail, print_line

_KIND_BY_WORD = {
    "target": DrainKind.TARGET,
    "instance": DrainKind.INSTANCE,
    "failure-domain": DrainKind.FAILURE_DOMAIN,
}


def run_drain(
    kind: str,
    name: str,
    instance: str,
    key_file: str,
    service: str | None,
    reason: str,
    force: bool,
) -> None:
    """Start a drain, unless the remaining targets would be overloaded."""
    client = client_or_exit(instance, key_file)
    spec, version = fetch_catalogue(client)
    drain = _build_drain(kind, name, service, reason)
    if any(_is_same_drain(drain, other) for other in spec.drains):
        print_line(f"{kind} {name} is already draining")
        return
    headroom = call_or_exit(client, "GET", "/v1/status").value["headroom"]
    shortages = find_shortages(spec, headroom, drain)
    if shortages and not force:
        fail("refused, the rest would be overloaded (--force overrides):\n" + "\n".join(shortages))
    _publish(client, spec, [*spec.drains, drain], version)


def run_undrain(kind: str, name: str, instance: str, key_file: str, service: str | None) -> None:
    """End a drain."""
    client = client_or_exit(instance, key_file)
    spec, version = fetch_catalogue(client)
    drain = _build_drain(kind, name, service, "")
    remaining = [other for other in spec.drains if not _is_same_drain(drain, other)]
    if len(remaining) == len(spec.drains):
        fail(f"{kind} {name} is not draining")
    _publish(client, spec, remaining, version)


def find_shortages(spec: CatalogueSpec, headroom: dict[str, Any], drain: DrainSpec) -> list[str]:
    """List the services that would have fewer slots left than are in use now.

    ``headroom`` gives ``free`` and ``total`` by failure domain and service. The requests that use
    slots on the drained targets have to fit on the remaining ones.
    """
    lost_slots = _count_lost_slots(spec, drain)
    shortages = []
    for service in spec.services:
        loads = [h[service.name] for h in headroom.values() if service.name in h]
        total = sum(load["total"] for load in loads)
        used = total - sum(load["free"] for load in loads)
        slots_left = total - lost_slots[service.name]
        if lost_slots[service.name] and used > slots_left:
            shortages.append(
                f"service {service.name}: {used} slots in use, {slots_left} would be left"
            )
        elif lost_slots[service.name] and slots_left <= 0:
            shortages.append(f"service {service.name}: no slot would be left")
    return shortages


def _count_lost_slots(spec: CatalogueSpec, drain: DrainSpec) -> Counter[str]:
    lost_slots: Counter[str] = Counter()
    for service in spec.services:
        for target in service.targets:
            in_domain = (
                drain.kind is DrainKind.FAILURE_DOMAIN and target.failure_domain == drain.name
            )
            is_target = (
                drain.kind is DrainKind.TARGET
                and service.name == drain.service
                and target.name == drain.name
            )
            if in_domain or is_target:
                lost_slots[service.name] += target.slots
    return lost_slots


def _build_drain(kind: str, name: str, service: str | None, reason: str) -> DrainSpec:
    if kind not in _KIND_BY_WORD:
        fail(f'"{kind}" cannot be drained; allowed: {", ".join(_KIND_BY_WORD)}', EXIT_USAGE)
    try:
        return DrainSpec(kind=_KIND_BY_WORD[kind], name=name, service=service, reason=reason)
    except ValueError as error:
        fail(str(error), EXIT_USAGE)


def _is_same_drain(one: DrainSpec, other: DrainSpec) -> bool:
    return (one.kind, one.name, one.service) == (other.kind, other.name, other.service)


def _publish(client: Any, spec: CatalogueSpec, drains: list[DrainSpec], version: int) -> None:
    document = spec.model_dump(by_alias=True)
    document["drains"] = [drain.model_dump() for drain in drains]
    try:
        changed = CatalogueSpec.model_validate(document)
    except ValueError as error:
        fail(str(error), EXIT_USAGE)
    publish_and_report(client, changed, version)
