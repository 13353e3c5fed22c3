"""Streams between instances that carry what one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from collections.abc import Awaitable, Callable

import pytest
from result import Err

from cassiashore._internal.mirror.feed_health import (
    REPORT_TTL_SECONDS,
    FeedHealth,
    FeedState,
)
from cassiashore._internal.mirror.feed_knowledge import MAX_FRESH_AGE_SECONDS
from cassiashore._internal.mirror.follower import (
    FALLBACK_RETRY_SECONDS,
    MAX_RETRY_SECONDS,
    StoreFollower,
)
from cassiashore._internal.mirror.instances import InstanceRecord, InstanceTable, encode_record
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.relay import (
    HEARTBEAT_INTERVAL_SECONDS,
    STREAM_TIMEOUT_SECONDS,
    FeedRelay,
)
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import FeedBeat, Identity, RenewalWanted
from cassiashore._internal.store.client import StoreFault
from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot
from tests.lib.platform_builders import free_port, until


def run(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(test())  # type: ignore[arg-type]


class Peer:
    """An instance with a mirror and a relay."""

    def __init__(
        self, name: str, seeds: list[Address], domain: str = "", region: str = "erie"
    ) -> None:
        self.address = Address("127.0.0.1", free_port())
        domain = domain or f"erie-{name}"
        identity = Identity(name, f"run-{name}", domain, "127.0.0.1:1", str(self.address))
        self.record = InstanceRecord(identity, region, 1.0)
        self.mirror = StoreMirror(time.monotonic)
        self.instances = InstanceTable(self.record)
        self.relay = FeedRelay(
            identity, b"key", self.mirror, self.instances, seeds, lambda region: 0.0
        )
        self.task: asyncio.Task[None] | None = None

    @property
    def domain(self) -> str:
        return self.record.identity.failure_domain

    async def start(self) -> Peer:
        await self.relay.listen(self.address)
        self.task = asyncio.create_task(self.relay.run())
        return self

    def stop(self) -> None:
        assert self.task is not None
        self.task.cancel()
        self.relay.close()


def current(peer: Peer) -> None:
    peer.mirror.mark_current(time.monotonic())


async def keep_current(peer: Peer) -> None:
    while True:
        current(peer)
        await asyncio.sleep(0.05)


def test_a_follower_gets_a_copy_and_then_each_change() -> None:
    async def test() -> None:
        reader = await Peer("reader", []).start()
        reader.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
        current(reader)
        follower = await Peer("follower", [reader.address]).start()
        await until(lambda: follower.mirror.revision == 5)
        reader.mirror.apply(ChangeBatch(5, 6, [Change("b", 6, b"2")]))
        await until(lambda: follower.mirror.revision == 6)
        assert set(follower.mirror.item_by_key) == {"a", "b"}
        reader.stop()
        follower.stop()

    run(test)


def test_a_reader_that_cannot_follow_the_store_is_not_relied_on() -> None:
    async def test() -> None:
        reader = await Peer("reader", []).start()
        reader.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
        refreshing = asyncio.create_task(keep_current(reader))
        follower = await Peer("follower", [reader.address]).start()
        follower.mirror.replace(Snapshot(4, []))
        follower.instances.apply_registration(
            reader.record.identity.incarnation, encode_record(reader.record)
        )
        await until(lambda: follower.relay.freshness.feed.last_current_at > 0)
        reader.relay.freshness.is_failing = lambda: True
        await until(lambda: follower.relay.freshness.feed.last_current_at == float("-inf"))
        reader.relay.freshness.is_failing = lambda: False
        await until(lambda: follower.relay.freshness.feed.last_current_at > 0)
        reader.stop()
        await until(lambda: follower.relay.freshness.feed.last_current_at == float("-inf"))
        refreshing.cancel()
        follower.stop()

    run(test)


def test_only_one_source_sends_the_changes_and_another_takes_over_when_it_knows_more() -> None:
    """Copies and changes from every source would be most of the bytes between regions."""

    async def test() -> None:
        sources = [await Peer(f"source-{n}", []).start() for n in range(3)]
        tasks = [asyncio.create_task(keep_current(source)) for source in sources]
        for source in sources:
            source.mirror.replace(Snapshot(5, [Change(f"servers/{n}", 3, b"1") for n in range(50)]))
        follower = Peer("follower", [])
        for number, source in enumerate(sources):
            identity = source.record.identity
            record = InstanceRecord(identity, f"region-{number}", 1.0)
            follower.instances.apply_registration(identity.incarnation, encode_record(record))
        await follower.start()
        await until(lambda: follower.mirror.revision == 5)
        await until(lambda: sum(len(s.relay.subscribers.standby) for s in sources) == 1)
        assert sum(len(s.relay.subscribers.active) for s in sources) == 1
        sender = next(source for source in sources if source.relay.subscribers.active)
        for source in sources:
            if source is not sender:
                source.mirror.apply(ChangeBatch(5, 6, [Change("servers/0", 6, b"2")]))
        await until(lambda: follower.mirror.revision == 6)
        for task in tasks:
            task.cancel()
        for peer in [*sources, follower]:
            peer.stop()

    run(test)


def test_every_instance_names_the_same_readers_one_in_each_region() -> None:
    records = [
        InstanceRecord(
            Identity(f"i-{n}", f"run-{n}", "d", "127.0.0.1:1", f"127.0.0.1:{n + 2}"), region, 1
        )
        for n, region in enumerate(["erie", "erie", "huron", "huron", "superior"])
    ]
    chosen = []
    for own in records:
        table = InstanceTable(own)
        for record in reversed(records):
            table.apply_registration(record.identity.incarnation, encode_record(record))
        readers = table.store_readers(min_readers=2)
        chosen.append({reader.identity.instance for reader in readers})
        assert {reader.region for reader in readers} == {"erie", "huron", "superior"}
    assert all(names == chosen[0] for names in chosen)


def registered(peer: Peer, *others: Peer) -> None:
    """Let instances know each other's registrations."""
    for one in (peer, *others):
        for other in (peer, *others):
            key = other.record.identity.incarnation
            one.instances.apply_registration(key, encode_record(other.record))


