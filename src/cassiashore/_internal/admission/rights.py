"""Admission rights: which instance of a failure domain sends to a target.

At most one instance holds the right to a target at any time, so slots, connections and the target's
part of the shift cap are counted in one place. A right changes hands in two ways only:

* the holder hands it over, after its own requests to the target have ended;
* an instance claims a right that nobody holds, and every other running member agrees. A member
  agrees to one claimant of a target at a time, never for a target that it holds, hands over or
  claims itself, and keeps to its word until the claimant holds the right, ended, or withdrew.

A member that is silent but not known to have ended blocks claims. After a claim the claimant waits
out the longest deadline before it admits, since requests of an ended holder may still run.
``docs/PROOFS.md`` describes the model that is checked.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cassiashore._internal.models.hashing import hash64

NOBODY = ""


@dataclass(slots=True)
class Claim:
    """A claim for which agreement is being collected, begun at a revision of the claimant."""

    revision: int
    agreed_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Right:
    """A held admission right. ``usable_at`` is when the holder may begin to admit."""

    usable_at: float
    next_holder: str = NOBODY


@dataclass(frozen=True, slots=True)
class Promise:
    """The word given to a member, at the revision that the member had then."""

    member: str
    revision: int


@dataclass(frozen=True, slots=True)
class Report:
    """What a member last said that it holds and claims."""

    revision: int
    held: frozenset[str]
    claimed: frozenset[str]


@dataclass(frozen=True, slots=True)
class GivenRights:
    """Rights that were given up for a member.

    ``receiver_revision`` is the newest revision of the receiver that the sender has seen;
    ``sender_revision`` is the sender's own after giving up.
    """

    receiver_revision: int
    sender_revision: int
    targets: list[str]


_NOTHING = Report(-1, frozenset(), frozenset())


def preferred_holder(target_key: str, incarnations: Iterable[str]) -> str | None:
    """Choose the holder of a target by rendezvous hashing over incarnations.

    >>> preferred_holder("orders/a", []) is None
    True
    """
    return max(
        incarnations,
        key=lambda incarnation: hash64(f"{target_key}|{incarnation}"),
        default=None,
    )


class AdmissionRights:
    """The rights of one instance, and its word to others.

    All methods are synchronous: a decision and its record are made in one turn of the event loop.
    ``revision`` grows with every change of what is held or claimed. Messages carry it, so that a
    report that was overtaken is recognised.
    """

    def __init__(self, own: str, in_flight: Callable[[str], int]) -> None:
        """Start without rights; ``in_flight`` counts own requests running on a target."""
        self.own = own
        self.right_by_target: dict[str, Right] = {}
        self.claim_by_target: dict[str, Claim] = {}
        self.revision = 0
        self._dropped_at_revision = 0
        self._in_flight = in_flight
        self._promise_by_target: dict[str, Promise] = {}
        self._report_by_member: dict[str, Report] = {}

    # Questions.

    def may_admit(self, target_key: str, now: float) -> bool:
        """Tell whether a new request may be sent to the target now."""
        right = self.right_by_target.get(target_key)
        return right is not None and not right.next_holder and now >= right.usable_at

    def held(self) -> list[str]:
        """List the targets whose right is held, also while it is being handed over."""
        return sorted(self.right_by_target)

    def claimed(self) -> list[str]:
        """List the targets for which agreement is being collected."""
        return sorted(self.claim_by_target)

    def known_holder(self, target_key: str) -> str:
        """Return the member that says it holds the target, or ``NOBODY``."""
        for member, report in self._report_by_member.items():
            if target_key in report.held:
                return member
        return NOBODY

    def all_reported(self, members: Iterable[str]) -> bool:
        """Tell whether each member has reported what it holds."""
        return all(member in self._report_by_member for member in members)

    # What members say.

    def apply_report(
        self, member: str, revision: int, held: Iterable[str], claimed: Iterable[str]
    ) -> None:
        """Take in what a member holds and claims, unless a newer report was seen.

        A promise ends with a report newer than it that shows no claim: the member holds the target,
        or withdrew. Should both hold a target, which takes a cut
        inside the failure domain and a wrong instance list, the larger incarnation gives it up.
        """
        if revision < self._known_revision(member):
            return
        report = Report(revision, frozenset(held), frozenset(claimed))
        self._report_by_member[member] = report
        for target in report.held:
            self._withdraw(target)
            self._yield_if_contested(target, member)
        for target, promise in list(self._promise_by_target.items()):
            is_newer = promise.member == member and revision > promise.revision
            if is_newer and target not in report.claimed:
                del self._promise_by_target[target]

    def remove_member(self, member: str) -> None:
        """Free what an ended member held or was promised."""
        self._report_by_member.pop(member, None)
        promises = self._promise_by_target
        self._promise_by_target = {t: p for t, p in promises.items() if p.member != member}
        for right in self.right_by_target.values():
            if right.next_holder == member:
                right.next_holder = NOBODY

    # Claims.

    def claim(self, wanted: Iterable[str], running: Iterable[str]) -> list[str]:
        """Begin or repeat claims for targets that nobody is known to hold; return those to ask.

        Claims for other targets are withdrawn, which frees the members of their promises.
        ``running`` are the members that are not known to have ended; each must have reported.
        """
        wanted = list(wanted)
        for target in [t for t in self.claim_by_target if t not in wanted]:
            self._withdraw(target)
        if not self.all_reported(running):
            return []
        asked = []
        for target in wanted:
            if target in self.right_by_target or target in self._promise_by_target:
                continue
            if self.known_holder(target) != NOBODY:
                continue
            if target not in self.claim_by_target:
                self.revision += 1
                self.claim_by_target[target] = Claim(self.revision)
            asked.append(target)
        return asked

    def agree(self, claimant: str, revision: int, targets: Iterable[str]) -> list[str]:
        """Answer a claim made at a revision of the claimant; return the targets agreed to.

        Of two claimants of one target, the one with the smaller incarnation goes first; the other
        withdraws its own claim when asked.
        """
        if revision < self._known_revision(claimant):
            return []
        return [target for target in targets if self._agree_to(target, claimant, revision)]

    def record_agreement(self, member: str, revision: int, agreed: Iterable[str]) -> None:
        """Count a member's agreement to claims as they stood at a revision of this instance."""
        for target in agreed:
            claim = self.claim_by_target.get(target)
            if claim is not None and revision >= claim.revision:
                claim.agreed_by.add(member)

    def complete_claims(
        self, running: Iterable[str], usable_at: Callable[[str], float]
    ) -> list[str]:
        """Turn claims to which all running members agreed into rights; return those targets."""
        needed = set(running)
        won = [t for t, claim in self.claim_by_target.items() if needed <= claim.agreed_by]
        for target in won:
            del self.claim_by_target[target]
            self.right_by_target[target] = Right(usable_at(target))
            self.revision += 1
        return won

    # Hand-over.

    def start_hand_over(self, target_key: str, member: str) -> None:
        """Stop admitting to a target in order to pass its right to a member."""
        right = self.right_by_target.get(target_key)
        if right is not None:
            right.next_holder = member

    def cancel_hand_over(self, target_key: str) -> None:
        """Admit to a target again whose right has not been passed on yet."""
        right = self.right_by_target.get(target_key)
        if right is not None:
            right.next_holder = NOBODY

    def finish_hand_overs(self) -> dict[str, GivenRights]:
        """Give up rights whose own requests have ended; return them by receiver."""
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
        """Take rights that a member passed on; return those taken, which can be used at once.

        A message that was overtaken is not obeyed: one from before a pause of this instance, during
        which the sender may have given it up; one older than the sender's newest report; and one
        for a target that was promised to or is held by another. Nor is one obeyed before each
        running member has reported: one that does not know this instance may claim without its
        agreement. What is not taken is answered by a newer report, which frees the sender of its
        promise.
        """
        taken: list[str] = []
        if self._is_current(sender, given) and self.all_reported(running):
            taken = [t for t in given.targets if self._is_free_to_take(sender, t)]
        for target in taken:
            self._withdraw(target)
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
        """Give up every right and claim at once, after a pause; promises to others stay."""
        self.right_by_target.clear()
        self.claim_by_target.clear()
        self.bump_revision()
        self._dropped_at_revision = self.revision

    def bump_revision(self) -> None:
        """Make the next report newer than every message that members sent before it."""
        self.revision += 1

    def remove_unknown_targets(self, known: frozenset[str]) -> None:
        """Drop rights, claims and promises of targets that the catalogue no longer names."""
        for target in [t for t in self.right_by_target if t not in known]:
            if self._in_flight(target) == 0:
                del self.right_by_target[target]
                self.revision += 1
        for target in [t for t in self.claim_by_target if t not in known]:
            self._withdraw(target)
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
        return self._report_by_member.get(member, _NOTHING).revision

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
        self._withdraw(target)
        self._promise_by_target[target] = Promise(claimant, revision)
        return True

    def _yield_if_contested(self, target: str, member: str) -> None:
        if target in self.right_by_target and member < self.own:
            del self.right_by_target[target]
            self.revision += 1

    def _withdraw(self, target: str) -> None:
        if self.claim_by_target.pop(target, None) is not None:
            self.revision += 1
