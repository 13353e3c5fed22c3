"""Streams between instances that carry the changes which one of them read from the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.mirror.configuration_exchange import ConfigurationExchange
from cassiashore._internal.mirror.feed_knowledge import FeedFreshness, is_fresh
from cassiashore._internal.mirror.feed_subscribers import FeedSubscribers
from cassiashore._internal.mirror.feed_tree import FeedTree
from cassiashore._internal.mirror.follower import MIN_READERS
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.renewals import PeerRenewals
from cassiashore._internal.mirror.sender_choice import SenderChoice
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.peers import link as links
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import (
    ConfigurationContent,
    ConfigurationOffer,
    ConfigurationRequest,
    CrashReport,
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
from cassiashore._internal.requests.poison import CrashReports, PoisonRegistry
from cassiashore._internal.store.events import ChangeBatch, Snapshot

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_SECONDS = 0.4  # a third of the time after which reports of sources expire
RECONNECT_DELAY_SECONDS = 0.5  # an instance accepts streams half a second after a restart
BOOT_RECONNECT_DELAY_SECONDS = 0.1  # until the mirror is filled; all instances may be starting
MAX_SOURCES = 2  # the sender of the changes, and one on standby
MAX_BOOT_SOURCES = 3  # the settings name as many seeds
STREAM_TIMEOUT_SECONDS = 2.0  # five heartbeats; detects streams that fail without a reset
_STREAM_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    ProtocolViolationError,
    TimeoutError,
    *DECODE_ERRORS,
)


class FeedRelay:
    """Subscribes to the sources of this instance, and serves the instances that subscribe to it.

    ``feed_tree`` selects the sources. One of them is the sender of the changes. The others are on
    standby and send heartbeats only, until the sender ends or falls behind; otherwise most of the
    traffic would arrive twice.

    A fallback reader, which reads the store because the readers cannot, has the readers as its
    sources and also sends heartbeats to them. They then subscribe to it over the same stream.

    After a restore of the store, a reader follows other readers until it has the same configuration
    as one of them: two instances alone are both readers, and exchange nothing otherwise.
    """

    def __init__(
        self,
        own: Identity,
        key: bytes,
        mirror: StoreMirror,
        instances: InstanceTable,
        poison: PoisonRegistry,
        seeds: list[Address],
        region_distance: Callable[[str], float],
    ) -> None:
        """Create a relay without streams; ``seeds`` are the sources until instances are known."""
        self.is_fallback_reader: Callable[[], bool] = lambda: False
        self.freshness = FeedFreshness(own.incarnation, mirror)
        self.subscribers = FeedSubscribers(mirror)
        self.renewals = PeerRenewals()
        self.configurations = ConfigurationExchange(mirror, time.monotonic)
        self.freshness.offered_configuration = self.configurations.offered_version
        self._compared_era = 0
        self._fallback_reader: PeerLink | None = None
        self._link_by_source: dict[Address, PeerLink] = {}
        self._own = own
        self._key = key
        self._mirror = mirror
        self._instances = instances
        self._poison = poison
        self._seeds = seeds
        self._region_distance = region_distance
        self._sender: PeerLink | None = None
        self._source_addresses: list[str] = []
        self._sender_choice = SenderChoice()
        self._heartbeats_sent_at = float("-inf")
        self._task_by_source: dict[Address, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._accepted: set[asyncio.StreamWriter] = set()

    async def listen(self, address: Address) -> None:
        """Accept subscribers; raise ``OSError`` if the address is in use."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    async def run(self) -> None:
        """Send heartbeats and keep the streams to the sources open, until cancelled."""
        while True:
            self._follow_sources()
            self._update_fallback()
            self._send_heartbeats_if_due()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def close(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        for task in self._task_by_source.values():
            task.cancel()
        # Cancelling the task of an accepted stream would make asyncio log an error.
        for writer in self._accepted:
            writer.close()

    # Serving subscribers.

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._accepted.add(writer)
        try:
            link = await links.accept(reader, writer, self._own, self._key)
        except _STREAM_ERRORS as error:
            logger.debug("handshake with a subscriber failed: %s", error)
            self._accepted.discard(writer)
            return
        self._instances.record_met(link.peer)
        try:
            while True:
                self._handle_subscriber_message(link, await link.receive())
        except _STREAM_ERRORS as error:
            logger.debug("stream of subscriber %s ended: %s", link.peer.instance, error)
        finally:
            self.subscribers.drop([link])
            self._accepted.discard(writer)
            if self._fallback_reader is link:
                self._fallback_reader = None
            link.abort()

    def _handle_subscriber_message(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedRequest):
            self._subscribe(link, message)
        elif isinstance(message, LeaveNotice):
            self._forward_leaving(message.incarnation, self._link_by_source.values())
        elif isinstance(message, FeedHeartbeat):
            self._follow_fallback_reader(link, message)
        elif isinstance(message, RenewalRequest):
            self.renewals.handle_request(link, message)
        elif isinstance(message, CrashReport):
            self._merge_crash_reports(link, message)
        elif isinstance(message, ConfigurationOffer | ConfigurationRequest | ConfigurationContent):
            self.configurations.handle_message(link, message)
        else:
            self._apply_content(link, message)

    def broadcast_crash_reports(self, reports: CrashReports) -> None:
        """Send reports of requests that crash targets to all subscribers and sources."""
        self._send_crash_reports(reports, self._all_links())

    def _merge_crash_reports(self, link: PeerLink, message: CrashReport) -> None:
        """Use the reports of another instance, and forward those that were new."""
        new_reports = self._poison.merge_reports(message.report_by_fingerprint)
        self._send_crash_reports(new_reports, self._all_links() - {link})

    def _send_crash_reports(self, reports: CrashReports, links: Iterable[PeerLink]) -> None:
        if reports:
            for link in links:
                link.send(CrashReport(self._own.incarnation, {}, reports))

    def _all_links(self) -> set[PeerLink]:
        return {*self.subscribers.all(), *self._link_by_source.values()}

    def _follow_fallback_reader(self, link: PeerLink, heartbeat: FeedHeartbeat) -> None:
        """Subscribe to a subscriber that reads the store while this instance cannot."""
        self._mirror.record_era(heartbeat.era)
        if not self.freshness.is_failing() or not is_fresh(heartbeat):
            return
        if self._fallback_reader is None:
            logger.info("subscribing to fallback reader %s", link.peer.instance)
            self._fallback_reader = link
            link.send(self._feed_request(is_standby=False))
        elif self._fallback_reader is link and self.freshness.is_confirmed_by(heartbeat):
            self.freshness.record_confirmation(heartbeat)

    def _apply_content(self, link: PeerLink, message: Message) -> None:
        if isinstance(message, FeedSnapshot):
            self._mirror.replace(unpack(message.packed, Snapshot))
        elif isinstance(message, FeedChanges) and not self._mirror.apply(
            unpack(message.packed, ChangeBatch)
        ):
            link.send(self._feed_request(is_standby=False))

    def _feed_request(self, *, is_standby: bool) -> FeedRequest:
        return FeedRequest(self._mirror.revision, is_standby, self._mirror.era)

    async def renew_via_peer(
        self, lease_id: int, *, may_forward: bool = True, era: int | None = None
    ) -> bool:
        """Have a lease renewed by a source or, if sources may pass it on, by one of theirs.

        ``era`` is the one in which the lease was granted, or None for the present one.
        """
        granted_in = self._mirror.latest_era if era is None else era
        request = RenewalRequest(lease_id, may_forward, granted_in)
        return await self.renewals.request_renewal(request, self._link_by_source.values())

    def announce_leaving(self) -> None:
        """Announce the shutdown of this instance to all subscribers and sources."""
        for link in self._all_links():
            link.send(LeaveNotice(self._own.incarnation))

    def _forward_leaving(self, incarnation: str, other_links: Iterable[PeerLink] = ()) -> None:
        """Record that an instance is shutting down, and forward it unless that was known."""
        if self._instances.mark_leaving(incarnation):
            for link in {*self.subscribers.all(), *other_links}:
                link.send(LeaveNotice(incarnation))

    def _update_fallback(self) -> None:
        """Stop sending to the sources, or receiving from a fallback reader, when not needed."""
        if not self.is_fallback_reader():
            self.subscribers.drop(self._link_by_source.values())
        if self._fallback_reader is not None and not self.freshness.is_failing():
            self._fallback_reader = None

    def _subscribe(self, link: PeerLink, request: FeedRequest) -> None:
        is_new = link not in self.subscribers.all()
        self.subscribers.subscribe(link, request)
        self._send_heartbeat_to([link])
        if is_new:
            self._send_crash_reports(self._poison.all_reports(), [link])

    def _send_heartbeats_if_due(self) -> None:
        """Send heartbeats unless a heartbeat of the sender was forwarded within the interval."""
        if time.monotonic() - self._heartbeats_sent_at >= HEARTBEAT_INTERVAL_SECONDS:
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        self._heartbeats_sent_at = time.monotonic()
        source_links = self._link_by_source.values() if self.is_fallback_reader() else ()
        self._send_heartbeat_to({*self.subscribers.all(), *source_links})

    def _send_heartbeat_to(self, subscribers: Iterable[PeerLink]) -> None:
        heartbeat = self.freshness.build_heartbeat()
        if heartbeat is not None:
            for link in subscribers:
                link.send(heartbeat)

    # Receiving from sources.

    def _follow_sources(self) -> None:
        """Subscribe to the selected sources; leave the others once one of these is connected."""
        addresses = self._select_sources()
        if addresses is None:
            return
        self._source_addresses = [str(address) for address in addresses]
        for address in addresses:
            if address not in self._task_by_source:
                self._task_by_source[address] = asyncio.create_task(self._follow(address))
        if addresses and not any(address in self._link_by_source for address in addresses):
            return
        for address in [a for a in self._task_by_source if a not in addresses]:
            self._task_by_source.pop(address).cancel()

    def _select_sources(self) -> list[Address] | None:
        """Return the addresses of the sources, preferred ones first; none for a reader.

        While the mirror is empty and no instances are known, these are seeds. None means that the
        present sources stay, since no other ones are known.
        """
        own = self._instances.own
        readers = self._instances.store_readers(MIN_READERS)
        is_reader = any(r.identity.incarnation == own.identity.incarnation for r in readers)
        has_compared = self._compared_era == self._mirror.latest_era
        if is_reader and not self.freshness.is_failing() and (has_compared or len(readers) == 1):
            return []
        tree = FeedTree.of(readers, self._instances.fallback_readers(MIN_READERS))
        if is_reader or self.is_fallback_reader():
            sources = tree.nearest_readers(own, self._region_distance)
        else:
            sources = tree.sources_of(own, self._region_distance)
        if not sources:
            if self._mirror.is_filled:
                return None
            seeds = [s for s in self._seeds if str(s) != own.identity.peer_address]
            return seeds[:MAX_BOOT_SOURCES]
        return [Address.parse(r.identity.peer_address) for r in sources[:MAX_SOURCES]]

    async def _follow(self, address: Address) -> None:
        while True:
            try:
                await self._follow_once(address)
            except _STREAM_ERRORS as error:
                logger.info("subscription to %s ended: %s", address, error)
            except Exception:
                # Data from the store, such as the address, must not end this task.
                logger.exception("subscription to %s failed", address)
            await asyncio.sleep(
                RECONNECT_DELAY_SECONDS if self._mirror.is_filled else BOOT_RECONNECT_DELAY_SECONDS
            )

    async def _follow_once(self, address: Address) -> None:
        """Subscribe to a source and receive until the stream ends, which raises an error."""
        link = await links.dial(address, self._own, self._key)
        logger.info("subscribed to %s at %s", link.peer.instance, address)
        self._instances.record_met(link.peer)
        self._link_by_source[address] = link
        try:
            await self._receive(link)
        finally:
            self._link_by_source.pop(address, None)
            self.subscribers.drop([link])
            link.abort()
            self._replace_sender(link)

    async def _receive(self, link: PeerLink) -> None:
        if self._sender is None or self._is_preferred(link):
            self._set_sender(link)
        else:
            link.send(self._feed_request(is_standby=True))
        self._send_crash_reports(self._poison.all_reports(), [link])
        while True:
            async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                message = await link.receive()
            if isinstance(message, FeedHeartbeat):
                self._handle_heartbeat(link, message)
            elif isinstance(message, FeedRequest):
                self._subscribe(link, message)
            elif isinstance(message, LeaveNotice):
                self._forward_leaving(message.incarnation)
            elif isinstance(message, RenewalReply):
                self.renewals.handle_reply(message)
            elif isinstance(message, CrashReport):
                self._merge_crash_reports(link, message)
            elif isinstance(
                message, ConfigurationOffer | ConfigurationRequest | ConfigurationContent
            ):
                self.configurations.handle_message(link, message)
            else:
                self._apply_content(link, message)

    def _handle_heartbeat(self, link: PeerLink, heartbeat: FeedHeartbeat) -> None:
        self._consider_standby(link, heartbeat, time.monotonic())
        is_new = self.freshness.record_heartbeat(link.peer.peer_address, heartbeat)
        self.configurations.handle_heartbeat(link, heartbeat)
        if heartbeat.era == self._mirror.era and self.configurations.agrees_with(heartbeat):
            self._compared_era = heartbeat.era
        if is_new and link is self._sender:
            self._send_heartbeats()  # immediately: delays at each hop would add up

    def _set_sender(self, link: PeerLink) -> None:
        """Make a source the sender of the changes, and put the previous sender on standby."""
        if self._sender is not None:
            self._sender.send(self._feed_request(is_standby=True))
        self._sender = link
        self._sender_choice = SenderChoice()
        link.send(self._feed_request(is_standby=False))

    def _replace_sender(self, link: PeerLink) -> None:
        if self._sender is link:
            self._sender = None
            for other in self._link_by_source.values():
                self._set_sender(other)
                return

    def _is_preferred(self, link: PeerLink) -> bool:
        """Whether a source is preferred to the sender."""
        if self._sender is None or len(self._source_addresses) < 2:
            return False
        return (
            link.peer.peer_address == self._source_addresses[0]
            and self._sender.peer.peer_address != self._source_addresses[0]
        )

    def _consider_standby(self, link: PeerLink, heartbeat: FeedHeartbeat, now: float) -> None:
        """Make a standby source the sender if it is ahead of the sender or preferred to it."""
        if link is self._sender:
            return
        eras_ahead = heartbeat.era - self._mirror.era
        ahead = eras_ahead or heartbeat.revision - self._mirror.revision
        is_preferred = is_fresh(heartbeat) and self._is_preferred(link)
        if self._sender_choice.takes_over(ahead, now, is_preferred=is_preferred):
            logger.info("changes are now received from %s", link.peer.instance)
            self._set_sender(link)
