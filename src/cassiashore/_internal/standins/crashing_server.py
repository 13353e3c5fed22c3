"""HTTP server that behaves like a process that crashes and is started again."""

from __future__ import annotations

import asyncio

from cassiashore._internal.http.server import HttpServer


class CrashingServer(HttpServer):
    """A server that ``crash`` takes down for some time; its application keeps its state."""

    def __init__(self, *args: object) -> None:
        """Configure a server that does not listen yet."""
        super().__init__(*args)  # type: ignore[arg-type]
        self._restart: asyncio.Task[None] | None = None

    def crash(self, seconds: float) -> None:
        """Reset all connections, and refuse new ones for ``seconds``."""
        for server in self._server.servers:
            server.close()
        self._server.servers = []
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._restart = asyncio.create_task(self._start_again(seconds))

    async def _start_again(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self._server.startup(sockets=[self._bind()])
