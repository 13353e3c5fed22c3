"""HTTP server on uvicorn, inside a running event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

import uvicorn

from cassiashore._internal.models.address import Address

LISTEN_BACKLOG = 2048  # all callers may reconnect at once after a restart
KEEP_ALIVE_SECONDS = 30  # longer than callers are usually idle between requests


class HttpServer:
    """Serves an ASGI application at an address."""

    def __init__(
        self, app: Any, address: Address, protocol: type[asyncio.Protocol] | str = "httptools"
    ) -> None:
        """Configure a server that does not listen yet."""
        config = uvicorn.Config(
            app,
            http=protocol,
            interface="asgi3",
            proxy_headers=False,
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            backlog=LISTEN_BACKLOG,
            ws="none",
        )
        self._address = address
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen; raise ``OSError`` when the address is in use."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._bind()]))
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(0.005)

    def _bind(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._address.host, self._address.port))
        listener.listen(LISTEN_BACKLOG)
        return listener

    async def stop(self) -> None:
        """Stop listening, let running requests end, and close the connections."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves signal handling to the embedding process."""

    def capture_signals(self) -> Any:
        """Install no signal handlers."""
        return contextlib.nullcontext()
