"""Builders of test data: routes, target reports and registries, a clock and a target server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.steering.registry import TargetRegistry, TargetReport
from cassiashore._internal.steering.routes import (
    IngressLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceRule,
    SplitPart,
)
from cassiashore._internal.steering.workspaces import (
    KeyHolder,
    UnreadableWorkspace,
    Workspace,
    WorkspaceTable,
    key_digest,
)

ZONES = {"erie-a": "erie", "erie-b": "erie", "huron-a": "huron"}


@dataclass(slots=True)
class Clock:
    """A clock that tests advance."""

    now: float = 100.0

    def __call__(self) -> float:
        return self.now


def route(
    *,
    name: str = "r",
    kind: RequestKind = RequestKind.IDEMPOTENT,
    service: str = "stock",
    timeout: float = 2.0,
    objective: float = 0.25,
    max_attempts: int = 2,
    homes: frozenset[str] = frozenset(),
    priority: int = 0,
    prefix: str = "/a/",
    public: bool = False,
) -> Route:
    return Route(
        name=name,
        host="shop.example",
        prefix=prefix,
        kind=kind,
        timeout=timeout,
        objective=objective,
        priority=priority,
        max_attempts=max_attempts,
        parts=(SplitPart(service, 1.0),),
        uses_affinity=True,
        home_regions=homes,
        is_public=public,
    )


def table(
    *routes: Route,
    version: int = 1,
    limits: IngressLimits | None = None,
    workspaces: WorkspaceTable | None = None,
) -> RouteTable:
    names = {part.service for r in routes for part in r.parts}
    rules = [ServiceRule(name, "/health", 100, 3.0, 10.0) for name in names]
    return RouteTable.build(
        version, routes, rules, limits or IngressLimits(), workspaces=workspaces
    )


def holder(workspace: Workspace | UnreadableWorkspace | str, *keys: str) -> KeyHolder:
    """Return a workspace with its keys; a name stands for a workspace without settings."""
    built = Workspace(workspace) if isinstance(workspace, str) else workspace
    return KeyHolder(built, frozenset(key_digest(key.encode()) for key in keys))


def workspaces(*holders: KeyHolder) -> WorkspaceTable:
    return WorkspaceTable.build(holders)


def report(
    target_id: str = "t-1",
    *,
    started: int = 1000,
    sequence: int = 1,
    service: str = "stock",
    address: str = "127.0.0.1:9001",
    failure_domain: str = "erie-a",
    slots: int = 6,
    draining: bool = False,
    cold: float = 0.0,
) -> TargetReport:
    return TargetReport(
        target_id=target_id,
        started_ms=started,
        sequence=sequence,
        service=service,
        address=Address.parse(address),
        failure_domain=failure_domain,
        slots=slots,
        is_draining=draining,
        cold_seconds=cold,
    )


def registry(clock: Clock | None = None) -> TargetRegistry:
    return TargetRegistry(
        dict(ZONES), lambda address: ConnectionPool(address, 64), clock or Clock()
    )


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]]


@dataclass
class FakeTarget:
    """A target that passes each request to a callback, and counts requests and connections."""

    serve: Serve
    heads: list[bytes] = field(default_factory=list)
    connections: int = 0
    lost_connections: int = 0
    address: str = ""
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, port: int = 0) -> FakeTarget:
        self.server = await asyncio.start_server(self._begin, "127.0.0.1", port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def stop(self) -> None:
        """Refuse new connections from now on."""
        assert self.server is not None
        self.server.close()
        await asyncio.sleep(0)

    def crash(self) -> None:
        """Refuse new connections and reset all open ones, as when the process ends."""
        assert self.server is not None
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def start_again(self) -> None:
        """Listen again at the same address."""
        await self.start(int(self.address.rpartition(":")[2]))

    def _begin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection in a task of its own.

        For a coroutine, asyncio of Python 3.11 logs an error when its task is cancelled as the loop
        ends. Other errors are reported here as well.
        """
        task = asyncio.create_task(self._accept(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            context = {"message": "a connection of a test's target failed", "exception": error}
            task.get_loop().call_exception_handler(context)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                await self.serve(reader, writer, head)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.lost_connections += 1
        finally:
            self.writers.discard(writer)
            writer.close()


def header_of(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b": ")
        if key.lower() == name:
            return value
    return b""


def build_response(
    head: bytes, body: bytes = b"ok", *, status: bytes = b"200 OK", extra: bytes = b""
) -> bytes:
    """Return a complete response of a target to the request with the given head."""
    request_id = header_of(head, b"x-cassiashore-request-id")
    return (
        b"HTTP/1.1 %b\r\nX-Cassiashore-Request-Id: %b\r\nX-Cassiashore-Response-Stamp: s\r\n"
        b"%bContent-Length: %d\r\n\r\n%b" % (status, request_id, extra, len(body), body)
    )
