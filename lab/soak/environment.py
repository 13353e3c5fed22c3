"""Deployment under test: instances as processes, the store and targets in this process."""

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
SLOTS = 8  # per target; a few targets have room for all callers
START_SECONDS = 15.0  # limit; on an idle machine an instance starts within half a second
STABLE_WINDOW_SECONDS = 3.0  # time limits apply only this long after the last disturbance
BOUNDS = {"drain-s": 2.5, "evac-s": 5, "config-apply-s": 2.5, "grace-s": 6, "stable-window-s": 3}


@dataclass(slots=True)
class Instance:
    """An instance: its process, its settings, and the proxy between it and the store."""

    name: str
    failure_domain: str
    listen: dict[str, str]
    settings: Path
    store_proxy: FaultProxy
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = float("-inf")  # last kill or pause, which may break connections

    @property
    def is_running(self) -> bool:
        """Tell whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signum: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running and self.process is not None:
            self.process.send_signal(signum)


@dataclass(slots=True)
class TargetHandle:
    """A target and the proxy under whose address it is registered."""

    target: SoakTarget
    proxy: FaultProxy
    leaving_at: float = float("inf")  # when the store confirmed that it is leaving
    disturbed_at: float = float("-inf")

    @property
    def key(self) -> str:
        """Return the target's key in the store."""
        return f"servers/{self.target.target_id}"


@dataclass(slots=True)
class RouteState:
    """When the store confirmed that each additional route was added or dropped."""

    added_at: dict[str, float] = field(default_factory=dict)
    dropped_at: dict[str, float] = field(default_factory=dict)


class SoakEnvironment:
    """Starts and stops the deployment; used by faults and callers."""

    def __init__(self, folder: Path, rng: random.Random, per_domain: int) -> None:
        """Create a deployment; nothing runs before ``start``."""
        self.folder = folder
        self.rng = rng
        self.store = StandinStore()
        self.ledger = RunLedger()
        self.instance_by_name: dict[str, Instance] = {}
        self.target_by_id: dict[str, TargetHandle] = {}
        self.removed_by_id: dict[str, TargetHandle] = {}
        self.evacuated_at: dict[str, float] = {}
        self.routes = RouteState()
        self.version = 0
        self.manifest: dict[str, Any] = {}  # the latest that was published
        self.disturbed_until = float("-inf")  # the store or an instance; suspends time limits
        self._per_domain = per_domain
        self._numbers = 0
        self._store_at = Address(LOOPBACK, 0)

    # Life cycle.

    async def start(self) -> None:
        """Start everything and wait until every instance accepts connections."""
        self._store_at = Address.parse(await self.store.listen())
        for domain in REGION_BY_DOMAIN:
            for service in SERVICES:
                for _ in range(2):
                    await self.add_target(service, domain)
        self.publish_manifest()
        for domain in REGION_BY_DOMAIN:
            for number in range(self._per_domain):
                await self._plan_instance(f"{domain}-{number}", domain)
        for instance in self.instance_by_name.values():
            self.start_instance(instance)
        await asyncio.gather(*(self.wait_listening(i) for i in self.instance_by_name.values()))

    def stop(self) -> None:
        """Stop all processes and stand-ins that were started here."""
        for instance in self.instance_by_name.values():
            if instance.process is not None:
                if instance.is_running:
                    instance.process.kill()
                instance.process.wait()
            instance.store_proxy.close()
        for handle in [*self.target_by_id.values(), *self.removed_by_id.values()]:
            handle.target.close()
            handle.proxy.close()
        self.store.close()

    async def _plan_instance(self, name: str, domain: str) -> None:
        proxy = FaultProxy(self._store_at.host, self._store_at.port)
        listeners = ("front", "ready", "control", "directory")
        ports = free_ports(len(listeners))
        listen = {listener: f"{LOOPBACK}:{p}" for listener, p in zip(listeners, ports, strict=True)}
        instance = Instance(name, domain, listen, self.folder / f"{name}.json", proxy)
        await proxy.listen()
        self.instance_by_name[name] = instance

    def write_settings(self, instance: Instance, **bounds: Any) -> None:
        """Write the settings of an instance; ``bounds`` override the defaults."""
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
        """Start the process of an instance that is not running."""
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
        """Wait until an instance accepts connections; raise ``RuntimeError`` if it does not."""
        until = time.monotonic() + START_SECONDS
        while (found := await connect(Address.parse(instance.listen["front"]), 1.0)).is_err():
            if time.monotonic() > until:
                raise RuntimeError(f"instance {instance.name} does not listen")
            await asyncio.sleep(0.05)
        found.unwrap().close()

    # Actions of operators and targets.

    async def add_target(self, service: str, domain: str, proxy: FaultProxy | None = None) -> str:
        """Start and register a target; reuse the given proxy of an earlier one."""
        self._numbers += 1
        target = SoakTarget(f"i-{self._numbers}", service, domain, SLOTS, self.ledger)
        address = Address.parse(await target.listen())
        if proxy is None:
            proxy = FaultProxy(address.host, address.port)
            await proxy.listen()
        else:
            proxy.set_server(address.host, address.port)
        handle = TargetHandle(target, proxy)
        self.target_by_id[target.target_id] = handle
        self.register(handle)
        return target.target_id

    def register(self, handle: TargetHandle) -> None:
        """Write a target's entry."""
        self.store.put_json(handle.key, handle.target.entry(handle.proxy.address))

    def unregister(self, handle: TargetHandle) -> None:
        """Remove a target's entry; the target itself may continue for a while."""
        self.store.delete(handle.key)
        handle.leaving_at = min(handle.leaving_at, time.monotonic())
        self.target_by_id.pop(handle.target.target_id, None)
        self.removed_by_id[handle.target.target_id] = handle

    def handle_of(self, run: Run) -> TargetHandle | None:
        """Return the target of a run, which may have been unregistered."""
        return self.target_by_id.get(run.target_id) or self.removed_by_id.get(run.target_id)

    def publish_manifest(self) -> None:
        """Publish a manifest that adds a route and drops all added before except the latest."""
        self.version += self.rng.randint(1, 3)
        now = time.monotonic()
        live = [p for p in self.routes.added_at if p not in self.routes.dropped_at]
        for prefix in live[:-1]:
            self.routes.dropped_at[prefix] = now
        added = f"/v{self.version}/"
        prefixes = {"/a/": "stock", "/b/": "orders", **{p: "stock" for p in live[-1:]}}
        self.manifest = _manifest(self.version, {**prefixes, added: "stock"})
        self.store.put_json("op/config", self.manifest)
        self.routes.added_at[added] = now

    def write_again(self) -> None:
        """Write all entries again and remove those that ended, after a restore of the store."""
        self.store.put_json("op/config", self.manifest)
        for domain in self.evacuated_at:
            self.store.put_json(f"op/evacuate/{domain}", {})
        for handle in self.target_by_id.values():
            if handle.target.state != "crashed":
                self.register(handle)
        current = {h.key for h in self.target_by_id.values()}
        current |= {f"op/evacuate/{domain}" for domain in self.evacuated_at}
        for key in list(self.store.item_by_key):
            if key.startswith(("servers/", "op/evacuate/")) and key not in current:
                self.store.delete(key)

    def mark_disturbed(self, seconds: float) -> None:
        """Suspend time limits for ``seconds`` and the stable window that follows."""
        until = time.monotonic() + seconds + STABLE_WINDOW_SECONDS
        self.disturbed_until = max(self.disturbed_until, until)

    def is_stable_since(self, moment: float) -> bool:
        """Tell whether time limits have applied since a moment."""
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
