"""Answers that are lost while their targets run on, and targets that end with a request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from cassiashore._internal.net.http_client import request_head
from cassiashore._internal.requests.loss_checks import WATCH_INTERVAL_SECONDS
from cassiashore._internal.requests.poison import FIRST_SUSPENSION_SECONDS
from cassiashore._internal.steering.routes import RequestKind
from tests.lib.ingress import Ingress, RawClient, request, start_ingresses
from tests.lib.steering_builders import (
    Clock,
    FakeTarget,
    Serve,
    build_response,
    report,
    route,
    table,
)

NON_IDEMPOTENT = RequestKind.NON_IDEMPOTENT
ORDER = "/a/order"
OTHER = "/a/other"
SENDS = 9  # three times the losses after which a request is refused
CRASHES = 3
TARGETS = 6
POISONOUS = 422


def run(test: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(test())  # type: ignore[arg-type]


def resets(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.transport.abort()


def closes(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.close()


def resets_within_head(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nConten")
    asyncio.get_running_loop().call_later(0.01, writer.transport.abort)


def closes_within_head(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nConten")
    writer.close()


def resets_after_interim_head(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
    asyncio.get_running_loop().call_later(0.01, writer.transport.abort)


def closes_within_body(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(build_response(head)[:-1])
    writer.close()


def resets_within_body(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(build_response(head)[:-1])
    asyncio.get_running_loop().call_later(0.01, writer.transport.abort)


def sends_other_bytes(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(b"no response\r\n\r\n")


def sends_another_answer(writer: asyncio.StreamWriter, head: bytes) -> None:
    writer.write(build_response(head).replace(b"id-", b"other-"))
    writer.close()


def is_late(writer: asyncio.StreamWriter, head: bytes) -> None:
    """The answer comes after the deadline."""


Lose = Callable[[asyncio.StreamWriter, bytes], None]
WAYS: list[Lose] = [
    resets,
    closes,
    resets_within_head,
    closes_within_head,
    resets_after_interim_head,
    closes_within_body,
    resets_within_body,
    sends_other_bytes,
    sends_another_answer,
    is_late,
]


class Shop:
    """Instances that exchange their reports, and targets that lose the answers of orders."""

    def __init__(self, lose: Lose) -> None:
        self.lose = lose
        self.loses_answers = True
        self.ingresses: list[Ingress] = []
        self.targets: list[FakeTarget] = []
        self.clients: list[RawClient] = []
        self.arrivals = 0

    async def start(self, instances: int, **changes: Any) -> None:
        """Start the instances and targets; ``changes`` are those of an ordinary route of orders."""
        rule = route(**{"kind": NON_IDEMPOTENT, **changes})
        self.ingresses = await start_ingresses(instances, table(rule))
        for number in range(TARGETS):
            target = await FakeTarget(self._serve_at(number)).start()
            self.targets.append(target)
            self.register(f"t-{number}", target.address, 1)

    def register(self, target_id: str, address: str, started_ms: int) -> None:
        for ingress in self.ingresses:
            ingress.registry.apply(report(target_id, address=address, started=started_ms))

    def _serve_at(self, number: int) -> Serve:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            if f"{ORDER} ".encode() not in head:
                writer.write(build_response(head))
                return
            self.arrivals += 1
            if self.loses_answers:
                self.lose(writer, head)
            else:
                writer.write(build_response(head))

        return serve

    async def order(self, number: int, path: str = ORDER) -> int:
        """Send an order to one of the instances, which then exchange their reports."""
        ingress = self.ingresses[number % len(self.ingresses)]
        for target in ingress.registry.target_by_id.values():
            target.health.ejected_until = 0.0
        status, _, _ = await ingress.ask(request(path, method="POST", request_id=f"id-{number}"))
        await self._settle(ingress)
        self.exchange_reports()
        return status

    async def open_connections(self) -> None:
        """Leave a kept connection from each instance to each target."""
        for ingress in self.ingresses:
            for target in ingress.registry.target_by_id.values():
                connection = (await target.pool.acquire()).unwrap()
                connection.start_exchange(request_head("GET", OTHER, []))
                await connection.response_head()
                await connection.read_all(100)
                target.pool.release(connection)

    async def _settle(self, ingress: Ingress) -> None:
        checks = ingress.forwarder._loss_checks._checks_by_fingerprint
        while checks:
            await asyncio.sleep(0.005)

    def exchange_reports(self) -> None:
        for sender in self.ingresses:
            for receiver in self.ingresses:
                receiver.poison.merge_reports(sender.poison.reports())

    def known_losses(self) -> int:
        counts = (e.count for i in self.ingresses for e in _evidence(i))
        return max((count.losses for count in counts), default=0)


def _evidence(ingress: Ingress):  # type: ignore[no-untyped-def]
    return ingress.poison._evidence_by_fingerprint.values()


@pytest.mark.parametrize("instances", [1, 3])
@pytest.mark.parametrize("is_kept", [False, True], ids=["fresh", "kept"])
@pytest.mark.parametrize("lose", WAYS)
def test_orders_whose_answers_are_lost_are_not_refused(
    lose: Lose, is_kept: bool, instances: int
) -> None:
    """Lost answers counted as crashes, so that popular orders were refused for a minute."""

    async def test() -> None:
        shop = Shop(lose)
        await shop.start(instances, timeout=0.1 if lose is is_late else 2.0)
        if is_kept:
            await shop.open_connections()
        statuses = [await shop.order(number) for number in range(SENDS)]
        assert POISONOUS not in statuses
        assert shop.arrivals == SENDS
        assert shop.known_losses() == 0
        shop.loses_answers = False
        assert [await shop.order(SENDS + n) for n in range(instances)] == [200] * instances

    run(test)


def test_equal_orders_that_lose_their_answers_in_turn_are_not_refused() -> None:
    """Some answers of each order were lost; the ones between did not clear the count in time."""

    async def test() -> None:
        shop = Shop(resets)
        await shop.start(3)
        rounds = [[await shop.order(10 * r + n) for n in range(4)] for r in range(5)]
        assert {status for statuses in rounds for status in statuses} == {502}

    run(test)


@pytest.mark.parametrize("is_kept", [False, True], ids=["fresh", "kept"])
def test_a_trial_whose_answer_is_lost_does_not_prolong_the_suspension(is_kept: bool) -> None:
    """After a trial with a lost answer the request was refused for twice as long."""

    async def test() -> None:
        shop = Shop(resets)
        await shop.start(1)
        clock = Clock()
        poison = shop.ingresses[0].poison
        poison._monotonic = clock
        await shop.order(0)
        (fingerprint,) = poison._evidence_by_fingerprint
        for number in range(CRASHES):
            poison.record_loss(fingerprint, f"run-{number}", poison.loss_count(fingerprint))
        assert await shop.order(1) == POISONOUS
        clock.now += FIRST_SUSPENSION_SECONDS + 0.1
        if is_kept:
            await shop.open_connections()
        assert await shop.order(2) == 502
        assert poison.loss_count(fingerprint).losses == CRASHES
        shop.loses_answers = False
        clock.now += 2 * 5.0
        assert await shop.order(3) == 200
        assert poison.loss_count(fingerprint).is_clear

    run(test)


class CrashShop(Shop):
    """Targets that end with each order that they run."""

    def __init__(self) -> None:
        super().__init__(resets)

    def _serve_at(self, number: int) -> Serve:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
        ) -> None:
            if f"{ORDER} ".encode() not in head:
                writer.write(build_response(head))
                return
            self.arrivals += 1
            self.targets[number].crash()
            await self.after_crash(number)

        return serve

    async def after_crash(self, number: int) -> None:
        """Stay down."""


class RestartShop(CrashShop):
    """Targets that are started again before their end can be noticed."""

    def __init__(self, *, keeps_ids: bool) -> None:
        super().__init__()
        self._keeps_ids = keeps_ids
        self._starts = 1

    async def after_crash(self, number: int) -> None:
        target = self.targets[number]
        await target.start_again()
        self._starts += 1
        target_id = f"t-{number}" if self._keeps_ids else f"t-{number}-{self._starts}"
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, self.register, target_id, target.address, self._starts)


@pytest.mark.parametrize("instances", [1, 3])
@pytest.mark.parametrize("is_kept", [False, True], ids=["fresh", "kept"])
def test_an_order_that_ends_targets_is_refused_after_three_of_them(
    is_kept: bool, instances: int
) -> None:
    """The counterpart of lost answers: real crashes stay bounded."""

    async def test() -> None:
        shop = CrashShop()
        await shop.start(instances)
        if is_kept:
            await shop.open_connections()
        statuses = [await shop.order(number) for number in range(SENDS)]
        assert statuses == [502] * CRASHES + [POISONOUS] * (SENDS - CRASHES)
        assert shop.arrivals == CRASHES
        assert await shop.order(SENDS, OTHER) == 200

    run(test)


@pytest.mark.parametrize("keeps_ids", [False, True])
@pytest.mark.parametrize("is_kept", [False, True], ids=["fresh", "kept"])
def test_targets_that_are_started_again_at_once_count_as_ended(
    is_kept: bool, keeps_ids: bool
) -> None:
    """A target that accepts connections again was taken for one that had never ended."""

    async def test() -> None:
        shop = RestartShop(keeps_ids=keeps_ids)
        await shop.start(1)
        if is_kept:
            await shop.open_connections()
        for crashes in range(1, CRASHES + 1):
            assert await shop.order(crashes) == 502
            async with asyncio.timeout(20 * WATCH_INTERVAL_SECONDS):
                while shop.known_losses() < crashes:
                    await asyncio.sleep(0.01)
        assert await shop.order(SENDS) == POISONOUS
        assert shop.arrivals == CRASHES

    run(test)


def test_a_read_that_ends_targets_is_refused_as_soon_as_three_ended() -> None:
    """Retries and equal requests went on while the last end was still being checked."""

    async def test() -> None:
        shop = CrashShop()
        await shop.start(1, kind=RequestKind.IDEMPOTENT, max_attempts=4)
        assert await shop.order(0) == 502
        assert await shop.order(1) == POISONOUS
        assert shop.arrivals == CRASHES

    run(test)
