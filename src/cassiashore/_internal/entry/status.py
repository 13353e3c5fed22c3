"""Status report of an instance for operators."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from cassiashore._internal.peers.rights_manager import describe_unheld_targets

if TYPE_CHECKING:
    from cassiashore._internal.entry.node import EntryNode


def describe(node: EntryNode) -> dict[str, Any]:
    """Return catalogue version and reach, headroom, drains, members and rights as JSON values."""
    return {
        "instance": node.own.instance,
        "incarnation": node.own.incarnation,
        "failure_domain": node.own.failure_domain,
        "version": node.versioned_catalogue.version,
        "rejected": _rejected(node),
        "ready": node.is_ready(),
        "reach": _reach(node),
        "headroom": _headroom(node),
        "members": _members(node),
        "drains": _drains(node),
        "shift": {"allowance": node.shift.allowance(), "left": node.shift.remaining()},
        "rights": _rights(node),
        "keys_remembered": len(node.ledger),
        "control_bytes": node.cluster.mesh.bytes_out(),
        "control_messages": node.cluster.mesh.messages_out(),
        "store_calls": node.store.calls,
    }


def _rejected(node: EntryNode) -> dict[str, Any] | None:
    fault = node.versioned_catalogue.rejected
    return None if fault is None else {"version": fault.version, "faults": fault.faults}


def _reach(node: EntryNode) -> dict[str, dict[str, Any]]:
    """Return the catalogue version of each failure domain, and the age of that information."""
    now = time.monotonic()
    own = node.cluster.gossip.own_digest()
    reach: dict[str, dict[str, Any]] = {
        own.failure_domain: {"version": own.version, "age_seconds": 0.0}
    }
    catalogue = node.versioned_catalogue.catalogue
    for name in catalogue.region_by_failure_domain if catalogue else []:
        view = node.domains.view_by_domain.get(name)
        if name in reach:
            continue
        age = None if view is None else round(view.age(now), 3)
        version = None if view is None else view.digest.version
        reach[name] = {"version": version, "age_seconds": age}
    return reach


def _headroom(node: EntryNode) -> dict[str, dict[str, dict[str, int]]]:
    """Return free slots, all slots and queued requests by failure domain and service."""
    digests = [node.cluster.gossip.own_digest()]
    digests.extend(view.digest for view in node.domains.fresh(time.monotonic()))
    return {
        digest.failure_domain: {
            load.service: {"free": load.free, "total": load.total, "queued": load.queued}
            for load in digest.loads
        }
        for digest in digests
    }


def _members(node: EntryNode) -> list[dict[str, Any]]:
    now = time.monotonic()
    return [
        {
            "instance": member.identity.instance,
            "state": member.state.value,
            "version": member.version,
            "silent_seconds": round(now - member.last_heard_at, 3),
        }
        for member in node.membership.member_by_incarnation.values()
    ]


def _drains(node: EntryNode) -> list[dict[str, Any]]:
    """Return each local draining target's requests in flight, and the longest time they may run."""
    drains = []
    for runtime in node.runner.runtime_by_service.values():
        service = runtime.slots.service
        for key, state in runtime.slots.state_by_target.items():
            if service is None or not state.is_draining:
                continue
            seconds = service.max_deadline_seconds if state.in_flight else 0.0
            drains.append({"target": key, "in_flight": state.in_flight, "seconds_left": seconds})
    return drains


def _rights(node: EntryNode) -> dict[str, Any]:
    local = [
        key for r in node.runner.runtime_by_service.values() for key in r.slots.state_by_target
    ]
    return {
        "held": node.rights.held(),
        "in_domain": len(local),
        "note": describe_unheld_targets(node.rights, node.membership, local),
    }
