"""Probes of targets' health endpoints.

A probe reads whether the target reports that it is draining. A target that no longer reports it
gets requests again, with a slow start. Probes never eject a target: only the outcomes of real
requests do.
"""

from __future__ import annotations

import asyncio
import logging
import time

import msgspec
from result import Err

from cassiashore._internal.admission.rights import AdmissionRights
from cassiashore._internal.admission.slots import TargetState
from cassiashore._internal.catalogue.index import Service
from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.net.http_client import request_head
from cassiashore._internal.proxy.runner import ServiceRuntime

logger = logging.getLogger(__name__)

ROUND_SECONDS = 0.25  # resolution of the schedule, a fraction of the shortest probe interval
PROBE_TIMEOUT_SECONDS = 1.0  # a target that responds later is of no use
MAX_REPORT_BYTES = 16 * 1024


class HealthReport(msgspec.Struct):
    """State that a target reports about itself; other JSON members are ignored."""

    draining: bool = False


class TargetProber:
    """Probes the targets whose right this instance holds, at the interval of their service."""

    def __init__(
        self, runtime_by_service: dict[str, ServiceRuntime], rights: AdmissionRights
    ) -> None:
        """Create a prober; ``runtime_by_service`` may change with the catalogue."""
        self._runtime_by_service = runtime_by_service
        self._rights = rights
        self._next_by_target: dict[str, float] = {}
        self._running: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            now = time.monotonic()
            for runtime in self._runtime_by_service.values():
                service = runtime.slots.service
                if service is not None:
                    self._start_due(runtime, service, now)
            await asyncio.sleep(ROUND_SECONDS)

    def _start_due(self, runtime: ServiceRuntime, service: Service, now: float) -> None:
        for key, state in runtime.slots.state_by_target.items():
            if key not in self._rights.right_by_target:
                self._next_by_target.pop(key, None)
                continue
            if now < self._next_by_target.get(key, 0.0):
                continue
            self._next_by_target[key] = now + service.probe_seconds
            task = asyncio.create_task(self._probe(runtime, service, state))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def _probe(self, runtime: ServiceRuntime, service: Service, state: TargetState) -> None:
        report = await _fetch_report(service, state)
        if report is None:
            return
        if report.draining != state.reported_draining:
            state.reported_draining = report.draining
            if not report.draining:
                state.health.begin_slow_start(time.monotonic())
            runtime.slots.wake_waiters()


async def _fetch_report(service: Service, state: TargetState) -> HealthReport | None:
    """Fetch a target's report on a pooled connection; return None without a valid response."""
    opened = await state.connections.acquire(connect_timeout=PROBE_TIMEOUT_SECONDS)
    if isinstance(opened, Err):
        return None
    connection = opened.ok_value
    is_complete = False
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            headers = [(b"host", str(state.target.address).encode())]
            connection.start_exchange(request_head("GET", service.health_path, headers))
            await connection.response_head()
            body = await connection.read_all(MAX_REPORT_BYTES)
            is_complete = True
        return msgspec.json.decode(body, type=HealthReport)
    except (TimeoutError, ConnectionLostError, *DECODE_ERRORS):
        return None
    finally:
        if is_complete:
            state.connections.release(connection)
        else:
            state.connections.discard(connection)
