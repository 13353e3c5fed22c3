"""Connections to targets."""

from __future__ import annotations

from lab.deployment import Deployment
from tests.lib.steps import get, in_domain


def open_connections(deployment: Deployment, address: str) -> int:
    """Count established connections to an address in the kernel's table."""
    port = address.rpartition(":")[2]
    wanted = f":{int(port):04X}"
    with open("/proc/net/tcp") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return sum(1 for row in rows if row[2].endswith(wanted) and row[3] in ("01", "06"))


def test_requests_reuse_connections_to_targets(deployment: Deployment) -> None:
    entry = in_domain(deployment, "erie-a")[0]
    targets = [t["address"] for t in deployment.targets("stock")]
    for number in range(60):
        assert get(entry, f"/{number}").outcome == "ran"
    assert sum(open_connections(deployment, address) for address in targets) <= 20
