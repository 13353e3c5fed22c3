"""Answers that are lost for some seconds, beside requests that crash targets (real processes).

The two promises pull in opposite directions: orders whose answers are lost must not be refused, and
requests that crash targets must be.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lab.soak.environment import STABLE_WINDOW_SECONDS
from tests.lib.deadly_requests import DeadlyDeployment, deadly_deployment

DEADLY_REQUESTS = 4
CRASHES = 3  # after which a request is known to crash targets
MAX_LATE_ARRIVALS = 3  # runs that a known request may still have
REQUEST_INTERVAL_SECONDS = 1.0
ITEMS = 8
ORDERS_PER_SECOND = 200.0
CALM_SECONDS = 6.0
LOSS_SECONDS = 4.0
LATER_SECONDS = 10.0
LOSSY_TARGETS, LOST_ANSWERS = 0.6, 0.4
ALWAYS_DENIED, DENIED_SHARE = 5, 1 / 500  # orders that may be refused

Trouble = Callable[[DeadlyDeployment], Awaitable[None]]


async def answers_are_lost(deployment: DeadlyDeployment) -> None:
    deployment.lose_answers(LOSSY_TARGETS, LOST_ANSWERS)
    await asyncio.sleep(LOSS_SECONDS)
    deployment.lose_answers(1.0, 0.0)


async def all_answers_are_lost(deployment: DeadlyDeployment) -> None:
    deployment.lose_answers(1.0, 1.0)
    await asyncio.sleep(LOSS_SECONDS)
    deployment.lose_answers(1.0, 0.0)


async def answers_are_lost_while_instances_restart(deployment: DeadlyDeployment) -> None:
    deployment.lose_answers(LOSSY_TARGETS, LOST_ANSWERS)
    for instance in deployment.environment.instance_by_name.values():
        await deployment.kill_and_start([instance])
        await asyncio.sleep(LOSS_SECONDS)
    deployment.lose_answers(1.0, 0.0)


@pytest.mark.parametrize("with_deadly", [False, True], ids=["orders", "orders-and-deadly"])
@pytest.mark.parametrize(
    "trouble",
    [answers_are_lost, all_answers_are_lost, answers_are_lost_while_instances_restart],
)
def test_orders_are_not_refused_and_requests_that_crash_targets_are(
    tmp_path: Path, trouble: Trouble, with_deadly: bool
) -> None:
    """Items that lost three answers in a row were refused at all instances for a minute."""

    async def test() -> None:
        async with deadly_deployment(tmp_path, 7, ("stock", "orders")) as deployment:
            await asyncio.sleep(CALM_SECONDS)
            loads = [deployment.send_orders(ITEMS, ORDERS_PER_SECOND)]
            if with_deadly:
                loads.append(deployment.send_deadly(DEADLY_REQUESTS, REQUEST_INTERVAL_SECONDS))
            load = asyncio.gather(*loads)
            await trouble(deployment)
            await asyncio.sleep(LATER_SECONDS)
            load.cancel()
            await asyncio.gather(load, return_exceptions=True)
            statuses = deployment.order_statuses
            late_by_path = {
                path: deployment.arrivals_after(path, CRASHES, STABLE_WINDOW_SECONDS)
                for path in deployment.crashes_by_path
            }
            print(f"statuses {dict(statuses)}, late arrivals {late_by_path}")
            assert statuses[502] > 0
            allowed = ALWAYS_DENIED + statuses.total() * DENIED_SHARE
            denied = deployment.denied_orders()
            assert denied <= allowed, statuses
            assert len(late_by_path) == (DEADLY_REQUESTS if with_deadly else 0)
            assert max(late_by_path.values(), default=0) <= MAX_LATE_ARRIVALS, late_by_path

    asyncio.run(test())
