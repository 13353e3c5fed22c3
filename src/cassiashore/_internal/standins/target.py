"""Stand-in of targets: slots, service time, drain, load shedding, and endpoints that mislead.

One process serves many targets, each on its own port. Every run of a non-idempotent request is
counted by its ``x-request-id`` header, so that a duplicate run is seen. ``PUT /control/NAME`` sets
behaviour; ``GET /control/NAME`` reads the counters.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cassiashore._internal.proxy.handler import CONNECTION_KEY

Scope = dict[str, Any]


class TargetBehaviour(msgspec.Struct):
    """What a target does. Times are in milliseconds.

    ``crash_on`` is a request body that makes the target drop the connection without an answer.
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


class TargetCounts(msgspec.Struct):
    """What a target has seen. ``runs`` counts runs by request id."""

    started: int = 0
    finished: int = 0
    cancelled: int = 0
    shed: int = 0
    probes: int = 0
    running: int = 0
    peak_running: int = 0
    over_slots: int = 0
    crashes: int = 0
    runs: dict[str, int] = msgspec.field(default_factory=dict)


@dataclass(slots=True)
class StandinTarget:
    """One target, as an ASGI application."""

    name: str
    slots: int
    behaviour: TargetBehaviour = field(default_factory=TargetBehaviour)
    counts: TargetCounts = field(default_factory=TargetCounts)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

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
        await _answer(send, 200, msgspec.json.encode(self.counts))

    async def _health(self, send: Any) -> None:
        self.counts.probes += 1
        behaviour = self.behaviour
        load = self.counts.running / self.slots
        if behaviour.reported_load >= 0:
            load = behaviour.reported_load
        bad = behaviour.shed or behaviour.error_share >= 0.5
        status = 503 if bad and not behaviour.health_lies else 200
        report = {"load": load, "draining": behaviour.draining}
        await _answer(send, status, msgspec.json.encode(report))

    async def _run(self, scope: Scope, receive: Any, send: Any) -> None:
        body = await _read_body(receive)
        behaviour = self.behaviour
        counts = self.counts
        if behaviour.shed:
            counts.shed += 1
            await _answer(send, 503, b"shed", [(b"x-load-shed", b"1"), (b"retry-after", b"1")])
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
                scope[CONNECTION_KEY].transport.abort()
                return
            if not await self._work(receive):
                counts.cancelled += 1
                return
        finally:
            counts.running -= 1
        counts.finished += 1
        failed = self.rng.random() < behaviour.error_share
        await self._reply(scope, send, 500 if failed else 200, request_id)

    async def _work(self, receive: Any) -> bool:
        """Take the service time; return False when the caller went away first."""
        behaviour = self.behaviour
        spread = 1 + behaviour.jitter * (2 * self.rng.random() - 1)
        milliseconds = behaviour.service_ms * spread
        if self.counts.finished < behaviour.cold_requests:
            milliseconds += behaviour.cold_ms
        if milliseconds <= 0:
            return True
        gone = asyncio.ensure_future(receive())
        done, _ = await asyncio.wait({gone}, timeout=milliseconds / 1000)
        if not done:
            gone.cancel()
        return not done

    async def _reply(self, scope: Scope, send: Any, status: int, request_id: str) -> None:
        behaviour = self.behaviour
        report = {"target": self.name, "path": scope["path"], "id": request_id}
        body = msgspec.json.encode(report)
        body += b" " * max(0, behaviour.answer_bytes - len(body))
        if behaviour.truncate:
            length = (b"content-length", str(len(body) + 10).encode())
            headers = [] if behaviour.chunked else [length]
            await send({"type": "http.response.start", "status": status, "headers": headers})
            await send({"type": "http.response.body", "body": body, "more_body": True})
            raise ConnectionResetError("the answer is cut short")
        extra = [(b"connection", b"close")] if behaviour.draining else []
        await _answer(send, status, body, extra)


async def _read_body(receive: Any) -> bytes:
    pieces: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(pieces)
        pieces.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(pieces)


async def _answer(
    send: Any, status: int, body: bytes, extra: list[tuple[bytes, bytes]] | None = None
) -> None:
    headers = [(b"content-length", str(len(body)).encode()), *(extra or [])]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
