"""The deployment that the soak harms: instances as processes, store and targets in this one."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import connect
from cassiashore.platform.settings import SETTINGS_VARIABLE
from cassiashore.platform.standin import StandinStore
from lab.platform_documents import manifest_of
from lab.ports import LOOPBACK, free_ports
from lab.soak.proxy import FaultProxy
from lab.soak.target import Run, RunLedger, SoakTarget

REGION_BY_DOMAIN = {"erie-a": "erie", "erie-b": "erie", "huron-a": "huron"}
SERVICES = ("stock", "orders")
SLOTS = 8  # of a target; all callers fit several targets
START_SECONDS = 15.0  # an instance starts within half a second on an idle machine
CALM_SECONDS = 3.0  # stable-window: bounds in time hold only this long after the last disturbance
BOUNDS = {"drain-s": 2.5, "evac-s": 5, "config-apply-s": 2.5, "grace-s": 6, "stable-window-s": 3}


@dataclass(slots=True)
class Instance:
    """One instance: its process, its settings, and the proxy between it and the store."""

    name: str
    failure_domain: str
    listen: dict[str, str]
    settings: Path
    store_proxy: FaultProxy
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = float("-inf")  # last kill or pause, which excuse a broken connection

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.is_running and self.process is not None:
            self.process.send_signal(number)


@dataclass(slots=True)
class TargetHandle:
    """A target behind a proxy, under whose address it is registered."""

    target: SoakTarget
    proxy: FaultProxy
    leaving_at: float = float("inf")  # when the store confirmed that it leaves
    disturbed_at: float = float("-inf")

    @property
    def key(self) -> str:
        """Return the target's key in the store."""
        return f"servers/{self.target.target_id}"


@dataclass(slots=True)
class RouteState:
    """Routes that the operator added, and since when they are confirmed or dropped."""

    added_at: dict[str, float] = field(default_factory=dict)
    dropped_at: dict[str, float] = field(default_factory=dict)


