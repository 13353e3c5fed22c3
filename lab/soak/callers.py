"""Callers that reuse their connection until it closes."""

from __future__ import annotations

import asyncio
import random
import time

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import Headers, HttpConnection, connect, request_head
from cassiashore.platform.wire import EDGE_HEADERS
from lab.soak.environment import Instance, SoakEnvironment
from lab.soak.invariants import Attempt, InvariantChecker

DEADLINE_SECONDS = 4.0  # twice the routes' timeout
REQUEST_INTERVAL_SECONDS = (0.02, 0.12)  # least and most between two requests of a caller
UNSAFE_SHARE = 0.4  # of the requests
ADDED_ROUTE_SHARE = 0.15  # of the idempotent requests
AFFINITY_KEYS = 40  # enough that each target serves some of them
POPULAR_SHARE = 0.2  # of the unsafe requests; these are all equal
MAX_RESPONSE_BYTES = 1 << 16  # responses are short


class Caller:
    """A caller with one connection at a time."""

    def __init__(
        self, number: int, environment: SoakEnvironment, checker: InvariantChecker, seed: int
    ) -> None:
        """Create a caller with its own random generator."""
        self._name = f"{seed:x}-{number}"
        self._world = environment
        self._checker = checker
        self._rng = random.Random(f"{seed}/{number}")
        self._connection: HttpConnection | None = None
        self._instance: Instance | None = None
        self._sent = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            if self._connection is None or not self._connection.usable:
                await self._connect()
            if self._connection is not None and self._instance is not None:
                await self._request(self._connection, self._instance)
            await asyncio.sleep(self._rng.uniform(*REQUEST_INTERVAL_SECONDS))

    async def _connect(self) -> None:
        instance = self._rng.choice(list(self._world.instance_by_name.values()))
        outcome = await connect(Address.parse(instance.listen["front"]), 1.0)
        self._connection, self._instance = outcome.ok(), instance

    async def _request(self, connection: HttpConnection, instance: Instance) -> None:
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        is_unsafe = self._rng.random() < UNSAFE_SHARE
        key = self._rng.randrange(AFFINITY_KEYS)
        path = f"{self._prefix(is_unsafe)}{self._rng.randrange(AFFINITY_KEYS)}"
        body = self._rng.randbytes(self._rng.choice((0, 10, 5000))) if is_unsafe else b""
        if is_unsafe and self._rng.random() < POPULAR_SHARE:
            key, path, body = 0, "/b/popular", b""
        sent_at = time.monotonic()
        status, headers, content = 0, {}, b""
        try:
            async with asyncio.timeout(DEADLINE_SECONDS):
                head = self._head(request_id, path, is_unsafe, body, key)
                connection.start_exchange(head + body)
                response = await connection.response_head()
                content = await connection.read_all(MAX_RESPONSE_BYTES)
                status, headers = response.status, dict(response.headers)
        except ConnectionLostError:
            self._drop(connection)
        except TimeoutError:
            # The caller gives up. The response is unknown, so the attempt is not checked.
            self._drop(connection)
            return
        if not connection.reusable:
            self._drop(connection)
        self._checker.check_attempt(
            Attempt(
                request_id,
                path,
                body,
                is_unsafe,
                instance,
                sent_at,
                time.monotonic(),
                status,
                EDGE_HEADERS.stamp in headers,
                headers.get(EDGE_HEADERS.request_id, b"").decode(),
                content,
            )
        )

    def _prefix(self, is_unsafe: bool) -> str:
        added = list(self._world.routes.added_at)
        if is_unsafe:
            return "/b/"
        if added and self._rng.random() < ADDED_ROUTE_SHARE:
            return self._rng.choice(added[-3:])
        return "/a/"

    def _head(self, request_id: str, path: str, is_unsafe: bool, body: bytes, key: int) -> bytes:
        headers: Headers = [
            (b"host", b"shop.example"),
            (EDGE_HEADERS.request_id, request_id.encode()),
            (EDGE_HEADERS.deadline_ms, b"%d" % int(DEADLINE_SECONDS * 1000)),
            (b"cookie", b"%b=%d" % (EDGE_HEADERS.affinity_cookie, key)),
        ]
        if is_unsafe:
            headers.append((b"content-length", b"%d" % len(body)))
        return request_head("POST" if is_unsafe else "GET", path, headers)

    def _drop(self, connection: HttpConnection) -> None:
        connection.close()
        self._connection = None
