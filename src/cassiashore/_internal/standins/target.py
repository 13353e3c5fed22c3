"""Stand-in for targets: slots, service time, drain, load shedding, and wrong health reports.

One process serves many targets, each on its own port. Runs are counted by the ``x-request-id``
header, so that a duplicate run is detected. ``PUT /control/NAME`` changes the behaviour;
``GET /control/NAME`` returns the counters.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cassiashore._internal.proxy.handler import CONNECTION_KEY

Scope = dict[str, Any]


class TargetBehaviour(msgspec.Struct):
    """Behaviour of a target. Times are in milliseconds.

    A request whose body contains ``crash_on`` makes the target crash, and one whose body contains
    ``lose_on`` makes it drop the connection in place of the response.
    """

    service_ms: float = 5.0
    jitter: float = 0.3
    error_share: float = 0.0
    shed: bool = False
    draining: bool = False
    health_lies: bool = False
    reported_load: float = -1.0
    answer_bytes: int = 64
    truncate: bool = False
    chunked: bool = False
    cold_requests: int = 0
    cold_ms: float = 0.0
    crash_on: str = ""
    lose_on: str = ""


class TargetCounts(msgspec.Struct):
    """Counters of a target. ``runs`` counts the runs of each request id."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    probes: int = 0
    running: int = 0
    peak_running: int = 0
    over_slots: int = 0
    crashes: int = 0
    lost: int = 0
    runs: dict[str, int] = msgspec.field(default_factory=dict)


@dataclass(slots=True)
class StandinTarget:
    """One target, as an ASGI application."""

    name: str
    slots: int
    behaviour: TargetBehaviour = field(default_factory=TargetBehaviour)
    counts: TargetCounts = field(default_factory=TargetCounts)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    crash: Callable[[], None] = lambda: None

    async def __call__(self, scope: Scope, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith("/control"):
            await self._control(scope, receive, send)
        elif path == "/health":
            await self._health(send)
        else:
            await self._run(scope, receive, send)

    async def _control(self, scope: Scope, receive: Any, send: Any) -> None:
        if scope["method"] == "PUT":
            body = await _read_body(receive)
            changes = msgspec.json.decode(body, type=dict[str, Any])
            merged = msgspec.structs.asdict(self.behaviour) | changes
            self.behaviour = msgspec.convert(merged, TargetBehaviour)
        await _send_response(send, 200, msgspec.json.encode(self.counts))

    async def _health(self, send: Any) -> None:
        self.counts.probes += 1
        behaviour = self.behaviour
        load = self.counts.running / self.slots
        if behaviour.reported_load >= 0:
            load = behaviour.reported_load
        is_unhealthy = behaviour.shed or behaviour.error_share >= 0.5
        status = 503 if is_unhealthy and not behaviour.health_lies else 200
        report = {"load": load, "draining": behaviour.draining}
        await _send_response(send, status, msgspec.json.encode(report))

    async def _run(self, scope: Scope, receive: Any, send: Any) -> None:
        body = await _read_body(receive)
        behaviour = self.behaviour
        counts = self.counts
        if behaviour.shed:
            counts.shed += 1
            await _send_response(
                send, 503, b"shed", [(b"x-load-shed", b"1"), (b"retry-after", b"1")]
            )
            return
        headers = dict(scope["headers"])
        request_id = headers.get(b"x-request-id", b"").decode()
        counts.started += 1
        if request_id:
            counts.runs[request_id] = counts.runs.get(request_id, 0) + 1
        counts.running += 1
        counts.peak_running = max(counts.peak_running, counts.running)
        if counts.running > self.slots:
            counts.over_slots += 1
        try:
            if behaviour.crash_on and behaviour.crash_on.encode() in body:
                counts.crashes += 1
                self.crash()
                return
            if behaviour.lose_on and behaviour.lose_on.encode() in body:
                counts.lost += 1
                scope[CONNECTION_KEY].transport.abort()
                return
            if not await self._simulate_work(receive):
                counts.cancelled += 1
                return
        finally:
            counts.running -= 1
        counts.finished += 1
        failed = self.rng.random() < behaviour.error_share
        await self._send_result(scope, send, 500 if failed else 200, request_id)

    async def _simulate_work(self, receive: Any) -> bool:
        """Wait for the service time; return False when the caller disconnects first."""
        behaviour = self.behaviour
        spread = 1 + behaviour.jitter * (2 * self.rng.random() - 1)
        milliseconds = behaviour.service_ms * spread
        if self.counts.finished < behaviour.cold_requests:
            milliseconds += behaviour.cold_ms
        if milliseconds <= 0:
            return True
        disconnected = asyncio.ensure_future(receive())
        done, _ = await asyncio.wait({disconnected}, timeout=milliseconds / 1000)
        if not done:
            disconnected.cancel()
        return not done

    async def _send_result(self, scope: Scope, send: Any, status: int, request_id: str) -> None:
        behaviour = self.behaviour
        report = {"target": self.name, "path": scope["path"], "id": request_id}
        body = msgspec.json.encode(report)
        body += b" " * max(0, behaviour.answer_bytes - len(body))
        if behaviour.truncate:
            length = (b"content-length", str(len(body) + 10).encode())
            headers = [] if behaviour.chunked else [length]
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": body, "more_body": True})
            raise ConnectionResetError("the response is truncated")
        extra = [(b"connection", b"close")] if behaviour.draining else []
        await _send_response(send, status, body, extra)


async def _read_body(receive: Any) -> bytes:
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(chunks)
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


async def _send_response(
    send: Any, status: int, body: bytes, extra: list[tuple[bytes, bytes]] | None = None
) -> None:
    headers = [(b"content-length", str(len(body)).encode()), *(extra or [])]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
