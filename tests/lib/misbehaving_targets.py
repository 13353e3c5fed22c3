"""Targets that send bytes without end, which may be no response at all."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from cassiashore.platform.wire import EDGE_HEADERS
from tests.lib.steering_builders import header_of

PIECE_BYTES = 16_384
MOST_BYTES = 64 << 20  # for one request; several hundred times what an instance may hold
SHORT_FIELD = b"a:b\r\n"
HELD_BYTES = 60_000  # just below what an instance accepts without a body
RESPONSE_START = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Shape:
    """What a target sends: a start, then a piece again and again, or only up to ``most`` bytes.

    ``has_stamp`` makes the start name the request and carry a stamp, so that it may be passed on.
    After ``most`` bytes the target is silent and keeps the connection.
    """

    start: bytes
    piece: bytes
    most: int = MOST_BYTES
    has_stamp: bool = False

    def pieces(self, head: bytes) -> Iterator[bytes]:
        """Yield the bytes that answer the request with the given head."""
        yield self._start(head)
        whole = self.piece * max(1, PIECE_BYTES // len(self.piece))
        yield from itertools.repeat(whole, self.most // len(whole))
        yield whole[: self.most % len(whole)]

    def _start(self, head: bytes) -> bytes:
        if not self.has_stamp:
            return self.start
        request_id = header_of(head, EDGE_HEADERS.request_id)
        names = b"%b: %b\r\n%b: s\r\n" % (EDGE_HEADERS.request_id, request_id, EDGE_HEADERS.stamp)
        return self.start.replace(RESPONSE_START, RESPONSE_START + names, 1)


SHAPE_BY_NAME = {
    "garbage": Shape(b"", b"\x00\xff"),
    "status-line": Shape(b"HTTP/1.1 200 ", b"O"),
    "field-line": Shape(RESPONSE_START + b"X: ", b"a"),
    "fields": Shape(RESPONSE_START, SHORT_FIELD),
    "fields-then-silence": Shape(RESPONSE_START, SHORT_FIELD, HELD_BYTES),
    "field-line-then-silence": Shape(RESPONSE_START + b"X: ", b"a", HELD_BYTES),
    "interim-heads": Shape(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank-lines": Shape(b"", b"\r\n"),
    "chunk-extension": Shape(RESPONSE_START + CHUNKED + b"2;", b"a", has_stamp=True),
    "trailers": Shape(RESPONSE_START + CHUNKED + b"2\r\nok\r\n0\r\n", SHORT_FIELD, has_stamp=True),
    "unframed-body": Shape(RESPONSE_START + b"\r\n", b"a", has_stamp=True),
    "chunks": Shape(RESPONSE_START + CHUNKED, b"4\r\nabcd\r\n", has_stamp=True),
    "body-without-id": Shape(RESPONSE_START + b"\r\n", b"a"),
    "behind-the-response": Shape(
        RESPONSE_START + b"Content-Length: 2\r\n\r\nok", b"a", has_stamp=True
    ),
    "body-of-another-response": Shape(
        RESPONSE_START + EDGE_HEADERS.request_id + b": another\r\n" + CHUNKED, b"4\r\nabcd\r\n"
    ),
}


@dataclass(slots=True)
class EndlessTarget:
    """A target that sends a shape to each request, until the connection ends."""

    shape: Shape
    requests: int = 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            for piece in self.shape.pieces(head):
                writer.write(piece)
                await writer.drain()
            await reader.read()
        writer.transport.abort()


@asynccontextmanager
async def running_targets(
    shape: Shape, count: int
) -> AsyncIterator[tuple[list[EndlessTarget], list[str]]]:
    """Start targets; yield them and their addresses."""
    targets = [EndlessTarget(shape) for _ in range(count)]
    servers = [await asyncio.start_server(t.accept, "127.0.0.1", 0) for t in targets]
    try:
        yield targets, [_address(server) for server in servers]
    finally:
        for server in servers:
            server.close()


def _address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
