"""Asks targets for their load before a request is sent to them."""

from __future__ import annotations

import asyncio
import logging

from result import Err

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.net.http_client import request_head
from cassiashore._internal.steering.load import LoadReport, parse_load_report
from cassiashore._internal.steering.registry import RegisteredTarget
from cassiashore._internal.steering.routes import ServiceRule

logger = logging.getLogger(__name__)

MAX_PROBE_BYTES = 4096  # of the body of a health response, which is empty
# Beyond the round trip. A target answers at once; one that does not is asked no further.
PROBE_MARGIN_SECONDS = 0.02


class LoadProbe:
    """Requests the health path of targets; several requests share one probe of a target."""

    def __init__(self, header_names: HeaderNames) -> None:
        """Create a probe."""
        self.probes = 0
        self._header_names = header_names
        self._task_by_run: dict[str, asyncio.Task[LoadReport | None]] = {}

    async def ask(
        self, target: RegisteredTarget, rule: ServiceRule, round_trip: float
    ) -> LoadReport | None:
        """Return the load that a target reports now, or None if it does not answer in time."""
        task = self._task_by_run.get(target.run)
        if task is None:
            task = asyncio.create_task(self._ask(target, rule, round_trip))
            task.add_done_callback(lambda _: self._task_by_run.pop(target.run, None))
            self._task_by_run[target.run] = task
        return await asyncio.shield(task)

    async def _ask(
        self, target: RegisteredTarget, rule: ServiceRule, round_trip: float
    ) -> LoadReport | None:
        pool = target.pool
        if pool.is_full:
            return None
        self.probes += 1
        connection = None
        is_complete = False
        try:
            async with asyncio.timeout(round_trip + PROBE_MARGIN_SECONDS):
                acquired = await pool.acquire()
                if isinstance(acquired, Err):
                    return None
                connection = acquired.ok_value
                host = str(target.report.address).encode()
                connection.start_exchange(request_head("GET", rule.health_path, [(b"host", host)]))
                head = await connection.response_head()
                await connection.read_all(MAX_PROBE_BYTES)
                is_complete = True
        except (TimeoutError, ConnectionLostError) as error:
            logger.debug('target "%s" did not report its load: %s', target.target_id, error)
            return None
        finally:
            if connection is not None:
                (pool.release if is_complete else pool.discard)(connection)
        value = head.get(self._header_names.load)
        return parse_load_report(value) if value is not None else None
