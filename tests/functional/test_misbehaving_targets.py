"""Targets that send bytes without end do not end an instance or exceed its machine.

The shapes and the bounds are fixed. No test depends on how fast anything is.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from tests.lib.front_process import MEMORY_MB, OTHER_PREFIX, FrontProcess, running_front
from tests.lib.ingress import RawClient, request
from tests.lib.misbehaving_targets import SHAPE_BY_NAME, running_targets

TARGETS = 6
CALLERS = 200
WAIT_SECONDS = 20.0  # longer than all timeouts of the configuration together


async def _ask(front: FrontProcess, number: int) -> None:
    """Send a request, and read slowly whatever comes until the connection ends."""
    reader, writer = await asyncio.open_connection(*front.address("front"), limit=4096)
    client = RawClient(reader, writer)
    client.send(request(f"{OTHER_PREFIX}{number}", request_id=f"id-{number}", key=str(number)))
    with suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(WAIT_SECONDS):
            while await reader.read(4096):
                await asyncio.sleep(0.05)
    client.close()


@pytest.mark.parametrize("shape_name", SHAPE_BY_NAME)
def test_an_instance_outlives_endless_responses(shape_name: str, tmp_path: Path) -> None:
    """Guards against memory that grows with what targets send until the instance closes."""

    async def run() -> None:
        async with (
            running_targets(SHAPE_BY_NAME[shape_name], TARGETS) as (targets, addresses),
            running_front(tmp_path, addresses) as front,
        ):
            callers = [asyncio.create_task(_ask(front, number)) for number in range(CALLERS)]
            while not sum(target.requests for target in targets) and front.is_alive:
                await asyncio.sleep(0.01)
            assert await front.is_answering()
            await asyncio.wait(callers, timeout=5.0)
            for caller in callers:
                caller.cancel()
            assert front.is_alive
            resident_mb = front.most_resident_bytes() / (1 << 20)
            print(f"resident {resident_mb:.0f} MB, {sum(t.requests for t in targets)} requests")
            assert await front.is_answering()
            assert resident_mb < MEMORY_MB

    asyncio.run(run())
