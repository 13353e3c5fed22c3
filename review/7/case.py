"""A client that reads slowly has its answers cut off when its machine is stopped."""

from __future__ import annotations

import asyncio
import secrets
import signal
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from stand import (  # noqa: E402
    BOUNDS,
    HEADERS_END,
    Node,
    Place,
    Record,
    Upstream,
    fields_of,
    has_trouble,
    manifest_of,
    request_of,
    response_of,
    route,
    run_case,
)

ZONES = {"erie-a": "erie", "huron-a": "huron", "superior-a": "superior"}
REQUESTS = 30  # sent before the first is answered
ANSWER = bytes(range(256)) * 1000
STOP_AFTER_SECONDS = 0.5  # when all of them have long run
SLOW_SECONDS = 3.5  # of slow reading after that; the grace period is 6 s
SLOW_BYTES, SLOW_PAUSE_SECONDS = 20_000, 0.1  # read at once, and the pause after it
RECEIVE_BUFFER_BYTES = 65_536
DEADLINE_MS = 6000


async def answer(upstream: Upstream, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
    """Answer at once."""
    writer.write(response_of(fields, upstream.upstream_id, ANSWER))


class SlowReader:
    """Reads answers, slowly at first."""

    def __init__(self, record: Record, reader: asyncio.StreamReader) -> None:
        """Begin to read slowly; ``fast_from`` is when that ends, by the monotonic clock."""
        self.fast_from = time.monotonic() + STOP_AFTER_SECONDS + SLOW_SECONDS
        self._record = record
        self._reader = reader
        self._data = bytearray()

    async def _receive(self) -> None:
        is_slow = time.monotonic() < self.fast_from
        piece = await self._reader.read(SLOW_BYTES if is_slow else 1 << 16)
        if not piece:
            raise ConnectionError("the connection ended")
        self._data += piece
        if is_slow:
            await asyncio.sleep(SLOW_PAUSE_SECONDS)

    async def receive_answers(self) -> int:
        """Read until all answers are there or the connection ends; return how many were whole."""
        for number in range(REQUESTS):
            try:
                while HEADERS_END not in self._data:
                    await self._receive()
                head, _, rest = bytes(self._data).partition(HEADERS_END)
                length = int(fields_of(head)["content-length"])
                self._data = bytearray(rest)
                while len(self._data) < length:
                    await self._receive()
            except ConnectionError as error:
                held = len(self._data)
                self._record.note(f"client got {held} bytes of answer {number}: {error}")
                return number
            del self._data[:length]
            if fields_of(head).get("connection", "").lower() == "close":
                # What was sent behind it counts as not read.
                self._record.note(f"answer {number} closes the connection")
                return REQUESTS
            if b" 200 " not in head.split(b"\r\n")[0]:
                self._record.note(f"client got {head!r}")
        return REQUESTS


async def connect(node: Node) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with a receive buffer that doesn't grow."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (node.host, node.ports["front"]))
    return await asyncio.open_connection(sock=sock, limit=SLOW_BYTES)


async def case(record: Record) -> bool:
    """Return whether every request that was passed on to an upstream was answered."""
    place = Place(record, ZONES)
    try:
        stock = route("stock", "safe", **{"timeout-s": 6})
        await place.start(list(ZONES), manifest_of({"stock": stock}))
        for index, zone in enumerate([*ZONES, *ZONES]):
            upstream = Upstream(f"i-{index}", record, answer)
            await upstream.start("127.0.0.1")
            place.register(upstream, "stock", zone)
        await asyncio.sleep(BOUNDS["stable-window-s"] + 1)
        node = place.nodes[0]
        reader, writer = await connect(node)
        started = time.monotonic()
        requests = [
            request_of("GET", f"/stock/{i}", secrets.token_hex(8), DEADLINE_MS, cookie=str(i))
            for i in range(REQUESTS)
        ]
        writer.write(b"".join(requests))
        record.note(f"client sends {REQUESTS} requests and reads slowly")
        answers = asyncio.create_task(SlowReader(record, reader).receive_answers())
        await asyncio.sleep(STOP_AFTER_SECONDS)
        ended = asyncio.create_task(node.process.wait()) if node.process else None
        if has_trouble():
            node.send_signal(signal.SIGTERM)
            record.note(f"SIGTERM to {node.name}")
        await asyncio.sleep(SLOW_SECONDS)
        record.note(f"{node.name} has ended: {ended is not None and ended.done()}")
        whole = await answers
        run = sum(len(upstream.runs) for upstream in place.upstreams)
        seconds = time.monotonic() - started
        record.note(f"{run} requests ran, {whole} were answered, after {seconds:.2f} s")
        writer.close()
        return run <= whole
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(HERE, case, 60)
