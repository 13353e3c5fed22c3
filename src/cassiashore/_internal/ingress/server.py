"""Listens for connections of callers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from cassiashore._internal.ingress.connection import IngressConnection
from cassiashore._internal.ingress.connection_limit import ConnectionLimit
from cassiashore._internal.ingress.input_buffer import READ_BYTES
from cassiashore._internal.ingress.memory_budget import MemoryBudget
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.steering.routes import IngressLimits

Handler = Callable[[IngressRequest, Responder], Awaitable[None]]


class IngressServer:
    """Listens for connections and passes the requests to a handler."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits],
        budget: MemoryBudget | None = None,
        connection_limit: ConnectionLimit | None = None,
        *,
        serves_without_memory: bool = False,
    ) -> None:
        """Create a server that does not listen yet; memory and connections may be limited.

        ``serves_without_memory`` is set if requests are served even if the budget is used up.
        """
        self.serves_without_memory = serves_without_memory
        self.budget = budget or MemoryBudget()
        # ``or`` would replace a limit without connections, which is false.
        self.connection_limit = ConnectionLimit() if connection_limit is None else connection_limit
        self.handler = handler
        self.limits = limits
        self.connections: set[IngressConnection] = set()
        self.in_flight = 0
        # Shared by all connections, since each copies what it needs before another one reads.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.is_draining = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int, backlog: int) -> None:
        """Accept connections; raise ``OSError`` when the address is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: IngressConnection(self), host, port, backlog=backlog, reuse_address=True
        )

    def address(self) -> str:
        """Return the address at which the server listens, as ``host:port``."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort_all(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()
