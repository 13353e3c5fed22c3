"""Streams between instances that carry what one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

import msgspec

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.mirror.feed_health import FeedHealth
from cassiashore._internal.mirror.follower import LEAST_READERS, WATCH_SECONDS
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.renewals import PeerRenewals
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers import link as links
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import (
    FeedBeat,
    FeedChanges,
    FeedLeaving,
    FeedSnapshot,
    FeedWanted,
    Identity,
    Message,
    RenewalDone,
    RenewalWanted,
    pack,
    unpack,
)
from cassiashore._internal.store.events import ChangeBatch, Snapshot

logger = logging.getLogger(__name__)

BEAT_SECONDS = 0.4  # a third of the silence after which a follower reads the store itself
# What a watch confirms is as old as its start, and the next one takes as long to confirm more: two
# quiet watches and a beat. Older knowledge may miss changes.
FRESH_SECONDS = 2 * WATCH_SECONDS + 0.4
STALE_MS = 60_000  # told while the store cannot be followed
REDIAL_SECONDS = 0.5  # an instance that starts again listens after half a second
BOOT_REDIAL_SECONDS = 0.1  # while nothing is known yet; all instances may be starting
BOOT_POLL_SECONDS = 0.05  # a copy comes within some tens of milliseconds
MAX_SOURCES = 2  # the one that sends changes, and one on standby
BOOT_SOURCES = 3  # as many seeds as the settings name
LINK_SILENCE_SECONDS = 2.0  # five beats: a stream that went silent without a reset
BEHIND_SECONDS = 0.3  # that a standby source knows more than the one that sends the changes
_LINK_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    ProtocolViolationError,
    TimeoutError,
    msgspec.DecodeError,
)


class FeedRelay:
    """Subscribes to instances that read the store, and serves those that subscribe here.

    One source sends the changes. The others are on standby and send beats only, until the first one
    ends or they know more than it: most of the bytes would come twice otherwise, and from other
    regions.

    An instance that reads the store because its sources cannot, a helper, sends them beats as well;
    they then subscribe to it over the same stream.
    """

    def __init__(
        self,
        own: Identity,
        key: bytes,
        mirror: StoreMirror,
        instances: InstanceTable,
        seeds: list[Address],
        region_distance: Callable[[str], float],
    ) -> None:
        """Create a relay without streams; ``seeds`` are tried until instances are known."""
        self.is_failing: Callable[[], bool] = lambda: False
        self.is_answered: Callable[[], bool] = lambda: False
        self.is_helping: Callable[[], bool] = lambda: False
        self.feed = FeedHealth(time.monotonic)
        self.renewals = PeerRenewals()
        self._helper: PeerLink | None = None
        self._peers_current_at = float("-inf")
        self._link_by_source: dict[Address, PeerLink] = {}
        self._own = own
        self._key = key
        self._mirror = mirror
        self._instances = instances
        self._seeds = seeds
        self._region_distance = region_distance
        self._subscribers: set[PeerLink] = set()
        self._standbys: set[PeerLink] = set()
        self._sender: PeerLink | None = None
        self._behind_since: float | None = None
        self._packed: tuple[int, bytes] = (0, b"")
        self._source_by_address: dict[Address, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.Task[None]] = set()
        mirror.on_batch = self._publish

    @property
    def heard_at(self) -> float:
        """Return when a source last told that the mirror is current, if that is not long ago."""
        return self.feed.heard_at

    async def listen(self, address: Address) -> None:
        """Accept subscribers; raise ``OSError`` when the address is taken."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    async def run(self) -> None:
        """Send beats and keep streams to the instances that read the store."""
        while True:
            self._follow_sources()
            self._end_helping()
            self._beat()
            await asyncio.sleep(BEAT_SECONDS)

    def close(self) -> None:
        """End all streams."""
        if self._server is not None:
            self._server.close()
        for task in [*self._source_by_address.values(), *self._accepted]:
            task.cancel()
        for link in self._subscribers:
            link.close()

    # Serving subscribers.

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._accepted.add(task)
        try:
            link = await links.accept(reader, writer, self._own, self._key)
        except _LINK_ERRORS as error:
            logger.debug("a stream ended before it was set up: %s", error)
            self._accepted.discard(task)
            return
        try:
            while True:
                self._take_from_subscriber(link, await link.receive())
        except _LINK_ERRORS as error:
            logger.debug("the stream of subscriber %s ended: %s", link.peer.instance, error)
        finally:
            self._subscribers.discard(link)
            self._standbys.discard(link)
            self._accepted.discard(task)
            if self._helper is link:
                self._helper = None
            link.abort()

    def _take_from_subscriber(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedWanted):
            self._subscribe(link, message)
        elif isinstance(message, FeedLeaving):
            self._pass_on_leaving(message.incarnation, self._link_by_source.values())
        elif isinstance(message, FeedBeat):
            self._take_help(link, message)
        elif isinstance(message, RenewalWanted):
            self.renewals.wanted(link, message)
        else:
            self._take_content(link, message)

    def _take_help(self, link: PeerLink, beat: FeedBeat) -> None:
        """Follow a subscriber that reads the store while this instance cannot."""
        age = beat.age_ms / 1000
        if not self.is_failing() or age >= FRESH_SECONDS:
            return
        if self._helper is None:
            logger.info("%s reads the store for this instance", link.peer.instance)
            self._helper = link
            link.send(FeedWanted(self._mirror.revision, is_standby=False))
        elif self._helper is link and beat.revision <= self._mirror.revision:
            self._confirm(age)

    def _take_content(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedSnapshot):
            self._mirror.replace(unpack(message.packed, Snapshot))
        elif isinstance(message, FeedChanges) and not self._mirror.apply(
            unpack(message.packed, ChangeBatch)
        ):
            link.send(FeedWanted(self._mirror.revision, is_standby=False))

    def _confirm(self, age: float) -> None:
        now = time.monotonic()
        self._peers_current_at = max(self._peers_current_at, now - age)
        self._mirror.confirmed(now, age)

    async def renew_elsewhere(self, lease_id: int) -> bool:
        """Have a lease renewed by one of the sources; tell whether it was."""
        return await self.renewals.ask(lease_id, self._link_by_source.values())

    def tell_leaving(self) -> None:
        """Tell the others that this instance leaves."""
        for link in {*self._subscribers, *self._standbys, *self._link_by_source.values()}:
            link.send(FeedLeaving(self._own.incarnation))

    def _pass_on_leaving(self, incarnation: str, also: Iterable[PeerLink] = ()) -> None:
        """Tell subscribers that an instance leaves, unless that is known."""
        if self._instances.leaves(incarnation):
            for link in {*self._subscribers, *self._standbys, *also}:
                link.send(FeedLeaving(incarnation))

    def _end_helping(self) -> None:
        """Send sources no more of what they read themselves again, and forget a helper."""
        if not self.is_helping():
            self._subscribers.difference_update(self._link_by_source.values())
            self._standbys.difference_update(self._link_by_source.values())
        if self._helper is not None and not self.is_failing():
            self._helper = None

    def _subscribe(self, link: PeerLink, wanted: FeedWanted) -> None:
        if wanted.is_standby:
            self._subscribers.discard(link)
            self._standbys.add(link)
        else:
            if self._mirror.is_filled and wanted.revision < self._mirror.revision:
                link.send(FeedSnapshot(self._packed_snapshot()))
            self._standbys.discard(link)
            self._subscribers.add(link)
        self._beat_to([link])

    def _packed_snapshot(self) -> bytes:
        """Return the copy as it goes out; after a restart of all instances many ask for it."""
        if self._packed[0] != self._mirror.revision:
            self._packed = (self._mirror.revision, pack(self._mirror.snapshot()))
        return self._packed[1]

    def _publish(self, batch: ChangeBatch) -> None:
        if self._subscribers:
            message = FeedChanges(pack(batch))
            for link in self._subscribers:
                link.send(message)

    def _beat(self) -> None:
        helped = self._link_by_source.values() if self.is_helping() else ()
        self._beat_to({*self._subscribers, *self._standbys, *helped})

    def _beat_to(self, subscribers: Iterable[PeerLink]) -> None:
        now = time.monotonic()
        age = now - self._mirror.current_at
        if not self._mirror.is_filled or age == float("inf"):
            return
        is_stale = self.is_failing() and now - self._peers_current_at >= FRESH_SECONDS
        age_ms = STALE_MS if is_stale else min(STALE_MS, int(age * 1000))
        is_direct = self.is_answered()
        beat = FeedBeat(self._mirror.revision, age_ms, is_direct)
        for link in subscribers:
            link.send(beat)

    # Following others.

    def _follow_sources(self) -> None:
        wanted = self._wanted_sources()
        for address in wanted:
            if address not in self._source_by_address:
                self._source_by_address[address] = asyncio.create_task(self._follow(address))
        for address in [a for a in self._source_by_address if a not in wanted]:
            self._source_by_address.pop(address).cancel()

    def _wanted_sources(self) -> set[Address]:
        """Return the addresses of the nearest readers, or of seeds while none is known."""
        own = self._instances.own
        readers = self._instances.store_readers(LEAST_READERS)
        others = [r for r in readers if r.identity.incarnation != own.identity.incarnation]
        if len(others) < len(readers) and not self.is_failing():
            return set()
        if not others:
            if self._mirror.is_filled:
                return set()
            seeds = [s for s in self._seeds if str(s) != own.identity.peer_address]
            return set(seeds[:BOOT_SOURCES])
        others.sort(key=lambda r: self._region_distance(r.region))
        return {Address.parse(r.identity.peer_address) for r in others[:MAX_SOURCES]}

    async def _follow(self, address: Address) -> None:
        while True:
            try:
                link = await links.dial(address, self._own, self._key)
            except _LINK_ERRORS as error:
                logger.info("subscribing to %s failed: %s", address, error)
                filled = self._mirror.is_filled
                await asyncio.sleep(REDIAL_SECONDS if filled else BOOT_REDIAL_SECONDS)
                continue
            logger.info("subscribed to %s at %s", link.peer.instance, address)
            self._link_by_source[address] = link
            try:
                await self._receive(link)
            except _LINK_ERRORS as error:
                logger.info("the subscription to %s ended: %s", address, error)
            finally:
                self._link_by_source.pop(address, None)
                self._subscribers.discard(link)
                self._standbys.discard(link)
                link.abort()
                self._sender_ended(link)
            await asyncio.sleep(REDIAL_SECONDS)

    async def _receive(self, link: PeerLink) -> None:
        if self._sender is None:
            self._take_changes_from(link)
        else:
            link.send(FeedWanted(self._mirror.revision, is_standby=True))
        while True:
            async with asyncio.timeout(LINK_SILENCE_SECONDS):
                message = await link.receive()
            if isinstance(message, FeedBeat):
                self._take_beat(link, message)
            elif isinstance(message, FeedWanted):
                self._subscribe(link, message)
            elif isinstance(message, FeedLeaving):
                self._pass_on_leaving(message.incarnation)
            elif isinstance(message, RenewalDone):
                self.renewals.answered(message)
            else:
                self._take_content(link, message)

    def _take_beat(self, link: PeerLink, beat: FeedBeat) -> None:
        age = beat.age_ms / 1000
        source = link.peer.peer_address
        self._note_standby(link, beat, time.monotonic())
        if age >= FRESH_SECONDS:
            self.feed.failing(source)
        elif beat.revision <= self._mirror.revision:
            self.feed.current(source, is_direct=beat.is_direct)
            self._confirm(age)

    def _take_changes_from(self, link: PeerLink) -> None:
        """Let one source send the changes, and the one that did before only beats."""
        if self._sender is not None:
            self._sender.send(FeedWanted(self._mirror.revision, is_standby=True))
        self._sender = link
        self._behind_since = None
        link.send(FeedWanted(self._mirror.revision, is_standby=False))

    def _sender_ended(self, link: PeerLink) -> None:
        if self._sender is link:
            self._sender = None
            for other in self._link_by_source.values():
                self._take_changes_from(other)
                return

    def _note_standby(self, link: PeerLink, beat: FeedBeat, now: float) -> None:
        """Change over to a standby source that has known more for a while."""
        if link is self._sender:
            return
        if beat.revision <= self._mirror.revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= BEHIND_SECONDS:
            logger.info("%s sends the changes from now on", link.peer.instance)
            self._take_changes_from(link)
