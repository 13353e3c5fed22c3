"""Server connections with limits that protect against hostile or broken callers.

Extends uvicorn's ``httptools`` protocol with a limit on the size of the request head, a time limit
for receiving it, a check for ambiguous message lengths, and a callback for lost connections.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cassiashore._internal.http.framing import find_head_error
from cassiashore._internal.proxy.handler import CONNECTION_KEY


def _error_response(status: str, text: str) -> bytes:
    return (
        f"HTTP/1.1 {status}\r\ncontent-type: text/plain\r\nconnection: close\r\n"
        f"cassiashore-outcome: not-run\r\ncontent-length: {len(text)}\r\n\r\n{text}"
    ).encode("latin-1")


HEAD_TOO_LARGE = _error_response(
    "431 Request Header Fields Too Large", "the request head is too large"
)
HEAD_TOO_SLOW = _error_response("408 Request Timeout", "the request head came too slowly")
TOO_MANY_CONNECTIONS = _error_response("503 Service Unavailable", "too many connections")


class GuardedProtocol(HttpToolsProtocol):
    """One caller's connection. ``on_lost`` is called when it closes."""

    max_header_bytes = 16_384
    header_seconds = 5.0
    max_connections = 4_096

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Create a connection on which no head has been received."""
        super().__init__(*args, **kwargs)
        self.on_lost: Callable[[], object] | None = None
        self.is_lost = False
        self._head_bytes = 0
        self._in_head = True
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the time limit for the first head; refuse the connection if there are too many."""
        super().connection_made(transport)
        if len(self.connections) > self.max_connections:
            self._send_and_close(TOO_MANY_CONNECTIONS)
            return
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Call ``on_lost``, which the handler of the current request sets."""
        self.is_lost = True
        self._stop_head_timer()
        super().connection_lost(exc)
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None:
            on_lost()

    def data_received(self, data: bytes) -> None:
        """Enforce the size limit of the head, then parse."""
        if self.transport.is_closing():
            return
        if self._in_head:
            if self._head_timer is None:
                self._start_head_timer()
            self._head_bytes += len(data)
            within_limit = self._head_bytes <= self.max_header_bytes
            if not within_limit and b"\r\n\r\n" not in data[: self.max_header_bytes]:
                self._send_and_close(HEAD_TOO_LARGE)
                return
        super().data_received(data)

    def on_message_begin(self) -> None:
        """Note that a new head begins."""
        super().on_message_begin()
        self._in_head = True

    def on_headers_complete(self) -> None:
        """End the limits on the head; refuse a request whose length is ambiguous."""
        self._in_head = False
        self._head_bytes = 0
        self._stop_head_timer()
        error = find_head_error(self.parser.get_http_version(), self.headers)
        if error is not None:
            self._send_and_close(_error_response("400 Bad Request", error))
            return
        cast(dict[str, Any], self.scope)[CONNECTION_KEY] = self
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Ignore what follows a refused head."""
        if self.cycle is not None and not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ignore the end of a message whose head was refused."""
        if self.cycle is not None and not self.transport.is_closing():
            super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse malformed bytes; while a response is in progress, only abort the connection."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            self.transport.abort()
            return
        self._send_and_close(_error_response("400 Bad Request", msg))

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(self.header_seconds, self._on_head_timeout)

    def _stop_head_timer(self) -> None:
        timer, self._head_timer = self._head_timer, None
        if timer is not None:
            timer.cancel()

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self._in_head and not self.transport.is_closing():
            self._send_and_close(HEAD_TOO_SLOW)

    def _send_and_close(self, response: bytes) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(response)
        self.transport.close()


def guarded_protocol(
    max_header_bytes: int, header_seconds: float, max_connections: int
) -> type[GuardedProtocol]:
    """Return a protocol class with the given limits."""
    limits = {
        "max_header_bytes": max_header_bytes,
        "header_seconds": header_seconds,
        "max_connections": max_connections,
    }
    return type("LimitedProtocol", (GuardedProtocol,), limits)
