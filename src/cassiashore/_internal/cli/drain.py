"""``cassiashore drain`` and ``undrain``: empties a target, an instance or a failure domain."""

from __future__ import annotations

from collections import Counter
from typing import Any

from cassiashore._internal.catalogue.schema import CatalogueSpec, DrainKind, DrainSpec
from cassiashore._internal.cli.catalogue import (
    checked_call,
    checked_client,
    fetch_catalogue,
    publish_and_report,
)
from cassiashore._internal.cli.output import EXIT_USAGE, fail, say

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
    """Drain something, unless what is left would be overloaded."""
    client = checked_client(instance, key_file)
    spec, version = fetch_catalogue(client)
    drain = _drain_of(kind, name, service, reason)
    if any(_same(drain, other) for other in spec.drains):
        say(f"{kind} {name} is already draining")
        return
    headroom = checked_call(client, "GET", "/v1/status").value["headroom"]
    shortages = find_shortages(spec, headroom, drain)
    if shortages and not force:
        fail("refused, the rest would be overloaded (--force overrides):\n" + "\n".join(shortages))
    _publish(client, spec, [*spec.drains, drain], version)


def run_undrain(kind: str, name: str, instance: str, key_file: str, service: str | None) -> None:
    """End a drain."""
    client = checked_client(instance, key_file)
    spec, version = fetch_catalogue(client)
    drain = _drain_of(kind, name, service, "")
    rest = [other for other in spec.drains if not _same(drain, other)]
    if len(rest) == len(spec.drains):
        fail(f"{kind} {name} is not draining")
    _publish(client, spec, rest, version)


def find_shortages(spec: CatalogueSpec, headroom: dict[str, Any], drain: DrainSpec) -> list[str]:
    """Tell for which services the slots left are fewer than those in use now.

    ``headroom`` gives ``free`` and ``total`` by failure domain and service. Slots that are in use
    on what is drained have to fit into the rest.
    """
    lost = _slots_lost(spec, drain)
    shortages = []
    for service in spec.services:
        loads = [h[service.name] for h in headroom.values() if service.name in h]
        total = sum(load["total"] for load in loads)
        used = total - sum(load["free"] for load in loads)
        left = total - lost[service.name]
        if lost[service.name] and used > left:
            shortages.append(f"service {service.name}: {used} slots in use, {left} would be left")
        elif lost[service.name] and left <= 0:
            shortages.append(f"service {service.name}: no slot would be left")
    return shortages


def _slots_lost(spec: CatalogueSpec, drain: DrainSpec) -> Counter[str]:
    lost: Counter[str] = Counter()
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
                lost[service.name] += target.slots
    return lost


def _drain_of(kind: str, name: str, service: str | None, reason: str) -> DrainSpec:
    if kind not in _KIND_BY_WORD:
        fail(f'"{kind}" cannot be drained; allowed: {", ".join(_KIND_BY_WORD)}', EXIT_USAGE)
    try:
        return DrainSpec(kind=_KIND_BY_WORD[kind], name=name, service=service, reason=reason)
    except ValueError as error:
        fail(str(error), EXIT_USAGE)


def _same(one: DrainSpec, other: DrainSpec) -> bool:
    return (one.kind, one.name, one.service) == (other.kind, other.name, other.service)


def _publish(client: Any, spec: CatalogueSpec, drains: list[DrainSpec], version: int) -> None:
    document = spec.model_dump(by_alias=True)
    document["drains"] = [drain.model_dump() for drain in drains]
    try:
        changed = CatalogueSpec.model_validate(document)
    except ValueError as error:
        fail(str(error), EXIT_USAGE)
    publish_and_report(client, changed, version)
