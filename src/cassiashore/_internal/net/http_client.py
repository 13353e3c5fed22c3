"""HTTP/1.1 client connection that tells whether any request byte was sent.

The parser is ``httptools``. One connection carries one exchange at a time. A response should
declare its length or be chunked; one that ends with the connection is taken only where the caller
allows it, and then only if the connection was closed in an orderly way.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools
from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address

READ_HIGH_WATER_BYTES = 64 * 1024  # one read more may be queued; hundreds of answers come at once
# Bytes that may come before the next piece of a body, of an answer or a request: heads, interim and
# skipped answers, chunk lines, trailers. Eight times what common servers allow for a head.
MAX_NON_BODY_BYTES = 64 * 1024
FEED_BYTES = 64 * 1024  # parsed at a time, so that the limit above holds within one large read
_BODILESS_STATUSES = frozenset({204, 304})
KEEP_ALIVE_PROBE_SECONDS = 1  # shortest that the kernel takes
KEEP_ALIVE_PROBES = 3  # lost before a connection is given up

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response; header names are in lower case."""

    status: int = 0
    headers: Headers = field(default_factory=list)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Accept = Callable[[ResponseHead], bool]


class HttpConnection(asyncio.Protocol):
    """A client connection to an HTTP/1.1 server."""

    def __init__(self) -> None:
        """Create a connection that is not yet open; ``connect`` opens one."""
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._head = ResponseHead()
        self._without_body_bytes = 0
        self._head_waiter: asyncio.Future[ResponseHead] | None = None
        # One buffer: a queue of pieces would cost a hundred times their size in tiny chunks.
        self._body = bytearray()
        self._paused_reading = False
        self._body_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._head_done = False
        self._complete = False
        self._keep_alive = False
        self._expects_body = True
        self._takes_unframed = False
        self._is_unframed = False
        self._accept: Accept | None = None
        self._skipping = False
        self._has_extra = False
        self._is_last = False
        self._error: str | None = None
        self.bytes_sent = 0
        self.exchanges = 0
        self.bytes_received = 0
        self.idle_since = 0.0
        self.skipped = 0

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(self._transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes outside an exchange close the connection."""
        self.bytes_received += len(data)
        if self._head_waiter is None or self._complete:
            self._fail("the server sent bytes that answer no request")
            return
        for start in range(0, len(data), FEED_BYTES):
            self._feed(data[start : start + FEED_BYTES])
            if self._error is not None:
                return
        if self._has_extra:
            self._fail("the server sent bytes after its answer")

    def _feed(self, data: bytes) -> None:
        if self._without_body_bytes > MAX_NON_BODY_BYTES:
            self._fail(f"the server sent over {MAX_NON_BODY_BYTES} bytes without a body")
            return
        self._without_body_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the response is malformed: {error}")

    def eof_received(self) -> bool:
        """Take an orderly end of the stream as the end of a response without a length."""
        if self._is_unframed and self._error is None and not self._was_reset():
            self._complete = True
            self._wake_body()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake up everything that waits on this connection."""
        self._fail("the connection closed" if exc is None else f"the connection failed: {exc}")

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        if self._write_waiter is None:
            self._write_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` go on."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Note a second message behind the answer; it belongs to no request."""
        if self._complete:
            self._has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a response header."""
        if self._complete or self._head_done:
            return  # trailers are dropped: the head was delivered without them
        self._head.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Deliver the head, unless it is an interim (1xx) one."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._head = ResponseHead()
            return
        self._head.status = status
        if self._accept is not None and not self._accept(self._head):
            self._skipping = True
            return
        if not self._length_is_declared():
            if not self._takes_unframed:
                self._fail("the response does not declare its length")
                return
            self._is_unframed = True
        self._head_done = True
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_result(self._head)

    def on_body(self, body: bytes) -> None:
        """Queue a piece of the body and stop reading when too much is queued."""
        if self._complete or self._skipping:
            return
        self._without_body_bytes = 0
        self._body += body
        if len(self._body) > READ_HIGH_WATER_BYTES and not self._paused_reading:
            self._paused_reading = True
            if self._transport is not None:
                self._transport.pause_reading()
        self._wake_body()

    def on_message_complete(self) -> None:
        """Mark the response as whole; an interim response or a skipped one is none."""
        if self._complete:
            return
        if self._skipping:
            self._skipping = False
            self._head = ResponseHead()
            self.skipped += 1
            return
        if self._head_done and not self._is_unframed:
            self._complete = True
            self._keep_alive = self._parser.should_keep_alive()
            self._wake_body()

    # Interface of the caller.

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open and holds no unread or unexpected bytes."""
        transport = self._transport
        return self._error is None and transport is not None and not transport.is_closing()

    @property
    def fully_read(self) -> bool:
        """Tell whether the response is whole and all of its body was read."""
        return self._complete and not self._body

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole response has come, read or not."""
        return self._complete

    @property
    def is_unframed(self) -> bool:
        """Tell whether the response ended, or will end, with the connection."""
        return self._is_unframed

    @property
    def has_head(self) -> bool:
        """Tell whether the head of the response has come."""
        return self._head_done

    def disable_reuse(self) -> None:
        """Let no exchange follow this one, as when its request was not sent whole."""
        self._is_last = True

    @property
    def reusable(self) -> bool:
        """Tell whether the last exchange is over and another may follow."""
        return self.usable and self._complete and self._keep_alive and not self._is_last

    def start_exchange(
        self,
        head: bytes,
        *,
        expects_body: bool = True,
        allow_unframed: bool = False,
        accept: Accept | None = None,
    ) -> None:
        """Send a request head; raise ``ConnectionLostError`` if the connection is closed.

        ``expects_body`` is False for a HEAD request, whose response has no body. ``allow_unframed``
        allows a response that ends with the connection. A response that ``accept`` turns down is
        skipped: it answers an earlier request.
        """
        if not self.usable:
            raise ConnectionLostError(self._error or "the connection is closed")
        self._parser = httptools.HttpResponseParser(self)
        self._head = ResponseHead()
        self._without_body_bytes = 0
        self._head_done = False
        self._complete = False
        self._keep_alive = False
        self._expects_body = expects_body
        self._takes_unframed = allow_unframed
        self._is_unframed = False
        self._accept = accept
        self._skipping = False
        self._has_extra = False
        self._body.clear()
        self.bytes_sent = 0
        self.exchanges += 1
        self._head_waiter = self._loop.create_future()
        self.write(head)

    def write(self, data: bytes) -> None:
        """Send request bytes; raise ``ConnectionLostError`` if the connection is closed."""
        if not self.usable or self._transport is None:
            raise ConnectionLostError(self._error or "the connection is closed")
        self.bytes_sent += len(data)
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room."""
        if self._write_waiter is not None:
            await self._write_waiter
        if self._error is not None and not self._head_done:
            raise ConnectionLostError(self._error)

    async def response_head(self) -> ResponseHead:
        """Wait for the response head; raise ``ConnectionLostError`` if it cannot come."""
        assert self._head_waiter is not None
        if self._error is not None and not self._head_waiter.done():
            raise ConnectionLostError(self._error)
        return await self._head_waiter

    async def read_chunk(self) -> bytes | None:
        """Return the next piece of the body, or None once the body is whole.

        Raise ``ConnectionLostError`` when the connection ends before the body does.
        """
        while not self._body:
            if self._complete or not self._expects_body or self._head.status in _BODILESS_STATUSES:
                return None
            if self._error is not None:
                raise ConnectionLostError(self._error)
            self._body_waiter = self._loop.create_future()
            await self._body_waiter
        return self._take_body()

    async def read_all(self, limit: int) -> bytes:
        """Return the whole body; raise ``ConnectionLostError`` if it exceeds ``limit`` bytes."""
        pieces = []
        size = 0
        while (chunk := await self.read_chunk()) is not None:
            size += len(chunk)
            if size > limit:
                self.close()
                raise ConnectionLostError(f"the response body exceeds {limit} bytes")
            pieces.append(chunk)
        return b"".join(pieces)

    def close(self) -> None:
        """Close the connection at once; to the server this cancels a running request."""
        if self._transport is not None:
            self._transport.abort()

    def _take_body(self) -> bytes:
        data = bytes(self._body)
        self._body.clear()
        if self._paused_reading and self._transport is not None:
            self._paused_reading = False
            self._transport.resume_reading()
        return data

    def _was_reset(self) -> bool:
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        return sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def _length_is_declared(self) -> bool:
        if not self._expects_body or self._head.status in _BODILESS_STATUSES:
            return True
        encoding = self._head.get(b"transfer-encoding")
        if encoding is not None:
            return encoding.lower().endswith(b"chunked")
        return self._head.get(b"content-length") is not None

    def _wake_body(self) -> None:
        waiter, self._body_waiter = self._body_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _fail(self, reason: str) -> None:
        if self._error is None:
            self._error = reason
        if self._transport is not None:
            self._transport.abort()
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_exception(ConnectionLostError(self._error))
            self._head_waiter.exception()
        self._wake_body()
        self.resume_writing()


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Let the kernel probe the other side, so that a path that went silent ends the connection."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def connect(address: Address, timeout: float) -> Result[HttpConnection, str]:
    """Open a connection within ``timeout`` seconds; the error says why it failed."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(HttpConnection, address.host, address.port)
    except TimeoutError:
        return Err(f"connecting to {address} took over {timeout:g} s")
    except OSError as error:
        return Err(f"connecting to {address} failed: {error.strerror or error}")
    return Ok(connection)


def request_head(method: str, path: str, headers: Headers) -> bytes:
    """Format a request line with headers.

    >>> request_head("GET", "/", [(b"host", b"a")])
    b'GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
    """
    lines = [f"{method} {path} HTTP/1.1\r\n".encode("latin-1")]
    for name, value in headers:
        lines.append(b"%b: %b\r\n" % (name, value))
    lines.append(b"\r\n")
    return b"".join(lines)
