"""Cooperation with other instances: message handlers and periodic tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok

from cassiashore._internal.admission.rights import AdmissionRights, preferred_holder
from cassiashore._internal.catalogue.bundle import digest_of
from cassiashore._internal.catalogue.manifest import Bundle, Manifest
from cassiashore._internal.catalogue.versioned import VersionedCatalogue
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.peers.gossip import Gossip
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.membership import (
    ENDED_STATES,
    Evidence,
    Member,
    Membership,
    MemberState,
)
from cassiashore._internal.peers.mesh import Mesh, MeshListener
from cassiashore._internal.peers.messages import (
    CatalogueManifest,
    CataloguePart,
    CatalogueRequest,
    ClaimReply,
    ClaimRequest,
    CrashReport,
    DomainDigest,
    Goodbye,
    HandOver,
    Heartbeat,
    Identity,
    InstanceList,
    Members,
    Message,
    RightsReport,
)
from cassiashore._internal.peers.rights_manager import RightsManager
from cassiashore._internal.requests.poison import PoisonRegistry
from cassiashore._internal.settings import PeerSettings, StoreSettings
from cassiashore._internal.store.client import ListedInstance, StoreClient

logger = logging.getLogger(__name__)

WATCHERS_PER_DOMAIN = 2  # tolerates the failure of one
STEP_SECONDS = 0.05  # between steps of the rights manager; a tenth of the heartbeat interval
REGISTRATION_PREFIX = "instances/"
REGISTRATION_SECONDS = 600.0  # lease of a registration, which expires if its instance is gone
ENDED_MEMBERS_KEPT = 32  # shown to operators in the status
STORE_RETRY_SECONDS = 1.0  # the store responds in milliseconds or is unreachable for longer
CATALOGUE_REQUEST_INTERVAL_SECONDS = 0.5  # the heartbeat interval; several peers report a version

MessageT = TypeVar("MessageT", bound=Message)
_Handler = Callable[["Cluster", PeerLink, Any], None]
_handler_by_type: dict[type, _Handler] = {}


def _handles(message_type: type) -> Callable[[_Handler], _Handler]:
    """Return a decorator that registers the handler of a message type."""

    def register(handler: _Handler) -> _Handler:
        _handler_by_type[message_type] = handler
        return handler

    return register


class Cluster(MeshListener):
    """Connects membership, gossip, rights and catalogue to the mesh of links."""

    def __init__(
        self,
        own: Identity,
        peer_key: bytes,
        membership: Membership,
        versioned_catalogue: VersionedCatalogue,
        rights: AdmissionRights,
        poison: PoisonRegistry,
        store: StoreClient,
        peer_settings: PeerSettings,
        store_settings: StoreSettings,
        seeds: list[Address],
        decisions: DecisionLog,
        monotonic: Callable[[], float],
    ) -> None:
        """Create the mesh and the rights manager; ``attach`` sets the gossip."""
        self.own = own
        self.mesh = Mesh(own, peer_key, self)
        self.membership = membership
        self.rights_manager = RightsManager(rights, membership, self.mesh, decisions, monotonic)
        self.is_leaving = False
        self.listed_leaving: frozenset[str] = frozenset()
        self._gossip: Gossip | None = None
        self._versioned_catalogue = versioned_catalogue
        self._rights = rights
        self._poison = poison
        self._store = store
        self._peer_settings = peer_settings
        self._store_settings = store_settings
        self._seeds = seeds
        self._decisions = decisions
        self._monotonic = monotonic
        self._pending: _PendingBundle | None = None
        self._catalogue_requested_at = float("-inf")
        self._has_member_list = False
        self._forwarded_list: list[ListedInstance] = []
        self._on_listed: Callable[[frozenset[str]], None] = lambda addresses: None
        membership.subscribe(self._member_changed)

    def attach(self, gossip: Gossip, on_listed: Callable[[frozenset[str]], None]) -> None:
        """Set the gossip, and the listener for addresses that the platform lists as leaving."""
        self._gossip = gossip
        self._on_listed = on_listed

    @property
    def gossip(self) -> Gossip:
        """Return the gossip, which ``attach`` has set."""
        assert self._gossip is not None
        return self._gossip

    # Periodic tasks; each method runs as one task.

    async def run_heartbeats(self) -> None:
        """Send heartbeats, dial members, and detect members whose heartbeats are overdue."""
        while True:
            factor = self.gossip.heartbeat_factor()
            self.membership.suspect_factor = factor
            self.gossip.link_members()
            self.gossip.send_heartbeats()
            self.membership.check_silence(self._monotonic(), self._listed_names())
            self.membership.prune_ended(ENDED_MEMBERS_KEPT)
            await asyncio.sleep(self._peer_settings.heartbeat_ms / 1000 * factor)

    async def run_rights_manager(self) -> None:
        """Run the steps of the rights manager."""
        while True:
            self.rights_manager.step()
            await asyncio.sleep(STEP_SECONDS)

    async def run_digests(self) -> None:
        """Send digests to other failure domains; dial the seeds until members are known."""
        while True:
            catalogue = self._versioned_catalogue.catalogue
            if catalogue is None or not self._has_member_list:
                for seed in self._seeds:
                    self.mesh.ensure_link(seed)
            if catalogue is not None:
                self.gossip.link_domains(sorted(catalogue.region_by_failure_domain))
            self.gossip.send_digests()
            factor = self.gossip.digest_factor()
            await asyncio.sleep(self._peer_settings.digest_ms / 1000 * factor)

    async def run_instance_list(self) -> None:
        """Read the platform's instance list if this is a watcher; forward changes to members."""
        while True:
            if self.is_watcher() or self.gossip.listed is None:
                listed = await self._store.list_instances()
                if isinstance(listed, Ok):
                    self.gossip.listed = listed.ok_value
                    here = self._listed_here()
                    self._on_listed(_leaving_addresses(here))
                    if here != self._forwarded_list:
                        self._forwarded_list = here
                        self.mesh.broadcast(self.mesh.links_in_domain(), InstanceList(here))
            await asyncio.sleep(self._store_settings.instance_list_seconds)

    async def run_registration(self) -> None:
        """Register this run in the store, then read the other registrations.

        Claims are enabled after that: of two instances that start at the same time, the one that
        registers later sees the other. While the store is unreachable, claims are also enabled once
        a running member has sent its list of members, since that member introduces new instances
        to each other.
        """
        while not await self._register():
            if self._has_member_list:
                self.rights_manager.may_claim = True
            await asyncio.sleep(STORE_RETRY_SECONDS)
        self.rights_manager.may_claim = True

    async def _register(self) -> bool:
        prefix = f"{REGISTRATION_PREFIX}{self.own.failure_domain}/"
        lease = await self._store.grant_lease(REGISTRATION_SECONDS)
        if isinstance(lease, Err):
            return False
        key = prefix + self.own.incarnation
        value = msgspec.json.encode(self.own)
        written = await self._store.put_if(key, value, 0, lease.ok_value)
        if isinstance(written, Err):
            current = await self._store.get(key)
            if isinstance(current, Err) or current.ok_value.value != value:
                return False
        keys = await self._store.list_keys(prefix)
        if isinstance(keys, Err):
            return False
        for other in keys.ok_value:
            entry = await self._store.get(other)
            if isinstance(entry, Err):
                return False
            if entry.ok_value.revision:
                self._add_registered(other, entry.ok_value.value)
        return True

    def _add_registered(self, key: str, value: bytes) -> None:
        """Add a registered instance; an entry that another writer left adds none."""
        try:
            identity = msgspec.json.decode(value, type=Identity)
            Address.parse(identity.peer_address)
        except DECODE_ERRORS as error:
            logger.warning('registration "%s" ignored: %s', key, error)
            return
        self._add_member(identity)

    def is_watcher(self) -> bool:
        """Return whether this instance is one of the failure domain's store watchers."""
        alive = [m.identity.incarnation for m in self.membership.alive() if not m.leaving]
        candidates = {self.own.incarnation, *alive}
        for _ in range(WATCHERS_PER_DOMAIN):
            chosen = preferred_holder("store watcher", candidates)
            if chosen == self.own.incarnation:
                return True
            candidates.discard(chosen or "")
        return False

    # Events of this process.

    def announce_catalogue(self) -> None:
        """Announce a new catalogue version to members and other failure domains immediately."""
        self.gossip.send_heartbeats()
        self.gossip.send_digests()

    def broadcast_crash_report(self) -> None:
        """Send what this instance knows of requests that crash targets to all linked instances."""
        report = CrashReport(self.own.incarnation, {}, self._poison.reports())
        self.mesh.broadcast(self.mesh.link_by_incarnation.values(), report)

    def reset_after_pause(self, now: float) -> None:
        """Reset the state that a pause of this process has invalidated."""
        self._rights.drop_all()
        self.membership.resume_after_pause(now)

    def leave(self) -> None:
        """Begin to leave: hand over all rights, and notify the other instances."""
        self.is_leaving = True
        self.rights_manager.leaving = True
        self.gossip.send_heartbeats()
        self.gossip.send_digests()

    def say_goodbye(self) -> None:
        """Drop all rights, and announce to all linked instances that this run ends."""
        self._rights.drop_all()
        self.mesh.broadcast(self.mesh.link_by_incarnation.values(), Goodbye("stopping"))

    # Events of the mesh.

    def link_up(self, link: PeerLink) -> None:
        """Send the initial messages to a newly linked instance."""
        crash_reports = self._poison.all_reports()
        if crash_reports:
            link.send(CrashReport(self.own.incarnation, {}, crash_reports))
        if link.peer.failure_domain != self.own.failure_domain:
            link.send(self.gossip.own_digest())
            return
        if self._add_member(link.peer) is None:
            link.abort()
            return
        for message in self.gossip.initial_messages():
            link.send(message)
        for digest in self.gossip.known_digests():
            link.send(digest)
        if self._forwarded_list:
            link.send(InstanceList(self._forwarded_list))
        self.rights_manager.send_report_to(link)

    def link_down(self, link: PeerLink) -> None:
        """Redial a member immediately: a refused connection proves that it ended."""
        if link.peer.failure_domain == self.own.failure_domain:
            member = self.membership.member_by_incarnation.get(link.peer.incarnation)
            if member is not None and member.state not in ENDED_STATES:
                self.mesh.ensure_link(Address.parse(link.peer.peer_address))

    def connection_refused(self, address: Address, known: frozenset[str]) -> None:
        """Mark the members at an address as ended if they were known before it was dialled."""
        text = str(address)
        for member in self.membership.running():
            identity = member.identity
            if identity.peer_address == text and identity.incarnation in known:
                self.membership.apply_evidence(identity.incarnation, Evidence.REFUSED)

    def known_incarnations(self) -> frozenset[str]:
        """Return the incarnations of the known members."""
        return frozenset(self.membership.member_by_incarnation)

    def received(self, link: PeerLink, message: Message) -> None:
        """Dispatch a message to its handler; ignore messages of ended members."""
        if link.peer.failure_domain == self.own.failure_domain:
            member = self.membership.member_by_incarnation.get(link.peer.incarnation)
            if member is None or member.state in ENDED_STATES:
                return
        elif not isinstance(message, _CROSS_DOMAIN_TYPES):
            logger.warning(
                "ignored a message of %s: %s is not allowed between failure domains",
                link.peer.instance,
                type(message),
            )
            return
        handler = _handler_by_type.get(type(message))
        if handler is not None:
            handler(self, link, message)

    # Handlers.

    @_handles(Heartbeat)
    def _on_heartbeat(self, link: PeerLink, message: Heartbeat) -> None:
        self.membership.record_heartbeat(link.peer.incarnation, message, self._monotonic())
        self._request_newer_catalogue(link, message.version)

    @_handles(Members)
    def _on_members(self, link: PeerLink, message: Members) -> None:
        self._has_member_list = True
        for identity in message.identities:
            if identity.failure_domain == self.own.failure_domain:
                self._add_member(identity)
        self.gossip.link_members()

    @_handles(RightsReport)
    def _on_rights_report(self, link: PeerLink, message: RightsReport) -> None:
        self.rights_manager.on_report(link.peer.incarnation, message)

    @_handles(ClaimRequest)
    def _on_claim_request(self, link: PeerLink, message: ClaimRequest) -> None:
        self.rights_manager.on_claim(link, message)

    @_handles(ClaimReply)
    def _on_claim_reply(self, link: PeerLink, message: ClaimReply) -> None:
        self.rights_manager.on_claim_reply(link.peer.incarnation, message)

    @_handles(HandOver)
    def _on_hand_over(self, link: PeerLink, message: HandOver) -> None:
        self.rights_manager.on_hand_over(link.peer.incarnation, message)

    @_handles(InstanceList)
    def _on_instance_list(self, link: PeerLink, message: InstanceList) -> None:
        domain = self.own.failure_domain
        elsewhere = [x for x in self.gossip.listed or [] if x.failure_domain != domain]
        self.gossip.listed = [*message.instances, *elsewhere]
        self._on_listed(_leaving_addresses(message.instances))

    @_handles(Goodbye)
    def _on_goodbye(self, link: PeerLink, message: Goodbye) -> None:
        self.membership.apply_evidence(link.peer.incarnation, Evidence.GOODBYE)

    @_handles(DomainDigest)
    def _on_digest(self, link: PeerLink, message: DomainDigest) -> None:
        across = link.peer.failure_domain != self.own.failure_domain
        self.gossip.relay(message, from_other_domain=across)
        if across:
            self._request_newer_catalogue(link, message.version)

    @_handles(CrashReport)
    def _on_crash_report(self, link: PeerLink, message: CrashReport) -> None:
        if message.origin == self.own.incarnation:
            return
        if self._poison.merge_reports(message.report_by_fingerprint):
            others = [x for x in self.mesh.link_by_incarnation.values() if x is not link]
            self.mesh.broadcast(others, message)

    @_handles(CatalogueRequest)
    def _on_catalogue_request(self, link: PeerLink, message: CatalogueRequest) -> None:
        bundle = self._versioned_catalogue.bundle
        if bundle is None or bundle.manifest.version <= message.newer_than:
            return
        link.send(CatalogueManifest(bundle.manifest))
        known_parts = set(message.known_parts)
        for digest, content in bundle.part_by_digest.items():
            if digest not in known_parts:
                link.send(CataloguePart(digest, content))

    @_handles(CatalogueManifest)
    def _on_catalogue_manifest(self, link: PeerLink, message: CatalogueManifest) -> None:
        if message.manifest.version <= self._versioned_catalogue.version:
            return
        missing = set(self._versioned_catalogue.missing_parts(message.manifest))
        self._pending = _PendingBundle(message.manifest, missing, {})
        self._complete_pending()

    @_handles(CataloguePart)
    def _on_catalogue_part(self, link: PeerLink, message: CataloguePart) -> None:
        pending = self._pending
        if pending is None or message.digest not in pending.missing:
            return
        if digest_of(message.content) == message.digest:
            pending.missing.discard(message.digest)
            pending.content_by_digest[message.digest] = message.content
        self._complete_pending()

    # Helpers.

    def _complete_pending(self) -> None:
        pending = self._pending
        if pending is None or pending.missing:
            return
        self._pending = None
        bundle: Bundle = self._versioned_catalogue.complete(
            pending.manifest, pending.content_by_digest
        )
        activated = self._versioned_catalogue.activate(bundle)
        if isinstance(activated, Err):
            logger.error("rejected a catalogue from a peer: %s", activated.err_value.faults)

    def _request_newer_catalogue(self, link: PeerLink, version: int) -> None:
        now = self._monotonic()
        if (
            version <= self._versioned_catalogue.version
            or now - self._catalogue_requested_at < CATALOGUE_REQUEST_INTERVAL_SECONDS
        ):
            return
        self._catalogue_requested_at = now
        link.send(
            CatalogueRequest(
                self._versioned_catalogue.version, self._versioned_catalogue.part_digests()
            )
        )

    def _add_member(self, identity: Identity) -> Member | None:
        if identity.incarnation == self.own.incarnation:
            return None
        known = identity.incarnation in self.membership.member_by_incarnation
        member = self.membership.add_member(identity, self._monotonic())
        if member is not None and not known and self._gossip is not None:
            self.gossip.announce_members()
        return member

    def _member_changed(self, member: Member, evidence: Evidence) -> None:
        incarnation = member.identity.incarnation
        self._decisions.write(
            "member",
            instance=member.identity.instance,
            incarnation=incarnation,
            state=member.state.value,
            evidence=evidence.value,
        )
        if member.state in ENDED_STATES:
            self._rights.remove_member(incarnation)
            link = self.mesh.link_by_incarnation.get(incarnation)
            if link is not None and member.state is not MemberState.LEFT:
                link.abort()

    def _listed_names(self) -> frozenset[str] | None:
        listed = self.gossip.listed
        return None if listed is None else frozenset(x.name for x in listed)

    def _listed_here(self) -> list[ListedInstance]:
        domain = self.own.failure_domain
        return [x for x in self.gossip.listed or [] if x.failure_domain == domain]


def _leaving_addresses(listed: list[ListedInstance]) -> frozenset[str]:
    return frozenset(x.address for x in listed if x.leaving)


class _PendingBundle:
    """A catalogue version that is being received from a peer, with its missing parts."""

    def __init__(
        self, manifest: Manifest, missing: set[str], content_by_digest: dict[str, bytes]
    ) -> None:
        self.manifest = manifest
        self.missing = missing
        self.content_by_digest = content_by_digest


_CROSS_DOMAIN_TYPES = (
    DomainDigest,
    CatalogueRequest,
    CatalogueManifest,
    CataloguePart,
    CrashReport,
    Goodbye,
)
