"""Measures the cost of proxying, as a ratio within one run.

Callers send requests to one target process directly, and through one instance that proxies to it.
Both are uvicorn servers, so the ratio shows the overhead of the proxy.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass

import uvloop
from hdrh.histogram import HdrHistogram

from cassiashore._internal.cli.output import format_table
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import connect, request_head
from lab.demo import EXAMPLES
from lab.deployment import Deployment, DeploymentOptions, load_catalogue

CALLERS = 16
SECONDS = 4.0
MAX_BODY_BYTES = 1 << 16
SLOTS = 64


@dataclass(frozen=True, slots=True)
class Speed:
    """Throughput and latency of one server."""

    name: str
    requests_per_second: float
    p50_ms: float
    p99_ms: float


async def measure(name: str, address: str, path: str, rate: float | None = None) -> Speed:
    """Send requests for ``SECONDS``, in a closed loop or at a fixed total rate per second."""
    latency = HdrHistogram(1, 60_000_000, 3)
    deadline = time.monotonic() + SECONDS
    interval = CALLERS / rate if rate else 0.0
    workers = [_send_requests(address, path, deadline, latency, interval) for _ in range(CALLERS)]
    await asyncio.gather(*workers)
    return Speed(
        name,
        latency.get_total_count() / SECONDS,
        latency.get_value_at_percentile(50) / 1000,
        latency.get_value_at_percentile(99) / 1000,
    )


async def _send_requests(
    address: str, path: str, deadline: float, latency: HdrHistogram, interval: float
) -> None:
    opened = await connect(Address.parse(address), 2.0)
    connection = opened.unwrap()
    head = request_head("GET", path, [(b"host", b"lab")])
    due = time.monotonic()
    while due < deadline:
        if interval:
            due += interval
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        else:
            due = time.monotonic()
        connection.start_exchange(head)
        await connection.response_head()
        await connection.read_all(MAX_BODY_BYTES)
        latency.record_value(max(1, int((time.monotonic() - due) * 1e6)))
    connection.close()


def one_target_catalogue(targets: int = 1) -> dict[str, object]:
    """Build a catalogue with one failure domain and one service."""
    catalogue = load_catalogue(EXAMPLES / "vandermolen.yaml")
    catalogue["failure_domains"] = catalogue["failure_domains"][:1]
    service = catalogue["services"][0]
    service["targets"] = [
        {
            "name": f"t{number}",
            "failure_domain": catalogue["failure_domains"][0]["name"],
            "address": f"127.0.0.1:{number + 1}",
            "slots": SLOTS,
            "connections": 2 * SLOTS,
        }
        for number in range(targets)
    ]
    catalogue["services"] = [service]
    return dict(catalogue)


def run(targets: int, level: str = "INFO") -> list[Speed]:
    """Measure direct and proxied requests, then both at half of the proxied throughput."""
    options = DeploymentOptions(
        behaviour={"service_ms": 0.0, "jitter": 0.0}, settings={"log": {"level": level}}
    )
    with Deployment(one_target_catalogue(targets), options) as deployment:
        instance = deployment.any_running()
        service = deployment.catalogue["services"][0]
        target = service["targets"][0]["address"]
        path = f"/services/{service['name']}/x"
        direct = uvloop.run(measure("direct", target, "/x"))
        proxied = uvloop.run(measure("proxied", instance.address, path))
        half_rate = proxied.requests_per_second / 2
        return [
            direct,
            proxied,
            uvloop.run(measure("direct at half", target, "/x", half_rate)),
            uvloop.run(measure("proxied at half", instance.address, path, half_rate)),
        ]


def main() -> None:
    """Print the results for 1, 10 and 100 targets, and for 1 target without decision logs."""
    for targets, level in ((1, "INFO"), (1, "WARNING"), (10, "INFO"), (100, "INFO")):
        speeds = run(targets, level)
        direct, proxied, direct_at_half, proxied_at_half = speeds
        print(f"targets={targets} log={level}")
        rows: list[list[object]] = [
            [s.name, f"{s.requests_per_second:.0f}", f"{s.p50_ms:.2f}", f"{s.p99_ms:.2f}"]
            for s in speeds
        ]
        print(format_table(["server", "requests/s", "p50 ms", "p99 ms"], rows))
        summary = {
            "targets": targets,
            "log": level,
            "ratio": round(proxied.requests_per_second / direct.requests_per_second, 3),
            "added_p99_ms_at_half": round(proxied_at_half.p99_ms - direct_at_half.p99_ms, 2),
        }
        print(json.dumps(summary))


if __name__ == "__main__":
    main()
