"""The adaptive policy, replayed on the load patterns that it answers."""

from __future__ import annotations

import random

from cassiashore._internal.admission.rights import AdmissionRights, Right
from cassiashore._internal.admission.slots import ServiceSlots, TargetState
from cassiashore._internal.routing.policies import AdaptivePolicy
from tests.lib import builders
from tests.lib.steering_builders import Clock

SERIAL_SECONDS = 0.006  # of an answer without load
LOADED_SECONDS = 0.05  # of one in a burst
BACK_WITHIN_SECONDS = 10.0  # the bound of the drain test with real processes


def two_targets(clock: Clock) -> dict[str, TargetState]:
    rights = AdmissionRights("0", lambda target: 0)
    for name in ("fast", "loaded"):
        rights.right_by_target[f"orders/{name}"] = Right(0.0)
    slots = ServiceSlots(rights, lambda: None, clock, lambda candidates: candidates[0])
    documents = [
        builders.target_document("fast", "erie-a", 7200, slots=4),
        builders.target_document("loaded", "erie-a", 7201, slots=4),
    ]
    catalogue = builders.catalogue(services=[builders.service_document(targets=documents)])
    slots.update(catalogue.service_by_name["orders"], catalogue, "erie-a")
    return {state.target.name: state for state in slots.state_by_target.values()}


def test_a_target_that_was_slow_in_a_burst_gets_work_again() -> None:
    """It was drained right after the burst, and one caller at a time asks since."""
    clock = Clock()
    states = two_targets(clock)
    for _ in range(20):
        for name, seconds in (("fast", SERIAL_SECONDS), ("loaded", LOADED_SECONDS)):
            states[name].health.record_success(seconds, clock.now)
    policy = AdaptivePolicy(random.Random(1), clock)
    until = clock.now + BACK_WITHIN_SECONDS
    while clock.now < until:
        chosen = policy.choose_target(list(states.values()))
        if chosen is states["loaded"]:
            return
        clock.now += SERIAL_SECONDS
        chosen.health.record_success(SERIAL_SECONDS, clock.now)
    raise AssertionError("the target got nothing")


def test_a_target_that_stays_slow_gets_little() -> None:
    clock = Clock()
    states = two_targets(clock)
    policy = AdaptivePolicy(random.Random(1), clock)
    slow = 0
    for _ in range(1000):
        chosen = policy.choose_target(list(states.values()))
        seconds = 0.2 if chosen is states["loaded"] else SERIAL_SECONDS
        slow += chosen is states["loaded"]
        clock.now += seconds
        chosen.health.record_success(seconds, clock.now)
    assert slow < 20
