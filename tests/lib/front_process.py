"""One instance as a process of its own, with a store and a target in the test process."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.server import IngressServer
from cassiashore._internal.steering.routes import IngressLimits
from cassiashore.platform.settings import SETTINGS_VARIABLE
from cassiashore.platform.wire import EDGE_HEADERS, READY_PATH, RESOLVE_PATH
from lab.platform_documents import LIMITS, entry, manifest_of
from tests.lib.ingress import RawClient, request
from tests.lib.platform_builders import running_store, settings

MEMORY_MB = 96  # half of the smallest machine's, so that a small crowd can exceed it
MAX_FDS = 700  # a sixth of the smallest machine's, for the same reason
LARGE_PATH = "/a/large"
LARGE_RESPONSE = b"x" * 250_000  # just below what an instance reads before it passes any of it on
OTHER_PREFIX = "/other/"
OTHER_SERVICE = "orders"
START_SECONDS = 20.0
ANSWER_SECONDS = 40.0  # longer than all timeouts of the configuration together
RETRY_SECONDS = 0.2
SAMPLE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Place:
    """Where a crowd sends its requests: a listener of the instance and a path."""

    listener: str
    path: str


PLACE_BY_NAME = {
    "route": Place("front", LARGE_PATH),
    "no-route": Place("front", "/nowhere"),
    "ready": Place("ready", READY_PATH),
    "directory": Place("directory", f"{RESOLVE_PATH}?name=shop.example&region=erie&zone=erie-a"),
}


@dataclass(slots=True)
class FrontProcess:
    """A running instance, and the most descriptors that it was seen to have open."""

    process: subprocess.Popen[bytes]
    listen: dict[str, str]
    most_descriptors: int = 0

    @property
    def is_alive(self) -> bool:
        return self.process.poll() is None

    def address(self, listener: str) -> tuple[str, int]:
        host, _, port = self.listen[listener].rpartition(":")
        return host, int(port)

    def most_resident_bytes(self) -> int:
        """Return the most memory that the process has had in use."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    async def sample_descriptors(self) -> None:
        """Record the number of open descriptors until cancelled."""
        while self.is_alive:
            count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(SAMPLE_SECONDS)

    async def is_answering(self) -> bool:
        """Tell whether an ordinary request is answered with 200, after some tries at most."""
        return await self._is_answered("front", request(), ANSWER_SECONDS)

    async def _is_answered(self, listener: str, raw: bytes, seconds: float) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.is_alive:
            if await _status(self.address(listener), raw) == 200:
                return True
            await asyncio.sleep(RETRY_SECONDS)
        return False

    async def wait_ready(self) -> None:
        assert await self._is_answered("front", request(), START_SECONDS)


async def _status(address: tuple[str, int], raw: bytes) -> int:
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    client = RawClient(reader, writer)
    try:
        client.send(raw)
        return (await client.receive())[0]
    except (OSError, EOFError, TimeoutError):
        return 0
    finally:
        client.close()


async def _serve(incoming: IngressRequest, responder: Responder) -> None:
    """Run a request as a target does: read the body, and respond with a stamp."""
    while await incoming.body.next_chunk() is not None:
        pass
    request_id = incoming.header(EDGE_HEADERS.request_id) or b""
    headers = [(EDGE_HEADERS.request_id, request_id), (EDGE_HEADERS.stamp, b"1")]
    is_large = incoming.target == LARGE_PATH
    responder.send_response(200, headers, LARGE_RESPONSE if is_large else b"ok")


@asynccontextmanager
async def running_front(
    folder: Path, other_targets: Sequence[str] = ()
) -> AsyncIterator[FrontProcess]:
    """Start a store, a target and an instance with little memory and few descriptors.

    ``other_targets`` are the addresses of the targets of another service, under ``OTHER_PREFIX``.
    """
    store, address = await running_store()
    target = IngressServer(_serve, IngressLimits)
    await target.listen("127.0.0.1", 0, 128)
    timeout = {"timeout-s": 2.5}
    other = {**timeout, "path-prefix": OTHER_PREFIX, "service": OTHER_SERVICE}
    configuration = manifest_of(1, {"r-1": timeout, "r-2": other})
    configuration["limits"] = {**LIMITS, "max-body-bytes": 1 << 20, "idle-timeout-s": 5}
    store.put_json("op/config", configuration)
    store.put_json("servers/t-1", entry(target.address(), slots=64))
    for number, other in enumerate(other_targets):
        where = entry(other, slots=64, service=OTHER_SERVICE)
        store.put_json(f"servers/o-{number}", where)
    document = settings(address)
    document["self"]["limits"] = {"memory-mb": MEMORY_MB, "max-fds": MAX_FDS}
    path = folder / "front.json"
    path.write_text(json.dumps(document))
    with (folder / "front.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "cassiashore.platform"],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
    front = FrontProcess(process, document["network"]["listen"])
    sampling = asyncio.create_task(front.sample_descriptors())
    try:
        await front.wait_ready()
        yield front
    finally:
        sampling.cancel()
        process.kill()
        process.wait()
        target.stop_listening()
        target.abort_all()
        store.close()
