"""Pool of client connections to one address."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable

from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import HttpConnection, connect

DEFAULT_IDLE_SECONDS = 4.0  # below the 5 s after which common servers close idle connections


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
        return await self._open(connect_timeout)

    async def refuses_connections(self, connect_timeout: float) -> bool:
        """Return whether a new connection fails; one that opens is kept for the next request."""
        if self.open >= self.limit:
            return False
        opened = await self._open(connect_timeout)
        if isinstance(opened, Ok):
            self.release(opened.ok_value)
        return isinstance(opened, Err)

    async def _open(self, connect_timeout: float | None) -> Result[HttpConnection, str]:
        self.open += 1
        is_open = False
        try:
            outcome = await connect(self.address, connect_timeout or self._connect_timeout)
            is_open = outcome.is_ok()
        finally:
            if not is_open:
                self.open -= 1
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
