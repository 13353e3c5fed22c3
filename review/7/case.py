"""Orders of popular items, while some upstreams lose answers for four seconds."""

from __future__ import annotations

import asyncio
import random
import secrets
import socket
import struct
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from stand import (  # noqa: E402
    BOUNDS,
    HEADERS_END,
    CannotRunError,
    Node,
    Place,
    Record,
    Upstream,
    fields_of,
    has_trouble,
    manifest_of,
    read_body,
    request_of,
    response_of,
    route,
    run_case,
)

ZONES = {"erie-a": "erie", "huron-a": "huron", "superior-a": "superior"}
UPSTREAMS = 10
LOSSY_UPSTREAMS = 6  # share 0.6
LOST_SHARE = 0.4
LOSS_SECONDS = 4.0
CALM_SECONDS = 4.0  # before
LATER_SECONDS = 15.0
WORK_SECONDS = 0.04
ITEMS = 16
CLIENTS = 54
ORDERS_PER_SECOND = 450
DEADLINE_MS = 2500
PROMISES = frozenset({408, 421, 429})
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Shop:
    """What upstreams do, and what clients got."""

    def __init__(self, record: Record) -> None:
        """Begin without trouble."""
        self.record = record
        self.loses_answers = False
        self.lost = 0
        self.statuses: Counter[int] = Counter()
        self.refused_items: Counter[int] = Counter()
        self.last_refusal = 0.0
        self._random = random.Random()

    async def answer(
        self, upstream: Upstream, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Run an order; reset the connection in place of some answers."""
        await asyncio.sleep(WORK_SECONDS)
        is_lossy = int(upstream.upstream_id.removeprefix("i-")) < LOSSY_UPSTREAMS
        if self.loses_answers and is_lossy and self._random.random() < LOST_SHARE:
            self.lost += 1
            self.record.note(
                f"the answer of {upstream.upstream_id} to "
                f"{fields['x-cassiashore-request-id']} is lost"
            )
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()
            return
        writer.write(response_of(fields, upstream.upstream_id, b"ordered"))

    async def order(self, node: Node, ends: float) -> None:
        """Order one item after the other over a kept connection."""
        while time.monotonic() < ends:
            reader, writer = await asyncio.open_connection(node.host, node.ports["front"])
            try:
                while time.monotonic() < ends and await self._order_one(reader, writer):
                    mean = CLIENTS / ORDERS_PER_SECOND
                    await asyncio.sleep(mean * (0.5 + self._random.random()))
            except (asyncio.IncompleteReadError, ConnectionError):
                self.record.note("a connection ended without an answer")
            finally:
                writer.close()

    async def _order_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        item = self._random.randrange(ITEMS)
        request_id = secrets.token_hex(8)
        body = b'{"count": 1}'
        path = f"/orders/{item}"
        writer.write(request_of("POST", path, request_id, DEADLINE_MS, body, cookie=str(item)))
        head = await reader.readuntil(HEADERS_END)
        fields = fields_of(head)
        content = await read_body(reader, fields)
        status = int(head.split()[1])
        self.statuses[status] += 1
        if status != 200:
            self.record.note(f"client got for {request_id} {path}: {status} {content!r}")
        if 400 <= status < 500 and status not in PROMISES:
            self.refused_items[item] += 1
            self.last_refusal = time.monotonic()
        return fields.get("connection", "").lower() != "close"


async def case(record: Record) -> bool:
    """Return whether no more orders than allowed were ended with a 4xx of the system."""
    place = Place(record, ZONES)
    try:
        await place.start(list(ZONES), manifest_of({"orders": route("orders", "unsafe")}))
        shop = Shop(record)
        zones = list(ZONES)
        for index in range(UPSTREAMS):
            upstream = Upstream(f"i-{index}", record, shop.answer)
            await upstream.start("127.0.0.1")
            place.register(upstream, "orders", zones[index % len(zones)])
        await asyncio.sleep(BOUNDS["stable-window-s"] + 1)
        ends = time.monotonic() + CALM_SECONDS + LOSS_SECONDS + LATER_SECONDS
        clients = [
            asyncio.create_task(shop.order(place.nodes[i % len(place.nodes)], ends))
            for i in range(CLIENTS)
        ]
        await asyncio.sleep(CALM_SECONDS)
        shop.loses_answers = has_trouble()
        record.note(f"answers get lost: {shop.loses_answers}")
        await asyncio.sleep(LOSS_SECONDS)
        shop.loses_answers = False
        healed = time.monotonic()
        record.note("no answer gets lost any more")
        await asyncio.gather(*clients)
        total = shop.statuses.total()
        denied = shop.refused_items.total()
        allowed = 5 + total / 500
        record.note(f"{shop.lost} answers lost; {total} orders ended: {dict(shop.statuses)}")
        record.note(f"refused for good, by item: {dict(shop.refused_items)}")
        record.note(f"{denied} ended with a 4xx of the system, {allowed:.1f} allowed")
        if denied:
            record.note(f"the last {shop.last_refusal - healed:.1f} s after the end of the trouble")
        if has_trouble() and not shop.lost:
            raise CannotRunError("no answer was lost")
        return denied <= allowed
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(HERE, case, 100)
