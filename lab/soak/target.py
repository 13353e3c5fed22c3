"""A stand-in target for the users' platform that records every run."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.server import IngressServer
from cassiashore._internal.steering.routes import IngressLimits
from cassiashore.platform.wire import EDGE_HEADERS
from lab.platform_documents import entry

LIMITS = IngressLimits(idle_seconds=8.0)
QUEUE_PER_SLOT = 2  # waiting requests before the target sheds load
ENDLESS_CHUNK = b"x" * 65_536  # written at a time
WORK_SECONDS = (0.01, 0.06)  # least and most of a request


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a target began to run."""

    request_id: str
    service: str
    target_id: str
    failure_domain: str
    path: str
    arrived_at: float


@dataclass(slots=True)
class RunLedger:
    """All runs of all targets by request id; responses are checked against them."""

    runs_by_request: dict[str, list[Run]] = field(default_factory=dict)
    on_run: Callable[[Run], None] = lambda run: None

    def record(self, run: Run) -> None:
        """Record the start of a run."""
        self.runs_by_request.setdefault(run.request_id, []).append(run)
        self.on_run(run)

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of a request."""
        return self.runs_by_request.get(request_id, [])


def expected_body(request_id: str, path: str, body: bytes) -> bytes:
    """Return the body of the only correct response to a request."""
    digest = hashlib.sha256(body).hexdigest()[:16]
    return f"{request_id} {path} {digest}".encode()


class SoakTarget:
    """A target with slots, a queue, and faults that the soak test sets."""

    def __init__(
        self, target_id: str, service: str, failure_domain: str, slots: int, ledger: RunLedger
    ) -> None:
        """Create a target that does not listen yet."""
        self.target_id = target_id
        self.service = service
        self.failure_domain = failure_domain
        self.slots = slots
        self.sequence = 1
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.slowdown_factor = 1.0
        self.lost_response_share = 0.0
        self.endless_response_share = 0.0
        self._ledger = ledger
        self._rng = random.Random(target_id)
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._server = IngressServer(self._handle, lambda: LIMITS)

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        await self._server.listen("127.0.0.1", 0, 128)
        return self._server.address()

    def close(self) -> None:
        """Stop at once, as in a crash."""
        self._server.stop_listening()
        self._server.abort_all()

    def entry(self, address: str) -> dict[str, Any]:
        """Return the entry that the target writes to the store."""
        self.sequence += 1
        return entry(
            address,
            born=self.born,
            service=self.service,
            zone=self.failure_domain,
            slots=self.slots,
            state=self.state,
            seq=self.sequence,
        )

    async def _handle(self, request: IngressRequest, responder: Responder) -> None:
        request_id = (request.header(EDGE_HEADERS.request_id) or b"").decode()
        expected = request.header(EDGE_HEADERS.expect_target)
        if expected is not None and expected.decode() != self.target_id:
            responder.send_response(421, self._headers(request_id, ran=False), b"")
            return
        body = (await request.body.start(LIMITS.max_body_bytes)).data
        if self._waiting >= QUEUE_PER_SLOT * self.slots:
            responder.send_response(503, self._headers(request_id, ran=False), b"")
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._run(request, responder, request_id, body)
        finally:
            self._free.release()

    async def _run(
        self, request: IngressRequest, responder: Responder, request_id: str, body: bytes
    ) -> None:
        self._ledger.record(
            Run(
                request_id,
                self.service,
                self.target_id,
                self.failure_domain,
                request.target,
                time.monotonic(),
            )
        )
        self._running += 1
        try:
            await asyncio.sleep(self._rng.uniform(*WORK_SECONDS) * self.slowdown_factor)
        finally:
            self._running -= 1
        if self._rng.random() < self.lost_response_share:
            responder.abort()
            return
        if self._rng.random() < self.endless_response_share:
            await self._send_endless_response(responder, request_id)
            return
        content = expected_body(request_id, request.target, body)
        responder.send_response(200, self._headers(request_id, ran=True), content)

    async def _send_endless_response(self, responder: Responder, request_id: str) -> None:
        """Send a body until the other side closes or the size limit of a body is reached."""
        responder.start(200, self._headers(request_id, ran=True), None)
        for _ in range(LIMITS.max_body_bytes // len(ENDLESS_CHUNK)):
            await responder.write(ENDLESS_CHUNK)
        responder.abort()

    def _headers(self, request_id: str, *, ran: bool) -> list[tuple[bytes, bytes]]:
        load = f"{self._running},{self._waiting},{self.slots}".encode()
        headers = [
            (EDGE_HEADERS.request_id, request_id.encode()),
            (EDGE_HEADERS.load, load),
        ]
        mark = EDGE_HEADERS.stamp if ran else EDGE_HEADERS.not_run
        return [*headers, (mark, b"1")]
