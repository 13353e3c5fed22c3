"""``cassiashore standin``: runs stand-ins for the store and for targets, in tests and trials."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from cassiashore._internal.http.guard import GuardedProtocol
from cassiashore._internal.http.server import HttpServer
from cassiashore._internal.models.address import Address
from cassiashore._internal.standins.crashing_server import CrashingServer
from cassiashore._internal.standins.store import build_store_app
from cassiashore._internal.standins.target import StandinTarget, TargetBehaviour

CRASH_SECONDS = 0.5  # until a target that crashed is back


class TargetProcessSpec(msgspec.Struct):
    """A target to run in a stand-in process."""

    name: str
    address: str
    slots: int
    behaviour: TargetBehaviour = msgspec.field(default_factory=TargetBehaviour)


class StandinCommands:
    """Run stand-ins for the systems that cassiashore depends on."""

    def store(self, listen: str) -> None:
        """Run a stand-in for the platform's key-value service at IP:PORT."""
        uvloop.run(_serve_store(Address.parse(listen)))

    def targets(self, file: str) -> None:
        """Run stand-ins for targets; the JSON file lists the name, address and slots of each."""
        specs = msgspec.json.decode(Path(file).read_bytes(), type=list[TargetProcessSpec])
        uvloop.run(_serve_targets(specs))


async def _serve_store(address: Address) -> None:
    app = build_store_app()
    await app.start()  # type: ignore[no-untyped-call]
    await _serve_until_signal([HttpServer(app, address)])


async def _serve_targets(specs: list[TargetProcessSpec]) -> None:
    servers: list[HttpServer] = []
    for spec in specs:
        target: Any = StandinTarget(spec.name, spec.slots, spec.behaviour)
        server = CrashingServer(target, Address.parse(spec.address), GuardedProtocol)
        target.crash = partial(server.crash, CRASH_SECONDS)
        servers.append(server)
    await _serve_until_signal(servers)


async def _serve_until_signal(servers: list[HttpServer]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    for server in servers:
        await server.start()
    await stop.wait()