@pytest.mark.parametrize("value", [b"", b"\xa1\xff", b"\x93\x01\x02\x03", "address"])
def test_a_registration_that_cannot_be_used_ends_nothing(value: bytes | str) -> None:
    """Any writer of the store may have written it; the relay goes on with the others."""

    async def test() -> None:
        reader, follower = await Peer("a", []).start(), await Peer("b", []).start()
        registered(reader, follower)
        if isinstance(value, str):
            identity = Identity("x", "run-x", "erie-x", "127.0.0.1:1", "no address")
            content = encode_record(InstanceRecord(identity, "other", 1.0))
        else:
            content = value
        for peer in (reader, follower):
            peer.instances.apply_registration("run-x", content)
            peer.mirror.replace(Snapshot(5, []))
            current(peer)
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_SECONDS)
        for peer in (reader, follower):
            assert peer.task is not None and not peer.task.done()
            assert "run-x" not in peer.instances.record_by_incarnation
            peer.stop()

    run(test)


def test_an_instance_that_reaches_the_store_reads_it_for_its_sources() -> None:
    """The store turns away all readers, and serves another instance."""

    async def test() -> None:
        peers = [await Peer(name, []).start() for name in ("a", "b", "c", "d")]
        registered(*peers)
        readers = peers[0].instances.store_readers(2)
        first, second = [p for p in peers if p.record in readers]
        helper, follower = [p for p in peers if p.record not in readers]
        for peer in peers:
            peer.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
            current(peer)
        for reader in (first, second):
            reader.relay.freshness.is_failing = lambda: True
        await until(lambda: follower.relay.freshness.feed.state()[0] is FeedState.FAILING)
        helper.relay.freshness.has_store_access = helper.relay.is_fallback_reader = lambda: True
        refreshing = asyncio.create_task(keep_current(helper))
        helper.mirror.apply(ChangeBatch(5, 6, [Change("b", 6, b"2")]))
        await until(lambda: follower.mirror.revision == 6)
        await until(lambda: follower.relay.freshness.feed.state()[0] is FeedState.CURRENT)
        assert (
            not follower.relay.freshness.feed.has_direct_source
            and not helper.relay.freshness.feed.has_direct_source
        )
        first.relay.freshness.is_failing = lambda: False
        first.relay.freshness.has_store_access = lambda: True
        current(first)
        await until(lambda: helper.relay.freshness.feed.has_direct_source)
        refreshing.cancel()
        for peer in peers:
            peer.stop()

    run(test)


