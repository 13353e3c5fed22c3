"""The number of connections that a target accepts from all instances together."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.steering.routes import (
    IngressLimits,
    RequestKind,
    RouteTable,
    ServiceRule,
)
from cassiashore._internal.steering.senders import connection_limit
from tests.lib.ingress import Ingress, request, start_ingresses
from tests.lib.steering_builders import Clock, FakeTarget, build_response, report, route


def run(test: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(test())  # type: ignore[arg-type]


@pytest.mark.parametrize("instances", [1, 8, 10, 63, 86, 195, 400, 3600])
@pytest.mark.parametrize("most", [330, 1740, 3600])
def test_the_parts_of_all_instances_are_within_the_cap(instances: int, most: int) -> None:
    part = connection_limit(most, instances)
    assert part >= 1
    assert part * instances <= max(most, instances)


def test_instances_together_open_no_more_connections_than_a_target_accepts() -> None:
    """Each of four instances gets ten requests at once; the target accepts twelve connections."""
    most = 12
    may_end = asyncio.Event()

    async def waits(_: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        await may_end.wait()
        writer.write(build_response(head))

    async def ask(ingress: Ingress, number: int) -> int:
        status, _, _ = await ingress.ask(request(request_id=f"id-{number}", key=f"{number}"))
        return status

    async def test() -> None:
        rule = ServiceRule("stock", "/health", most, 3.0, 10.0)
        routes = [route(kind=RequestKind.NON_IDEMPOTENT, timeout=4.0, objective=4.0)]
        table = RouteTable.build(1, routes, [rule], IngressLimits())
        ingresses = await start_ingresses(4, table)
        target = await FakeTarget(waits).start()
        for ingress in ingresses:
            ingress.registry.apply(report(address=target.address, slots=40))
        asking = [asyncio.create_task(ask(i, n)) for i in ingresses for n in range(10)]
        async with asyncio.timeout(5):
            while target.connections < most:
                await asyncio.sleep(0.01)
        may_end.set()
        statuses = await asyncio.gather(*asking)
        assert target.connections <= most
        assert statuses.count(200) >= most
        assert set(statuses) <= {200, 503}
        now = time.monotonic()
        assert not any(
            known.health.is_unavailable(now)
            for ingress in ingresses
            for known in ingress.registry.target_by_id.values()
        )

    run(test)


def test_a_connection_that_was_idle_for_too_long_makes_room_for_a_new_one() -> None:
    """A non-idempotent request may not use the idle connections, which are all that is allowed."""

    async def test() -> None:
        async def responds(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            writer.write(build_response(head))

        clock = Clock()
        target = await FakeTarget(responds).start()
        pool = ConnectionPool(Address.parse(target.address), 2, monotonic=clock)
        connections = [(await pool.acquire()).unwrap() for _ in range(2)]
        for connection in connections:
            connection.start_exchange(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await connection.read_all(100)
            pool.release(connection)
        clock.now += 3.0
        assert (await pool.acquire(max_idle=1.0)).is_ok()
        assert pool.open == 2

    run(test)
