"""Builders of catalogue documents and catalogues for tests."""

from __future__ import annotations

from typing import Any

from cassiashore._internal.catalogue.index import Catalogue, build_catalogue
from cassiashore._internal.catalogue.schema import CatalogueSpec


def target_document(name: str, domain: str, port: int, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "failure_domain": domain,
        "address": f"127.0.0.1:{port}",
        "slots": 3,
        "connections": 30,
        **changes,
    }


def service_document(name: str = "orders", **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "owner": "desk",
        "targets": [
            target_document("a1", "erie-a", 7001),
            target_document("b1", "erie-b", 7002),
            target_document("c1", "huron-a", 7003),
        ],
        **changes,
    }


def catalogue_document(**changes: Any) -> dict[str, Any]:
    return {
        "regions": [
            {"name": "erie", "latency_ms": {"huron": 20}},
            {"name": "huron", "latency_ms": {"erie": 20}},
        ],
        "failure_domains": [
            {"name": "erie-a", "region": "erie"},
            {"name": "erie-b", "region": "erie"},
            {"name": "huron-a", "region": "huron"},
        ],
        "networks": [
            {"cidr": "127.1.0.0/16", "region": "erie"},
            {"cidr": "127.2.0.0/16", "region": "huron"},
        ],
        "services": [service_document()],
        "shift_cap": {"requests": 10, "window_ms": 1000},
        **changes,
    }


def spec(**changes: Any) -> CatalogueSpec:
    return CatalogueSpec.model_validate(catalogue_document(**changes))


def catalogue(version: int = 1, **changes: Any) -> Catalogue:
    return build_catalogue(spec(**changes), version)


def small_deployment_document(service_changes: dict[str, Any] | None = None) -> dict[str, Any]:
    """Build a catalogue of two services in two failure domains of a region and a remote one."""
    services = []
    for name in ("orders", "stock"):
        targets = [
            target_document(f"{name}-{domain}-{number}", domain, 1, slots=4)
            for domain in ("erie-a", "erie-b", "huron-a")
            for number in (1, 2)
        ]
        limits = {"max_deadline_ms": 1000, "queue_ms": 100}
        document = service_document(name, targets=targets, limits=limits, probe_seconds=0.3)
        services.append(document | (service_changes or {}))
    for port, target in enumerate(t for s in services for t in s["targets"]):
        target["address"] = f"127.0.0.1:{port + 1}"
    return catalogue_document(
        services=services,
        shift_cap={"requests": 1000, "window_ms": 1000},
        lookup={"ttl_seconds": 1, "instances": 3},
    )
