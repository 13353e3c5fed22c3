"""Short HTTP calls to one server: send a request and read the whole response within a timeout."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    request_head,
)
from cassiashore._internal.net.pool import ConnectionPool


@dataclass(frozen=True, slots=True)
class CallFault:
    """A failed call. ``sent`` tells whether the server may have executed the request."""

    detail: str
    sent: bool


class HttpCaller:
    """Calls one server over pooled connections."""

    def __init__(
        self,
        name: str,
        address: Address,
        connections: int,
        connect_timeout: float,
        max_bytes: int,
    ) -> None:
        """Create a caller; ``max_bytes`` limits the body of a response.

        ``name`` stands for the server in error messages, ``connections`` limits concurrent calls.
        """
        self.calls = 0
        self._name = name
        self._host = str(address).encode()
        self._pool = ConnectionPool(address, connections, connect_timeout=connect_timeout)
        self._max_bytes = max_bytes

    async def call(
        self, method: str, path: str, body: bytes, timeout: float, extra: Headers | None = None
    ) -> Result[tuple[ResponseHead, bytes], CallFault]:
        """Make a call within ``timeout`` seconds, including the time to connect."""
        self.calls += 1
        connection: HttpConnection | None = None
        finished = False
        try:
            async with asyncio.timeout(timeout):
                acquired = await self._pool.acquire()
                if isinstance(acquired, Err):
                    return Err(CallFault(acquired.err_value, sent=False))
                connection = acquired.ok_value
                length = str(len(body)).encode()
                headers = [(b"host", self._host), (b"content-length", length), *(extra or [])]
                connection.start_exchange(request_head(method, path, headers) + body)
                head = await connection.response_head()
                content = await connection.read_all(self._max_bytes)
                finished = True
        except (TimeoutError, ConnectionLostError) as error:
            sent = connection is not None and connection.bytes_sent > 0
            detail = str(error) or f"no answer within {timeout:g} s"
            return Err(CallFault(f"{self._name} {method} {path}: {detail}", sent))
        finally:
            if connection is not None:
                if finished:
                    self._pool.release(connection)
                else:
                    self._pool.discard(connection)
        return Ok((head, content))

    def fault_of_status(self, method: str, path: str, status: int) -> CallFault:
        """Return the fault for a response with an unexpected status."""
        return CallFault(f"{self._name} {method} {path}: status {status}", sent=True)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
