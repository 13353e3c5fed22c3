"""Periodic messages: heartbeats inside a failure domain, digests between failure domains."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from cassiashore._internal.admission.rights import preferred_holder
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers.membership import Member, Membership
from cassiashore._internal.peers.mesh import Mesh
from cassiashore._internal.peers.messages import (
    DomainDigest,
    Gateway,
    Heartbeat,
    Members,
    ServiceLoad,
)
from cassiashore._internal.routing.domains import DomainTable
from cassiashore._internal.store.client import ListedInstance

MAX_GATEWAYS = 4  # per digest: two can fail and two are left to share the load
MEMBERS_PER_BASE_INTERVAL = 8  # heartbeats to eight members fit the control traffic budget


@dataclass(frozen=True, slots=True)
class OwnState:
    """State that an instance publishes about itself."""

    leaving: bool
    ready: bool
    synchronized: bool
    version: int
    key_slot: int
    rights_revision: int
    loads: list[ServiceLoad]


class Gossip:
    """Sends heartbeats and digests, and decides which instances to link to."""

    def __init__(
        self,
        membership: Membership,
        domains: DomainTable,
        mesh: Mesh,
        own_state: Callable[[], OwnState],
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create a gossip that sends only when its methods are called."""
        self.listed: list[ListedInstance] | None = None
        self._membership = membership
        self._domains = domains
        self._mesh = mesh
        self._own_state = own_state
        self._monotonic = monotonic
        self._rng = rng
        self._sequence = 0
        self._sent_loads: list[ServiceLoad] | None = None

    # Timing.

    def heartbeat_factor(self) -> float:
        """Return the factor by which a large failure domain extends the heartbeat interval.

        Each member sends to all others, so the interval grows with their number to keep the cost
        per instance constant.
        """
        members = len(self._membership.running()) + 1
        return max(1.0, members / MEMBERS_PER_BASE_INTERVAL)

    # Inside the failure domain.

    def send_heartbeats(self) -> None:
        """Send a heartbeat to each member; include loads only if they changed."""
        state = self._own_state()
        loads = None if state.loads == self._sent_loads else state.loads
        self._sent_loads = state.loads
        self._mesh.broadcast(self._mesh.links_in_domain(), self._heartbeat(state, loads))

    def initial_messages(self) -> list[Heartbeat | Members]:
        """Return the messages that a newly linked member needs first."""
        state = self._own_state()
        identities = list(self._membership.identities())
        return [Members(identities), self._heartbeat(state, state.loads)]

    def announce_members(self) -> None:
        """Send the list of known members to all members."""
        identities = list(self._membership.identities())
        self._mesh.broadcast(self._mesh.links_in_domain(), Members(identities))

    def link_members(self) -> None:
        """Dial all running members, and the instances that the platform lists in this domain."""
        for member in self._membership.running():
            self._mesh.ensure_link(Address.parse(member.identity.peer_address))
        for listed in self.listed or []:
            if listed.failure_domain == self._membership.own.failure_domain:
                self._mesh.ensure_link(Address.parse(listed.peer_address))

    # Between failure domains.

    def link_domains(self, domain_names: list[str]) -> None:
        """Dial the failure domains that this instance is the delegate for; close other links.

        Of two failure domains, the one with the smaller name dials.
        """
        own = self._membership.own
        wanted = {
            name
            for name in domain_names
            if name > own.failure_domain and self._is_delegate_for(name)
        }
        for link in self._mesh.links_to_other_domains():
            if link.dialled and link.peer.failure_domain not in wanted:
                link.abort()
        linked = {link.peer.failure_domain for link in self._mesh.links_to_other_domains()}
        for name in wanted - linked:
            addresses = self._known_addresses(name)
            if addresses:
                self._mesh.ensure_link(self._rng.choice(addresses))

    def send_digests(self) -> None:
        """Send the digest of this failure domain over every link to another one."""
        links = self._mesh.links_to_other_domains()
        if links:
            self._mesh.broadcast(links, self.own_digest())

    def relay(self, digest: DomainDigest, *, from_other_domain: bool) -> None:
        """Store a digest; forward a new one from another failure domain to the members."""
        newer = self._domains.merge(digest, self._monotonic())
        if newer and from_other_domain:
            self._mesh.broadcast(self._mesh.links_in_domain(), digest)

    def own_digest(self) -> DomainDigest:
        """Summarise this failure domain from the heartbeats of its members."""
        state = self._own_state()
        alive = self._membership.alive()
        return DomainDigest(
            failure_domain=self._membership.own.failure_domain,
            version=min([state.version, *(member.version for member in alive)]),
            age_ms=0,
            gateways=self._gateways(state, alive),
            loads=_sum_loads([state.loads, *(member.loads for member in alive)]),
        )

    def digest_factor(self) -> float:
        """Return the factor by which many failure domains extend the digest interval."""
        return self._domains.interval_factor()

    def known_digests(self) -> list[DomainDigest]:
        """Return the digests of other failure domains, for a newly linked member."""
        now = self._monotonic()
        return [
            _with_age(view.digest, int(view.age(now) * 1000))
            for view in self._domains.view_by_domain.values()
        ]

    def _gateways(self, state: OwnState, alive: list[Member]) -> list[Gateway]:
        own = self._membership.own
        gateways = [Gateway(own, state.key_slot, state.ready, state.leaving)]
        for m in alive:
            gateways.append(Gateway(m.identity, m.key_slot, m.ready, m.leaving))
        usable = [g for g in gateways if g.ready and not g.leaving]
        chosen = usable or gateways
        if len(chosen) <= MAX_GATEWAYS:
            return sorted(chosen, key=lambda g: g.identity.instance)
        return self._rng.sample(chosen, MAX_GATEWAYS)

    def _is_delegate_for(self, domain: str) -> bool:
        own = self._membership.own
        members = [m.identity.incarnation for m in self._membership.alive() if not m.leaving]
        delegate = preferred_holder(f"speaker {domain}", [own.incarnation, *members])
        return delegate == own.incarnation

    def _known_addresses(self, domain: str) -> list[Address]:
        view = self._domains.view_by_domain.get(domain)
        texts = {g.identity.peer_address for g in view.digest.gateways} if view else set()
        for listed in self.listed or []:
            if listed.failure_domain == domain:
                texts.add(listed.peer_address)
        return [Address.parse(text) for text in sorted(texts)]

    def _heartbeat(self, state: OwnState, loads: list[ServiceLoad] | None) -> Heartbeat:
        self._sequence += 1
        return Heartbeat(
            sequence=self._sequence,
            leaving=state.leaving,
            ready=state.ready,
            synchronized=state.synchronized,
            version=state.version,
            key_slot=state.key_slot,
            rights_revision=state.rights_revision,
            loads=loads,
        )


def _sum_loads(lists: list[list[ServiceLoad]]) -> list[ServiceLoad]:
    by_service: dict[str, list[ServiceLoad]] = {}
    for loads in lists:
        for load in loads:
            by_service.setdefault(load.service, []).append(load)
    return [
        ServiceLoad(
            service=service,
            free=sum(load.free for load in loads),
            total=sum(load.total for load in loads),
            queued=sum(load.queued for load in loads),
            latency_ms=max(load.latency_ms for load in loads),
        )
        for service, loads in sorted(by_service.items())
    ]


def _with_age(digest: DomainDigest, age_ms: int) -> DomainDigest:
    return DomainDigest(
        digest.failure_domain, digest.version, age_ms, digest.gateways, digest.loads
    )
