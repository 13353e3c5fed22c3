"""Stand-in for the platform's key-value service, over HTTP.

Supports compare-and-swap, leases, watches and an instance list that lags. ``PUT /faults`` sets the
faults to simulate: an outage, a delay, or writes that take effect but whose responses are lost.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from blacksheep import Application, Content, Request, Response

from cassiashore._internal.store.client import ListedInstance

_BINARY = b"application/octet-stream"


class StoreFaults(msgspec.Struct):
    """Faults to simulate.

    The responses of the next ``lose_answers`` writes of keys that begin with ``lose_prefix`` are
    lost.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = ""
    list_lag_seconds: float = 0.0


class StoreCounts(msgspec.Struct):
    """Number of calls served, by kind."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    lists: int = 0


@dataclass(slots=True)
class _Record:
    value: bytes
    revision: int
    lease: str


@dataclass(slots=True)
class StoreState:
    """The keys, leases and instance list of the stand-in, and its faults."""

    revision: int = 0
    record_by_key: dict[str, _Record] = field(default_factory=dict)
    lease_end_by_id: dict[str, float] = field(default_factory=dict)
    instance_changes: list[tuple[float, list[ListedInstance]]] = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    counts: StoreCounts = field(default_factory=StoreCounts)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def get(self, key: str) -> _Record:
        """Return a record; one that is absent or whose lease has expired has revision 0."""
        record = self.record_by_key.get(key)
        if record is None:
            return _Record(b"", 0, "")
        if record.lease and self.lease_end_by_id.get(record.lease, 0.0) <= time.monotonic():
            del self.record_by_key[key]
            return _Record(b"", 0, "")
        return record

    def put_if(self, key: str, value: bytes, expected: int, lease: str) -> tuple[bool, _Record]:
        """Write a key if its revision is ``expected``; return whether it was, and the record."""
        current = self.get(key)
        if current.revision != expected:
            return False, current
        self.revision += 1
        record = _Record(value, self.revision, lease)
        self.record_by_key[key] = record
        self.changed.set()
        self.changed = asyncio.Event()
        return True, record

    def listed_instances(self) -> list[ListedInstance]:
        """Return the instance list as it was ``list_lag_seconds`` ago."""
        cutoff = time.monotonic() - self.faults.list_lag_seconds
        listed: list[ListedInstance] = []
        for when, instances in self.instance_changes:
            if when <= cutoff:
                listed = instances
        return listed


def build_store_app() -> Application:
    """Build the stand-in as an ASGI application."""
    app = Application()
    state = StoreState()

    async def inject_faults(
        request: Request, handler: Callable[[Request], Awaitable[Response]]
    ) -> Response:
        if request.path.startswith("/v1/"):
            if state.faults.delay_ms:
                await asyncio.sleep(state.faults.delay_ms / 1000)
            if state.faults.down:
                return _build_response(503, b"the store is down", 0)
        response = await handler(request)
        is_write = request.method in ("PUT", "POST") and request.path.startswith(
            f"/v1/kv/{state.faults.lose_prefix}"
        )
        if is_write and state.faults.lose_answers > 0:
            state.faults.lose_answers -= 1
            return _build_response(503, b"the answer was lost", 0)
        return response

    app.middlewares.append(inject_faults)
    _add_key_routes(app, state)
    _add_control_routes(app, state)
    return app


def _add_key_routes(app: Application, state: StoreState) -> None:
    @app.router.get("/v1/kv/*")
    async def read(request: Request) -> Response:
        state.counts.reads += 1
        record = state.get(_key(request, "/v1/kv/"))
        return _build_response(200 if record.revision else 404, record.value, record.revision)

    @app.router.put("/v1/kv/*")
    async def write(request: Request) -> Response:
        state.counts.writes += 1
        body = await request.read() or b""
        expected = int(_query_parameter(request, "expected", "0"))
        key = _key(request, "/v1/kv/")
        written, record = state.put_if(key, body, expected, _query_parameter(request, "lease", ""))
        return _build_response(200 if written else 409, record.value, record.revision)

    @app.router.get("/v1/watch/*")
    async def watch(request: Request) -> Response:
        state.counts.watches += 1
        key = _key(request, "/v1/watch/")
        after = int(_query_parameter(request, "after", "0"))
        deadline = time.monotonic() + float(_query_parameter(request, "wait", "20"))
        while (record := state.get(key)).revision <= after:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or state.faults.down:
                break
            try:
                async with asyncio.timeout(remaining):
                    await state.changed.wait()
            except TimeoutError:
                break
        if state.faults.down:
            return _build_response(503, b"the store is down", 0)
        return _build_response(200 if record.revision else 404, record.value, record.revision)

    @app.router.get("/v1/keys/*")
    async def keys(request: Request) -> Response:
        state.counts.lists += 1
        prefix = _key(request, "/v1/keys/")
        keys_found = sorted(key for key in state.record_by_key if key.startswith(prefix))
        return _build_response(200, msgspec.json.encode(keys_found), 0)

    @app.router.post("/v1/leases")
    async def grant(request: Request) -> Response:
        state.counts.writes += 1
        state.revision += 1
        lease = f"lease-{state.revision}"
        state.lease_end_by_id[lease] = time.monotonic() + float(
            _query_parameter(request, "ttl", "60")
        )
        return _build_response(200, lease.encode(), 0)

    @app.router.get("/v1/instances")
    async def instances(request: Request) -> Response:
        state.counts.lists += 1
        return _build_response(200, msgspec.json.encode(state.listed_instances()), 0)


def _add_control_routes(app: Application, state: StoreState) -> None:
    @app.router.put("/faults")
    async def set_faults(request: Request) -> Response:
        state.faults = msgspec.json.decode(await request.read() or b"{}", type=StoreFaults)
        state.changed.set()
        state.changed = asyncio.Event()
        return _build_response(200, b"", 0)

    @app.router.put("/instances")
    async def set_instances(request: Request) -> Response:
        listed = msgspec.json.decode(await request.read() or b"[]", type=list[ListedInstance])
        state.instance_changes.append((time.monotonic(), listed))
        return _build_response(200, b"", 0)

    @app.router.get("/counts")
    async def counts(request: Request) -> Response:
        return _build_response(200, msgspec.json.encode(state.counts), 0)


def _key(request: Request, prefix: str) -> str:
    return request.path.removeprefix(prefix)


def _query_parameter(request: Request, name: str, default: str) -> str:
    values = request.query.get(name)
    return values[0] if values else default


def _build_response(status: int, body: bytes, revision: int) -> Response:
    headers = [(b"x-revision", str(revision).encode())]
    return Response(status, headers, Content(_BINARY, body))