def test_an_instance_that_leaves_without_the_store_is_left_out_by_all() -> None:
    async def test() -> None:
        peers = [await Peer(name, []).start() for name in ("a", "b", "c", "d")]
        registered(*peers)
        for peer in peers:
            peer.mirror.replace(Snapshot(5, []))
            current(peer)
        readers = peers[0].instances.store_readers(2)
        leaver, stayer = [p for p in peers if p.record not in readers]
        await until(lambda: len(leaver.relay._link_by_source) == 2)
        await until(lambda: len(stayer.relay._link_by_source) == 2)
        leaver.relay.announce_leaving()
        gone = leaver.record.identity.incarnation
        for peer in peers:
            if peer is not leaver:
                await until(
                    lambda peer=peer: gone
                    not in [
                        e.incarnation for e in peer.instances.active_instances(without_own=False)
                    ]
                )
        # Its registration ends later; the same machine comes back as another run.
        stayer.instances.apply_registration(gone, None)
        stayer.instances.apply_registration(gone, encode_record(leaver.record))
        assert gone in [e.incarnation for e in stayer.instances.active_instances(without_own=False)]
        for peer in peers:
            peer.stop()

    run(test)


async def in_domains(names: list[str], domains: int) -> list[Peer]:
    """Start instances that know each other, in failure domains by turns."""
    peers = [
        await Peer(name, [], domain=f"erie-{number % domains}").start()
        for number, name in enumerate(names)
    ]
    registered(*peers)
    for peer in peers:
        peer.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
        current(peer)
    return peers


def test_a_reader_sends_its_changes_to_one_instance_of_each_other_failure_domain() -> None:
    """Sent to each instance of a region, they fill the link of the reader."""

    async def test() -> None:
        peers = await in_domains([f"i-{n}" for n in range(18)], domains=3)
        readers = [p for p in peers if p.record in peers[0].instances.store_readers(2)]
        refreshing = [asyncio.create_task(keep_current(reader)) for reader in readers]
        followers = [p for p in peers if p not in readers]
        await until(lambda: all(p.relay._sender is not None for p in followers))
        await until(lambda: all(len(p.relay._link_by_source) == 2 for p in followers))
        for reader in readers:
            own = [p for p in followers if p.domain == reader.domain]
            assert len(reader.relay.subscribers.active) <= len(own) + 2
            reader.mirror.apply(ChangeBatch(5, 6, [Change("b", 6, b"2")]))
        await until(lambda: all(p.mirror.revision == 6 for p in peers))
        await asyncio.sleep(4 * HEARTBEAT_INTERVAL_SECONDS)
        assert all(p.relay.freshness.feed.state()[0] is FeedState.CURRENT for p in followers)
        for task in refreshing:
            task.cancel()
        for peer in peers:
            peer.stop()

    run(test)


