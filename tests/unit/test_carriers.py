"""Which instances carry callers, on deployments of many shapes."""

from __future__ import annotations

import random

import pytest

from cassiashore._internal.steering.carriers import LEAST_CARRIERS, all_carriers, carriers_of
from cassiashore._internal.steering.directory import Entrance, entrances_for

NO_HOMES: frozenset[str] = frozenset()


def entrance(number: int, domain: str = "erie-a", capacity: float = 1.0) -> Entrance:
    return Entrance(f"10.1.0.{number}:8641", domain, domain.split("-")[0], capacity)


def test_few_instances_carry_the_callers_of_a_domain_and_the_largest_come_first() -> None:
    """Sixty small instances see too little each to reuse connections or to know the load."""
    many = [entrance(n, capacity=0.43) for n in range(60)]
    large = [entrance(200 + n, capacity=2.15) for n in range(2)]
    carriers = carriers_of([*many, *large])
    assert len(carriers) == LEAST_CARRIERS
    assert set(large) < set(carriers)


def test_every_instance_names_the_same_carriers_whatever_the_order() -> None:
    entries = [entrance(n) for n in range(30)]
    shuffled = random.Random(3).sample(entries, len(entries))
    assert carriers_of(entries) == carriers_of(shuffled)


def test_when_a_carrier_ends_only_its_callers_move() -> None:
    entries = [entrance(n) for n in range(30)]
    before = carriers_of(entries)
    after = carriers_of([e for e in entries if e != before[0]])
    assert set(before[1:]) < set(after)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_domain_with_few_instances_uses_them_all(count: int) -> None:
    entries = [entrance(n) for n in range(count)] + [entrance(n, "huron-a") for n in range(9)]
    carriers = all_carriers(entries)
    assert sum(c.failure_domain == "erie-a" for c in carriers) == count
    assert sum(c.failure_domain == "huron-a" for c in carriers) == LEAST_CARRIERS


def test_a_caller_is_told_the_carriers_of_its_domain() -> None:
    entries = [entrance(n) for n in range(20)] + [entrance(n, "erie-b") for n in range(20, 40)]
    told = entrances_for("erie", "erie-a", NO_HOMES, entries, lambda r: 0.0, random.Random(1))
    assert set(told) == set(carriers_of(entries[:20]))
