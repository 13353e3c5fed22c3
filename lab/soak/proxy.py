"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

CHUNK_BYTES = 64 * 1024  # read at a time


class Harm(Enum):
    """What the proxy does to bytes."""

    NONE = "none"
    DELAYED = "delayed"
    CUT_TOWARDS_SERVER = "cut-towards-server"
    CUT_TOWARDS_CLIENT = "cut-towards-client"
    SILENT = "silent"


_STOPS_REQUESTS = frozenset({Harm.CUT_TOWARDS_SERVER, Harm.SILENT})
_STOPS_ANSWERS = frozenset({Harm.CUT_TOWARDS_CLIENT, Harm.SILENT})


@dataclass(slots=True)
class _Pipe:
    """One connection through the proxy."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter

    def reset(self) -> None:
        self.client.transport.abort()
        self.server.transport.abort()


class FaultProxy:
    """Passes connections on to one address, with the harm that is set."""

    def __init__(self, host: str, port: int, delay_seconds: float = 0.15) -> None:
        """Keep the server's address; ``delay_seconds`` is what a delayed piece waits."""
        self.harm = Harm.NONE
        self.address = ""
        self._server_at = (host, port)
        self._delay_seconds = delay_seconds
        self._pipes: list[_Pipe] = []
        self._healed = asyncio.Event()
        self._healed.set()
        self._listener: asyncio.Server | None = None

    def point_at(self, host: str, port: int) -> None:
        """Pass new connections on to another server, as when an address is used again."""
        self._server_at = (host, port)

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def set_harm(self, harm: Harm) -> None:
        """Begin to do harm, or to pass bytes on again; bytes held back meanwhile are passed on."""
        self.harm = harm
        if harm is Harm.NONE:
            self._healed.set()
        else:
            self._healed.clear()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pipe in self._pipes:
            pipe.reset()

    def close(self) -> None:
        """Stop listening and break all connections."""
        if self._listener is not None:
            self._listener.close()
        self.reset_all()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            from_server, to_server = await asyncio.open_connection(*self._server_at)
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe(writer, to_server)
        self._pipes.append(pipe)
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(reader, to_server, _STOPS_REQUESTS))
                both.create_task(self._pump(from_server, writer, _STOPS_ANSWERS))
        except* OSError:
            pass
        finally:
            pipe.reset()
            self._pipes.remove(pipe)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stops: frozenset[Harm]
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.harm is Harm.DELAYED:
                await asyncio.sleep(self._delay_seconds)
            while self.harm in stops:
                await self._healed.wait()
            writer.write(data)
            await writer.drain()
        if not writer.is_closing():
            writer.write_eof()
