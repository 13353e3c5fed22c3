"""HTTP/1.1 server with pipelining, based on the ``httptools`` parser.

The requests of a connection are handled concurrently, and their responses are written in the order
of the requests.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import time
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, cast

import httptools

from cassiashore._internal.http.framing import find_head_error
from cassiashore._internal.ingress.body import BodyFault, RequestBody
from cassiashore._internal.ingress.connection_memory import ConnectionMemory
from cassiashore._internal.ingress.input_buffer import InputBuffer
from cassiashore._internal.ingress.memory_budget import (
    FIELD_BYTES,
    REQUEST_BYTES,
    RETRY_SECONDS,
    Account,
)
from cassiashore._internal.ingress.phase_timer import PhaseTimer
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.net.http_client import (
    MAX_NON_BODY_BYTES,
    Headers,
    set_socket_options,
)

if TYPE_CHECKING:
    from cassiashore._internal.ingress.server import IngressServer

logger = logging.getLogger(__name__)

MAX_FIELDS = 512  # of a head; five times what common servers allow
MAX_PIPELINED_TIGHT = 1  # the same as the next while memory is tight
MAX_PIPELINED = 32  # concurrent requests of a connection; further ones are not parsed yet
WRITE_HIGH_WATER_BYTES = 32 * 1024  # unsent bytes above which no further request is parsed
LINGER_SECONDS = 1.0  # time for a caller that is still sending to read a refusal


_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of zero


class _Phase(Enum):
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RESPONDING = "answering"
    CLOSING = "ending"


class IngressConnection(asyncio.BufferedProtocol):
    """A connection of a caller."""

    def __init__(self, server: IngressServer) -> None:
        """Create a connection that belongs to a server."""
        self.server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._phase = _Phase.IDLE
        self._timer = PhaseTimer(self._phase_limit, self._on_timeout)
        self._input = InputBuffer()
        self._memory = ConnectionMemory(server.budget, self._reset_blocked)
        self._responders: deque[Responder] = deque()
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._non_body_bytes = 0
        self._request: IngressRequest | None = None
        self._body_length: int | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._is_refusing = False
        self._is_flushing = False
        self._is_parsing = False
        self._is_body_paused = False
        self._reads_paused = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        self._transport = cast(asyncio.Transport, transport)
        set_socket_options(transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.server.connections.add(self)
        self.server.connection_limit.add(self)
        self._enter_phase(_Phase.IDLE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of the caller."""
        self.server.connections.discard(self)
        self.server.connection_limit.remove(self)
        self._phase = _Phase.CLOSING
        self._timer.cancel()
        self._input.clear()
        self._release_memory()
        if self._request is not None:
            self._request.body.fail(BodyFault.CALLER_LEFT)
        self.resume_writing()
        for responder in self._responders:
            if responder.task is not None:
                responder.task.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to put received bytes; ``buffer_updated`` copies them at once."""
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes as far as the limits allow."""
        if self._phase is _Phase.CLOSING or self._is_refusing:
            return
        self._input.append(bytes(self.server.read_buffer[:nbytes]))
        self._parse_input()

    def _parse_input(self) -> None:
        """Parse what was received, and read on when nothing is left of it."""
        if self._is_parsing:
            return
        self._is_parsing = True
        try:
            while self._input and self._may_parse():
                self._parse(self._next_piece())
        finally:
            self._is_parsing = False
        is_discarding = self._is_refusing or self._phase is _Phase.CLOSING
        if is_discarding:
            self._input.clear()
        self._update_account()
        if is_discarding or (not self._input and self._may_parse()):
            self._resume_reading()
        else:
            self._pause_reading()

    def _may_parse(self) -> bool:
        """Tell whether the connection may take further bytes of a body, or a further request."""
        if self._is_refusing or self._phase is _Phase.CLOSING:
            return False
        if self._phase is _Phase.BODY:
            return not self._is_body_paused
        most = MAX_PIPELINED_TIGHT if self.server.budget.is_tight else MAX_PIPELINED
        return self._write_waiter is None and len(self._responders) < most

    def _next_piece(self) -> bytes:
        if self._phase is not _Phase.BODY or self._request is None:
            return self._input.take_head_piece()
        if self._body_length is None:
            return self._input.take_chunked_piece()
        return self._input.take(max(1, self._body_length - self._request.body.size))

    def _parse(self, data: bytes) -> None:
        """Pass a piece to the parser, within the limits."""
        if self._phase is _Phase.IDLE:
            self._head_bytes = 0
            self._enter_phase(_Phase.HEAD)
        if self._phase is _Phase.BODY:
            if self._non_body_bytes > MAX_NON_BODY_BYTES:
                self._fail_body(BodyFault.WITHOUT_CONTENT)
                return
            self._non_body_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "protocol upgrades are not supported")
        except httptools.HttpParserError as error:
            self._refuse(400, f"the request is malformed: {error}")
        if self._phase is _Phase.HEAD and not self._is_refusing:
            self._head_bytes += len(data)
            if self._head_bytes > self.server.limits().max_header_bytes:
                self._refuse(431, "the request head is too large")
            elif len(self._headers) > MAX_FIELDS:
                self._refuse(431, f"the request head has more than {MAX_FIELDS} fields")
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._timer.shorten()

    def eof_received(self) -> bool:
        """Close the connection when the caller closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Block ``drain`` while the send buffer is full."""
        if self._write_waiter is None:
            self._write_waiter = asyncio.get_running_loop().create_future()
        self._update_account()

    def resume_writing(self) -> None:
        """Unblock ``drain``."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        self._memory.unblock()
        self._parse_input()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url = b""
        self._headers = []
        self._head_bytes = 0
        if self._phase is not _Phase.HEAD:
            self._enter_phase(_Phase.HEAD)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._request is None and len(self._headers) <= MAX_FIELDS:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Start a handler for the request, or refuse it."""
        if self._is_refusing:
            return
        version = self._parser.get_http_version()
        fault = find_head_error(version, self._headers)
        if fault is not None:
            self._refuse(400, fault)
            return
        if len(self._headers) > MAX_FIELDS:
            self._refuse(431, f"the request head has more than {MAX_FIELDS} fields")
            return
        if self.server.budget.is_exhausted and not self.server.serves_without_memory:
            self._refuse(503, "this instance has no memory for the request", RETRY_SECONDS)
            return
        size = sum(len(n) + len(v) + 4 for n, v in self._headers) + len(self._url)
        if size > self.server.limits().max_header_bytes:
            self._refuse(431, "the request head is too large")
            return
        request = IngressRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            headers=self._headers,
            body=RequestBody(
                self._pause_body,
                self._resume_body,
                Account(self.server.budget, REQUEST_BYTES + self._head_cost(size)),
            ),
            keep_alive=self._parser.should_keep_alive(),
            version=version,
            received_at=time.monotonic(),
        )
        self._request = request
        length = request.header(b"content-length")
        self._body_length = None if length is None else int(length)
        self._headers = []
        self._non_body_bytes = 0
        self._enter_phase(_Phase.BODY)
        responder = Responder(self, request)
        self._responders.append(responder)
        responder.task = asyncio.create_task(self._handle(request, responder))

    def on_body(self, body: bytes) -> None:
        """Append data to the body, within the limit."""
        request = self._request
        if request is None or self._is_refusing:
            return
        self._timer.extend()
        self._non_body_bytes = 0
        if request.body.size + len(body) > self.server.limits().max_body_bytes:
            self._fail_body(BodyFault.TOO_LARGE)
            return
        request.body.feed(body)
        if request.body.must_yield_memory:
            self._fail_body(BodyFault.NO_MEMORY)

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        if self._request is None or self._is_refusing:
            return
        self._request.body.finish()
        self._request = None
        self._enter_phase(_Phase.RESPONDING if self._responders else _Phase.IDLE)

    # Interface of the responders.

    @property
    def is_draining(self) -> bool:
        """Return whether the connection closes after the response."""
        return self.server.is_draining

    def is_first(self, responder: Responder) -> bool:
        """Return whether the next response to write is that of the responder."""
        return bool(self._responders) and self._responders[0] is responder

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            if self._write_waiter is not None:
                self._update_account()

    async def drain(self) -> None:
        """Wait until the send buffer has room; reset the connection if the caller stops reading."""
        if self._write_waiter is None:
            return
        try:
            async with asyncio.timeout(self.server.limits().idle_seconds):
                await self._write_waiter
        except TimeoutError:
            logger.info("resetting connection: caller does not read its response")
            self.abort()
            # End the handler as if the caller had closed the connection.
            raise asyncio.CancelledError from None

    def abort(self) -> None:
        """Reset the connection, since the caller may take a normal close for the end of a body."""
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            if sock is not None and not self._transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            self._transport.abort()

    def response_finished(self, responder: Responder, *, closes: bool) -> None:
        """Continue with the next response, or close the connection."""
        if not self._responders or self._responders[0] is not responder:
            return
        self._responders.popleft()
        responder.account.close()
        if closes:
            self._close_after_response()
            return
        self._flush_responses()
        if not self._responders and self._phase is _Phase.RESPONDING:
            self._enter_phase(_Phase.IDLE)
        self._parse_input()

    def _flush_responses(self) -> None:
        """Write the buffered responses whose turn it is.

        Each of them calls ``response_finished``. A loop instead of calls of each other keeps a long
        row of responses from exceeding the recursion limit.
        """
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            while self._responders and self._responders[0].flush():
                pass
        finally:
            self._is_flushing = False

    def close_if_idle(self) -> None:
        """Close the connection if no request is in progress on it."""
        if self._phase is _Phase.IDLE and not self._responders and self._transport is not None:
            self._phase = _Phase.CLOSING
            self._transport.close()

    def _close_idle_connection(self) -> None:
        """Close an idle connection, with a reset if the caller has not read its response."""
        if self._transport is not None and self._transport.get_write_buffer_size():
            self.abort()
        else:
            self.close_if_idle()

    @property
    def is_expendable(self) -> bool:
        """Tell whether no complete request head is being handled."""
        return not self._responders and self._phase in (_Phase.IDLE, _Phase.HEAD)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self._responders

    # Requests, timeouts and closing.

    async def _handle(self, request: IngressRequest, responder: Responder) -> None:
        self.server.in_flight += 1
        try:
            await self.server.handler(request, responder)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("handling of %s %s failed", request.method, request.target)
            if not responder.is_started:
                responder.send_response(502, [], b"internal error\n", close=True)
            else:
                responder.abort()
        finally:
            self.server.in_flight -= 1

    def _enter_phase(self, phase: _Phase) -> None:
        self._phase = phase
        self._timer.restart()

    def _phase_limit(self) -> float | None:
        limits = self.server.limits()
        limit_by_phase = {
            _Phase.IDLE: limits.idle_seconds,
            _Phase.HEAD: limits.header_seconds,
            _Phase.BODY: limits.idle_seconds,
        }
        return limit_by_phase.get(self._phase)

    def _on_timeout(self) -> None:
        if self._phase is _Phase.IDLE:
            self._close_idle_connection()
        elif self._phase is _Phase.HEAD:
            self._refuse(408, "the request head came too slowly")
        else:
            self._fail_body(BodyFault.STALLED)

    def _fail_body(self, fault: BodyFault) -> None:
        """Stop reading a body; the connection closes after the response to its request."""
        self._is_refusing = True
        if self._request is not None:
            self._request.body.fail(fault)

    def _refuse(self, status: int, why: str, retry_after: float | None = None) -> None:
        """Respond to an invalid request, after the earlier responses, and close the connection."""
        if self._is_refusing:
            return
        self._is_refusing = True
        self._headers = []
        body = RequestBody(lambda: None, lambda: None, Account(self.server.budget))
        request = IngressRequest("GET", "", [], body, False, "1.1", time.monotonic())
        self._request = None
        responder = Responder(self, request)
        self._responders.append(responder)
        headers: Headers = []
        if retry_after is not None:
            headers.append((b"retry-after", f"{retry_after:.3f}".encode()))
        content = why.encode("latin-1", "replace") + b"\n"
        responder.send_response(status, headers, content, close=True)

    def _close_after_response(self) -> None:
        transport = self._transport
        for responder in self._responders:
            if responder.task is not None:
                responder.task.cancel()
            responder.account.close()
        self._responders.clear()
        self._request = None
        was_reading = self._phase in (_Phase.HEAD, _Phase.BODY) or self._is_refusing
        self._phase = _Phase.CLOSING
        if transport is None or transport.is_closing():
            return
        if was_reading and transport.can_write_eof():
            transport.write_eof()
            self._resume_reading()
            asyncio.get_running_loop().call_later(LINGER_SECONDS, transport.close)
        else:
            transport.close()

    # Memory.

    def _head_cost(self, size: int) -> int:
        return size + FIELD_BYTES * len(self._headers)

    def _update_account(self) -> None:
        """Count unparsed input, an incomplete head, and responses that the caller does not read."""
        received = len(self._input)
        if self._phase is _Phase.HEAD:
            received += self._head_cost(self._head_bytes)
        unsent = None
        if self._write_waiter is not None and self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
        self._memory.update(received, unsent)

    def _reset_blocked(self) -> None:
        logger.info("resetting connection: its unread response takes memory that others need")
        self.abort()
        self._release_memory()

    def _release_memory(self) -> None:
        self._memory.release()
        for responder in self._responders:
            responder.account.close()

    def _pause_body(self) -> None:
        self._is_body_paused = True

    def _resume_body(self) -> None:
        self._is_body_paused = False
        self._parse_input()

    def _pause_reading(self) -> None:
        if not self._reads_paused and self._transport is not None:
            self._reads_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reads_paused and self._transport is not None:
            self._reads_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
