"""Servers and callers that send bytes endlessly: their connection is closed, using little memory.

Input without body bytes is limited to ``MAX_NON_BODY_BYTES``; a body is limited by the deadline of
its request.
"""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.net.http_client import (
    MAX_HEAD_FIELDS,
    MAX_NON_BODY_BYTES,
    HttpConnection,
    connect,
    request_head,
)
from cassiashore._internal.steering.routes import IngressLimits, RequestKind
from tests.lib.ingress import TEST_TIMEOUT_SECONDS, request, start_ingress, start_targets
from tests.lib.steering_builders import route, table

READ_BYTES = 256 * 1024  # the event loop reads at most this at a time
MAX_GROWTH_BYTES = 2 << 20  # an instance forwards hundreds of responses at once
PIECE_COUNT = 2000  # of 16 KB each: several times what the socket buffers can hold
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

# The first bytes that a server sends, and the bytes that it repeats.
SHAPES_WITHOUT_BODY = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 16384),
    "header line": (b"HTTP/1.1 200 OK\r\nX: ", b"a" * 16384),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: abc\r\n" * 2048),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 655),
    "blank lines": (b"", b"\r\n" * 8192),
    "garbage": (b"", b"\x00\xff" * 8192),
    "trailers": (CHUNKED_HEAD + b"2\r\nok\r\n0\r\n", b"X: abc\r\n" * 2048),
    "trailer line": (CHUNKED_HEAD + b"2\r\nok\r\n0\r\nX: ", b"a" * 16384),
    "chunk extension": (CHUNKED_HEAD + b"2;", b"a" * 16384),
    "chunk size": (CHUNKED_HEAD, b"0" * 16384),
    "bytes behind the answer": (COMPLETE_RESPONSE, b"a" * 16384),
}
# These contain, or may contain, body bytes.
SHAPES_WITH_BODY = {
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"a" * 16384),
    "chunks": (CHUNKED_HEAD, b"4000\r\n" + b"a" * 16384 + b"\r\n"),
    "small chunks": (CHUNKED_HEAD, b"1\r\na\r\n" * 2730),
    "chunks with extensions": (CHUNKED_HEAD, (b"1;" + b"x" * 4000 + b"\r\na\r\n") * 4),
}


def run(test: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(test())  # type: ignore[arg-type]


class EndlessServer:
    """Sends ``start`` and then ``piece`` repeatedly; ``closed`` is set when the connection ends."""

    def __init__(self, start: bytes, piece: bytes) -> None:
        self.closed = asyncio.Event()
        self._start, self._piece = start, piece

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
    ) -> None:
        try:
            writer.write(self._start)
            for _ in range(PIECE_COUNT):
                writer.write(self._piece)
                await writer.drain()
            await reader.read()
        finally:
            self.closed.set()

    async def listen(self) -> tuple[asyncio.Server, Address]:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await self.serve(reader, writer, await reader.readuntil(b"\r\n\r\n"))
            except ConnectionError:
                return
            finally:
                writer.transport.abort()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return server, Address(host, port)


async def read_response(connection: HttpConnection) -> None:
    connection.start_exchange(request_head("GET", "/", [(b"host", b"a")]), allow_unframed=True)
    await connection.response_head()
    while await connection.read_chunk() is not None:
        pass


@pytest.mark.parametrize("shape", SHAPES_WITHOUT_BODY)
def test_an_endless_response_without_body_bytes_is_closed(shape: str) -> None:
    async def test() -> None:
        endless = EndlessServer(*SHAPES_WITHOUT_BODY[shape])
        server, address = await endless.listen()
        connection = (await connect(address, TEST_TIMEOUT_SECONDS)).unwrap()
        tracemalloc.start()
        try:
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                with contextlib.suppress(ConnectionLostError):
                    await read_response(connection)
                await endless.closed.wait()
            assert not connection.reusable
            assert connection.bytes_received <= MAX_NON_BODY_BYTES + READ_BYTES
            assert tracemalloc.get_traced_memory()[1] < MAX_GROWTH_BYTES
        finally:
            tracemalloc.stop()
            connection.close()
            server.close()

    run(test)


@pytest.mark.parametrize(("fields", "is_read"), [(MAX_HEAD_FIELDS, True), (257, False)])
def test_the_number_of_header_fields_of_a_response_is_limited(fields: int, is_read: bool) -> None:
    """Thousands of short fields took thirty times the bytes that had been received."""

    async def test() -> None:
        start = b"HTTP/1.1 200 OK\r\n" + b"X: a\r\n" * (fields - 1) + b"Content-Length: 2\r\n\r\nok"
        server, address = await EndlessServer(start, b"").listen()
        connection = (await connect(address, TEST_TIMEOUT_SECONDS)).unwrap()
        failed = False
        try:
            await read_response(connection)
        except ConnectionLostError:
            failed = True
        assert failed is not is_read
        connection.close()
        server.close()

    run(test)


