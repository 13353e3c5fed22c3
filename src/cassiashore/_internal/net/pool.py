"""Pool of client connections to one address."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from enum import Enum

from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import ConnectFailure, HttpConnection, connect

DEFAULT_IDLE_SECONDS = 4.0  # below the 5 s after which common servers close idle connections


class Probe(Enum):
    """What an attempt to open a connection shows about the server at an address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class ConnectionPool:
    """Connections to one address.

    At most ``limit`` connections are open at a time, including idle ones.
    """

    def __init__(
        self,
        address: Address,
        limit: int,
        connect_timeout: float = 1.0,
        idle_seconds: float = DEFAULT_IDLE_SECONDS,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an empty pool."""
        self.address = address
        self.limit = limit
        self.open = 0
        self._connect_timeout = connect_timeout
        self.idle_seconds = idle_seconds
        self._monotonic = monotonic
        self._idle: deque[HttpConnection] = deque()
        self._opened_at_by_connection: dict[HttpConnection, float] = {}

    @property
    def is_full(self) -> bool:
        """Whether all connections that the limit allows are in use."""
        return not self._idle and self.open >= self.limit

    async def acquire(
        self, max_idle: float | None = None, connect_timeout: float | None = None
    ) -> Result[HttpConnection, str]:
        """Return an idle connection that is still open, or a new one.

        If the limit is reached and all idle connections are too old, a new one replaces the oldest.

        ``max_idle`` lowers the idle time limit of the pool for this call, in seconds;
        ``connect_timeout`` replaces the timeout of the pool.
        """
        allowed = self.idle_seconds if max_idle is None else min(max_idle, self.idle_seconds)
        while self._idle:
            connection = self._idle[-1]
            if connection.usable and self._monotonic() - connection.idle_since < allowed:
                return Ok(self._idle.pop())
            if connection.usable and allowed < self.idle_seconds:
                break
            self.discard(self._idle.pop())
        if self.open >= self.limit and self._idle:
            self.discard(self._idle.popleft())
        if self.open >= self.limit:
            return Err(f"{self.address} already has {self.limit} connections")
        opened = await self._open(connect_timeout)
        return opened.map_err(lambda failure: failure.detail)

    async def probe(self, connect_timeout: float) -> Probe:
        """Open a connection, and keep it for the next request.

        If the limit is reached, the server has accepted all connections, and none is opened.
        """
        if self.open >= self.limit:
            return Probe.ACCEPTED
        opened = await self._open(connect_timeout)
        if isinstance(opened, Err):
            return Probe.REFUSED if opened.err_value.is_refused else Probe.UNREACHABLE
        self.release(opened.ok_value)
        return Probe.ACCEPTED

    def has_connection_from_before(self, moment: float) -> bool:
        """Return whether a connection that was opened before ``moment`` is still open."""
        return any(
            opened_at < moment and connection.usable
            for connection, opened_at in self._opened_at_by_connection.items()
        )

    async def _open(self, connect_timeout: float | None) -> Result[HttpConnection, ConnectFailure]:
        self.open += 1
        is_open = False
        try:
            outcome = await connect(self.address, connect_timeout or self._connect_timeout)
            is_open = outcome.is_ok()
        finally:
            if not is_open:
                self.open -= 1
        if isinstance(outcome, Ok):
            self._opened_at_by_connection[outcome.ok_value] = self._monotonic()
        return outcome

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not (connection.reusable or connection.is_unused):
            self.discard(connection)
            return
        connection.idle_since = self._monotonic()
        self._idle.append(connection)

    def discard(self, connection: HttpConnection) -> None:
        """Close a connection that was acquired."""
        self.open -= 1
        self._opened_at_by_connection.pop(connection, None)
        connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.discard(self._idle.popleft())

    def close_stale(self) -> None:
        """Close connections that were idle for too long or were closed by the server."""
        oldest = self._monotonic() - self.idle_seconds
        while self._idle and (not self._idle[0].usable or self._idle[0].idle_since < oldest):
            self.discard(self._idle.popleft())
