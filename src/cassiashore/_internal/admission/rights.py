"""Admission rights: exclusive ownership of targets among the instances of a failure domain.

At most one instance holds the right to a target at any time. The holder alone sends requests to the
target, so its slots, connections and share of the shift cap are counted in one place. A right is
transferred in two ways only:

* The holder hands it over, after its own requests to the target have ended.
* An instance claims a right without a known holder, and every other running member agrees. A member
  agrees to one claimant per target at a time, and never for a target that it holds, hands over or
  claims itself; if two members claim the same target, the one with the larger incarnation withdraws
  its claim. An agreement is a promise: it lasts until the claimant holds the right, has ended, or
  withdraws its claim.

A member that does not answer but is not known to have ended blocks claims. After a successful claim
the new holder waits for the longest request deadline before it admits requests, since requests of
an ended holder may still be running.
``docs/PROOFS.md`` describes the model that is checked.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cassiashore._internal.models.hashing import hash64

NOBODY = ""


@dataclass(slots=True)
class Claim:
    """An open claim: the claimant's revision when it began, and the members that have agreed."""

    revision: int
    agreed_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Right:
    """A held admission right.

    The holder may admit requests from ``usable_at`` on. ``next_holder`` is the member to which the
    right is being handed over, or ``NOBODY``.
    """

    usable_at: float
    next_holder: str = NOBODY


@dataclass(frozen=True, slots=True)
class Promise:
    """An agreement to a member's claim, with that member's revision at the time."""

    member: str
    revision: int


@dataclass(frozen=True, slots=True)
class Report:
    """The targets that a member holds and claims, according to its last report."""

    revision: int
    held: frozenset[str]
    claimed: frozenset[str]


@dataclass(frozen=True, slots=True)
class GivenRights:
    """Rights that were handed over to a member.

    ``receiver_revision`` is the newest revision of the receiver that the sender has seen;
    ``sender_revision`` is the sender's own revision after it released the rights.
    """

    receiver_revision: int
    sender_revision: int
    targets: list[str]


_NO_REPORT = Report(-1, frozenset(), frozenset())


def preferred_holder(target_key: str, incarnations: Iterable[str]) -> str | None:
    """Return the incarnation that should hold a target, by rendezvous hashing.

    >>> preferred_holder("orders/a", []) is None
    True
    """
    return max(
        incarnations,
        key=lambda incarnation: hash64(f"{target_key}|{incarnation}"),
        default=None,
    )