def test_trailers_are_not_added_to_the_response_headers() -> None:
    async def test() -> None:
        endless = EndlessServer(CHUNKED_HEAD + b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n", b"")
        server, address = await endless.listen()
        connection = (await connect(address, TEST_TIMEOUT_SECONDS)).unwrap()
        await read_response(connection)
        assert connection._head.get(b"x-late") is None
        connection.close()
        server.close()

    run(test)


@pytest.mark.parametrize("kind", [RequestKind.DOWNLOAD, RequestKind.NON_IDEMPOTENT])
@pytest.mark.parametrize("shape", SHAPES_WITH_BODY)
def test_an_endless_body_ends_at_the_deadline_and_is_not_terminated(
    shape: str, kind: RequestKind
) -> None:
    async def test() -> None:
        endless = EndlessServer(*_with_id(*SHAPES_WITH_BODY[shape]))
        ingress = await start_ingress(table(route(kind=kind, timeout=0.4, max_attempts=1)))
        await start_targets(ingress, endless.serve)
        client = await ingress.open()
        tracemalloc.start()
        try:
            client.send(request(extra="Connection: close\r\n"))
            received = await _read_slowly(client.reader)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await endless.closed.wait()
            assert tracemalloc.get_traced_memory()[1] < MAX_GROWTH_BYTES
            assert not received.endswith(b"\r\n0\r\n\r\n")
        finally:
            tracemalloc.stop()
            client.close()

    run(test)


def _with_id(start: bytes, piece: bytes) -> tuple[bytes, bytes]:
    head = b"X-Cassiashore-Request-Id: id-1\r\nX-Cassiashore-Response-Stamp: s\r\n"
    return start.replace(b"200 OK\r\n", b"200 OK\r\n" + head, 1), piece


async def _read_slowly(reader: asyncio.StreamReader) -> bytes:
    """Read slowly until the connection ends; return the last bytes."""
    last_bytes = b""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(4096):
                last_bytes = (last_bytes + piece)[-16:]
                await asyncio.sleep(0.001)
    return last_bytes


REQUEST_SHAPES = {
    "chunk extension": (b"2;", b"a" * 16384),
    "chunk size": (b"", b"0" * 16384),
    "trailers": (b"2\r\nok\r\n0\r\n", b"X: abc\r\n" * 2048),
    "trailer line": (b"2\r\nok\r\n0\r\nX: ", b"a" * 16384),
}


@pytest.mark.parametrize("shape", REQUEST_SHAPES)
def test_an_endless_request_without_body_bytes_is_closed(shape: str) -> None:
    async def test() -> None:
        ingress = await start_ingress(table(route(kind=RequestKind.NON_IDEMPOTENT)))
        (target,) = await start_targets(ingress, EndlessServer(b"", b"").serve)
        client = await ingress.open()
        start, piece = REQUEST_SHAPES[shape]
        tracemalloc.start()
        try:
            client.send(request(method="POST", extra="Transfer-Encoding: chunked\r\n") + start)
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                with contextlib.suppress(ConnectionError):
                    for _ in range(PIECE_COUNT):
                        client.send(piece)
                        await client.writer.drain()
                    await client.reader.read()
            assert not target.heads
            assert tracemalloc.get_traced_memory()[1] < MAX_GROWTH_BYTES
        finally:
            tracemalloc.stop()
            client.close()

    run(test)


def test_trailers_are_not_added_to_the_request_headers() -> None:
    async def test() -> None:
        async def never_respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            await reader.read()

        ingress = await start_ingress(table(route(timeout=0.2)))
        (target,) = await start_targets(ingress, never_respond)
        body = b"2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"
        await ingress.ask(request(method="POST", extra="Transfer-Encoding: chunked\r\n") + body)
        assert target.heads and b"x-late" not in target.heads[0].lower()

    run(test)


def test_a_caller_that_never_reads_its_response_is_disconnected() -> None:
    async def test() -> None:
        async def send_large_response(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            writer.write(_with_id(CHUNKED_HEAD, b"")[0])
            for _ in range(PIECE_COUNT):
                writer.write(SHAPES_WITH_BODY["chunks"][1])
                await writer.drain()

        limits = IngressLimits(idle_seconds=0.2)
        download_route = route(kind=RequestKind.DOWNLOAD, timeout=30, max_attempts=1)
        ingress = await start_ingress(table(download_route), limits=limits)
        (target,) = await start_targets(ingress, send_large_response)
        client = await ingress.open()
        client.writer.transport.pause_reading()
        client.send(request())
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not target.heads or ingress.server.connections:
                await asyncio.sleep(0.01)
        client.close()

    run(test)


@pytest.mark.parametrize("kind", [RequestKind.DOWNLOAD, RequestKind.NON_IDEMPOTENT])
def test_a_stalled_response_frees_its_connection_at_the_deadline(kind: RequestKind) -> None:
    async def test() -> None:
        endless = EndlessServer(*_with_id(CHUNKED_HEAD + b"2\r\nok\r\n", b""))
        ingress = await start_ingress(table(route(kind=kind, timeout=0.2, max_attempts=1)))
        await start_targets(ingress, endless.serve)
        assert (await ingress.ask(request()))[0] == 504
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await endless.closed.wait()
        assert ingress.registry.target_by_id["t-0"].pool.open == 0

    run(test)
