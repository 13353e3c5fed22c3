"""Builds manifests and target entries of the platform for tests, the soak and experiments."""

from __future__ import annotations

from typing import Any

ROUTE = {
    "host": "shop.example",
    "path-prefix": "/a/",
    "kind": "safe",
    "timeout-s": 2.5,
    "target-latency-s": 0.4,
    "priority": 1,
    "service": "stock",
    "max-attempts": 2,
    "session-affinity": True,
    "home-regions": [],
}
SERVICE = {
    "health-path": "/health",
    "max-connections": 100,
    "cold-start-s": 3.0,
    "cold-per-s": 14.0,
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1 << 20,
    "header-timeout-s": 3,
    "idle-timeout-s": 15,
}
STARTED_AT_MS = 1_700_000_000_000  # when a target started, in Unix milliseconds


def manifest_of(
    version: int, routes: dict[str, dict[str, Any]], service: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return a manifest; the given fields of routes and services override the defaults."""
    rule = {**SERVICE, **(service or {})}
    return {
        "version": f"{version:08x}",
        "routes": {name: {**ROUTE, **changes} for name, changes in routes.items()},
        "services": {"stock": dict(rule), "orders": dict(rule)},
        "limits": dict(LIMITS),
    }


def entry(where: str, /, **changes: Any) -> dict[str, Any]:
    """Return the entry of a target; ``changes`` override fields at any level."""
    info = {"service": "stock", "version": "v1", "zone": "erie-a", "slots": 6}
    status = {"state": "ready", "seq": 1, "cold-left-s": 0}
    top: dict[str, Any] = {"address": where, "born": STARTED_AT_MS}
    for name, value in changes.items():
        container = info if name in info else status if name in status else top
        container[name] = value
    return {**top, "info": info, "status": status}
