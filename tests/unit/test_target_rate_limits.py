"""Rate limits that targets name hold for all instances together."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

import pytest
import uvloop

from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.target_limits import TargetRateLimits
from cassiashore.platform.wire import EDGE_HEADERS
from tests.lib.ingress import Ingress, request, start_ingresses, start_targets
from tests.lib.instance_simulation import InstanceSimulation, SimulatedInstance
from tests.lib.steering_builders import Clock, build_response, registry, report, route, table

RATE = 5.0
# What a target may get: one and a half times its limit, and a few requests.
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5
REQUESTS_PER_INSTANCE = 60
WINDOW_SECONDS = 4.0


@pytest.mark.parametrize("count", [1, 10])
def test_all_instances_together_keep_the_rate_that_a_target_names(count: int) -> None:
    """Each instance sends one request after the other for objects of both targets."""
    limited_at: list[float] = []

    async def limited(_: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        extra = b"%b: %.1f\r\n" % (EDGE_HEADERS.rate_limit[0], RATE)
        limited_at.append(time.monotonic())
        writer.write(build_response(head, extra=extra))

    async def unlimited(_: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes) -> None:
        writer.write(build_response(head))

    async def send(ingress: Ingress, count: int) -> None:
        client = await ingress.open()
        for number in range(count):
            client.send(request(request_id=f"id-{number}", key=f"{number}"))
            assert (await client.receive())[0] == 200
        client.close()

    async def test() -> None:
        ingresses = await start_ingresses(count, table(route()))
        targets = await start_targets(ingresses[0], limited, unlimited)
        for ingress in ingresses[1:]:
            for number, target in enumerate(targets):
                ingress.registry.apply(report(f"t-{number}", address=target.address))
        await asyncio.gather(*(send(ingress, 20) for ingress in ingresses))
        informed_at = time.monotonic()
        limited_at.clear()
        await asyncio.gather(*(send(ingress, REQUESTS_PER_INSTANCE) for ingress in ingresses))
        seconds = time.monotonic() - informed_at
        assert len(limited_at) <= ALLOWED_FACTOR * RATE * seconds + ALLOWED_EXTRA

    uvloop.run(test())


class LimitedTarget:
    """A target with a limit of which all instances know, and what they send to it."""

    def __init__(self, count: int, rate: float, seed: int) -> None:
        targets = registry()
        targets.apply(report(failure_domain="zone-1"))
        self.target = targets.target_by_id["t-1"]
        self.target.rate_limit = rate
        self.limits: dict[str, TargetRateLimits] = {}
        self.most = 0
        self.total = 0
        self.simulation = InstanceSimulation(count, seed, self.start)

    def start(self, instance: SimulatedInstance) -> None:
        self.limits[instance.info.address] = TargetRateLimits(
            instance.info.incarnation,
            instance.recent.instances,
            instance.clock,
            random.Random(instance.info.incarnation),
        )

    def run(self, seconds: float) -> None:
        """Let every instance send as much as it may."""
        most = self.simulation.most_in_window(self._send, seconds=seconds, window=WINDOW_SECONDS)
        self.most = max(self.most, most)

    def _send(self, instance: SimulatedInstance) -> bool:
        admitted = self.limits[instance.info.address].try_admit(self.target)
        self.total += admitted
        return admitted


def allowed(rate: float) -> float:
    return ALLOWED_FACTOR * rate * WINDOW_SECONDS + ALLOWED_EXTRA


@pytest.mark.parametrize("count", [1, 10, 195])
@pytest.mark.parametrize("rate", [0.5, 5.0, 40.0])
def test_the_limit_is_used_and_kept_by_any_number_of_instances(count: int, rate: float) -> None:
    limited = LimitedTarget(count, rate, seed=count)
    limited.run(10)
    started = limited.total
    limited.run(20)
    assert limited.most <= allowed(rate)
    assert limited.total - started >= 0.7 * rate * 20


counts_and_rates = pytest.mark.parametrize(
    ("count", "rate"), [(10, RATE), (10, 40.0), (195, RATE), (195, 100.0)]
)


@counts_and_rates
def test_the_limit_is_kept_while_instances_restart_in_turn_and_all_at_once(
    count: int, rate: float
) -> None:
    limited = LimitedTarget(count, rate, seed=count)
    limited.run(8)
    addresses = list(limited.simulation.instance_by_address)
    for address in addresses[: min(count, 20)]:
        limited.simulation.start(address)
        limited.run(0.3)
    for address in addresses:
        limited.simulation.start(address)
    limited.run(8)
    assert 0 < limited.most <= allowed(rate)


@counts_and_rates
def test_the_limit_is_kept_when_all_instances_start_with_an_empty_list(
    count: int, rate: float
) -> None:
    """All leases lapsed while the instances had no power; each list grows by and by."""
    limited = LimitedTarget(count, rate, seed=count)
    limited.run(8)
    assert 0 < limited.most <= allowed(rate)


@counts_and_rates
@pytest.mark.parametrize("fraction", [0.1, 0.5])
def test_the_limit_is_kept_while_instances_are_cut_off_with_an_old_list(
    count: int, rate: float, fraction: float
) -> None:
    limited = LimitedTarget(count, rate, seed=count)
    limited.run(8)
    simulation = limited.simulation
    cut = simulation.rng.sample(list(simulation.instance_by_address), int(count * fraction))
    for address in cut:
        simulation.cut(address)
    limited.run(25)
    for address in cut:
        simulation.heal(address)
    limited.run(8)
    assert 0 < limited.most <= allowed(rate)


@counts_and_rates
def test_the_limit_is_kept_in_a_store_outage_with_restarts_and_lapsed_leases(
    count: int, rate: float
) -> None:
    limited = LimitedTarget(count, rate, seed=count)
    limited.run(8)
    simulation = limited.simulation
    simulation.is_store_away = True
    for address in simulation.rng.sample(list(simulation.instance_by_address), count // 2):
        limited.run(0.1)
        simulation.start(address)
    limited.run(6)
    simulation.end_outage_with_lapsed_leases()
    limited.run(8)
    assert 0 < limited.most <= allowed(rate)


def test_rejected_callers_return_one_after_the_other() -> None:
    limited = LimitedTarget(1, RATE, seed=1)
    limited.run(8)
    (limits,) = limited.limits.values()
    pauses = [limits.retry_after([limited.target]) for _ in range(4)]
    gaps = [later - sooner for sooner, later in itertools.pairwise(pauses)]
    assert 0 < pauses[0] <= 1 / RATE
    assert gaps == [pytest.approx(1 / RATE)] * 3


def test_a_rejected_caller_is_told_of_the_target_that_is_free_first() -> None:
    targets = registry()
    targets.apply(report("slow"))
    targets.apply(report("fast", address="127.0.0.1:9002"))
    slow, fast = targets.target_by_id["slow"], targets.target_by_id["fast"]
    slow.rate_limit, fast.rate_limit = 1.0, 10.0
    alone = (InstanceInfo("me", "erie-a", "erie"),)
    limits = TargetRateLimits("me", lambda: alone, Clock(), random.Random(1))
    assert not limits.try_admit(slow)
    assert not limits.try_admit(fast)
    assert limits.retry_after([slow, fast]) == pytest.approx(0.1)


def test_a_limit_of_zero_admits_nothing_but_rare_checks() -> None:
    limited = LimitedTarget(10, 0.0, seed=1)
    limited.run(60)
    assert 0 < limited.total <= 10


def test_a_limit_that_ended_no_longer_holds() -> None:
    limited = LimitedTarget(10, RATE, seed=1)
    limited.run(8)
    limited.target.rate_limit = None
    for limits in limited.limits.values():
        assert all(limits.try_admit(limited.target) for _ in range(100))
