"""Limits that hold for all instances together, also while instances are replaced."""

from __future__ import annotations

import random
from collections import deque

import pytest

from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.cold import ColdAdmission, senders_to
from cassiashore._internal.steering.retry_budget import WindowedRetryBudget
from tests.lib.instance_simulation import InstanceSimulation, SimulatedInstance
from tests.lib.steering_builders import Clock


def make_instances(count: int, first: int = 0) -> list[InstanceInfo]:
    return [
        InstanceInfo(f"i-{n}", f"zone-{n % 6}", f"region-{n % 3}")
        for n in range(first, first + count)
    ]


@pytest.mark.parametrize("count", [1, 2, 8, 10, 86, 300])
@pytest.mark.parametrize(("rate", "slack"), [(14.0, 5.0), (11.0, 5.0), (2.0, 8.0), (0.5, 1.0)])
def test_all_instances_together_stay_within_the_rate_of_a_cold_target(
    count: int, rate: float, slack: float
) -> None:
    """Every instance tries to send continuously while half of the instances are replaced."""
    clock = Clock()
    limit = rate * 1.5 + slack
    before, after = make_instances(count), make_instances(count, first=count // 2)
    views = {c.incarnation: before for c in {*before, *after}}
    admissions = {
        name: ColdAdmission(name, lambda name=name: views[name], clock, 1.5, slack)  # type: ignore[misc]
        for name in views
    }
    rng = random.Random(count)
    sent: deque[float] = deque()
    max_sent = 0
    names = list(admissions)
    for _ in range(200):
        clock.now += 0.01
        for name in rng.sample(names, len(names)):
            if rng.random() < 0.02:
                views[name] = after
            if admissions[name].try_admit("t-1", "zone-1", "region-1", rate):
                sent.append(clock.now)
        while sent and sent[0] <= clock.now - 1.0:
            sent.popleft()
        max_sent = max(max_sent, len(sent))
    assert max_sent <= limit
    assert max_sent > 0 or limit < 2


@pytest.mark.parametrize("count", [10, 195])
def test_instances_that_start_with_empty_lists_keep_the_rate_of_a_cold_target(count: int) -> None:
    """All leases lapsed while the instances had no power; each sends as much as it may."""
    rate, slack = 11.0, 5.0
    admission_by_address: dict[str, ColdAdmission] = {}

    def start(instance: SimulatedInstance) -> None:
        admission_by_address[instance.info.address] = ColdAdmission(
            instance.info.incarnation, instance.recent.instances, instance.clock, 1.5, slack
        )

    def sends(instance: SimulatedInstance) -> bool:
        admission = admission_by_address[instance.info.address]
        return admission.try_admit("t-1", "zone-1", "region-1", rate)

    simulation = InstanceSimulation(count, 1, start)
    assert 0 < simulation.most_in_window(sends, seconds=8, window=1.0) <= rate * 1.5 + slack


@pytest.mark.parametrize("count", [10, 195])
def test_instances_that_start_with_empty_lists_keep_the_allowance_of_retries(count: int) -> None:
    """No request was sent yet, so the fixed allowance is all that they may use."""
    budget_by_address: dict[str, WindowedRetryBudget] = {}

    def start(instance: SimulatedInstance) -> None:
        budget_by_address[instance.info.address] = WindowedRetryBudget(
            0.2, 430, 10.0, instance.recent.count, instance.clock
        )

    def retries(instance: SimulatedInstance) -> bool:
        return budget_by_address[instance.info.address].try_retry()

    simulation = InstanceSimulation(count, 1, start)
    assert 0 < simulation.most_in_window(retries, seconds=8, window=10.0) <= 430


def test_senders_are_near_and_do_not_depend_on_the_order_of_instances() -> None:
    instances = make_instances(30)
    chosen = senders_to("t-1", "zone-1", "region-1", instances, 4)
    assert chosen == senders_to("t-1", "zone-1", "region-1", list(reversed(instances)), 4)
    assert {int(name[2:]) % 6 for name in chosen} == {1}


@pytest.mark.parametrize("instances", [1, 8, 86])
def test_retries_of_all_instances_stay_within_ratio_and_allowance(instances: int) -> None:
    """Every send fails and is retried if possible; halfway, the load falls to a third."""
    clock = Clock()
    budgets = [
        WindowedRetryBudget(0.2, 60, 10.0, lambda: instances, clock) for _ in range(instances)
    ]
    rng = random.Random(instances)
    first_sends: deque[float] = deque()
    retries: deque[float] = deque()
    for step in range(4000):
        clock.now += 0.01
        for budget in rng.choices(budgets, k=6 if step < 2000 else 2):
            budget.record_first_send()
            first_sends.append(clock.now)
            if budget.try_retry():
                retries.append(clock.now)
        while retries and retries[0] <= clock.now - 10:
            retries.popleft()
        while first_sends[0] <= clock.now - 20:
            first_sends.popleft()
        if step % 20:
            continue
        recent = sum(1 for at in first_sends if at > clock.now - 10)
        previous = sum(1 for at in first_sends if clock.now - 15 < at <= clock.now - 5)
        assert len(retries) <= 0.2 * max(recent, previous) + 60
    assert retries
