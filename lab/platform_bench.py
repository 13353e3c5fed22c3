"""Speed and memory of an instance on the stand-in of the platform: ``scripts/bench platform``.

The instance is one process; store, targets and callers are in another. Speed is given per second of
the instance's processor time, so it does not depend on what else the machine does.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

from cassiashore._internal.cli.output import format_table
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.server import IngressServer
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import connect, request_head
from cassiashore._internal.steering.routes import IngressLimits
from cassiashore.platform.settings import SETTINGS_VARIABLE
from cassiashore.platform.standin import StandinStore
from cassiashore.platform.wire import EDGE_HEADERS
from lab.platform_documents import entry, manifest_of

CALLERS = 16
SECONDS = 5.0
TARGETS = 16
SLOTS = 64
CHANGES = 8
CHANGE_INTERVAL_SECONDS = 0.4
START_SECONDS = 10.0
CORES = 0.86  # of the users' machines
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
STEADY_RATE = 200.0  # requests a second while something changes


@dataclass(slots=True)
class Row:
    """Requests, their latency, and the processor time that they took."""

    name: str
    requests: int
    cpu_seconds: float
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(slots=True)
class RunningInstance:
    """The running parts."""

    store: StandinStore
    process: subprocess.Popen[bytes]
    front: str
    targets: list[str] = field(default_factory=list)

    def cpu_seconds(self) -> float:
        """Return the processor time that the instance has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND

    def resident_mb(self) -> float:
        """Return the instance's memory in MB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0


async def _respond(request: IngressRequest, responder: Responder) -> None:
    headers = [
        (EDGE_HEADERS.request_id, request.header(EDGE_HEADERS.request_id) or b""),
        (EDGE_HEADERS.stamp, b"s"),
        (EDGE_HEADERS.load, b"1,0,64"),
    ]
    responder.send_response(200, headers, b"ok")


def _manifest(version: int, routes: int) -> dict[str, Any]:
    changes_by_route = {f"r-{n}": {"path-prefix": f"/a{n}/"} for n in range(routes)}
    return manifest_of(version, changes_by_route, {"max-connections": 1000})


def _entry(address: str, sequence: int, service: str = "stock") -> dict[str, Any]:
    return entry(address, seq=sequence, service=service, zone="z", slots=SLOTS)


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def _start(folder: Path) -> RunningInstance:
    store = StandinStore()
    address = await store.listen()
    targets = []
    for number in range(TARGETS):
        server = IngressServer(_respond, IngressLimits)
        await server.listen("127.0.0.1", 0, 128)
        targets.append(server.address())
        store.put_json(f"servers/i-{number}", _entry(server.address(), 1))
    store.put_json("op/config", _manifest(1, 8))
    listen = {listener: _free_address() for listener in ("front", "ready", "control", "directory")}
    settings = {
        "self": {"node-name": "bench", "zone": "z", "region": "r"},
        "network": {"listen": listen, "zones": {"z": "r"}},
        "platform": {"platform": {"address": address}},
    }
    path = folder / "node.json"
    path.write_text(json.dumps(settings))
    log = (folder / "log").open("wb")
    process = subprocess.Popen(
        [sys.executable, "-m", "cassiashore.platform"],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=log,
        stderr=log,
    )
    deadline = time.monotonic() + START_SECONDS
    while (await connect(Address.parse(listen["front"]), 1.0)).is_err():
        if time.monotonic() > deadline:
            process.kill()
            raise RuntimeError("the instance did not start")
        await asyncio.sleep(0.05)
    return RunningInstance(store, process, listen["front"], targets)


async def _send_requests(
    instance: RunningInstance,
    deadline: float,
    latency: HdrHistogram,
    mean_interval: float,
    seed: int,
) -> None:
    rng = random.Random(seed)
    connection = (await connect(Address.parse(instance.front), 2.0)).unwrap()
    while time.monotonic() < deadline:
        key = rng.randrange(80)
        headers = [
            (b"host", b"shop.example"),
            (EDGE_HEADERS.request_id, b"%x" % rng.getrandbits(64)),
            (b"cookie", b"%b=%d" % (EDGE_HEADERS.affinity_cookie, key)),
        ]
        started_at = time.monotonic()
        connection.start_exchange(request_head("GET", f"/a1/{key}", headers))
        await connection.response_head()
        await connection.read_all(1 << 16)
        latency.record_value(max(1, int((time.monotonic() - started_at) * 1_000_000)))
        if mean_interval:
            await asyncio.sleep(mean_interval * rng.uniform(0.5, 1.5))
    connection.close()


async def _measure(
    instance: RunningInstance, name: str, rate: float | None, changes: Any = None
) -> Row:
    latency = HdrHistogram(1, 60_000_000, 3)
    mean_interval = CALLERS / rate if rate else 0.0
    before = instance.cpu_seconds()
    deadline = time.monotonic() + SECONDS
    workers = [
        _send_requests(instance, deadline, latency, mean_interval, seed) for seed in range(CALLERS)
    ]
    if changes is not None:
        workers.append(changes)
    await asyncio.gather(*workers)
    return Row(
        name,
        latency.get_total_count(),
        instance.cpu_seconds() - before,
        latency.get_value_at_percentile(50) / 1000,
        latency.get_value_at_percentile(99) / 1000,
        latency.get_max_value() / 1000,
    )


async def _change_routes(instance: RunningInstance) -> None:
    for number in range(CHANGES):
        instance.store.put_json("op/config", _manifest(10 + number, 1000 + number))
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)


async def _change_targets(instance: RunningInstance) -> None:
    for number in range(CHANGES):
        for target in range(500):
            entry = _entry(f"127.0.0.1:{10_000 + target}", number + 1, "orders")
            instance.store.put_json(f"servers/o-{target}", entry)
        await asyncio.sleep(CHANGE_INTERVAL_SECONDS)


async def _run() -> None:
    with tempfile.TemporaryDirectory() as folder:
        instance = await _start(Path(folder))
        try:
            rows = [
                await _measure(instance, "as fast as it can", None),
                await _measure(instance, f"{STEADY_RATE:g}/s, nothing changes", STEADY_RATE),
                await _measure(
                    instance,
                    f"{STEADY_RATE:g}/s, 1,000 routes",
                    STEADY_RATE,
                    _change_routes(instance),
                ),
                await _measure(
                    instance,
                    f"{STEADY_RATE:g}/s, 500 targets",
                    STEADY_RATE,
                    _change_targets(instance),
                ),
            ]
            cells = [
                [
                    row.name,
                    row.requests,
                    round(row.requests / max(row.cpu_seconds, 0.01) * CORES),
                    row.p50_ms,
                    row.p99_ms,
                    row.max_ms,
                ]
                for row in rows
            ]
            header = ["load", "requests", f"per s at {CORES} core", "p50 ms", "p99 ms", "max ms"]
            print(format_table(header, cells))
            print(f"peak memory of the instance: {instance.resident_mb():.1f} MB")
        finally:
            instance.process.kill()
            instance.process.wait()
            instance.store.close()


if __name__ == "__main__":
    uvloop.run(_run())
