"""Model of admission rights for exhaustive checking: one target, three instances.

The transitions call ``AdmissionRights`` itself, so the checked code is the code that runs. The
network may delay, reorder and lose every message, and may deliver claims, agreements and reports
twice. Instances crash, start, pause and resume.

A paused instance admits nothing, since ``PauseGuard`` drops its rights before it acts again. The
others may conclude that it ended; it joins again when it resumes.

Bounds: one target, and per configuration the number of faults, the revisions up to which an
instance claims or hands over, whether a third instance starts late, and whether instances withdraw
claims spontaneously (not together with a late instance and pauses: that state space takes more than
a minute). Not covered: a network partition inside the failure domain together with a wrong instance
list, and a pause between the check and the write of one request in the same iteration of the event
loop.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

from minicheck import Protocol

from cassiashore._internal.admission.rights import (
    NOBODY,
    AdmissionRights,
    Claim,
    GivenRights,
    Promise,
    Report,
    Right,
)

TARGET = "orders/a"
NAMES = ("0", "1", "2")
NEWEST_REVISION = 99


class Node(NamedTuple):
    """Snapshot of one instance."""

    status: str
    view: frozenset[str]
    next_holder: str | None
    claim: tuple[int, frozenset[str]] | None
    revision: int
    dropped_at: int
    promise: tuple[str, int] | None
    reports: frozenset[tuple[str, int, bool, bool]]


class Message(NamedTuple):
    """A message in transit."""

    kind: str
    source: str
    destination: str
    revision: int
    held: bool
    claimed: bool
    receiver_revision: int = 0


@dataclass(frozen=True)
class Variant:
    """Deliberate faults, each of which the checker must detect."""

    agree_while_holding: bool = False
    ignore_revisions: bool = False
    ignore_pause_of_receiver: bool = False
    ignore_unknown_members: bool = False
    forget_lost_members: bool = False
    ignore_sender_revision: bool = False


@dataclass(frozen=True)
class Bounds:
    """Limits of one run of the checker."""

    newcomer: bool
    crashes: bool
    pauses: bool
    faults: int
    revisions: int
    withdrawals: bool


CONFIGURATIONS = {
    "two instances, crashes and pauses": Bounds(False, True, True, 2, 3, True),
    "a newcomer, crashes": Bounds(True, True, False, 1, 1, True),
    "a newcomer, pauses": Bounds(True, False, True, 1, 1, False),
}

State = tuple[Any, ...]
Step = tuple[str, State]


def _restore(name: str, node: Node) -> AdmissionRights:
    rights = AdmissionRights(name, lambda target: 0)
    if node.next_holder is not None:
        rights.right_by_target[TARGET] = Right(0.0, node.next_holder)
    if node.claim is not None:
        rights.claim_by_target[TARGET] = Claim(node.claim[0], set(node.claim[1]))
    rights.revision = node.revision
    rights._dropped_at_revision = node.dropped_at
    if node.promise is not None:
        rights._promise_by_target[TARGET] = Promise(*node.promise)
    for member, revision, held, claimed in node.reports:
        rights._report_by_member[member] = Report(revision, _targets(held), _targets(claimed))
    return rights


def _targets(flag: bool) -> frozenset[str]:
    return frozenset({TARGET}) if flag else frozenset()


def _snapshot(rights: AdmissionRights, node: Node) -> Node:
    right = rights.right_by_target.get(TARGET)
    claim = rights.claim_by_target.get(TARGET)
    promise = rights._promise_by_target.get(TARGET)
    return node._replace(
        next_holder=None if right is None else right.next_holder,
        claim=None if claim is None else (claim.revision, frozenset(claim.agreed_by)),
        revision=rights.revision,
        dropped_at=rights._dropped_at_revision,
        promise=None if promise is None else (promise.member, promise.revision),
        reports=frozenset(
            (member, report.revision, bool(report.held), bool(report.claimed))
            for member, report in rights._report_by_member.items()
        ),
    )


def _start_node(view: frozenset[str], *, holds: bool) -> Node:
    return Node("up", view, NOBODY if holds else None, None, 0, 0, None, frozenset())


class RightsModel:
    """Transitions of the whole system for one variant and its bounds."""

    def __init__(self, variant: Variant, bounds: Bounds) -> None:
        """Create the model of a variant within bounds."""
        self._variant = variant
        self._bounds = bounds

    def initial(self) -> State:
        """Return the state in which two instances run and the first holds the right."""
        first = _start_node(frozenset({"1"}), holds=True)
        first = first._replace(reports=frozenset({("1", 0, False, False)}))
        second = _start_node(frozenset({"0"}), holds=False)
        second = second._replace(reports=frozenset({("0", 0, True, False)}))
        status = "absent" if self._bounds.newcomer else "dead"
        third = Node(status, frozenset(), None, None, 0, 0, None, frozenset())
        return (first, second, third, frozenset(), self._bounds.faults)

    def transitions(self, state: State) -> list[Step]:
        """List all possible steps."""
        nodes = dict(zip(NAMES, state[:3], strict=True))
        messages: frozenset[Message] = state[3]
        faults: int = state[4]
        steps: list[Step] = []
        for name, node in nodes.items():
            if node.status == "up":
                steps.extend(self._own_steps(name, nodes, messages, faults))
            if node.status == "paused":
                steps.append(self._resume(name, nodes, messages, faults))
            if node.status == "absent":
                steps.append(self._boot(name, nodes, messages, faults))
            steps.extend(self._declare_ended(name, nodes, messages, faults))
        for message in messages:
            if nodes[message.destination].status == "up":
                steps.extend(self._deliver(message, nodes, messages, faults))
        return steps

    # Steps that one instance takes on its own.

    def _own_steps(
        self, name: str, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Iterator[Step]:
        node = nodes[name]
        if node.revision < self._bounds.revisions and node.claim is None:
            yield from self._try_claim(name, nodes, messages, faults)
        if self._bounds.withdrawals and node.claim is not None:
            rights = _restore(name, node)
            rights.claim([], node.view)
            after = self._after(name, rights, nodes, messages, faults)
            yield f"{name} withdraws its claim", after
        yield from self._try_hand_over(name, nodes, messages, faults)
        if faults == 0:
            return
        if self._bounds.crashes:
            dead = {**nodes, name: node._replace(status="dead")}
            yield f"{name} crashes", _pack(dead, messages, faults - 1)
        if self._bounds.pauses:
            paused = {**nodes, name: node._replace(status="paused")}
            yield f"{name} pauses", _pack(paused, messages, faults - 1)

    def _try_claim(
        self, name: str, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Iterator[Step]:
        rights = _restore(name, nodes[name])
        if not rights.claim([TARGET], nodes[name].view):
            return
        request = [
            Message("claim", name, member, rights.revision, False, False)
            for member in nodes[name].view
        ]
        rights.complete_claims(nodes[name].view, lambda target: 0.0)
        yield (
            f"{name} claims",
            self._after(name, rights, nodes, messages | frozenset(request), faults),
        )

    def _try_hand_over(
        self, name: str, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Iterator[Step]:
        node = nodes[name]
        if node.next_holder is None or node.revision >= self._bounds.revisions:
            return
        for receiver in sorted(node.view):
            rights = _restore(name, node)
            if not rights.all_reported([receiver]):
                continue
            rights.start_hand_over(TARGET, receiver)
            given = rights.finish_hand_overs()[receiver]
            sent = Message("hand", name, receiver, given.sender_revision, False, False)
            sent = sent._replace(receiver_revision=given.receiver_revision)
            after = self._after(name, rights, nodes, messages | {sent}, faults)
            yield f"{name} hands over to {receiver}", after

    def _resume(
        self, name: str, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Step:
        node = nodes[name]
        rights = _restore(name, node)
        rights.drop_all()
        view = node.view
        if not self._variant.forget_lost_members:
            view = frozenset(
                n for n, other in nodes.items() if n != name and other.status in ("up", "paused")
            )
        awake = {**nodes, name: node._replace(status="up", view=view)}
        return f"{name} resumes", self._after(name, rights, awake, messages, faults)

    def _boot(
        self, name: str, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Step:
        """Start an instance, which reads all earlier registrations from the store."""
        view = frozenset(n for n, node in nodes.items() if n != name and node.status != "dead")
        booted = {**nodes, name: _start_node(view, holds=False)}
        hello = frozenset(_report(name, n, booted[name]) for n in view)
        return f"{name} starts", _pack(booted, messages | hello, faults)

    def _declare_ended(
        self, name: str, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Iterator[Step]:
        """Yield the steps in which a running member concludes that this one has ended."""
        if nodes[name].status not in ("dead", "paused"):
            return
        for other, node in nodes.items():
            if node.status != "up" or name not in node.view:
                continue
            rights = _restore(other, node)
            rights.remove_member(name)
            view = node.view - {name}
            if node.claim is not None:
                rights.complete_claims(view, lambda target: 0.0)
            changed = {**nodes, other: node._replace(view=view)}
            lost = {m for m in messages if m.source == name and m.destination == other}
            after = self._after(other, rights, changed, messages - lost, faults)
            yield f"{other} gives up {name}", after

    # Message delivery.

    def _deliver(
        self, message: Message, nodes: dict[str, Node], messages: frozenset[Message], faults: int
    ) -> Iterator[Step]:
        name, source = message.destination, message.source
        node = nodes[name]
        known = source in node.view
        if not known and nodes[source].status != "up":
            return
        view = node.view | {source}
        met = {**nodes, name: node._replace(view=view)}
        rights = _restore(name, node)
        rest = messages - {message} if message.kind == "hand" else messages
        handler: Callable[..., frozenset[Message]] = getattr(self, f"_on_{message.kind}")
        sent = handler(name, rights, message, view)
        if not known:
            sent |= {_report(name, source, node)}
        after = self._after(name, rights, met, rest | sent, faults)
        yield f"{name} receives {message.kind} of {source}", after

    def _on_report(
        self, name: str, rights: AdmissionRights, message: Message, view: frozenset[str]
    ) -> frozenset[Message]:
        if self._variant.ignore_revisions:
            rights._report_by_member.pop(message.source, None)
            promise = rights._promise_by_target.get(TARGET)
            if promise is not None and not message.claimed and promise.member == message.source:
                del rights._promise_by_target[TARGET]
        rights.apply_report(
            message.source, message.revision, _targets(message.held), _targets(message.claimed)
        )
        return frozenset()

    def _on_claim(
        self, name: str, rights: AdmissionRights, message: Message, view: frozenset[str]
    ) -> frozenset[Message]:
        if self._variant.agree_while_holding:
            right = rights.right_by_target.pop(TARGET, None)
            agreed = rights.agree(message.source, message.revision, [TARGET])
            if right is not None:
                rights.right_by_target[TARGET] = right
        else:
            agreed = rights.agree(message.source, message.revision, [TARGET])
        if not agreed:
            return frozenset()
        return frozenset({Message("agree", name, message.source, message.revision, False, False)})

    def _on_agree(
        self, name: str, rights: AdmissionRights, message: Message, view: frozenset[str]
    ) -> frozenset[Message]:
        revision = message.revision
        if self._variant.ignore_revisions:
            revision = NEWEST_REVISION
        rights.record_agreement(message.source, revision, [TARGET])
        rights.complete_claims(view, lambda target: 0.0)
        return frozenset()

    def _on_hand(
        self, name: str, rights: AdmissionRights, message: Message, view: frozenset[str]
    ) -> frozenset[Message]:
        given = GivenRights(message.receiver_revision, message.revision, [TARGET])
        if self._variant.ignore_pause_of_receiver:
            given = replace(given, receiver_revision=NEWEST_REVISION)
        if self._variant.ignore_sender_revision:
            given = replace(given, sender_revision=NEWEST_REVISION)
        running = frozenset() if self._variant.ignore_unknown_members else view
        rights.receive_hand_over(message.source, given, running, 0.0)
        return frozenset()

    def _after(
        self,
        name: str,
        rights: AdmissionRights,
        nodes: dict[str, Node],
        messages: frozenset[Message],
        faults: int,
    ) -> State:
        """Store an instance's new state; send reports to its view if its revision changed."""
        before = nodes[name]
        after = _snapshot(rights, before)
        if after.revision != before.revision:
            reports = frozenset(_report(name, member, after) for member in after.view)
            messages = messages | reports
        return _pack({**nodes, name: after}, messages, faults)


