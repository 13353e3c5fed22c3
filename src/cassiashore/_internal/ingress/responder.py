"""Writing of one answer on a connection that carries several requests."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.net.http_client import Headers

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_WITHOUT_BODY = frozenset({204, 304})


class ResponseChannel(Protocol):
    """What a responder needs of its connection."""

    @property
    def is_draining(self) -> bool:
        """Tell whether the connection is to close after the answer."""

    def is_first(self, responder: Responder) -> bool:
        """Tell whether the next answer to write is that of the responder."""

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closing."""

    async def drain(self) -> None:
        """Wait until the send buffer has room."""

    def abort(self) -> None:
        """Break the connection."""

    def response_finished(self, responder: Responder, *, closes: bool) -> None:
        """Go on to the next answer, or close."""


class Responder:
    """Writes the answer of one request when its turn has come."""

    def __init__(self, connection: ResponseChannel, request: IngressRequest) -> None:
        """Create a responder that has written nothing."""
        self.task: asyncio.Task[None] | None = None
        self.is_started = False
        self.is_finished = False
        self._connection = connection
        self._request = request
        self._buffered: bytes | None = None
        self._closes = False
        self._chunked = False
        self._turn_waiter: asyncio.Future[None] | None = None

    async def wait_for_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        if self._connection.is_first(self):
            return
        self._turn_waiter = asyncio.get_running_loop().create_future()
        await self._turn_waiter

    def send_response(
        self, status: int, headers: Headers, body: bytes, *, close: bool = False
    ) -> None:
        """Answer with a body that is at hand; the bytes go out when it is the request's turn."""
        length = [] if status in _WITHOUT_BODY else [(b"content-length", str(len(body)).encode())]
        head = self._head(status, [*headers, *length], close=close)
        self._buffered = head if self._request.method == "HEAD" else head + body
        if self._connection.is_first(self):
            self.flush()

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Begin an answer of ``length`` bytes, or a chunked one; only in turn."""
        is_http_1_0 = self._request.version == "1.0"
        self._chunked = length is None and not is_http_1_0
        if length is not None:
            headers = [*headers, (b"content-length", str(length).encode())]
        elif self._chunked:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        head = self._head(status, headers, close=is_http_1_0 and length is None)
        self.is_started = True
        self._connection.write(head)

    async def write(self, data: bytes) -> None:
        """Write a piece of the body, waiting while the caller reads too slowly."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        await self._connection.drain()

    def finish(self) -> None:
        """End an answer that was started."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._complete()

    def abort(self) -> None:
        """Break the connection, so that a part is not taken for the whole."""
        self.is_finished = True
        self._connection.abort()

    def flush(self) -> None:
        """Write the answer that waits for its turn, if there is one."""
        if self._buffered is not None and not self.is_finished:
            data, self._buffered = self._buffered, None
            self.is_started = True
            self._connection.write(data)
            self._complete()
        elif self._turn_waiter is not None and not self._turn_waiter.done():
            self._turn_waiter.set_result(None)

    def _complete(self) -> None:
        self.is_finished = True
        self._connection.response_finished(self, closes=self._closes)

    def _head(self, status: int, headers: Headers, *, close: bool) -> bytes:
        request = self._request
        self._closes = (
            close
            or not request.keep_alive
            or not request.body.is_complete
            or self._connection.is_draining
        )
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, _PHRASES.get(status, b"Unknown"))]
        lines.extend(b"%b: %b\r\n" % pair for pair in headers)
        if self._closes:
            lines.append(b"connection: close\r\n")
        elif request.version == "1.0":
            lines.append(b"connection: keep-alive\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)
