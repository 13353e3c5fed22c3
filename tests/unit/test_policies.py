"""Replays of load patterns for the adaptive policy."""

from __future__ import annotations

import random

from cassiashore._internal.admission.rights import AdmissionRights, Right
from cassiashore._internal.admission.slots import ServiceSlots, TargetState
from cassiashore._internal.routing.policies import AdaptivePolicy
from tests.lib import builders
from tests.lib.steering_builders import Clock

IDLE_LATENCY_SECONDS = 0.006  # of a target without load
BURST_LATENCY_SECONDS = 0.05  # of a target in a burst
RECOVERY_LIMIT_SECONDS = 10.0  # the limit of the drain test with real processes


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


def test_a_target_that_was_slow_in_a_burst_gets_requests_again() -> None:
    """Guards against a target that gets no more requests because of its old high latency.

    One of two targets responds slowly during a burst and is drained right after it, so no later
    response lowers its latency. From then on one request at a time is sent. The fast target always
    has a free slot and would get all of them if the measured latency did not decay.
    """
    clock = Clock()
    states = two_targets(clock)
    for _ in range(20):
        for name, seconds in (("fast", IDLE_LATENCY_SECONDS), ("loaded", BURST_LATENCY_SECONDS)):
            states[name].health.record_success(seconds, clock.now)
    policy = AdaptivePolicy(random.Random(1), clock)
    deadline = clock.now + RECOVERY_LIMIT_SECONDS
    while clock.now < deadline:
        chosen = policy.choose_target(list(states.values()))
        if chosen is states["loaded"]:
            return
        clock.now += IDLE_LATENCY_SECONDS
        chosen.health.record_success(IDLE_LATENCY_SECONDS, clock.now)
    raise AssertionError("the target that was slow in the burst got no request")


def test_a_target_that_stays_slow_gets_few_requests() -> None:
    clock = Clock()
    states = two_targets(clock)
    policy = AdaptivePolicy(random.Random(1), clock)
    slow_choices = 0
    for _ in range(1000):
        chosen = policy.choose_target(list(states.values()))
        seconds = 0.2 if chosen is states["loaded"] else IDLE_LATENCY_SECONDS
        slow_choices += chosen is states["loaded"]
        clock.now += seconds
        chosen.health.record_success(seconds, clock.now)
    assert slow_choices < 20
