"""Selection of active instances in deployments of different sizes."""

from __future__ import annotations

import math
import random

import pytest

from cassiashore._internal.steering.active_instances import (
    MAX_UTILISATION,
    MIN_ACTIVE_INSTANCES,
    InstanceInfo,
    load_to_publish,
    select_active,
    select_active_per_domain,
)
from cassiashore._internal.steering.directory import instances_for_caller

NO_HOME_REGIONS: frozenset[str] = frozenset()


def make_instance(
    number: int, domain: str = "erie-a", capacity: float = 300.0, load: float = 0.0
) -> InstanceInfo:
    address = f"10.1.0.{number}:8641"
    return InstanceInfo(f"run-{number}", domain, domain.split("-")[0], address, capacity, load)


def test_few_instances_of_a_domain_are_active_and_the_largest_come_first() -> None:
    """Each of sixty active instances gets too few requests to reuse connections or know loads."""
    many = [make_instance(n, capacity=300.0) for n in range(60)]
    large = [make_instance(200 + n, capacity=1500.0) for n in range(2)]
    active = select_active([*many, *large])
    assert len(active) == MIN_ACTIVE_INSTANCES
    assert set(large) < set(active)


def test_selection_does_not_depend_on_the_order_of_instances() -> None:
    instances = [make_instance(n) for n in range(30)]
    shuffled = random.Random(3).sample(instances, len(instances))
    assert select_active(instances) == select_active(shuffled)


def test_when_an_active_instance_stops_the_others_stay_active() -> None:
    instances = [make_instance(n) for n in range(30)]
    before = select_active(instances)
    after = select_active([e for e in instances if e != before[0]])
    assert set(before[1:]) < set(after)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_all_instances_of_a_small_domain_are_active(count: int) -> None:
    instances = [make_instance(n) for n in range(count)] + [
        make_instance(n, "huron-a") for n in range(9)
    ]
    active = select_active_per_domain(instances)
    assert sum(c.failure_domain == "erie-a" for c in active) == count
    assert sum(c.failure_domain == "huron-a" for c in active) == MIN_ACTIVE_INSTANCES


@pytest.mark.parametrize("load", [100.0, 700.0, 3_000.0, 50_000.0])
def test_no_active_instance_is_overloaded_unless_all_are_active(load: float) -> None:
    """A deployment with ten times the callers must not send them all to three instances."""
    instances = [make_instance(n, load=load / 50) for n in range(50)]
    active = select_active(instances)
    each = load / len(active)
    assert each <= MAX_UTILISATION * 300.0 or len(active) == len(instances)
    assert len(active) == MIN_ACTIVE_INSTANCES or load / (len(active) - 1) > MAX_UTILISATION * 300.0


def test_instances_become_active_until_none_is_overloaded() -> None:
    """An overloaded instance reports no more than its capacity; the next round adds others."""
    demand, capacity = 2_000.0, 300.0
    published = {number: 0.0 for number in range(30)}
    for _ in range(6):
        active = select_active([make_instance(n, load=published[n]) for n in published])
        share = min(demand / len(active), capacity * 1.1)
        used = {instance.address for instance in active}
        for number in published:
            measured = share if make_instance(number).address in used else 0.0
            published[number] = load_to_publish(measured, published[number])
    assert demand / len(active) <= capacity * MAX_UTILISATION
    assert len(active) < len(published)


def test_a_periodic_load_causes_few_writes() -> None:
    published, writes = 0.0, 0
    for second in range(0, 72, 2):
        measured = 130.0 * (1 + 0.55 * math.sin(second / 36 * 2 * math.pi))
        load = load_to_publish(measured, published)
        writes += load != published
        published = load
        assert published >= measured
    assert writes <= 12


def test_a_caller_gets_the_active_instances_of_its_domain() -> None:
    instances = [make_instance(n) for n in range(20)] + [
        make_instance(n, "erie-b") for n in range(20, 40)
    ]
    active = select_active_per_domain(instances)
    published = instances_for_caller(
        "erie", "erie-a", NO_HOME_REGIONS, active, lambda r: 0.0, random.Random(1)
    )
    assert set(published) == set(select_active(instances[:20]))
