"""Writing of a response on a connection with pipelined requests."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol

from cassiashore._internal.ingress.memory_budget import Account
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.net.http_client import Headers

_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_WITHOUT_BODY = frozenset({204, 304})


class ResponseChannel(Protocol):
    """Interface of the connection that a responder writes to."""

    @property
    def is_draining(self) -> bool:
        """Return whether the connection closes after the response."""

    def is_first(self, responder: Responder) -> bool:
        """Return whether the next response to write is that of the responder."""

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closing."""

    async def drain(self) -> None:
        """Wait until the send buffer has room."""

    def abort(self) -> None:
        """Reset the connection."""

    def response_finished(self, responder: Responder, *, closes: bool) -> None:
        """Continue with the next response, or close the connection."""


class Responder:
    """Writes the response to a request once all earlier requests have their responses."""

    def __init__(self, connection: ResponseChannel, request: IngressRequest) -> None:
        """Create a responder for a request."""
        self.task: asyncio.Task[None] | None = None
        self.is_started = False
        self.is_finished = False
        self._connection = connection
        self._request = request
        self._buffered: bytes | None = None
        self._closes = False
        self._chunked = False
        self._turn_waiter: asyncio.Future[None] | None = None

    @property
    def account(self) -> Account:
        """Return the account of what the request holds."""
        return self._request.body.account

    async def wait_for_turn(self) -> None:
        """Wait until the responses to all earlier requests of the connection are written."""
        if self._connection.is_first(self):
            return
        self._turn_waiter = asyncio.get_running_loop().create_future()
        await self._turn_waiter

    def send_response(
        self, status: int, headers: Headers, body: bytes, *, close: bool = False
    ) -> None:
        """Send a complete response, or buffer it until the earlier responses are written."""
        length = [] if status in _WITHOUT_BODY else [(b"content-length", str(len(body)).encode())]
        head = self._head(status, [*headers, *length], close=close)
        self._buffered = head if self._request.method == "HEAD" else head + body
        if not self._request.body.is_complete:
            self._request.body.discard()
        if self._connection.is_first(self):
            self.flush()
            return
        self.account.hold(len(self._buffered))
        self.account.budget.reclaim()
        if self.account.budget.must_drop(len(self._buffered)):
            self.abort()

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Start a response of ``length`` bytes, or a chunked one, after ``wait_for_turn``."""
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
        """Write a chunk of the body, and wait while the send buffer is full."""
        self._connection.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        await self._connection.drain()

    def finish(self) -> None:
        """End a response that was started."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self._complete()

    def abort(self) -> None:
        """Reset the connection, so that the caller does not take the response for complete."""
        self.is_finished = True
        self._connection.abort()

    def flush(self) -> bool:
        """Write the buffered response, or resume the task that waits for its turn.

        Return whether a response was written.
        """
        if self._buffered is not None and not self.is_finished:
            data, self._buffered = self._buffered, None
            self.is_started = True
            self._connection.write(data)
            self._complete()
            return True
        if self._turn_waiter is not None and not self._turn_waiter.done():
            self._turn_waiter.set_result(None)
        return False

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
