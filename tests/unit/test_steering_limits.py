"""Limits that hold in the sum over instances which come and go, replayed on their load patterns."""

from __future__ import annotations

import random
from collections import deque

import pytest

from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.cold import ColdAdmission, senders_to
from cassiashore._internal.steering.retry_budget import WindowedRetryBudget
from tests.lib.steering_builders import Clock


def candidates(count: int, first: int = 0) -> list[InstanceInfo]:
    return [
        InstanceInfo(f"i-{n}", f"zone-{n % 6}", f"region-{n % 3}")
        for n in range(first, first + count)
    ]


@pytest.mark.parametrize("count", [1, 2, 8, 10, 86, 300])
@pytest.mark.parametrize(("rate", "slack"), [(14.0, 5.0), (11.0, 5.0), (2.0, 8.0), (0.5, 1.0)])
def test_all_instances_together_keep_the_rate_of_a_cold_target(
    count: int, rate: float, slack: float
) -> None:
    """Every instance wants to send without pause while half of the instances are replaced."""
    clock = Clock()
    limit = rate * 1.5 + slack
    before, after = candidates(count), candidates(count, first=count // 2)
    views = {c.incarnation: before for c in {*before, *after}}
    admissions = {
        name: ColdAdmission(name, lambda name=name: views[name], clock, 1.5, slack)  # type: ignore[misc]
        for name in views
    }
    rng = random.Random(count)
    sent: deque[float] = deque()
    most = 0
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
        most = max(most, len(sent))
    assert most <= limit
    assert most > 0 or limit < 2


def test_senders_are_the_same_on_every_instance_and_near() -> None:
    everyone = candidates(30)
    chosen = senders_to("t-1", "zone-1", "region-1", everyone, 4)
    assert chosen == senders_to("t-1", "zone-1", "region-1", list(reversed(everyone)), 4)
    assert {int(name[2:]) % 6 for name in chosen} == {1}


@pytest.mark.parametrize("instances", [1, 8, 86])
def test_repeats_of_all_instances_stay_within_ratio_and_allowance(instances: int) -> None:
    """Every send fails, so every request wants to be repeated; load falls to a third halfway."""
    clock = Clock()
    budgets = [
        WindowedRetryBudget(0.2, 60, 10.0, lambda: instances, clock) for _ in range(instances)
    ]
    rng = random.Random(instances)
    firsts: deque[float] = deque()
    repeats: deque[float] = deque()
    for step in range(4000):
        clock.now += 0.01
        for budget in rng.choices(budgets, k=6 if step < 2000 else 2):
            budget.record_first_send()
            firsts.append(clock.now)
            if budget.try_retry():
                repeats.append(clock.now)
        while repeats and repeats[0] <= clock.now - 10:
            repeats.popleft()
        while firsts[0] <= clock.now - 20:
            firsts.popleft()
        if step % 20:
            continue
        recent = sum(1 for at in firsts if at > clock.now - 10)
        previous = sum(1 for at in firsts if clock.now - 15 < at <= clock.now - 5)
        assert len(repeats) <= 0.2 * max(recent, previous) + 60
    assert repeats
