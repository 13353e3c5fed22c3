"""HTTP/1.1 client connection that reports whether any request byte was sent.

The parser is ``httptools``. A connection carries one exchange at a time. A response must declare
its length or be chunked. An unframed response, which does neither and ends with the connection, is
accepted only if the caller allows it, and only if the connection was not reset.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools
from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address

# Low, since hundreds of responses arrive at once. The buffer may exceed it by one read.
READ_HIGH_WATER_BYTES = 64 * 1024
# Read and parsed at a time, so that limits and the pause of a body apply soon; also the longest
# piece of a body that is passed on.
READ_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = READ_HIGH_WATER_BYTES + READ_BYTES  # of the body of one response
# Limits the bytes between two pieces of a body, in a response or a request: heads, interim and
# skipped responses, chunk headers, trailers. Eight times what common servers allow for a head.
MAX_NON_BODY_BYTES = 64 * 1024
# Each field takes over a hundred bytes beside its text. Common servers send up to some dozens.
MAX_HEAD_FIELDS = 256
VALID_STATUSES = range(100, 600)
SWITCHING_PROTOCOLS = 101  # answers an offer to upgrade, which is never made
MIN_FINAL_STATUS = 200  # lower ones are interim responses
_BODILESS_STATUSES = frozenset({204, 304})
_REFUSALS = frozenset({errno.ECONNREFUSED, errno.ECONNRESET})
KEEP_ALIVE_PROBE_SECONDS = 1  # the shortest interval that the kernel supports
KEEP_ALIVE_PROBES = 3  # lost probes before the connection is closed

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


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """Why a connection could not be opened; ``is_refused`` is set if the host answered."""

    detail: str
    is_refused: bool = False


class _ReadBuffer(threading.local):
    """Where the connections of a thread put received bytes, which are parsed at once."""

    def __init__(self) -> None:
        """Allocate the buffer."""
        self.view = memoryview(bytearray(READ_BYTES))


_read_buffer = _ReadBuffer()


class HttpConnection(asyncio.BufferedProtocol):
    """A client connection to an HTTP/1.1 server.

    ``was_lost`` is set if the server or the network ended it, not this side.
    """

    def __init__(self) -> None:
        """Create a connection that is not open yet; use ``connect`` to open one."""
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._head = ResponseHead()
        self._non_body_bytes = 0
        self._head_waiter: asyncio.Future[ResponseHead] | None = None
        # A single buffer, since a queue of tiny chunks would take a hundred times their size.
        self._body = bytearray()
        self._paused_reading = False
        self._body_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._head_done = False
        self._complete = False
        self._keep_alive = False
        self._expects_body = True
        self._allow_unframed = False
        self._is_unframed = False
        self._accept: Accept | None = None
        self._skipping = False
        self._has_trailing_bytes = False
        self._reuse_disabled = False
        self._error: str | None = None
        self._is_closed_here = False
        self.was_lost = False
        self.bytes_sent = 0
        self.exchanges = 0
        self.bytes_received = 0
        self.idle_since = 0.0
        self.skipped_responses = 0

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(self._transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put received bytes; ``buffer_updated`` parses them at once."""
        return _read_buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; bytes outside an exchange close the connection."""
        self.bytes_received += nbytes
        if self._head_waiter is None or self._complete:
            self._fail("the server sent bytes that answer no request")
            return
        self._parse(_read_buffer.view[:nbytes])
        if self._error is None and self._has_trailing_bytes:
            self._fail("the server sent bytes after its answer")

    def _parse(self, data: memoryview) -> None:
        if self._non_body_bytes > MAX_NON_BODY_BYTES:
            self._fail(f"the server sent over {MAX_NON_BODY_BYTES} bytes without a body")
            return
        self._non_body_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the response is malformed: {error}")

    def eof_received(self) -> bool:
        """Complete an unframed response, unless the connection was reset."""
        if self._is_unframed and self._error is None and not self._was_reset():
            self._complete = True
            self._wake_reader()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake all waiters of this connection."""
        self.was_lost = self._error is None and not self._is_closed_here
        self._fail("the connection closed" if exc is None else f"the connection failed: {exc}")

    def pause_writing(self) -> None:
        """Block ``drain`` until writing resumes."""
        if self._write_waiter is None:
            self._write_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        """Unblock ``drain``."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Detect a second message after the response, which belongs to no request."""
        if self._complete:
            self._has_trailing_bytes = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a response header."""
        if self._complete or self._head_done or self._error is not None:
            return  # drop trailers: the head was delivered without them
        if len(self._head.headers) >= MAX_HEAD_FIELDS:
            self._fail(f"the response has over {MAX_HEAD_FIELDS} header fields")
            return
        self._head.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Deliver the head, unless it is an interim (1xx) one."""
        if self._complete or self._error is not None:
            return
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS:
            self._fail(f"the response has the invalid status {status:03}")
            return
        if status < MIN_FINAL_STATUS:
            self._head = ResponseHead()
            return
        self._head.status = status
        if self._accept is not None and not self._accept(self._head):
            self._skipping = True
            return
        if not self._length_is_declared():
            if not self._allow_unframed:
                self._fail("the response does not declare its length")
                return
            self._is_unframed = True
        self._head_done = True
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_result(self._head)

    def on_body(self, body: bytes) -> None:
        """Buffer a piece of the body, and pause reading if the buffer is too large."""
        if self._complete or self._skipping:
            return
        self._non_body_bytes = 0
        self._body += body
        if len(self._body) > READ_HIGH_WATER_BYTES and not self._paused_reading:
            self._paused_reading = True
            if self._transport is not None:
                self._transport.pause_reading()
        self._wake_reader()

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it was an interim or skipped one."""
        if self._complete:
            return
        if self._skipping:
            self._skipping = False
            self._head = ResponseHead()
            self.skipped_responses += 1
            return
        if self._head_done and not self._is_unframed:
            self._complete = True
            self._keep_alive = self._parser.should_keep_alive()
            self._wake_reader()

    # Interface for callers.

    @property
    def usable(self) -> bool:
        """Whether the connection is open and has no error."""
        transport = self._transport
        return self._error is None and transport is not None and not transport.is_closing()

    @property
    def fully_read(self) -> bool:
        """Whether the response is complete and all of its body was read."""
        return self._complete and not self._body

    @property
    def is_complete(self) -> bool:
        """Whether the whole response was received, even if its body was not read yet."""
        return self._complete

    @property
    def is_unframed(self) -> bool:
        """Whether the response ends with the connection."""
        return self._is_unframed

    @property
    def has_head(self) -> bool:
        """Whether the head of the response was received."""
        return self._head_done

    @property
    def is_unused(self) -> bool:
        """Whether the connection is open and has not carried an exchange."""
        return self.usable and self.exchanges == 0

    @property
    def was_idle(self) -> bool:
        """Whether the connection was kept idle before its latest exchange."""
        return self.idle_since > 0.0

    def disable_reuse(self) -> None:
        """Allow no further exchange, for example because the request was not sent completely."""
        self._reuse_disabled = True

    @property
    def reusable(self) -> bool:
        """Whether the last exchange is complete and another one may follow."""
        return self.usable and self._complete and self._keep_alive and not self._reuse_disabled

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
        allows a response that ends with the connection. A response for which ``accept`` returns
        False belongs to an earlier request and is skipped.
        """
        if not self.usable:
            raise ConnectionLostError(self._error or "the connection is closed")
        self._parser = httptools.HttpResponseParser(self)
        self._head = ResponseHead()
        self._non_body_bytes = 0
        self._head_done = False
        self._complete = False
        self._keep_alive = False
        self._expects_body = expects_body
        self._allow_unframed = allow_unframed
        self._is_unframed = False
        self._accept = accept
        self._skipping = False
        self._has_trailing_bytes = False
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
        """Wait for the response head; raise ``ConnectionLostError`` if the connection fails."""
        assert self._head_waiter is not None
        if self._error is not None and not self._head_waiter.done():
            raise ConnectionLostError(self._error)
        return await self._head_waiter

    async def read_chunk(self) -> bytes | None:
        """Return the next piece of the body, or None at its end.

        Raise ``ConnectionLostError`` if the connection ends before the body does.
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
        """Close the connection immediately, which cancels a running request at the server."""
        self._is_closed_here = True
        if self._transport is not None:
            self._transport.abort()

    def _take_body(self) -> bytes:
        with memoryview(self._body) as body:
            data = bytes(body[:READ_BYTES])
        del self._body[:READ_BYTES]
        is_low = len(self._body) <= READ_HIGH_WATER_BYTES
        if self._paused_reading and is_low and self._transport is not None:
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

    def _wake_reader(self) -> None:
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
        self._wake_reader()
        self.resume_writing()


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm, and let the kernel close a connection whose peer went silent."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def connect(address: Address, timeout: float) -> Result[HttpConnection, ConnectFailure]:
    """Open a connection within ``timeout`` seconds."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(HttpConnection, address.host, address.port)
    except TimeoutError:
        return Err(ConnectFailure(f"connecting to {address} took over {timeout:g} s"))
    except OSError as error:
        detail = f"connecting to {address} failed: {error.strerror or error}"
        return Err(ConnectFailure(detail, error.errno in _REFUSALS))
    return Ok(connection)


def request_head(method: str, path: str, headers: Headers) -> bytes:
    """Encode a request line and headers.

    >>> request_head("GET", "/", [(b"host", b"a")])
    b'GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
    """
    lines = [f"{method} {path} HTTP/1.1\r\n".encode("latin-1")]
    for name, value in headers:
        lines.append(b"%b: %b\r\n" % (name, value))
    lines.append(b"\r\n")
    return b"".join(lines)
