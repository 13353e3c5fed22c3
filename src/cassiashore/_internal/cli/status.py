"""``cassiashore status`` and ``cassiashore lookup``."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from cassiashore._internal.cli.catalogue import checked_call, checked_client
from cassiashore._internal.cli.output import fail, format_table, print_json, say


def run_status(instance: str, key_file: str, json: bool) -> None:
    """Print what an instance knows: versions, headroom and drains."""
    client = checked_client(instance, key_file)
    status = checked_call(client, "GET", "/v1/status").value
    if json:
        print_json(status)
        return
    say(
        f"instance {status['instance']} in {status['failure_domain']},"
        f" catalogue version {status['version']}\n"
    )
    say(format_table(["failure domain", "version", "heard s ago"], _reach_rows(status)) + "\n")
    say(
        format_table(
            ["failure domain", "service", "free", "slots", "queued"], _headroom_rows(status)
        )
    )
    say(f"\nshift cap: {status['shift']['left']} of {status['shift']['allowance']} left here")
    say(f"rights: {status['rights']['note']}")
    drains = status["drains"]
    if drains:
        rows = [[d["target"], d["in_flight"], d["seconds_left"]] for d in drains]
        say("\n" + format_table(["draining target", "in flight", "at most s left"], rows))


def _reach_rows(status: dict[str, Any]) -> list[list[object]]:
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
    client = checked_client(instance, None)
    path = f"/v1/lookup/{quote(service)}"
    if client_address:
        path += f"?client={quote(client_address)}"
    answer = checked_call(client, "GET", path)
    if answer.status != 200:
        fail(f"look-up of {service} failed: {answer.value.get('error', 'no instance is usable')}")
    if json:
        print_json(answer.value)
        return
    found = answer.value
    say(f"{service}: region {found['region']} ({found['reason']}), ttl {found['ttl_seconds']} s")
    rows = [
        [x["instance"], x["address"], x["failure_domain"], x["ticket"]] for x in found["instances"]
    ]
    say(format_table(["instance", "address", "failure domain", "ticket"], rows))
