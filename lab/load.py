"""Open-loop load: requests start at scheduled times, regardless of how slow responses are."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import Headers, HttpConnection, request_head
from lab.network import NetworkModel

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_SECONDS = 5.0
LOOKUP_SECONDS = 2.0
MAX_BODY_BYTES = 1 << 20
MAX_ATTEMPTS = 3
RETRY_PAUSE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests to one service from one region of callers, at a rate per second."""

    service: str
    source: str
    rate: float
    method: str = "GET"
    weight: float = 1.0


@dataclass(slots=True)
class LoadResult:
    """Results as seen by callers.

    ``wrong`` counts responses that were incomplete or belonged to another request.
    """

    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
        )
    )
    requests: int = 0
    answered: int = 0
    served_weight: float = 0.0
    offered_weight: float = 0.0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    tries: int = 0
    lookups: int = 0
    reasons: Counter[str] = field(default_factory=Counter)
    wrong_details: list[str] = field(default_factory=list)
    not_run_ids: set[str] = field(default_factory=set)
    name: str = ""
    network: NetworkModel | None = None

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        value: int = self.latency.get_value_at_percentile(percentile)
        return value / 1000


Tried = tuple[str, str, float]


class Caller:
    """Looks up instances, caches the result for its TTL, and sends requests.

    It retries as callers must: a request refused as "not run" may be retried with a new key; one
    whose outcome is unknown is retried only if it is safe, or with the same key.
    """

    def __init__(
        self, entry_points: list[str], source: str, rng: random.Random, result: LoadResult
    ) -> None:
        """Store the instances to use for look-ups, and the address to call from."""
        self._entry_points = entry_points
        self._source = source
        self._rng = rng
        self._result = result
        self._cache: dict[str, tuple[float, list[dict[str, Any]]]] = {}
        self._idle: dict[str, list[HttpConnection]] = {}
        self._attempts_sent = 0

    async def request(self, flow: Flow, started: float) -> None:
        """Make one request and record its outcome; ``started`` is its scheduled time."""
        result = self._result
        result.requests += 1
        result.offered_weight += flow.weight
        outcome = reason = ""
        network_ms = 0.0
        for attempt_number in range(MAX_ATTEMPTS):
            self._attempts_sent += 1
            random_part = f"{self._rng.getrandbits(48):012x}"
            request_id = (
                f"{result.name}-{self._source}-{random_part}-{self._attempts_sent}".replace(
                    " ", "_"
                )
            )
            outcome, reason, network_ms = await self._try(flow, request_id, attempt_number)
            result.tries += 1
            if outcome == "not-run":
                result.not_run_ids.add(request_id)
            may_retry = outcome == "not-run" or flow.method == "GET"
            if outcome == "ran" or not may_retry:
                break
            await asyncio.sleep(RETRY_PAUSE_SECONDS * (attempt_number + 1))
        self._count(flow, outcome, reason, started, network_ms)

    def close(self) -> None:
        """Close idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    def _count(
        self, flow: Flow, outcome: str, reason: str, started: float, network_ms: float
    ) -> None:
        result = self._result
        microseconds = int((time.monotonic() - started) * 1e6 + network_ms * 1e3)
        if outcome == "ran":
            result.answered += 1
            result.served_weight += flow.weight
            result.latency.record_value(min(max(microseconds, 1), HIGHEST_MICROSECONDS))
            return
        result.reasons[reason] += 1
        if outcome == "not-run":
            result.not_run += 1
        else:
            result.unknown += 1

    async def _try(self, flow: Flow, request_id: str, attempt_number: int) -> Tried:
        instances = await self._instances(flow.service)
        if not instances:
            return "not-run", "no-instance", 0.0
        instance = instances[attempt_number % len(instances)]
        headers: Headers = [
            (b"host", b"lab"),
            (b"x-request-id", request_id.encode() if flow.method != "GET" else b""),
        ]
        if flow.method != "GET":
            key = f"{instance['ticket']}.{self._rng.getrandbits(40):x}"
            headers.append((b"cassiashore-request-key", key.encode()))
            headers.append((b"content-length", b"5"))
        path = f"/services/{flow.service}/r/{request_id}"
        body = b"hello" if flow.method != "GET" else b""
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                return await self._exchange(flow, instance["address"], path, headers, body)
        except (TimeoutError, ConnectionLostError, OSError) as error:
            return "unknown", f"transport: {type(error).__name__}", 0.0

    async def _exchange(
        self, flow: Flow, address: str, path: str, headers: Headers, body: bytes
    ) -> Tried:
        connection = await self._connection(address)
        reusable = False
        try:
            connection.start_exchange(request_head(flow.method, path, headers) + body)
            head = await connection.response_head()
            content = await connection.read_all(MAX_BODY_BYTES)
            reusable = True
        finally:
            if reusable and connection.reusable:
                self._idle.setdefault(address, []).append(connection)
            else:
                connection.close()
        outcome = (head.get(b"cassiashore-outcome") or b"").decode()
        reason = (head.get(b"cassiashore-reason") or b"").decode()
        if outcome == "ran" and not reason:
            self._check_response(path, head.status, content)
        network = self._result.network
        target = (head.get(b"cassiashore-served-by") or b"").decode()
        network_ms = network.round_trip_ms(self._source, address, target) if network else 0.0
        return outcome or "unknown", reason, network_ms

    def _check_response(self, path: str, status: int, content: bytes) -> None:
        if status >= 500:
            return
        own_path = path.split("/", 3)[3]
        try:
            decoded = msgspec.json.decode(content)
        except msgspec.DecodeError:
            decoded = {}
        if decoded.get("path") != f"/{own_path}":
            self._result.wrong += 1
            self._result.wrong_details.append(f"{path}: {content[:80]!r}")

    async def _instances(self, service: str) -> list[dict[str, Any]]:
        now = time.monotonic()
        expires_at, instances = self._cache.get(service, (0.0, []))
        if now < expires_at:
            return instances
        for address in self._rng.sample(self._entry_points, len(self._entry_points)):
            found = await self._look_up(address, service)
            if found is not None:
                self._result.lookups += 1
                ttl = float(found["ttl_seconds"])
                self._cache[service] = (now + ttl, found["instances"])
                return list(found["instances"])
        return instances

    async def _look_up(self, address: str, service: str) -> dict[str, Any] | None:
        try:
            async with asyncio.timeout(LOOKUP_SECONDS):
                connection = await self._connection(address)
                path = f"/v1/lookup/{service}?client={self._source}"
                connection.start_exchange(request_head("GET", path, [(b"host", b"lab")]))
                head = await connection.response_head()
                body = await connection.read_all(MAX_BODY_BYTES)
        except (TimeoutError, ConnectionLostError, OSError):
            return None
        connection.close()
        if head.status != 200:
            return None
        found: dict[str, Any] = msgspec.json.decode(body)
        return found

    async def _connection(self, address: str) -> HttpConnection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
        parsed = Address.parse(address)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            HttpConnection, parsed.host, parsed.port, local_addr=(self._source, 0)
        )
        return connection


Action = Callable[[], Coroutine[Any, Any, None]]


async def drive(
    flows: list[Flow],
    entry_points: list[str],
    seconds: float,
    seed: int,
    actions: list[tuple[float, Action]] | None = None,
    result: LoadResult | None = None,
) -> LoadResult:
    """Send all flows for ``seconds``, with exponential gaps; run actions after their delays."""
    result = result or LoadResult()
    callers = []
    start = time.monotonic()
    tasks: list[asyncio.Task[None]] = []
    for flow_index, flow in enumerate(flows):
        rng = random.Random(seed * 1000 + flow_index)
        caller = Caller(entry_points, flow.source, rng, result)
        callers.append(caller)
        tasks.append(asyncio.create_task(_drive_flow(flow, caller, rng, start, seconds)))
    for delay, action in actions or []:
        tasks.append(asyncio.create_task(_run_at(start + delay, action)))
    await asyncio.gather(*tasks)
    for caller in callers:
        caller.close()
    return result


async def _drive_flow(
    flow: Flow, caller: Caller, rng: random.Random, start: float, seconds: float
) -> None:
    running: set[asyncio.Task[None]] = set()
    due = start + rng.expovariate(flow.rate)
    while due < start + seconds:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        task = asyncio.create_task(caller.request(flow, due))
        running.add(task)
        task.add_done_callback(running.discard)
        due += rng.expovariate(flow.rate)
    if running:
        await asyncio.gather(*running)


async def _run_at(when: float, action: Action) -> None:
    await asyncio.sleep(max(0.0, when - time.monotonic()))
    await action()
