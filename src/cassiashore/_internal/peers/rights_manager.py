"""Moves the admission rights of a failure domain to the members that should hold them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cassiashore._internal.admission.rights import (
    NOBODY,
    AdmissionRights,
    GivenRights,
    preferred_holder,
)
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.membership import Membership, MemberState
from cassiashore._internal.peers.mesh import Mesh
from cassiashore._internal.peers.messages import (
    ClaimReply,
    ClaimRequest,
    HandOver,
    RightsReport,
)

logger = logging.getLogger(__name__)

QUARANTINE_MARGIN_SECONDS = 0.1  # added to the longest request deadline, since timers fire late


class RightsManager:
    """Claims, hands over and reports rights; ``step`` runs periodically."""

    def __init__(
        self,
        rights: AdmissionRights,
        membership: Membership,
        mesh: Mesh,
        decisions: DecisionLog,
        monotonic: Callable[[], float],
    ) -> None:
        """Create a manager that is idle until a catalogue is set; claims start disabled."""
        self.catalogue: Catalogue | None = None
        self.may_claim = False
        self.leaving = False
        self._rights = rights
        self._membership = membership
        self._mesh = mesh
        self._decisions = decisions
        self._monotonic = monotonic
        self._reported_revision = -1
        self._deadline_by_target: dict[str, float] = {}

    def update(self, catalogue: Catalogue) -> None:
        """Apply a catalogue version."""
        self.catalogue = catalogue
        domain = self._membership.own.failure_domain
        self._deadline_by_target = {
            target.key: service.max_deadline_seconds
            for service in catalogue.service_by_name.values()
            for target in service.target_by_name.values()
            if target.failure_domain == domain
        }
        self._rights.remove_unknown_targets(frozenset(self._deadline_by_target))

    def step(self) -> None:
        """Start and finish hand-overs, claim rights, and report changes."""
        if self.catalogue is None:
            return
        self._start_hand_overs()
        for receiver, given in self._rights.finish_hand_overs().items():
            message = HandOver(given.receiver_revision, given.sender_revision, given.targets)
            self._mesh.send(receiver, message)
            self._decisions.write("hand_over", targets=given.targets, to=receiver)
        self._claim()
        self._complete_claims()
        self.report_changes()

    def report_changes(self) -> None:
        """Report held and claimed targets to all members if they changed."""
        if self._rights.revision == self._reported_revision:
            return
        self._reported_revision = self._rights.revision
        self._mesh.broadcast(self._mesh.links_in_domain(), self._report())

    def send_report_to(self, link: PeerLink) -> None:
        """Report held and claimed targets to a newly linked member.

        The report gets a new revision, so it supersedes any message lost with an earlier link.
        """
        self._rights.bump_revision()
        link.send(self._report())
        self.report_changes()

    def on_report(self, member: str, message: RightsReport) -> None:
        """Apply a member's rights report."""
        self._rights.apply_report(member, message.revision, message.held, message.claimed)
        self.report_changes()

    def on_claim(self, link: PeerLink, message: ClaimRequest) -> None:
        """Answer a claim request; report changed own claims first, so that they arrive first."""
        claimant = link.peer.incarnation
        agreed = self._rights.agree(claimant, message.revision, message.targets)
        self.report_changes()
        link.send(ClaimReply(message.revision, agreed))

    def on_claim_reply(self, member: str, message: ClaimReply) -> None:
        """Process a reply to a claim request."""
        self._rights.record_agreement(member, message.revision, message.agreed)
        self._complete_claims()
        self.report_changes()

    def on_hand_over(self, member: str, message: HandOver) -> None:
        """Accept rights that a member hands over."""
        given = GivenRights(message.receiver_revision, message.sender_revision, message.targets)
        now = self._monotonic()
        taken = self._rights.receive_hand_over(member, given, self._running(), now)
        self._decisions.write("hold", targets=taken, why="hand-over")
        self.report_changes()

    def is_synchronized(self) -> bool:
        """Return whether this instance is registered and all running members have reported."""
        return self.may_claim and self._rights.all_reported(self._running())

    def _running(self) -> list[str]:
        return [member.identity.incarnation for member in self._membership.running()]

    def _eligible(self) -> list[str]:
        own = self._membership.own
        catalogue = self.catalogue
        assert catalogue is not None
        eligible = []
        if not self.leaving and not catalogue.instance_is_draining(
            own.instance, own.failure_domain
        ):
            eligible.append(own.incarnation)
        for member in self._membership.alive():
            identity = member.identity
            linked = identity.incarnation in self._mesh.link_by_incarnation
            draining = catalogue.instance_is_draining(identity.instance, own.failure_domain)
            takes_rights = member.ready and member.synchronized and not member.leaving
            if linked and takes_rights and not draining:
                eligible.append(identity.incarnation)
        return eligible

    def _start_hand_overs(self) -> None:
        eligible = self._eligible()
        own = self._membership.own.incarnation
        for target in self._rights.held():
            preferred = preferred_holder(target, eligible) or own
            if preferred == own or not self._rights.all_reported([preferred]):
                self._rights.cancel_hand_over(target)
            else:
                self._rights.start_hand_over(target, preferred)

    def _claim(self) -> None:
        running = self._running()
        if not self.may_claim or self.leaving:
            return
        eligible = self._eligible()
        own = self._membership.own.incarnation
        wanted = [
            target
            for target in self._deadline_by_target
            if preferred_holder(target, eligible) == own
        ]
        claimed_targets = self._rights.claim(wanted, running)
        self.report_changes()
        if claimed_targets:
            request = ClaimRequest(self._rights.revision, claimed_targets)
            for incarnation in running:
                self._mesh.send(incarnation, request)

    def _complete_claims(self) -> None:
        if not self.may_claim:
            return
        now = self._monotonic()

        def usable_at(target: str) -> float:
            deadline = self._deadline_by_target.get(target, 0.0)
            return now + deadline + QUARANTINE_MARGIN_SECONDS

        granted = self._rights.complete_claims(self._running(), usable_at)
        if granted:
            self._decisions.write("hold", targets=granted, why="claim")

    def _report(self) -> RightsReport:
        rights = self._rights
        return RightsReport(rights.revision, rights.held(), rights.claimed())


def describe_unheld_targets(
    rights: AdmissionRights, membership: Membership, targets: list[str]
) -> str:
    """Describe the targets without a known holder and the likely cause, for operators."""
    silent = [
        member.identity.instance
        for member in membership.running()
        if member.state is MemberState.SUSPECTED
    ]
    unheld = [t for t in targets if rights.known_holder(t) == NOBODY and t not in rights.held()]
    if not unheld:
        return "every target has a holder"
    names = ", ".join(silent) or "nobody"
    return f"{len(unheld)} targets have no holder; silent members: {names}"