def test_an_instance_that_reaches_the_store_reads_it_for_other_failure_domains_as_well() -> None:
    """The store turns away the readers; their distributors do not call it."""

    async def test() -> None:
        peers = await in_domains([f"i-{n}" for n in range(12)], domains=3)
        readers = [p for p in peers if p.record in peers[0].instances.store_readers(2)]
        for reader in readers:
            reader.relay.freshness.is_failing = lambda: True
        others = [p for p in peers if p not in readers]
        await until(
            lambda: all(p.relay.freshness.feed.state()[0] is FeedState.FAILING for p in others)
        )
        helper = others[-1]
        helper.relay.freshness.has_store_access = helper.relay.is_fallback_reader = lambda: True
        refreshing = asyncio.create_task(keep_current(helper))
        helper.mirror.apply(ChangeBatch(5, 6, [Change("b", 6, b"2")]))
        await until(lambda: all(p.mirror.revision == 6 for p in peers))
        rest = [p for p in others if p is not helper]
        await until(
            lambda: all(p.relay.freshness.feed.state()[0] is FeedState.CURRENT for p in rest)
        )
        refreshing.cancel()
        for peer in peers:
            peer.stop()

    run(test)


def test_instances_that_follow_each_other_do_not_take_their_echo_for_news() -> None:
    """After a loss of most instances their lists differ; changes would pass them by for good."""

    async def test() -> None:
        one, other = await Peer("a", []).start(), await Peer("b", []).start()
        for follower, source in ((one, other), (other, one)):
            record = source.record
            follower.instances.apply_registration(
                record.identity.incarnation, encode_record(record)
            )
            follower.mirror.replace(Snapshot(5, []))
            current(follower)
        await until(lambda: one.relay.freshness.feed.state()[0] is FeedState.CURRENT)
        await asyncio.sleep(
            MAX_FRESH_AGE_SECONDS + REPORT_TTL_SECONDS + 2 * HEARTBEAT_INTERVAL_SECONDS
        )
        for peer in (one, other):
            assert time.monotonic() - peer.mirror.current_at > MAX_FRESH_AGE_SECONDS
            assert peer.relay.freshness.feed.state()[0] is FeedState.SILENT
            peer.stop()

    run(test)


def test_an_instance_that_lacks_a_few_changes_gets_no_whole_copy() -> None:
    """Sources change whenever an instance starts or ends; copies would be most of the bytes."""

    async def test() -> None:
        reader = await Peer("a", []).start()
        reader.mirror.replace(Snapshot(5, [Change(f"servers/{n}", 3, b"1") for n in range(50)]))
        refreshing = asyncio.create_task(keep_current(reader))
        follower = Peer("b", [])
        follower.instances.apply_registration(
            reader.record.identity.incarnation, encode_record(reader.record)
        )
        follower.mirror.replace(reader.mirror.snapshot())
        for revision in (6, 7, 8):
            change = Change(f"servers/{revision}", revision, b"2")
            reader.mirror.apply(ChangeBatch(revision - 1, revision, [change]))
        reader.relay.subscribers._packed_snapshot = None  # type: ignore[method-assign,assignment]
        await follower.start()
        await until(lambda: follower.mirror.revision == 8)
        assert follower.mirror.item_by_key == reader.mirror.item_by_key
        refreshing.cancel()
        reader.stop()
        follower.stop()

    run(test)


def test_a_lease_is_renewed_by_a_reader_when_the_distributor_is_turned_away_as_well() -> None:
    async def test() -> None:
        peers = await in_domains([f"i-{n}" for n in range(12)], domains=3)
        readers = [p for p in peers if p.record in peers[0].instances.store_readers(2)]
        asked: list[str] = []

        def renewing(peer: Peer) -> Callable[[RenewalWanted], Awaitable[bool]]:
            async def renew(wanted: RenewalWanted) -> bool:
                asked.append(peer.record.identity.instance)
                if peer in readers:
                    return True
                if wanted.may_pass_on:
                    return await peer.relay.renew_via_peer(wanted.lease_id, may_pass_on=False)
                return False

            return renew

        for peer in peers:
            peer.relay.renewals.renew = renewing(peer)
        others = [p for p in peers if p not in readers]
        await until(lambda: all(len(p.relay._link_by_source) == 2 for p in others))
        assert [await p.relay.renew_via_peer(7) for p in others] == [True] * len(others)
        assert len(asked) <= 2 * len(others)
        for peer in peers:
            peer.stop()

    run(test)


