"""A client that reads slowly has its answers cut off when its machine is stopped."""

from __future__ import annotations

import asyncio
import secrets
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand"))

from stand import (  # noqa: E402
    BOUNDS,
    Place,
    Record,
    SlowReader,
    Upstream,
    connect_slowly,
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
        reader, writer = await connect_slowly(node, RECEIVE_BUFFER_BYTES, SLOW_BYTES)
        started = time.monotonic()
        requests = [
            request_of("GET", f"/stock/{i}", secrets.token_hex(8), DEADLINE_MS, cookie=str(i))
            for i in range(REQUESTS)
        ]
        writer.write(b"".join(requests))
        record.note(f"client sends {REQUESTS} requests and reads slowly")
        fast_from = started + STOP_AFTER_SECONDS + SLOW_SECONDS
        slow = SlowReader(reader, fast_from, SLOW_BYTES, SLOW_PAUSE_SECONDS)
        answers = asyncio.create_task(slow.receive_answers(REQUESTS))
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
        closing = [h for h in slow.heads if fields_of(h).get("connection", "").lower() == "close"]
        record.note(f"{len(closing)} answers close the connection; {slow.held} bytes of the next")
        record.note(f"{run} requests ran, {whole} were answered, after {seconds:.2f} s")
        writer.close()
        # What was sent behind an answer that closes the connection counts as not read.
        return run <= whole or bool(closing)
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(HERE, case, 60)
