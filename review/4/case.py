"""DENIED: requests that a client pipelines are refused as if one of their heads were too large."""

from __future__ import annotations

import asyncio
import time

import place as places
from place import CannotRunError, Place

# The client writes through a buffer of this size, so heads are cut at its multiples.
BUFFER_BYTES = 32_768
PIPELINED = 31  # requests of a burst, about 40 KB
COOKIE_BYTES = 1_100  # of the caller's own cookies, in each head
BURSTS = 60
LIMIT_MS = 2_500
PAUSE_BETWEEN_WRITES = 0.02  # a round trip within a region, and less than the client's link takes
DENIED_FLOOR = 5
DENIED_SHARE = 1 / 500
HEAD_LIMIT = 16_384


async def read_answers(reader: asyncio.StreamReader, ids: list[str], place: Place) -> list[int]:
    """Read the answers in order, until the connection ends; return their statuses."""
    statuses: list[int] = []
    for request_id in ids:
        try:
            async with asyncio.timeout(LIMIT_MS / 1000):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                length = int(head.split("content-length: ")[1].split("\r\n")[0])
                await reader.readexactly(length)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            place.note(f"no answer to {request_id}: {type(error).__name__}")
            break
        statuses.append(int(head.split(" ")[1]))
        if statuses[-1] >= 400:
            place.note(f"{request_id} got {statuses[-1]}")
        if "connection: close" in head:
            break
    return statuses


async def send_burst(place: Place, address: tuple[str, int], number: int) -> list[int]:
    """Send safe requests on one connection, with or without waiting for each answer."""
    ids = [places.new_id() for _ in range(PIPELINED)]
    own_cookies = f"; session={'s' * COOKIE_BYTES}"
    heads = [
        places.request_bytes(f"/read/{n}", i, f"{n}{own_cookies}", LIMIT_MS)
        for n, i in enumerate(ids)
    ]
    if max(map(len, heads)) > HEAD_LIMIT:
        raise CannotRunError("a head is larger than the limit")
    reader, writer = await asyncio.open_connection(*address)
    try:
        if not places.has_trouble():
            statuses = []
            for head, request_id in zip(heads, ids, strict=True):
                writer.write(head)
                statuses += await read_answers(reader, [request_id], place)
            return statuses
        reading = asyncio.create_task(read_answers(reader, ids, place))
        data = b"".join(heads)
        for start in range(0, len(data), BUFFER_BYTES):
            writer.write(data[start : start + BUFFER_BYTES])
            await asyncio.sleep(PAUSE_BETWEEN_WRITES)
        statuses = await reading
        place.note(f"burst {number}: {len(statuses)} of {len(ids)} requests were answered")
        return statuses
    finally:
        writer.close()


async def case(place: Place) -> bool:
    """Return whether no more proper requests were denied than the rule allows."""
    await place.start_store()
    place.plan_instances(1)
    for _ in range(4):
        await place.start_upstream("erie-a", slots=16, queue=64, work_ms=2)
    instance = await place.start_instance("erie-a")
    await asyncio.sleep(4.0)  # the instance takes its full part of all limits 2.5 s after it joined
    place.started_at = time.monotonic()
    statuses: list[int] = []
    for number in range(BURSTS):
        statuses += await send_burst(place, instance.front, number)
    if len(statuses) < BURSTS:
        raise CannotRunError("too few requests were answered")
    denied = sum(300 <= s < 500 and s not in (408, 421, 429) for s in statuses)
    allowed = DENIED_FLOOR + DENIED_SHARE * BURSTS * PIPELINED
    place.note(
        f"{denied} of {BURSTS * PIPELINED} proper requests got a 4xx of the system's own;"
        f" {allowed:.1f} are allowed; statuses: {sorted(set(statuses))}"
    )
    return denied <= allowed


if __name__ == "__main__":
    places.main(case)