def test_a_stream_that_brings_what_breaks_its_receiver_is_dialled_again() -> None:
    async def test() -> None:
        reader = await Peer("a", []).start()
        follower = Peer("b", [])
        follower.instances.apply_registration(
            reader.record.identity.incarnation, encode_record(reader.record)
        )
        reader.mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
        refreshing = asyncio.create_task(keep_current(reader))
        take_beat, calls = follower.relay._handle_heartbeat, [0]

        def fails_once(link: PeerLink, beat: FeedBeat) -> None:
            calls[0] += 1
            if calls[0] == 1:
                raise RuntimeError("unexpected")
            take_beat(link, beat)

        follower.relay._handle_heartbeat = fails_once  # type: ignore[method-assign]
        await follower.start()
        await until(lambda: follower.relay.freshness.feed.state()[0] is FeedState.CURRENT)
        refreshing.cancel()
        reader.stop()
        follower.stop()

    run(test)


def test_what_a_machine_without_power_does_not_take_ends_its_stream() -> None:
    async def test() -> None:
        reader = await Peer("a", []).start()
        follower = await Peer("b", [reader.address]).start()
        reader.mirror.replace(Snapshot(5, []))
        await until(lambda: reader.relay.subscribers.active and follower.relay._link_by_source)
        for link in [*reader.relay.subscribers.active, *follower.relay._link_by_source.values()]:
            sock = link._writer.get_extra_info("socket")
            limit = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert STREAM_TIMEOUT_SECONDS * 1000 < limit <= 10_000
        reader.stop()
        follower.stop()

    run(test)


def test_ending_a_relay_is_no_error(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        reader = await Peer("a", []).start()
        follower = await Peer("b", [reader.address]).start()
        reader.mirror.replace(Snapshot(5, []))
        await until(lambda: reader.relay.subscribers.active)
        reader.stop()
        follower.stop()
        await asyncio.sleep(0.1)

    run(test)
    assert [record for record in caplog.records if record.levelno >= logging.ERROR] == []


class UnreachableStore:
    """A store of which the first watch fails."""

    def __init__(self, follower_is_answered: Callable[[], bool]) -> None:
        self.answered_before: list[bool] = []
        self._is_answered = follower_is_answered

    async def watch(self, after: int, wait_seconds: float) -> Err[StoreFault]:
        self.answered_before.append(self._is_answered())
        return Err(StoreFault("refused", sent=False))

    async def read_all(self) -> Err[StoreFault]:
        return await self.watch(0, 0.0)


@pytest.mark.parametrize(
    ("is_seed", "most"), [(True, MAX_RETRY_SECONDS), (False, FALLBACK_RETRY_SECONDS)]
)
def test_of_instances_that_start_while_the_store_is_away_the_seeds_try_often(
    is_seed: bool, most: float
) -> None:
    """All instances lost power, and the store turns everybody away."""

    async def test() -> None:
        peer = Peer("a", [])
        store = UnreachableStore(lambda: False)
        follower = StoreFollower(
            store,  # type: ignore[arg-type]
            peer.mirror,
            peer.instances,
            FeedHealth(time.monotonic),
            is_seed,
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        await until(lambda: follower._retry_seconds >= MAX_RETRY_SECONDS)
        await until(lambda: len(store.answered_before) >= 5)
        assert follower._retry_seconds == most
        task.cancel()

    run(test)


def test_an_instance_whose_turn_it_is_helps_only_once_it_was_answered() -> None:
    """Before its first call, what it knows is as old as what its sources know."""

    async def test() -> None:
        peer = Peer("a", [])
        peer.mirror.replace(Snapshot(5, []))
        current(peer)
        store = UnreachableStore(lambda: follower.has_store_access)
        follower = StoreFollower(
            store,  # type: ignore[arg-type]
            peer.mirror,
            peer.instances,
            FeedHealth(time.monotonic),
            True,
            random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        await until(lambda: len(store.answered_before) >= 2)
        assert not any(store.answered_before) and not follower.has_store_access
        task.cancel()

    run(test)
