"""Streams between instances that carry what one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.mirror.follower import LEAST_READERS, WATCH_SECONDS
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers import link as links
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import (
    FeedBeat,
    FeedChanges,
    FeedLoads,
    FeedSnapshot,
    FeedWanted,
    Identity,
)
from cassiashore._internal.steering.load_exchange import LoadExchange
from cassiashore._internal.store.events import ChangeBatch

logger = logging.getLogger(__name__)

BEAT_SECONDS = 0.4  # a third of the silence after which a follower reads the store itself
# What a watch confirms is as old as its start, and the next one takes as long to confirm more: two
# quiet watches and a beat. Older knowledge may miss changes.
FRESH_SECONDS = 2 * WATCH_SECONDS + 0.4
LOAD_SECONDS = 0.2  # a fraction of an answer time; 4 KB/s at 120 targets heard of in that time
LOAD_INTEREST_SECONDS = 3.0  # after which an instance that told nothing is told nothing
STALE_MS = 60_000  # told while the store cannot be followed
REDIAL_SECONDS = 0.5
BOOT_REDIAL_SECONDS = 0.1  # while nothing is known yet; all instances may be starting
BOOT_POLL_SECONDS = 0.05
MAX_SOURCES = 2
BOOT_SOURCES = 3
LINK_SILENCE_SECONDS = 2.0
_LINK_ERRORS = (OSError, asyncio.IncompleteReadError, ProtocolViolationError, TimeoutError)


class FeedRelay:
    """Subscribes to instances that read the store, and serves those that subscribe here."""

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
        self.on_loads: Callable[[Mapping[int, int]], None] = lambda busy_by_target: None
        self.loads = LoadExchange()
        self._told_loads_at: dict[PeerLink, float] = {}
        self._link_by_source: dict[Address, PeerLink] = {}
        self._heard_by_source: dict[Address, float] = {}
        self._own = own
        self._key = key
        self._mirror = mirror
        self._instances = instances
        self._seeds = seeds
        self._region_distance = region_distance
        self._subscribers: set[PeerLink] = set()
        self._source_by_address: dict[Address, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.Task[None]] = set()
        mirror.on_batch = self._publish

    @property
    def heard_at(self) -> float:
        """Return when a source last told that the mirror is current."""
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

    async def run_loads(self) -> None:
        """Pass on what was heard of the load of targets within the region."""
        while True:
            await asyncio.sleep(LOAD_SECONDS)
            oldest = time.monotonic() - LOAD_INTEREST_SECONDS
            told_by = [link for link, at in self._told_loads_at.items() if at >= oldest]
            for link in [*told_by, *self._sources_in_region()]:
                news = self.loads.news_for(link)
                if news:
                    link.send(FeedLoads(news))
            self.loads.clear()

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
                elif isinstance(message, FeedLoads):
                    self._told_loads_at[link] = time.monotonic()
                    self._take_loads(link, message)
        except _LINK_ERRORS as error:
            logger.debug("the stream of subscriber %s ended: %s", link.peer.instance, error)
        finally:
            self._subscribers.discard(link)
            self._told_loads_at.pop(link, None)
            self._accepted.discard(task)
            link.abort()

    def _subscribe(self, link: PeerLink, wanted: FeedWanted) -> None:
        if self._mirror.is_filled and wanted.revision < self._mirror.revision:
            link.send(FeedSnapshot(self._mirror.snapshot()))
        self._subscribers.add(link)
        self._beat_to([link])

    def _take_loads(self, link: PeerLink, message: FeedLoads) -> None:
        self.on_loads(message.busy_by_target)
        self.loads.received(message.busy_by_target, link)

    def _publish(self, batch: ChangeBatch) -> None:
        for link in self._subscribers:
            link.send(FeedChanges(batch))

    def _beat(self) -> None:
        self._beat_to(list(self._subscribers))

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
        """Return the addresses of the nearest readers, or of seeds while none is known.

        A reader needs no source but the one through which its region's instances exchange loads.
        """
        own = self._instances.own
        readers = self._instances.store_readers(LEAST_READERS)
        others = [r for r in readers if r.identity.incarnation != own.identity.incarnation]
        if len(others) < len(readers):
            first = next(r for r in readers if r.region == own.region)
            is_first = first.identity.incarnation == own.identity.incarnation
            return set() if is_first else {Address.parse(first.identity.peer_address)}
        if not others:
            if self._mirror.is_filled:
                return set()
            seeds = [s for s in self._seeds if str(s) != own.identity.peer_address]
            return set(seeds[:BOOT_SOURCES])
        others.sort(key=lambda r: self._region_distance(r.region))
        return {Address.parse(r.identity.peer_address) for r in others[:MAX_SOURCES]}

    def _sources_in_region(self) -> list[PeerLink]:
        records = self._instances.record_by_incarnation
        return [
            link
            for link in self._link_by_source.values()
            if (record := records.get(link.peer.incarnation)) is not None
            and record.region == self._instances.own.region
        ]

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
                self._heard_by_source.pop(address, None)
                self._link_by_source.pop(address, None)
                link.abort()
            await asyncio.sleep(REDIAL_SECONDS)

    async def _receive(self, address: Address, link: PeerLink) -> None:
        link.send(FeedWanted(self._mirror.revision))
        while True:
            async with asyncio.timeout(LINK_SILENCE_SECONDS):
                message = await link.receive()
            now = time.monotonic()
            if isinstance(message, FeedSnapshot):
                self._mirror.replace(message.snapshot)
            elif isinstance(message, FeedChanges):
                if not self._mirror.apply(message.batch):
                    link.send(FeedWanted(self._mirror.revision))
            elif isinstance(message, FeedLoads):
                self.on_loads(message.busy_by_target)
            elif isinstance(message, FeedBeat):
                age = message.age_ms / 1000
                if age >= FRESH_SECONDS:
                    self._heard_by_source.pop(address, None)
                elif message.revision <= self._mirror.revision:
                    self._heard_by_source[address] = now
                    self._mirror.confirmed(now, age)
