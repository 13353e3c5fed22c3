"""A deployment on loopback: the store, targets and instances, each a process."""

from __future__ import annotations

import json
import os
import secrets
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import yaml

from lab.client import Reply, call
from lab.ports import LOOPBACK, free_ports
from lab.processes import ManagedProcess, wait_until

START_SECONDS = 30.0
PORTS_PER_INSTANCE = 3
OPERATOR = "lab"


@dataclass(slots=True)
class InstanceHandle:
    """An instance of the deployment, with its addresses, settings and process."""

    name: str
    failure_domain: str
    address: str
    peer_address: str
    dns_address: str
    settings_file: Path
    process: ManagedProcess | None = None

    def listing(self, *, leaving: bool = False) -> dict[str, Any]:
        """Return the entry of the instance in the platform's list."""
        return {
            "name": self.name,
            "failure_domain": self.failure_domain,
            "address": self.address,
            "peer_address": self.peer_address,
            "leaving": leaving,
        }


@dataclass(slots=True)
class DeploymentOptions:
    """Number of instances, behaviour of targets, and settings that override the defaults."""

    instances_per_domain: int = 1
    extra_instances: int = 0
    behaviour: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    policy: str | None = None
    link_seeds: bool = True


class Deployment:
    """Starts and stops the processes of one firm's deployment."""

    def __init__(self, catalogue: dict[str, Any], options: DeploymentOptions) -> None:
        """Assign free ports to all targets and instances; ``start`` starts the processes."""
        self.options = options
        self._folder = tempfile.TemporaryDirectory(prefix="lab-")
        self.folder = Path(self._folder.name)
        self.catalogue = json.loads(json.dumps(catalogue))
        self.operator_key = secrets.token_hex(16)
        self.version = 0
        self._assign_target_ports()
        self.store_address = f"{LOOPBACK}:{free_ports(1)[0]}"
        self.store: ManagedProcess | None = None
        self.target_processes: list[ManagedProcess] = []
        self.instance_by_name: dict[str, InstanceHandle] = {}
        self._plan_instances()

    def __enter__(self) -> Deployment:
        """Start all processes; stop those already started if that fails."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self.stop()

    # Life cycle.

    def start(self) -> None:
        """Start all processes, publish the catalogue and wait until requests are served."""
        self.start_store()
        self.start_targets()
        self.list_instances()
        for instance in self.instance_by_name.values():
            self.start_instance(instance.name)
        self.wait_listening()
        self.publish(self.catalogue)
        self.wait_serving()

    def stop(self) -> None:
        """Kill all processes that this deployment started."""
        handles = [i.process for i in self.instance_by_name.values() if i.process is not None]
        for process in [*handles, *self.target_processes, *([self.store] if self.store else [])]:
            process.kill()
        self._folder.cleanup()

    def start_store(self) -> None:
        """Start the stand-in of the store, which is empty."""
        arguments = ["standin", "store", "--listen", self.store_address]
        self.store = ManagedProcess("store", arguments, self.folder / "store.log")
        wait_until(lambda: self._responds(self.store_address, "/counts"), START_SECONDS)

    def start_targets(self) -> None:
        """Start one process of target stand-ins per failure domain."""
        by_domain: dict[str, list[dict[str, Any]]] = {}
        for service in self.catalogue["services"]:
            for target in service["targets"]:
                spec = {
                    "name": target["name"],
                    "address": target["address"],
                    "slots": target["slots"],
                    "behaviour": self.options.behaviour,
                }
                by_domain.setdefault(target["failure_domain"], []).append(spec)
        for domain, specs in by_domain.items():
            file = self.folder / f"targets-{domain}.json"
            file.write_text(json.dumps(specs))
            arguments = ["standin", "targets", "--file", str(file)]
            log = self.folder / f"targets-{domain}.log"
            self.target_processes.append(ManagedProcess(domain, arguments, log))
        addresses = [t["address"] for s in self.catalogue["services"] for t in s["targets"]]
        wait_until(
            lambda: all(self._responds(address, "/health") for address in addresses), START_SECONDS
        )

    def start_instance(self, name: str) -> None:
        """Start or restart an instance."""
        instance = self.instance_by_name[name]
        arguments = ["entry", "--settings", str(instance.settings_file)]
        log = self.folder / f"{name}.log"
        instance.process = ManagedProcess(name, arguments, log)

    def wait_listening(self) -> None:
        """Wait until every instance responds; raise ``RuntimeError`` if one does not."""
        for instance in self.instance_by_name.values():
            if not wait_until(
                lambda i=instance: self._responds(i.address, "/healthz"), START_SECONDS
            ):
                log = (self.folder / f"{instance.name}.log").read_text()
                raise RuntimeError(f"instance {instance.name} did not start:\n{log[:3000]}")

    def wait_serving(self) -> None:
        """Wait until requests to all targets are admitted; raise ``RuntimeError`` on time-out."""
        if not wait_until(self.all_targets_admitted, START_SECONDS, 0.2):
            raise RuntimeError("the instances do not admit requests to all targets in time")

    # The platform.

    def list_instances(self, *, leaving: frozenset[str] = frozenset()) -> None:
        """Set the platform's list to the instances of this deployment."""
        listing = [i.listing(leaving=i.name in leaving) for i in self.instance_by_name.values()]
        call(self.store_address, "PUT", "/instances", json.dumps(listing).encode())

    def set_store_faults(self, **faults: Any) -> None:
        """Set the faults of the store; faults that are not given are cleared."""
        call(self.store_address, "PUT", "/faults", json.dumps(faults).encode())

    def set_target(self, address: str, **behaviour: Any) -> dict[str, Any]:
        """Change the behaviour of a target; return its counters."""
        reply = call(address, "PUT", "/control", json.dumps(behaviour).encode())
        counters: dict[str, Any] = reply.json()
        return counters

    # Operators.

    def publish(self, catalogue: dict[str, Any], base: int | None = None) -> Reply:
        """Publish a catalogue through any running instance."""
        base = self.version if base is None else base
        change = secrets.token_hex(8)
        path = f"/v1/catalogue?base={base}&change={change}&author={OPERATOR}"
        body = json.dumps(catalogue).encode()
        reply = self.operate(self.any_running().name, "PUT", path, body)
        if reply.status == 200:
            self.version = reply.json()["version"]
            self.catalogue = json.loads(body)
        return reply

    def operate(self, name: str, method: str, path: str, body: bytes | None = None) -> Reply:
        """Call an instance with the operator key."""
        headers = {"authorization": f"Bearer {self.operator_key}"}
        return call(self.instance_by_name[name].address, method, path, body, headers)

    def status(self, name: str) -> dict[str, Any]:
        """Return the status of an instance."""
        status: dict[str, Any] = self.operate(name, "GET", "/v1/status").json()
        return status

    # Queries.

    def running(self) -> list[InstanceHandle]:
        """Return the instances whose process is running."""
        return [i for i in self.instance_by_name.values() if i.process and i.process.is_running]

    def any_running(self) -> InstanceHandle:
        """Return one instance whose process is running."""
        return self.running()[0]

    def targets(self, service: str, domain: str | None = None) -> list[dict[str, Any]]:
        """Return the targets of a service, or those in one failure domain."""
        spec = next(s for s in self.catalogue["services"] if s["name"] == service)
        return [t for t in spec["targets"] if domain in (None, t["failure_domain"])]

    def target_counts(self, address: str) -> dict[str, Any]:
        """Return the counters of a target."""
        counters: dict[str, Any] = call(address, "GET", "/control").json()
        return counters

    def all_counts(self) -> dict[str, dict[str, Any]]:
        """Return the counters of all targets by service and name."""
        return {
            f"{service['name']}/{target['name']}": self.target_counts(target["address"])
            for service in self.catalogue["services"]
            for target in service["targets"]
        }

    def all_targets_admitted(self) -> bool:
        """Tell whether the running instances together admit requests to all slots."""
        try:
            statuses = [self.status(instance.name) for instance in self.running()]
        except OSError:
            return False
        held = {key for status in statuses for key in status["rights"]["held"]}
        expected = {
            f"{service['name']}/{target['name']}"
            for service in self.catalogue["services"]
            for target in service["targets"]
        }
        if held != expected or any(len(s["headroom"]) < len(self.domains()) for s in statuses):
            return False
        slots = sum(t["slots"] for s in self.catalogue["services"] for t in s["targets"])
        for status in statuses:
            reported = sum(x["total"] for d in status["headroom"].values() for x in d.values())
            if reported < slots * 0.95:
                return False
        return True

    def domains(self) -> list[str]:
        """Return the names of the failure domains."""
        return [domain["name"] for domain in self.catalogue["failure_domains"]]

    # Planning.

    def _assign_target_ports(self) -> None:
        targets = [t for s in self.catalogue["services"] for t in s["targets"]]
        for target, port in zip(targets, free_ports(len(targets)), strict=True):
            target["address"] = f"{LOOPBACK}:{port}"
        if self.options.policy is not None:
            for service in self.catalogue["services"]:
                service["policy"] = self.options.policy

    def _plan_instances(self) -> None:
        domains = self.domains()
        instance_domains = [d for d in domains for _ in range(self.options.instances_per_domain)]
        instance_domains += [domains[i % len(domains)] for i in range(self.options.extra_instances)]
        ports = free_ports(PORTS_PER_INSTANCE * len(instance_domains))
        peer_key = self.folder / "peer.key"
        peer_key.write_text(secrets.token_hex(16))
        operator_key = self.folder / "operator.key"
        operator_key.write_text(self.operator_key)
        for file in (peer_key, operator_key):
            os.chmod(file, 0o600)
        number_by_domain: dict[str, int] = {}
        for index, domain in enumerate(instance_domains):
            number = number_by_domain[domain] = number_by_domain.get(domain, 0) + 1
            http_port, peer_port, dns_port = ports[index * 3 : index * 3 + 3]
            handle = InstanceHandle(
                name=f"{domain}-{number}",
                failure_domain=domain,
                address=f"{LOOPBACK}:{http_port}",
                peer_address=f"{LOOPBACK}:{peer_port}",
                dns_address=f"{LOOPBACK}:{dns_port}",
                settings_file=self.folder / f"{domain}-{number}.yaml",
            )
            self.instance_by_name[handle.name] = handle
        for handle in self.instance_by_name.values():
            self._write_settings(handle, peer_key, operator_key)

    def _write_settings(self, handle: InstanceHandle, peer_key: Path, operator_key: Path) -> None:
        seeds = [
            i.peer_address
            for i in self.instance_by_name.values()
            if i.failure_domain == handle.failure_domain and i.name != handle.name
        ]
        settings: dict[str, Any] = {
            "instance": handle.name,
            "failure_domain": handle.failure_domain,
            "listen": handle.address,
            "peer_listen": handle.peer_address,
            "dns_listen": handle.dns_address,
            "store": {"address": self.store_address},
            "seeds": seeds if self.options.link_seeds else [],
            "peer_key_file": str(peer_key),
            "operator_key_file": str(operator_key),
            **self.options.settings,
        }
        handle.settings_file.write_text(yaml.safe_dump(settings))

    def _responds(self, address: str, path: str) -> bool:
        try:
            return call(address, "GET", path, seconds=1.0).status == 200
        except OSError:
            return False


def load_catalogue(file: str | Path) -> dict[str, Any]:
    """Read a catalogue file without validating it."""
    document: dict[str, Any] = yaml.safe_load(Path(file).read_text())
    return document
