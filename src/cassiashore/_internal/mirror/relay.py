"""Streams between instances that carry what one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import msgspec

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.mirror.follower import (
    LEAST_READERS,
    RELAY_SILENCE_SECONDS,
    WATCH_SECONDS,
)
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers import link as links
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import (
    FeedBeat,
    FeedChanges,
    FeedSnapshot,
    FeedWanted,
    Identity,
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
        self._link_by_source: dict[Address, PeerLink] = {}
        self._heard_by_source: dict[Address, float] = {}
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
        """Return when a source last told that the mirror is current, if that is not long ago.

        A source that has ended counts for a while: readers change as instances start and end, and
        if all followers read the store meanwhile, each change costs as many calls.
        """
        oldest = time.monotonic() - RELAY_SILENCE_SECONDS
        for address in [a for a, at in self._heard_by_source.items() if at < oldest]:
            del self._heard_by_source[address]
        return max(self._heard_by_source.values(), default=float("-inf"))

    async def listen(self, address: Address) -> None:
        """Accept subscribers; raise ``OSError`` when the address is taken."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    async def run(self) -> None:
        """Send beats and keep streams to the instances that read the store."""
        while True:
            self._follow_sources()
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
                message = await link.receive()
                if isinstance(message, FeedWanted):
                    self._subscribe(link, message)
        except _LINK_ERRORS as error:
            logger.debug("the stream of subscriber %s ended: %s", link.peer.instance, error)
        finally:
            self._subscribers.discard(link)
            self._standbys.discard(link)
            self._accepted.discard(task)
            link.abort()

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
        self._beat_to([*self._subscribers, *self._standbys])

    def _beat_to(self, subscribers: list[PeerLink]) -> None:
        age = time.monotonic() - self._mirror.current_at
        if not self._mirror.is_filled or age == float("inf"):
            return
        age_ms = STALE_MS if self.is_failing() else int(age * 1000)
        beat = FeedBeat(self._mirror.revision, age_ms)
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
        if len(others) < len(readers):
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
                await self._receive(address, link)
            except _LINK_ERRORS as error:
                logger.info("the subscription to %s ended: %s", address, error)
            finally:
                self._link_by_source.pop(address, None)
                link.abort()
                self._sender_ended(link)
            await asyncio.sleep(REDIAL_SECONDS)

    async def _receive(self, address: Address, link: PeerLink) -> None:
        if self._sender is None:
            self._take_changes_from(link)
        else:
            link.send(FeedWanted(self._mirror.revision, is_standby=True))
        while True:
            async with asyncio.timeout(LINK_SILENCE_SECONDS):
                message = await link.receive()
            now = time.monotonic()
            if isinstance(message, FeedSnapshot):
                self._mirror.replace(unpack(message.packed, Snapshot))
            elif isinstance(message, FeedChanges):
                if not self._mirror.apply(unpack(message.packed, ChangeBatch)):
                    link.send(FeedWanted(self._mirror.revision, is_standby=False))
            elif isinstance(message, FeedBeat):
                age = message.age_ms / 1000
                self._note_standby(link, message, now)
                if age >= FRESH_SECONDS:
                    self._heard_by_source.pop(address, None)
                elif message.revision <= self._mirror.revision:
                    self._heard_by_source[address] = now
                    self._mirror.confirmed(now, age)

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
