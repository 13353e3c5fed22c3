"""The queue of requests that wait for a slot."""

from __future__ import annotations

import asyncio
import time

from cassiashore._internal.admission.rights import AdmissionRights, Right
from cassiashore._internal.admission.slots import ServiceSlots
from tests.lib import builders


def make_slots(slots: int = 1) -> ServiceSlots:
    rights = AdmissionRights("0", lambda target: 0)
    rights.right_by_target["orders/t"] = Right(0.0)
    service_slots = ServiceSlots(
        rights, lambda: None, time.monotonic, lambda candidates: candidates[0]
    )
    targets = [builders.target_document("t", "erie-a", 7200, slots=slots)]
    catalogue = builders.catalogue(services=[builders.service_document(targets=targets)])
    service_slots.update(catalogue.service_by_name["orders"], catalogue, "erie-a")
    return service_slots


def test_a_slot_released_while_the_wait_times_out_is_not_lost() -> None:
    async def scenario() -> int:
        slots = make_slots()
        state = (await slots.take(0.1)).ok_value
        assert state is not None
        wait = 0.02
        asyncio.get_running_loop().call_later(wait, slots.release, state)
        waiting = asyncio.create_task(slots.take(wait))
        await asyncio.sleep(0)
        time.sleep(2 * wait)
        outcome = await waiting
        if outcome.is_ok():
            slots.release(outcome.ok_value)
        return state.in_flight

    assert asyncio.run(scenario()) == 0


def test_a_cancelled_waiter_releases_its_slot() -> None:
    async def scenario() -> int:
        slots = make_slots()
        state = (await slots.take(0.1)).ok_value
        assert state is not None
        waiting = asyncio.create_task(slots.take(1.0))
        await asyncio.sleep(0)
        slots.release(state)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        return state.in_flight

    assert asyncio.run(scenario()) == 0


def test_waiting_requests_are_served_in_order() -> None:
    async def scenario() -> list[int]:
        slots = make_slots()
        state = (await slots.take(0.1)).ok_value
        assert state is not None
        order: list[int] = []

        async def wait(number: int) -> None:
            taken = (await slots.take(1.0)).ok_value
            assert taken is not None
            order.append(number)
            slots.release(taken)

        tasks = [asyncio.create_task(wait(number)) for number in range(5)]
        await asyncio.sleep(0)
        slots.release(state)
        await asyncio.gather(*tasks)
        return order

    assert asyncio.run(scenario()) == list(range(5))
