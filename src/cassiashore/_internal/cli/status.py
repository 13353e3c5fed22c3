"""``cassiashore status`` and ``cassiashore lookup``: queries an instance."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from cassiashore._internal.cli.catalogue import call_or_exit, client_or_exit
from cassiashore._internal.cli.output import fail, format_table, print_json, print_line


def run_status(instance: str, key_file: str, json: bool) -> None:
    """Print what an instance knows of versions, headroom and drains."""
    client = client_or_exit(instance, key_file)
    status = call_or_exit(client, "GET", "/v1/status").value
    if json:
        print_json(status)
        return
    print_line(
        f"instance {status['instance']} in {status['failure_domain']},"
        f" catalogue version {status['version']}\n"
    )
    print_line(
        format_table(["failure domain", "version", "heard s ago"], _rollout_rows(status)) + "\n"
    )
    print_line(
        format_table(
            ["failure domain", "service", "free", "slots", "queued"], _headroom_rows(status)
        )
    )
    print_line(
        f"\nshift cap: {status['shift']['left']} of {status['shift']['allowance']} left here"
    )
    print_line(f"rights: {status['rights']['note']}")
    drains = status["drains"]
    if drains:
        rows = [[d["target"], d["in_flight"], d["seconds_left"]] for d in drains]
        print_line("\n" + format_table(["draining target", "in flight", "at most s left"], rows))


def _rollout_rows(status: dict[str, Any]) -> list[list[object]]:
    return [
        [name, reach["version"] or "unreachable", reach["age_seconds"]]
        for name, reach in sorted(status["reach"].items())
    ]


def _headroom_rows(status: dict[str, Any]) -> list[list[object]]:
    return [
        [domain, service, load["free"], load["total"], load["queued"]]
        for domain, loads in sorted(status["headroom"].items())
        for service, load in sorted(loads.items())
    ]


def run_lookup(service: str, instance: str, client_address: str | None, json: bool) -> None:
    """Ask an instance which instances to use for a service."""
    client = client_or_exit(instance, None)
    path = f"/v1/lookup/{quote(service)}"
    if client_address:
        path += f"?client={quote(client_address)}"
    response = call_or_exit(client, "GET", path)
    if response.status != 200:
        fail(f"look-up of {service} failed: {response.value.get('error', 'no instance is usable')}")
    if json:
        print_json(response.value)
        return
    lookup = response.value
    print_line(
        f"{service}: region {lookup['region']} ({lookup['reason']}), ttl {lookup['ttl_seconds']} s"
    )
    rows = [
        [x["instance"], x["address"], x["failure_domain"], x["ticket"]] for x in lookup["instances"]
    ]
    print_line(format_table(["instance", "address", "failure domain", "ticket"], rows))
