"""A deployment of real processes whose targets crash when they run certain requests."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from cassiashore._internal.models.address import Address
from cassiashore.platform.wire import EDGE_HEADERS
from lab.soak.environment import Instance, SoakEnvironment
from lab.soak.target import Run
from tests.lib.ingress import RawClient

DEADLY_PREFIX = "/a/deadly-"
ORDER_PREFIX = "/b/item-"
ADDED_TARGETS = 6  # beside the six that the environment starts for each service
REPLACEMENT_SECONDS = 3.0  # until a crashed target is replaced by one under another id
REQUEST_SECONDS = 4.0
POISONOUS_STATUS = 422
PROMISES = frozenset({408, 421, 429})  # statuses that promise that the request has not run


@dataclass
class DeadlyDeployment:
    """Three instances and twelve targets; a run of a deadly request ends the target's process."""

    environment: SoakEnvironment
    crashes_by_path: dict[str, list[float]] = field(default_factory=dict)
    refused_innocent: list[str] = field(default_factory=list)
    served_innocent: int = 0
    order_statuses: Counter[int] = field(default_factory=Counter)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def arrivals_after(self, path: str, crashes: int, seconds: float) -> int:
        """Return how often a request ran later than ``seconds`` after a number of crashes."""
        times = self.crashes_by_path.get(path, [])
        if len(times) < crashes:
            return 0
        return sum(at > times[crashes - 1] + seconds for at in times)

    def crash_target_of(self, run: Run) -> None:
        """Crash the target that runs a deadly request, and replace it some seconds later."""
        if not run.path.startswith(DEADLY_PREFIX):
            return
        self.crashes_by_path.setdefault(run.path, []).append(time.monotonic())
        handle = self.environment.target_by_id.get(run.target_id)
        if handle is None:
            return
        handle.target.close()
        handle.proxy.close()
        self._spawn(self._replace(run))

    async def send_deadly(self, count: int, interval: float) -> None:
        """Send each of ``count`` deadly requests once in each interval, until cancelled."""
        while True:
            for number in range(count):
                self._spawn(self._send(f"{DEADLY_PREFIX}{number}"))
                await asyncio.sleep(interval / count)

    async def send_innocent(self, count: int, interval: float) -> None:
        """Send ordinary requests, one in each interval, until cancelled."""
        for number in itertools.cycle(range(count)):
            self._spawn(self._send(f"/a/innocent-{number}"))
            await asyncio.sleep(interval)

    async def send_orders(self, items: int, per_second: float) -> None:
        """Send orders of popular items, which are equal for each item, until cancelled."""
        while True:
            self._spawn(self._order(self.environment.rng.randrange(items)))
            await asyncio.sleep(1 / per_second)

    def lose_answers(self, target_share: float, answer_share: float) -> None:
        """Make a part of the targets of each service lose a part of their answers."""
        for service in ("stock", "orders"):
            handles = [
                h for h in self.environment.target_by_id.values() if h.target.service == service
            ]
            for handle in handles[: round(target_share * len(handles))]:
                handle.target.lost_response_share = answer_share

    def denied_orders(self) -> int:
        """Return how many orders were ended with a 4xx status that promises nothing."""
        return sum(
            count
            for status, count in self.order_statuses.items()
            if 400 <= status < 500 and status not in PROMISES
        )

    async def kill_and_start(self, instances: list[Instance]) -> None:
        """Kill the processes of instances, and start them again at once."""
        for instance in instances:
            instance.signal(signal.SIGKILL)
        for instance in instances:
            if instance.process is not None:
                await asyncio.to_thread(instance.process.wait)
            self.environment.start_instance(instance)

    async def _replace(self, run: Run) -> None:
        await asyncio.sleep(REPLACEMENT_SECONDS)
        self.environment.unregister(self.environment.target_by_id[run.target_id])
        await self.environment.add_target(run.service, run.failure_domain)

    async def _order(self, item: int) -> None:
        path = f"{ORDER_PREFIX}{item}"
        status = await self._ask(self._request(path, method="POST", key=f"item-{item}"))
        if status is not None:
            self.order_statuses[status] += 1

    async def _ask(self, request: bytes) -> int | None:
        """Send a request to any instance; return the status, or None without an answer."""
        instance = self.environment.rng.choice(list(self.environment.instance_by_name.values()))
        where = Address.parse(instance.listen["front"])
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                client = RawClient(*await asyncio.open_connection(where.host, where.port))
                client.send(request)
                status, _, _ = await client.receive()
                client.close()
        except (OSError, TimeoutError, EOFError):
            return None
        return status

    async def _send(self, path: str) -> None:
        status = await self._ask(self._request(path))
        if status is None:
            return
        if path.startswith(DEADLY_PREFIX):
            return
        self.served_innocent += status == 200
        if status == POISONOUS_STATUS:
            self.refused_innocent.append(path)

    def _request(self, path: str, method: str = "GET", key: str = "") -> bytes:
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: shop.example",
            f"{EDGE_HEADERS.request_id.decode()}: d-{next(self._numbers)}",
            f"{EDGE_HEADERS.deadline_ms.decode()}: {int(REQUEST_SECONDS * 1000)}",
        ]
        if key:
            lines += [f"Cookie: X-Cassiashore-Affinity-Key={key}", "Content-Length: 0"]
        return "\r\n".join([*lines, "", ""]).encode()

    def _spawn(self, work: object) -> None:
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End all requests in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@asynccontextmanager
async def deadly_deployment(
    folder: Path, seed: int, services: tuple[str, ...] = ("stock",)
) -> AsyncIterator[DeadlyDeployment]:
    """Start the deployment, and stop all its processes in the end.

    ``services`` names those that have twelve targets; the others have six.
    """
    environment = SoakEnvironment(folder, random.Random(seed), 1)
    deployment = DeadlyDeployment(environment)
    environment.ledger.on_run = deployment.crash_target_of
    try:
        await environment.start()
        domains = itertools.cycle(("erie-a", "erie-b", "huron-a"))
        for domain in itertools.islice(domains, ADDED_TARGETS):
            for service in services:
                await environment.add_target(service, domain)
        yield deployment
    finally:
        await deployment.close()
        environment.stop()
