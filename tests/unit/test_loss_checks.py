"""What a lost connection counts for, by what is seen of its target afterwards."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import cast

import pytest

from cassiashore._internal.models.presence import Presence
from cassiashore._internal.net.pool import ConnectionPool, Probe
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.requests import loss_checks
from cassiashore._internal.requests.loss_checks import LossChecks, TargetRun
from cassiashore._internal.requests.poison import LossCount, PoisonRegistry

PAGE = 17
COUNTED, SUSPECTED, NOTHING = LossCount(0, 1), LossCount(0, 0, True), LossCount()


@dataclass
class FakePool:
    """A pool whose server behaves as the test says; each look takes the next ``is_connected``."""

    result: Probe
    is_connected: list[bool]
    probes: int = 0
    closes: int = 0

    async def probe(self, connect_timeout: float) -> Probe:
        self.probes += 1
        await asyncio.sleep(0.01)
        return self.result

    def has_connection_from_before(self, moment: float) -> bool:
        return self.is_connected.pop(0) if len(self.is_connected) > 1 else self.is_connected[0]

    def close(self) -> None:
        self.closes += 1


@dataclass
class Bench:
    """Checks of one run of a target."""

    pool: FakePool
    presence: Presence = Presence.REGISTERED
    poison: PoisonRegistry = field(default_factory=lambda: PoisonRegistry(limit=3))

    def __post_init__(self) -> None:
        self.checks = LossChecks(self.poison, DecisionLog())
        self.run = TargetRun("run", cast(ConnectionPool, self.pool), lambda: self.presence)

    async def lose(self) -> None:
        self.checks.start(PAGE, self.run, self.poison.loss_count(PAGE))
        await self.checks.settle(PAGE)

    async def watch(self) -> None:
        if self.checks._watcher is not None:
            await self.checks._watcher


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loss_checks, "SURVIVOR_SECONDS", 0.02)
    monkeypatch.setattr(loss_checks, "WATCH_SECONDS", 0.1)
    monkeypatch.setattr(loss_checks, "WATCH_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(loss_checks, "MAX_WAIT_SECONDS", 5.0)


@pytest.mark.parametrize(
    ("probe", "is_connected", "presence", "count"),
    [
        (Probe.ACCEPTED, [True], Presence.REGISTERED, NOTHING),
        (Probe.ACCEPTED, [False], Presence.REGISTERED, SUSPECTED),
        (Probe.ACCEPTED, [False], Presence.REMOVED, SUSPECTED),
        (Probe.ACCEPTED, [False], Presence.SUPERSEDED, COUNTED),
        (Probe.REFUSED, [False], Presence.REGISTERED, COUNTED),
        (Probe.REFUSED, [True, True], Presence.REGISTERED, NOTHING),
        (Probe.REFUSED, [True, False], Presence.REGISTERED, COUNTED),
        (Probe.UNREACHABLE, [False], Presence.REGISTERED, SUSPECTED),
        (Probe.UNREACHABLE, [False], Presence.REMOVED, COUNTED),
        (Probe.UNREACHABLE, [True], Presence.SUPERSEDED, COUNTED),
    ],
)
def test_a_loss_counts_only_if_the_target_ended(
    probe: Probe, is_connected: list[bool], presence: Presence, count: LossCount
) -> None:
    """A lost answer, a connection limit or a cut network was taken for a crash."""

    async def test() -> None:
        bench = Bench(FakePool(probe, is_connected))
        await bench.lose()
        bench.presence = presence
        await bench.watch()
        assert bench.poison.loss_count(PAGE) == count

    asyncio.run(test())


@pytest.mark.parametrize(
    ("presence", "count"), [(Presence.REMOVED, SUSPECTED), (Presence.SUPERSEDED, COUNTED)]
)
def test_a_run_that_is_no_longer_registered_is_not_probed(
    presence: Presence, count: LossCount
) -> None:
    """A new connection to an address that another target may have by now was never closed."""

    async def test() -> None:
        bench = Bench(FakePool(Probe.ACCEPTED, [False]), presence)
        await bench.lose()
        assert bench.pool.probes == 0
        assert bench.poison.loss_count(PAGE) == count

    asyncio.run(test())


def test_a_run_that_is_removed_during_its_probe_keeps_no_connection() -> None:
    async def test() -> None:
        bench = Bench(FakePool(Probe.ACCEPTED, [False]))
        bench.checks.start(PAGE, bench.run, LossCount())
        await asyncio.sleep(0)
        bench.presence = Presence.REMOVED
        await bench.checks.settle(PAGE)
        assert bench.pool.closes == 1

    asyncio.run(test())


def test_losses_of_one_run_share_a_probe_and_count_once() -> None:
    """A crash loses many connections, and each would have been followed by a new one."""

    async def test() -> None:
        bench = Bench(FakePool(Probe.REFUSED, [False]))
        for _ in range(40):
            bench.checks.start(PAGE, bench.run, LossCount())
        await bench.checks.settle(PAGE)
        assert bench.pool.probes == 1
        assert bench.poison.loss_count(PAGE) == COUNTED
        assert bench.checks._checks_by_fingerprint == {}

    asyncio.run(test())


def test_a_response_during_the_watch_outweighs_an_earlier_loss() -> None:
    async def test() -> None:
        bench = Bench(FakePool(Probe.ACCEPTED, [False]))
        bench.poison.record_loss(PAGE, "earlier", LossCount())
        bench.poison.record_loss(PAGE, "other", LossCount(0, 1))
        bench.poison.reports()
        await bench.lose()
        bench.poison.record_response(PAGE)
        bench.presence = Presence.SUPERSEDED
        await bench.watch()
        assert not bench.poison.is_poisonous(PAGE)
        assert bench.poison.loss_count(PAGE).losses <= 1

    asyncio.run(test())


def test_watched_losses_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each lost answer of another request is watched for some seconds."""
    monkeypatch.setattr(loss_checks, "MAX_WATCHED_LOSSES", 10)

    async def test() -> None:
        bench = Bench(FakePool(Probe.ACCEPTED, [False]))
        for number in range(50):
            bench.checks.start(number, bench.run, LossCount())
        await bench.checks.settle(49)
        assert len(bench.checks._watched) == 10
        await bench.watch()
        assert not bench.checks._watched

    asyncio.run(test())