class AdmissionRights:
    """The rights and claims of one instance, and its promises to other members.

    All methods are synchronous, so a decision and its record are made in one iteration of the event
    loop. ``revision`` grows with every change of the held or claimed targets. Messages carry it, so
    that receivers can tell outdated reports.
    """

    def __init__(self, own: str, in_flight: Callable[[str], int]) -> None:
        """Start without rights; ``in_flight`` counts this instance's requests on a target."""
        self.own = own
        self.right_by_target: dict[str, Right] = {}
        self.claim_by_target: dict[str, Claim] = {}
        self.revision = 0
        self._dropped_at_revision = 0
        self._in_flight = in_flight
        self._promise_by_target: dict[str, Promise] = {}
        self._report_by_member: dict[str, Report] = {}

    # Queries.

    def may_admit(self, target_key: str, now: float) -> bool:
        """Return whether a new request may be sent to the target now."""
        right = self.right_by_target.get(target_key)
        return right is not None and not right.next_holder and now >= right.usable_at

    def held(self) -> list[str]:
        """List the targets whose right is held, including those being handed over."""
        return sorted(self.right_by_target)

    def claimed(self) -> list[str]:
        """List the targets with an open claim."""
        return sorted(self.claim_by_target)

    def known_holder(self, target_key: str) -> str:
        """Return the member that reported holding the target, or ``NOBODY``."""
        for member, report in self._report_by_member.items():
            if target_key in report.held:
                return member
        return NOBODY

    def all_reported(self, members: Iterable[str]) -> bool:
        """Return whether each of the members has sent a report."""
        return all(member in self._report_by_member for member in members)

    # Reports of members.

    def apply_report(
        self, member: str, revision: int, held: Iterable[str], claimed: Iterable[str]
    ) -> None:
        """Apply a member's report of what it holds and claims, unless a newer one was applied.

        A promise ends when a newer report of the member no longer contains the claim: the member
        holds the target or withdrew its claim. If both hold the target, which requires a network
        partition inside the failure domain and a wrong instance list at the same time, the instance
        with the larger incarnation releases it.
        """
        if revision < self._known_revision(member):
            return
        report = Report(revision, frozenset(held), frozenset(claimed))
        self._report_by_member[member] = report
        for target in report.held:
            self._withdraw_claim(target)
            self._release_if_contested(target, member)
        for target, promise in list(self._promise_by_target.items()):
            is_newer = promise.member == member and revision > promise.revision
            if is_newer and target not in report.claimed:
                del self._promise_by_target[target]

    def remove_member(self, member: str) -> None:
        """Delete the report of an ended member, promises to it, and hand-overs to it."""
        self._report_by_member.pop(member, None)
        promises = self._promise_by_target
        self._promise_by_target = {t: p for t, p in promises.items() if p.member != member}
        for right in self.right_by_target.values():
            if right.next_holder == member:
                right.next_holder = NOBODY

    # Claims.

    def claim(self, wanted: Iterable[str], running: Iterable[str]) -> list[str]:
        """Claim the wanted targets that have no known holder; return those to request.

        Open claims are repeated. Claims for other targets are withdrawn, which ends the promises of
        the members. ``running`` are the members that are not known to have ended; no target is
        claimed before each of them has reported.
        """
        wanted = list(wanted)
        for target in [t for t in self.claim_by_target if t not in wanted]:
            self._withdraw_claim(target)
        if not self.all_reported(running):
            return []
        claimed_targets = []
        for target in wanted:
            if target in self.right_by_target or target in self._promise_by_target:
                continue
            if self.known_holder(target) != NOBODY:
                continue
            if target not in self.claim_by_target:
                self.revision += 1
                self.claim_by_target[target] = Claim(self.revision)
            claimed_targets.append(target)
        return claimed_targets

    def agree(self, claimant: str, revision: int, targets: Iterable[str]) -> list[str]:
        """Process a member's claim request; return the targets agreed to.

        ``revision`` is the claimant's revision when it sent the request. If this instance claims
        the same target, the smaller incarnation wins: this instance either refuses, or withdraws
        its own claim and agrees.
        """
        if revision < self._known_revision(claimant):
            return []
        return [target for target in targets if self._agree_to(target, claimant, revision)]

    def record_agreement(self, member: str, revision: int, agreed: Iterable[str]) -> None:
        """Record a member's agreement to claims.

        ``revision`` is this instance's revision in the claim request that the member answered; the
        agreement does not count for claims that began later.
        """
        for target in agreed:
            claim = self.claim_by_target.get(target)
            if claim is not None and revision >= claim.revision:
                claim.agreed_by.add(member)

    def complete_claims(
        self, running: Iterable[str], usable_at: Callable[[str], float]
    ) -> list[str]:
        """Turn claims that all running members agreed to into rights; return their targets."""
        needed = set(running)
        granted = [t for t, claim in self.claim_by_target.items() if needed <= claim.agreed_by]
        for target in granted:
            del self.claim_by_target[target]
            self.right_by_target[target] = Right(usable_at(target))
            self.revision += 1
        return granted

    # Hand-over.

    def start_hand_over(self, target_key: str, member: str) -> None:
        """Stop admitting requests to a target in order to hand its right over to a member."""
        right = self.right_by_target.get(target_key)
        if right is not None:
            right.next_holder = member

    def cancel_hand_over(self, target_key: str) -> None:
        """Resume admitting requests to a target whose right was not yet handed over."""
        right = self.right_by_target.get(target_key)
        if right is not None:
            right.next_holder = NOBODY

    def finish_hand_overs(self) -> dict[str, GivenRights]:
        """Release the rights in hand-over that have no requests in flight; return by receiver."""
        targets_by_receiver: dict[str, list[str]] = {}
        for target, right in list(self.right_by_target.items()):
            if not right.next_holder or self._in_flight(target) > 0:
                continue
            receiver_revision = self._known_revision(right.next_holder)
            self._promise_by_target[target] = Promise(right.next_holder, receiver_revision)
            del self.right_by_target[target]
            self.revision += 1
            targets_by_receiver.setdefault(right.next_holder, []).append(target)
        return {
            receiver: GivenRights(self._known_revision(receiver), self.revision, targets)
            for receiver, targets in targets_by_receiver.items()
        }

    def receive_hand_over(
        self,
        sender: str,
        given: GivenRights,
        running: Iterable[str],
        now: float,
    ) -> list[str]:
        """Accept rights that a member handed over; return the accepted targets, usable at once.

        An outdated hand-over is rejected:

        * one sent before a pause of this instance, since the sender may have concluded during the
          pause that this instance ended;
        * one older than the sender's newest report;
        * one for a target that is promised to or held by another member.

        A hand-over is also rejected until every running member has reported, since a member that
        does not know this instance could complete a claim without its agreement. After a rejection
        the next report has a newer revision, which ends the sender's promise.
        """
        taken: list[str] = []
        if self._is_current(sender, given) and self.all_reported(running):
            taken = [t for t in given.targets if self._is_free_to_take(sender, t)]
        for target in taken:
            self._withdraw_claim(target)
            self.right_by_target[target] = Right(now)
            self.revision += 1
        if len(taken) < len(given.targets):
            self.bump_revision()
        report = self._report_by_member.get(sender)
        if report is not None:
            rest = report.held - frozenset(taken)
            self._report_by_member[sender] = Report(report.revision, rest, report.claimed)
        return taken

    def drop_all(self) -> None:
        """Drop every right and claim, after a pause; promises to other members stay valid."""
        self.right_by_target.clear()
        self.claim_by_target.clear()
        self.bump_revision()
        self._dropped_at_revision = self.revision

    def bump_revision(self) -> None:
        """Increase the revision so that the next report supersedes all earlier messages."""
        self.revision += 1

    def remove_unknown_targets(self, known: frozenset[str]) -> None:
        """Drop rights, claims and promises for targets that are not in the catalogue any more."""
        for target in [t for t in self.right_by_target if t not in known]:
            if self._in_flight(target) == 0:
                del self.right_by_target[target]
                self.revision += 1
        for target in [t for t in self.claim_by_target if t not in known]:
            self._withdraw_claim(target)
        promises = self._promise_by_target
        self._promise_by_target = {t: p for t, p in promises.items() if t in known}

    def _is_current(self, sender: str, given: GivenRights) -> bool:
        if given.receiver_revision < self._dropped_at_revision:
            return False
        return given.sender_revision >= self._known_revision(sender)

    def _is_free_to_take(self, sender: str, target: str) -> bool:
        if target in self._promise_by_target or target in self.right_by_target:
            return False
        return not self._held_by_other_than(sender, target)

    def _held_by_other_than(self, member: str, target: str) -> bool:
        reports = self._report_by_member.items()
        return any(target in report.held for name, report in reports if name != member)

    def _known_revision(self, member: str) -> int:
        return self._report_by_member.get(member, _NO_REPORT).revision

    def _agree_to(self, target: str, claimant: str, revision: int) -> bool:
        if target in self.right_by_target:
            return False
        if self._held_by_other_than(claimant, target):
            return False
        promise = self._promise_by_target.get(target)
        if promise is not None and promise.member != claimant:
            return False
        if target in self.claim_by_target and self.own < claimant:
            return False
        self._withdraw_claim(target)
        self._promise_by_target[target] = Promise(claimant, revision)
        return True

    def _release_if_contested(self, target: str, member: str) -> None:
        if target in self.right_by_target and member < self.own:
            del self.right_by_target[target]
            self.revision += 1

    def _withdraw_claim(self, target: str) -> None:
        if self.claim_by_target.pop(target, None) is not None:
            self.revision += 1
