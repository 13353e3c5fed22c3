"""Helpers that functional tests share."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Any

from lab.client import Reply, call
from lab.deployment import Deployment, InstanceHandle

ERIE_CALLER = "127.1.0.1"
HURON_CALLER = "127.2.0.1"


def get(
    instance: InstanceHandle, path: str, service: str = "stock", source: str = ERIE_CALLER
) -> Reply:
    return call(instance.address, "GET", f"/services/{service}{path}", source=source)


def post(
    instance: InstanceHandle,
    body: bytes,
    headers: dict[str, str] | None = None,
    service: str = "orders",
    source: str = ERIE_CALLER,
    path: str = "/run",
) -> Reply:
    return call(instance.address, "POST", f"/services/{service}{path}", body, headers, source)


def ticket_of(deployment: Deployment, owner: InstanceHandle, service: str = "orders") -> str:
    """Look up until the result contains the owner; return its request key prefix (ticket)."""
    for number in range(1, 200):
        client = f"127.{1 + number % 2}.{number}.1"
        path = f"/v1/lookup/{service}?client={client}"
        for found in call(owner.address, "GET", path).json()["instances"]:
            if found["instance"] == owner.name:
                return str(found["ticket"])
    raise AssertionError(f"no look-up names {owner.name}")


def in_domain(deployment: Deployment, domain: str) -> list[InstanceHandle]:
    return [i for i in deployment.instance_by_name.values() if i.failure_domain == domain]


def held_by(deployment: Deployment, instance: InstanceHandle) -> list[str]:
    held: list[str] = deployment.status(instance.name)["rights"]["held"]
    return held


def total(deployment: Deployment, counter: str) -> int:
    return sum(counts[counter] for counts in deployment.all_counts().values())


def runs_of(deployment: Deployment, request_id: str) -> int:
    return sum(c["runs"].get(request_id, 0) for c in deployment.all_counts().values())


def set_all_targets(deployment: Deployment, **behaviour: Any) -> None:
    for service in deployment.catalogue["services"]:
        for target in service["targets"]:
            deployment.set_target(target["address"], **behaviour)


class BackgroundLoad:
    """Sends requests from several threads until stopped, and records every reply."""

    def __init__(self, send: Callable[[int, int], Reply], threads: int) -> None:
        self.replies: list[Reply] = []
        self.errors: list[str] = []
        self._send = send
        self._stop = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(threads)]

    def __enter__(self) -> BackgroundLoad:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *unused: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        turn = 0
        while not self._stop.is_set():
            try:
                self.replies.append(self._send(number, turn))
            except OSError as error:
                self.errors.append(str(error))
                time.sleep(0.05)
            turn += 1
