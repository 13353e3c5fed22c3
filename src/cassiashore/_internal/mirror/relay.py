"""Streams between instances that carry what one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

import msgspec

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.mirror.feed_freshness import FeedFreshness, is_fresh
from cassiashore._internal.mirror.feed_subscribers import FeedSubscribers
from cassiashore._internal.mirror.feed_tree import FeedTree
from cassiashore._internal.mirror.follower import MIN_READERS
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.renewals import PeerRenewals
from cassiashore._internal.mirror.sender_choice import SenderChoice
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers import link as links
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import (
    FeedChanges,
    FeedHeartbeat,
    FeedRequest,
    FeedSnapshot,
    Identity,
    LeaveNotice,
    Message,
    RenewalReply,
    RenewalRequest,
    unpack,
)
from cassiashore._internal.store.events import ChangeBatch, Snapshot

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = (
    0.4  # a third of the silence after which a follower reads the store itself
)
REDIAL_SECONDS = 0.5  # an instance that starts again listens after half a second
BOOT_REDIAL_SECONDS = 0.1  # while nothing is known yet; all instances may be starting
MAX_SOURCES = 2  # the one that sends changes, and one on standby
BOOT_SOURCES = 3  # as many seeds as the settings name
STREAM_TIMEOUT_SECONDS = 2.0  # five beats: a stream that went silent without a reset
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
        self.is_fallback_reader: Callable[[], bool] = lambda: False
        self.freshness = FeedFreshness(own.incarnation, mirror)
        self.subscribers = FeedSubscribers(mirror)
        self.renewals = PeerRenewals()
        self._helper: PeerLink | None = None
        self._link_by_source: dict[Address, PeerLink] = {}
        self._own = own
        self._key = key
        self._mirror = mirror
        self._instances = instances
        self._seeds = seeds
        self._region_distance = region_distance
        self._sender: PeerLink | None = None
        self._preferred: list[str] = []
        self._sender_choice = SenderChoice()
        self._beaten_at = float("-inf")
        self._source_by_address: dict[Address, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.StreamWriter] = set()

    async def listen(self, address: Address) -> None:
        """Accept subscribers; raise ``OSError`` when the address is taken."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    async def run(self) -> None:
        """Send beats and keep streams to the instances that read the store."""
        while True:
            self._follow_sources()
            self._end_helping()
            self._beat_if_due()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

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
            self.subscribers.drop([link])
            self._accepted.discard(writer)
            if self._helper is link:
                self._helper = None
            link.abort()

    def _take_from_subscriber(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedRequest):
            self._subscribe(link, message)
        elif isinstance(message, LeaveNotice):
            self._pass_on_leaving(message.incarnation, self._link_by_source.values())
        elif isinstance(message, FeedHeartbeat):
            self._take_help(link, message)
        elif isinstance(message, RenewalRequest):
            self.renewals.wanted(link, message)
        else:
            self._take_content(link, message)

    def _take_help(self, link: PeerLink, beat: FeedHeartbeat) -> None:
        """Follow a subscriber that reads the store while this instance cannot."""
        if not self.freshness.is_failing() or not is_fresh(beat):
            return
        if self._helper is None:
            logger.info("%s reads the store for this instance", link.peer.instance)
            self._helper = link
            link.send(FeedRequest(self._mirror.revision, is_standby=False))
        elif self._helper is link and beat.revision <= self._mirror.revision:
            self.freshness.confirm(beat)

    def _take_content(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedSnapshot):
            self._mirror.replace(unpack(message.packed, Snapshot))
        elif isinstance(message, FeedChanges) and not self._mirror.apply(
            unpack(message.packed, ChangeBatch)
        ):
            link.send(FeedRequest(self._mirror.revision, is_standby=False))

    async def renew_via_peer(self, lease_id: int, *, may_forward: bool = True) -> bool:
        """Have a lease renewed by one of the sources or, if they may ask, by one of theirs."""
        wanted = RenewalRequest(lease_id, may_forward)
        return await self.renewals.ask(wanted, self._link_by_source.values())

    def announce_leaving(self) -> None:
        """Tell the others that this instance leaves."""
        for link in {*self.subscribers.all(), *self._link_by_source.values()}:
            link.send(LeaveNotice(self._own.incarnation))

    def _pass_on_leaving(self, incarnation: str, also: Iterable[PeerLink] = ()) -> None:
        """Tell subscribers that an instance leaves, unless that is known."""
        if self._instances.mark_leaving(incarnation):
            for link in {*self.subscribers.all(), *also}:
                link.send(LeaveNotice(incarnation))

    def _end_helping(self) -> None:
        """Send sources no more of what they read themselves again, and forget a helper."""
        if not self.is_fallback_reader():
            self.subscribers.drop(self._link_by_source.values())
        if self._helper is not None and not self.freshness.is_failing():
            self._helper = None

    def _subscribe(self, link: PeerLink, wanted: FeedRequest) -> None:
        self.subscribers.subscribe(link, wanted)
        self._beat_to([link])

    def _beat_if_due(self) -> None:
        """Send beats unless the sender's were just passed on."""
        if time.monotonic() - self._beaten_at >= HEARTBEAT_INTERVAL_SECONDS:
            self._beat()

    def _beat(self) -> None:
        self._beaten_at = time.monotonic()
        helped = self._link_by_source.values() if self.is_fallback_reader() else ()
        self._beat_to({*self.subscribers.all(), *helped})

    def _beat_to(self, subscribers: Iterable[PeerLink]) -> None:
        beat = self.freshness.next_beat()
        if beat is not None:
            for link in subscribers:
                link.send(beat)

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
        readers = self._instances.store_readers(MIN_READERS)
        is_reader = any(r.identity.incarnation == own.identity.incarnation for r in readers)
        if is_reader and not self.freshness.is_failing():
            return []
        tree = FeedTree.of(readers, self._instances.fallback_readers(MIN_READERS))
        if is_reader or self.is_fallback_reader():
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
            self.subscribers.drop([link])
            link.abort()
            self._sender_ended(link)

    async def _receive(self, link: PeerLink) -> None:
        if self._sender is None or self._is_preferred(link):
            self._take_changes_from(link)
        else:
            link.send(FeedRequest(self._mirror.revision, is_standby=True))
        while True:
            async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                message = await link.receive()
            if isinstance(message, FeedHeartbeat):
                self._take_beat(link, message)
            elif isinstance(message, FeedRequest):
                self._subscribe(link, message)
            elif isinstance(message, LeaveNotice):
                self._pass_on_leaving(message.incarnation)
            elif isinstance(message, RenewalReply):
                self.renewals.answered(message)
            else:
                self._take_content(link, message)

    def _take_beat(self, link: PeerLink, beat: FeedHeartbeat) -> None:
        self._note_standby(link, beat, time.monotonic())
        is_news = self.freshness.take(link.peer.peer_address, beat)
        if is_news and link is self._sender:
            self._beat()  # at once: knowledge that waits at each hop would count as old

    def _take_changes_from(self, link: PeerLink) -> None:
        """Let one source send the changes, and the one that did before only beats."""
        if self._sender is not None:
            self._sender.send(FeedRequest(self._mirror.revision, is_standby=True))
        self._sender = link
        self._sender_choice = SenderChoice()
        link.send(FeedRequest(self._mirror.revision, is_standby=False))

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

    def _note_standby(self, link: PeerLink, beat: FeedHeartbeat, now: float) -> None:
        """Change over to a standby source if that is better."""
        if link is self._sender:
            return
        ahead = beat.revision - self._mirror.revision
        is_preferred = is_fresh(beat) and self._is_preferred(link)
        if self._sender_choice.takes_over(ahead, now, is_preferred=is_preferred):
            logger.info("%s sends the changes from now on", link.peer.instance)
            self._take_changes_from(link)