def _report(source: str, destination: str, node: Node) -> Message:
    held, claimed = node.next_holder is not None, node.claim is not None
    return Message("report", source, destination, node.revision, held, claimed)


def _pack(nodes: dict[str, Node], messages: frozenset[Message], faults: int) -> State:
    kept = frozenset(m for m in messages if _is_relevant(m, nodes))
    return (*(nodes[name] for name in NAMES), kept, faults)


def _is_relevant(message: Message, nodes: dict[str, Node]) -> bool:
    """Return whether delivering a message now or later can change a state.

    Irrelevant messages are removed, so that states that differ only in them become equal. A dead
    instance receives nothing. Messages of an instance that was declared ended are lost with its
    link. A receiver ignores messages older than the sender's newest report, and agreements older
    than its claim.
    """
    node = nodes[message.destination]
    if node.status == "dead":
        return False
    known = [r for r in node.reports if r[0] == message.source]
    if message.kind == "report":
        return not known or message.revision > known[0][1]
    if message.kind == "claim":
        return not known or message.revision >= known[0][1]
    if message.kind == "agree":
        claim = node.claim
        if claim is None or message.source in claim[1]:
            return False
        return bool(message.revision >= claim[0])
    return True


def one_holder(state: dict[str, Any]) -> bool:
    """Check that at most one running instance holds the right."""
    nodes = [state[f"node{name}"] for name in NAMES]
    holders = [node for node in nodes if node.status == "up" and node.next_holder is not None]
    return len(holders) <= 1


def build_model(bounds: Bounds, variant: Variant | None = None) -> Protocol:
    """Build the model; without a variant it is the correct protocol."""
    model = RightsModel(variant or Variant(), bounds)
    return Protocol(
        name="admission rights",
        candidate=False,
        fields=(*(f"node{name}" for name in NAMES), "messages", "faults"),
        initial=model.initial(),
        transitions=model.transitions,
        invariants={"one_holder": one_holder},
    )
