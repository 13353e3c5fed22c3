"""Streams between instances that carry what one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

import msgspec

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.mirror.feed_health import FeedHealth, FeedState
from cassiashore._internal.mirror.feed_tree import FeedTree
from cassiashore._internal.mirror.follower import LEAST_READERS, WATCH_SECONDS
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.recent_changes import RecentChanges
from cassiashore._internal.mirror.renewals import PeerRenewals
from cassiashore._internal.mirror.sender_choice import SenderChoice
from cassiashore._internal.mirror.sightings import Sightings
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
    Sighting,
    pack,
    unpack,
)
from cassiashore._internal.store.events import ChangeBatch, Snapshot

logger = logging.getLogger(__name__)

BEAT_SECONDS = 0.4  # a third of the silence after which a follower reads the store itself
# What a watch confirms is as old as its start, and the next one takes as long to confirm more: two
# quiet watches and a beat. Older knowledge may miss changes.
FRESH_SECONDS = 2 * WATCH_SECONDS + 0.4
STALE_MS = 60_000  # the most that is told
REDIAL_SECONDS = 0.5  # an instance that starts again listens after half a second
BOOT_REDIAL_SECONDS = 0.1  # while nothing is known yet; all instances may be starting
BOOT_POLL_SECONDS = 0.05  # a copy comes within some tens of milliseconds
MAX_SOURCES = 2  # the one that sends changes, and one on standby
BOOT_SOURCES = 3  # as many seeds as the settings name
LINK_SILENCE_SECONDS = 2.0  # five beats: a stream that went silent without a reset
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
    ends or they know more than it: most of the bytes would come twice otherwise. ``feed_tree`` says
    which instances are the sources.

    An instance that reads the store because the readers cannot, a helper, has these as its sources
    and sends them beats as well; they then subscribe to it over the same stream.
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
        self._confirmed_by: Sighting | None = None
        self._away_seen: Sighting | None = None
        self._heard = Sightings(own.incarnation)
        self._heard_away = Sightings(own.incarnation)
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
        self._preferred: list[str] = []
        self._sender_choice = SenderChoice()
        self._recent = RecentChanges()
        self._packed: tuple[int, bytes] = (0, b"")
        self._beaten_at = float("-inf")
        self._source_by_address: dict[Address, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.StreamWriter] = set()
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
            self._beat_if_due()
            await asyncio.sleep(BEAT_SECONDS)

    def close(self) -> None:
        """End all streams."""
        if self._server is not None:
            self._server.close()
        for task in self._source_by_address.values():
            task.cancel()
        # Cancelling the task of an accepted stream would be logged by asyncio as an error.
        for writer in self._accepted:
            writer.close()

    # Serving subscribers.

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted.add(writer)
        try:
            link = await links.accept(reader, writer, self._own, self._key)
        except _LINK_ERRORS as error:
            logger.debug("a stream ended before it was set up: %s", error)
            self._accepted.discard(writer)
            return
        try:
            while True:
                self._take_from_subscriber(link, await link.receive())
        except _LINK_ERRORS as error:
            logger.debug("the stream of subscriber %s ended: %s", link.peer.instance, error)
        finally:
            self._subscribers.discard(link)
            self._standbys.discard(link)
            self._accepted.discard(writer)
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
            self._confirm(beat)

    def _take_content(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedSnapshot):
            self._mirror.replace(unpack(message.packed, Snapshot))
        elif isinstance(message, FeedChanges) and not self._mirror.apply(
            unpack(message.packed, ChangeBatch)
        ):
            link.send(FeedWanted(self._mirror.revision, is_standby=False))

    def _confirm(self, beat: FeedBeat) -> bool:
        """Take in that the mirror is current, unless that is known; tell whether it was news."""
        if not self._heard.is_news(beat.seen):
            return False
        now, age = time.monotonic(), beat.age_ms / 1000
        self._peers_current_at = max(self._peers_current_at, now - age)
        self._mirror.confirmed(now, age)
        self._confirmed_by = beat.seen
        return True

    async def renew_elsewhere(self, lease_id: int, *, may_pass_on: bool = True) -> bool:
        """Have a lease renewed by one of the sources or, if they may ask, by one of theirs."""
        wanted = RenewalWanted(lease_id, may_pass_on)
        return await self.renewals.ask(wanted, self._link_by_source.values())

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
            self._bring_up_to_date(link, wanted.revision)
            self._standbys.discard(link)
            self._subscribers.add(link)
        self._beat_to([link])

    def _bring_up_to_date(self, link: PeerLink, revision: int) -> None:
        if not self._mirror.is_filled or revision >= self._mirror.revision:
            return
        missing = self._recent.after(revision)
        if missing is not None:
            link.send(FeedChanges(pack(missing)))
        else:
            link.send(FeedSnapshot(self._packed_snapshot()))

    def _packed_snapshot(self) -> bytes:
        """Return the copy as it goes out; after a restart of all instances many ask for it."""
        if self._packed[0] != self._mirror.revision:
            self._packed = (self._mirror.revision, pack(self._mirror.snapshot()))
        return self._packed[1]

    def _publish(self, batch: ChangeBatch) -> None:
        self._recent.add(batch)
        if self._subscribers:
            message = FeedChanges(pack(batch))
            for link in self._subscribers:
                link.send(message)

    def _beat_if_due(self) -> None:
        """Send beats unless the sender's were just passed on."""
        if time.monotonic() - self._beaten_at >= BEAT_SECONDS:
            self._beat()

    def _beat(self) -> None:
        self._beaten_at = time.monotonic()
        helped = self._link_by_source.values() if self.is_helping() else ()
        self._beat_to({*self._subscribers, *self._standbys, *helped})

    def _beat_to(self, subscribers: Iterable[PeerLink]) -> None:
        beat = self._next_beat()
        if beat is not None:
            for link in subscribers:
                link.send(beat)

    def _next_beat(self) -> FeedBeat | None:
        """Return what to tell of the store, and who saw it."""
        now = time.monotonic()
        current_at = self._mirror.current_at
        if not self._mirror.is_filled or current_at == float("-inf"):
            return None
        revision = self._mirror.revision
        own = self._own.incarnation
        if self.is_failing() and now - self._peers_current_at >= FRESH_SECONDS:
            return FeedBeat(revision, STALE_MS, Sighting(own, int(now * 1000)), is_away=True)
        others_fail = self.feed.state()[0] is FeedState.FAILING and not self.is_answered()
        if others_fail and self._away_seen is not None:
            return FeedBeat(revision, STALE_MS, self._away_seen, is_away=True)
        seen = self._confirmed_by
        if seen is None or current_at > self._peers_current_at:
            seen = Sighting(own, int(current_at * 1000))
        age_ms = min(STALE_MS, int((now - current_at) * 1000))
        return FeedBeat(revision, age_ms, seen, is_direct=self.is_answered())

    # Following others.

    def _follow_sources(self) -> None:
        wanted = self._wanted_sources()
        self._preferred = [str(address) for address in wanted]
        for address in wanted:
            if address not in self._source_by_address:
                self._source_by_address[address] = asyncio.create_task(self._follow(address))
        for address in [a for a in self._source_by_address if a not in wanted]:
            self._source_by_address.pop(address).cancel()

    def _wanted_sources(self) -> list[Address]:
        """Return the addresses of the sources, preferred ones first.

        Seeds while no instance is known.
        """
        own = self._instances.own
        readers = self._instances.store_readers(LEAST_READERS)
        is_reader = any(r.identity.incarnation == own.identity.incarnation for r in readers)
        if is_reader and not self.is_failing():
            return []
        tree = FeedTree.of(readers, self._instances.others_in_order(LEAST_READERS))
        if is_reader or self.is_helping():
            sources = tree.nearest_readers(own, self._region_distance)
        else:
            sources = tree.sources_of(own, self._region_distance)
        if not sources:
            if self._mirror.is_filled:
                return []
            seeds = [s for s in self._seeds if str(s) != own.identity.peer_address]
            return seeds[:BOOT_SOURCES]
        return [Address.parse(r.identity.peer_address) for r in sources[:MAX_SOURCES]]

    async def _follow(self, address: Address) -> None:
        while True:
            try:
                await self._follow_once(address)
            except _LINK_ERRORS as error:
                logger.info("the subscription to %s ended: %s", address, error)
            except Exception:
                # The address comes from the store, and so does what the stream carries.
                logger.exception("the subscription to %s failed", address)
            await asyncio.sleep(REDIAL_SECONDS if self._mirror.is_filled else BOOT_REDIAL_SECONDS)

    async def _follow_once(self, address: Address) -> None:
        """Subscribe and receive until the stream ends, which raises."""
        link = await links.dial(address, self._own, self._key)
        logger.info("subscribed to %s at %s", link.peer.instance, address)
        self._link_by_source[address] = link
        try:
            await self._receive(link)
        finally:
            self._link_by_source.pop(address, None)
            self._subscribers.discard(link)
            self._standbys.discard(link)
            link.abort()
            self._sender_ended(link)

    async def _receive(self, link: PeerLink) -> None:
        if self._sender is None or self._is_preferred(link):
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
        source = link.peer.peer_address
        self._note_standby(link, beat, time.monotonic())
        if beat.is_away:
            if self._heard_away.is_news(beat.seen):
                self._away_seen = beat.seen
                self.feed.failing(source)
                self._pass_on_beat(link)
        elif beat.age_ms / 1000 < FRESH_SECONDS and beat.revision <= self._mirror.revision:
            self.feed.current(source, is_direct=beat.is_direct)
            if self._confirm(beat):
                self._pass_on_beat(link)

    def _pass_on_beat(self, link: PeerLink) -> None:
        """Tell subscribers at once: knowledge that waits at each hop would count as old."""
        if link is self._sender:
            self._beat()

    def _take_changes_from(self, link: PeerLink) -> None:
        """Let one source send the changes, and the one that did before only beats."""
        if self._sender is not None:
            self._sender.send(FeedWanted(self._mirror.revision, is_standby=True))
        self._sender = link
        self._sender_choice = SenderChoice()
        link.send(FeedWanted(self._mirror.revision, is_standby=False))

    def _sender_ended(self, link: PeerLink) -> None:
        if self._sender is link:
            self._sender = None
            for other in self._link_by_source.values():
                self._take_changes_from(other)
                return

    def _is_preferred(self, link: PeerLink) -> bool:
        """Tell whether a source is preferred to the one that sends the changes."""
        if self._sender is None or len(self._preferred) < 2:
            return False
        return (
            link.peer.peer_address == self._preferred[0]
            and self._sender.peer.peer_address != self._preferred[0]
        )

    def _note_standby(self, link: PeerLink, beat: FeedBeat, now: float) -> None:
        """Change over to a standby source if that is better."""
        if link is self._sender:
            return
        ahead = beat.revision - self._mirror.revision
        is_current = beat.age_ms / 1000 < FRESH_SECONDS
        is_preferred = is_current and self._is_preferred(link)
        if self._sender_choice.takes_over(ahead, now, is_preferred=is_preferred):
            logger.info("%s sends the changes from now on", link.peer.instance)
            self._take_changes_from(link)
