"""Which instances carry callers, on deployments of many shapes."""

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

NO_HOMES: frozenset[str] = frozenset()


def entrance(
    number: int, domain: str = "erie-a", capacity: float = 300.0, load: float = 0.0
) -> InstanceInfo:
    address = f"10.1.0.{number}:8641"
    return InstanceInfo(f"run-{number}", domain, domain.split("-")[0], address, capacity, load)


def test_few_instances_carry_the_callers_of_a_domain_and_the_largest_come_first() -> None:
    """Sixty small instances see too little each to reuse connections or to know the load."""
    many = [entrance(n, capacity=300.0) for n in range(60)]
    large = [entrance(200 + n, capacity=1500.0) for n in range(2)]
    carriers = select_active([*many, *large])
    assert len(carriers) == MIN_ACTIVE_INSTANCES
    assert set(large) < set(carriers)


def test_every_instance_names_the_same_carriers_whatever_the_order() -> None:
    entries = [entrance(n) for n in range(30)]
    shuffled = random.Random(3).sample(entries, len(entries))
    assert select_active(entries) == select_active(shuffled)


def test_when_a_carrier_ends_only_its_callers_move() -> None:
    entries = [entrance(n) for n in range(30)]
    before = select_active(entries)
    after = select_active([e for e in entries if e != before[0]])
    assert set(before[1:]) < set(after)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_domain_with_few_instances_uses_them_all(count: int) -> None:
    entries = [entrance(n) for n in range(count)] + [entrance(n, "huron-a") for n in range(9)]
    carriers = select_active_per_domain(entries)
    assert sum(c.failure_domain == "erie-a" for c in carriers) == count
    assert sum(c.failure_domain == "huron-a" for c in carriers) == MIN_ACTIVE_INSTANCES


@pytest.mark.parametrize("load", [100.0, 700.0, 3_000.0, 50_000.0])
def test_no_carrier_has_more_than_it_can_carry_unless_all_carry(load: float) -> None:
    """A deployment with ten times the callers must not press them through three instances."""
    entries = [entrance(n, load=load / 50) for n in range(50)]
    carriers = select_active(entries)
    each = load / len(carriers)
    assert each <= MAX_UTILISATION * 300.0 or len(carriers) == len(entries)
    assert (
        len(carriers) == MIN_ACTIVE_INSTANCES
        or load / (len(carriers) - 1) > MAX_UTILISATION * 300.0
    )


def test_carriers_follow_the_load_until_none_is_pressed() -> None:
    """An instance that is pressed shows no more than it can do; the next round adds others."""
    demand, capacity = 2_000.0, 300.0
    told = {number: 0.0 for number in range(30)}
    for _ in range(6):
        carriers = select_active([entrance(n, load=told[n]) for n in told])
        share = min(demand / len(carriers), capacity * 1.1)
        used = {carrier.address for carrier in carriers}
        for number in told:
            measured = share if entrance(number).address in used else 0.0
            told[number] = load_to_publish(measured, told[number])
    assert demand / len(carriers) <= capacity * MAX_UTILISATION
    assert len(carriers) < len(told)


def test_a_wave_of_callers_costs_few_writes() -> None:
    told, writes = 0.0, 0
    for second in range(0, 72, 2):
        measured = 130.0 * (1 + 0.55 * math.sin(second / 36 * 2 * math.pi))
        load = load_to_publish(measured, told)
        writes += load != told
        told = load
        assert told >= measured
    assert writes <= 12


def test_a_caller_is_told_the_carriers_of_its_domain() -> None:
    entries = [entrance(n) for n in range(20)] + [entrance(n, "erie-b") for n in range(20, 40)]
    carriers = select_active_per_domain(entries)
    told = instances_for_caller(
        "erie", "erie-a", NO_HOMES, carriers, lambda r: 0.0, random.Random(1)
    )
    assert set(told) == set(select_active(entries[:20]))
