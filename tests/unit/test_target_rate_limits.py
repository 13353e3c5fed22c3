"""Rate limits that targets name hold for all instances together."""

from __future__ import annotations

import asyncio
import time

import pytest
import uvloop

from cassiashore.platform.wire import EDGE_HEADERS
from tests.lib.ingress import Ingress, request, start_ingresses, start_targets
from tests.lib.steering_builders import build_response, report, route, table

RATE = 5.0
# What a target may get: one and a half times its limit, and a few requests.
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5
REQUESTS_PER_INSTANCE = 60


@pytest.mark.parametrize("count", [1, 10])
def test_all_instances_together_keep_the_rate_that_a_target_names(count: int) -> None:
    """Each instance sends one request after the other for objects of both targets."""
    limited_at: list[float] = []

    async def limited(_: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        extra = b"%b: %.1f\r\n" % (EDGE_HEADERS.rate_limit[0], RATE)
        limited_at.append(time.monotonic())
        writer.write(build_response(head, extra=extra))

    async def unlimited(_: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        writer.write(build_response(head))

    async def send(ingress: Ingress, count: int) -> None:
        client = await ingress.open()
        for number in range(count):
            client.send(request(request_id=f"id-{number}", key=f"{number}"))
            assert (await client.receive())[0] == 200
        client.close()

    async def test() -> None:
        ingresses = await start_ingresses(count, table(route()))
        targets = await start_targets(ingresses[0], limited, unlimited)
        for ingress in ingresses[1:]:
            for number, target in enumerate(targets):
                ingress.registry.apply(report(f"t-{number}", address=target.address))
        await asyncio.gather(*(send(ingress, 20) for ingress in ingresses))
        informed_at = time.monotonic()
        limited_at.clear()
        await asyncio.gather(*(send(ingress, REQUESTS_PER_INSTANCE) for ingress in ingresses))
        seconds = time.monotonic() - informed_at
        assert len(limited_at) <= ALLOWED_FACTOR * RATE * seconds + ALLOWED_EXTRA

    uvloop.run(test())
