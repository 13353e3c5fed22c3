"""A loopback TCP proxy that injects faults into its connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

CHUNK_BYTES = 64 * 1024  # read at a time


class LinkFault(Enum):
    """Faults that the proxy can inject."""

    NONE = "none"
    DELAYED = "delayed"
    CUT_TOWARDS_SERVER = "cut-towards-server"
    CUT_TOWARDS_CLIENT = "cut-towards-client"
    SILENT = "silent"


_FAULTS_STOPPING_REQUESTS = frozenset({LinkFault.CUT_TOWARDS_SERVER, LinkFault.SILENT})
_FAULTS_STOPPING_RESPONSES = frozenset({LinkFault.CUT_TOWARDS_CLIENT, LinkFault.SILENT})


@dataclass(slots=True)
class _Pipe:
    """One connection through the proxy."""

    client: asyncio.StreamWriter
    server: asyncio.StreamWriter

    def reset(self) -> None:
        self.client.transport.abort()
        self.server.transport.abort()


class FaultProxy:
    """Forwards connections to one address and injects the current fault."""

    def __init__(self, host: str, port: int, delay_seconds: float = 0.15) -> None:
        """Create a proxy; ``delay_seconds`` is the delay of each chunk under ``DELAYED``."""
        self.link_fault = LinkFault.NONE
        self.address = ""
        self._server_at = (host, port)
        self._delay_seconds = delay_seconds
        self._pipes: list[_Pipe] = []
        self._passing_bytes = asyncio.Event()
        self._passing_bytes.set()
        self._listener: asyncio.Server | None = None

    def set_server(self, host: str, port: int) -> None:
        """Forward new connections to another server, as when an address is reused."""
        self._server_at = (host, port)

    async def listen(self) -> str:
        """Listen on a free port; return the address."""
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def set_link_fault(self, link_fault: LinkFault) -> None:
        """Set the fault; with ``NONE``, also forward the bytes that were held back."""
        self.link_fault = link_fault
        if link_fault is LinkFault.NONE:
            self._passing_bytes.set()
        else:
            self._passing_bytes.clear()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for pipe in self._pipes:
            pipe.reset()

    def close(self) -> None:
        """Stop listening and reset all connections."""
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
                both.create_task(self._pump(reader, to_server, _FAULTS_STOPPING_REQUESTS))
                both.create_task(self._pump(from_server, writer, _FAULTS_STOPPING_RESPONSES))
        except* OSError:
            pass
        finally:
            pipe.reset()
            self._pipes.remove(pipe)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stopping_faults: frozenset[LinkFault],
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.link_fault is LinkFault.DELAYED:
                await asyncio.sleep(self._delay_seconds)
            while self.link_fault in stopping_faults:
                await self._passing_bytes.wait()
            writer.write(data)
            await writer.drain()
        if not writer.is_closing():
            writer.write_eof()