class World:
    """Starts and ends everything; faults and callers work on it."""

    def __init__(self, folder: Path, rng: random.Random, per_domain: int) -> None:
        """Plan the deployment; nothing runs before ``start``."""
        self.folder = folder
        self.rng = rng
        self.store = StandinStore()
        self.ledger = RunLedger()
        self.instance_by_name: dict[str, Instance] = {}
        self.target_by_id: dict[str, TargetHandle] = {}
        self.gone_by_id: dict[str, TargetHandle] = {}
        self.evacuated_at: dict[str, float] = {}
        self.routes = RouteState()
        self.version = 0
        self.disturbed_until = float("-inf")  # of store or instances, for bounds in time
        self._per_domain = per_domain
        self._numbers = 0
        self._store_at = Address(LOOPBACK, 0)

    # Life cycle.

    async def start(self) -> None:
        """Start everything and wait until every instance takes connections."""
        self._store_at = Address.parse(await self.store.listen())
        for domain in REGION_BY_DOMAIN:
            for service in SERVICES:
                for _ in range(2):
                    await self.add_target(service, domain)
        self.publish()
        for domain in REGION_BY_DOMAIN:
            for number in range(self._per_domain):
                await self._plan_instance(f"{domain}-{number}", domain)
        for instance in self.instance_by_name.values():
            self.start_instance(instance)
        await asyncio.gather(*(self.wait_listening(i) for i in self.instance_by_name.values()))

    def stop(self) -> None:
        """End every process that was started here, and the stand-ins."""
        for instance in self.instance_by_name.values():
            if instance.process is not None:
                if instance.is_running:
                    instance.process.kill()
                instance.process.wait()
            instance.store_proxy.close()
        for handle in [*self.target_by_id.values(), *self.gone_by_id.values()]:
            handle.target.close()
            handle.proxy.close()
        self.store.close()

    async def _plan_instance(self, name: str, domain: str) -> None:
        proxy = FaultProxy(self._store_at.host, self._store_at.port)
        faces = ("front", "ready", "control", "directory")
        ports = free_ports(len(faces))
        listen = {face: f"{LOOPBACK}:{p}" for face, p in zip(faces, ports, strict=True)}
        instance = Instance(name, domain, listen, self.folder / f"{name}.json", proxy)
        await proxy.listen()
        self.instance_by_name[name] = instance

    def write_settings(self, instance: Instance, **bounds: Any) -> None:
        """Write the settings of an instance, with other bounds if some are given."""
        seeds = [i.listen["control"] for i in self.instance_by_name.values()][:3]
        document = {
            "self": {
                "node-name": instance.name,
                "zone": instance.failure_domain,
                "region": REGION_BY_DOMAIN[instance.failure_domain],
            },
            "network": {"listen": instance.listen, "seeds": seeds, "zones": REGION_BY_DOMAIN},
            "platform": {
                "heartbeat-s": 1.0,
                "platform": {"address": instance.store_proxy.address, "ttl-min-s": 1},
            },
            "terms": {"bounds": {**BOUNDS, **bounds}},
        }
        instance.settings.write_text(json.dumps(document))

    def start_instance(self, instance: Instance) -> None:
        """Start the process of an instance that does not run."""
        self.write_settings(instance)
        log = (self.folder / f"{instance.name}.log").open("ab")
        with log:
            instance.process = subprocess.Popen(
                [sys.executable, "-m", "cassiashore.platform"],
                env={**os.environ, SETTINGS_VARIABLE: str(instance.settings)},
                stdout=log,
                stderr=log,
            )

    async def wait_listening(self, instance: Instance) -> None:
        """Wait until an instance takes callers; raise ``RuntimeError`` if it does not."""
        until = time.monotonic() + START_SECONDS
        while (found := await connect(Address.parse(instance.listen["front"]), 1.0)).is_err():
            if time.monotonic() > until:
                raise RuntimeError(f"instance {instance.name} does not listen")
            await asyncio.sleep(0.05)
        found.unwrap().close()

    # What operators and targets do.

    async def add_target(self, service: str, domain: str, proxy: FaultProxy | None = None) -> str:
        """Start a target and register it, behind the proxy of an earlier one if given."""
        self._numbers += 1
        target = SoakTarget(f"i-{self._numbers}", service, domain, SLOTS, self.ledger)
        address = Address.parse(await target.listen())
        if proxy is None:
            proxy = FaultProxy(address.host, address.port)
            await proxy.listen()
        else:
            proxy.point_at(address.host, address.port)
        handle = TargetHandle(target, proxy)
        self.target_by_id[target.target_id] = handle
        self.register(handle)
        return target.target_id

    def register(self, handle: TargetHandle) -> None:
        """Write a target's entry."""
        self.store.put_json(handle.key, handle.target.entry(handle.proxy.address))

    def forget(self, handle: TargetHandle) -> None:
        """Remove a target's entry; the target itself may go on for a while."""
        self.store.delete(handle.key)
        handle.leaving_at = min(handle.leaving_at, time.monotonic())
        self.target_by_id.pop(handle.target.target_id, None)
        self.gone_by_id[handle.target.target_id] = handle

    def handle_of(self, run: Run) -> TargetHandle | None:
        """Return the target of a run, also when it is gone."""
        return self.target_by_id.get(run.target_id) or self.gone_by_id.get(run.target_id)

    def publish(self) -> None:
        """Put a new manifest in force: one route more, and an added one dropped."""
        self.version += self.rng.randint(1, 3)
        now = time.monotonic()
        live = [p for p in self.routes.added_at if p not in self.routes.dropped_at]
        for prefix in live[:-1]:
            self.routes.dropped_at[prefix] = now
        added = f"/v{self.version}/"
        prefixes = {"/a/": "stock", "/b/": "orders", **{p: "stock" for p in live[-1:]}}
        self.store.put_json("op/config", _manifest(self.version, {**prefixes, added: "stock"}))
        self.routes.added_at[added] = now

    def disturb(self, seconds: float) -> None:
        """Take in that bounds in time do not hold until some time after ``seconds``."""
        until = time.monotonic() + seconds + CALM_SECONDS
        self.disturbed_until = max(self.disturbed_until, until)

    def is_calm_since(self, moment: float) -> bool:
        """Tell whether bounds in time have held since a moment."""
        return self.disturbed_until <= moment


def _manifest(version: int, service_by_prefix: dict[str, str]) -> dict[str, Any]:
    routes = {
        f"r{prefix.strip('/')}": {
            "path-prefix": prefix,
            "kind": "unsafe" if service == "orders" else "safe",
            "timeout-s": 2.0,
            "service": service,
        }
        for prefix, service in service_by_prefix.items()
    }
    return manifest_of(
        version, routes, {"max-connections": 300, "cold-start-s": 1.0, "cold-per-s": 30.0}
    )
