"""Failure detection for the members of this instance's failure domain.

Uses heartbeats, refused connections, newer incarnations and the platform's instance list, and
distinguishes members that have certainly ended from those that only do not answer.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cassiashore._internal.peers.messages import Heartbeat, Identity, ServiceLoad


class MemberState(StrEnum):
    """State of a member.

    ``SUSPECTED`` members send no heartbeats but may still run: they may be paused or slow. ``LOST``
    members send no heartbeats and are no longer listed by the platform; they rejoin when they are
    heard again. ``LEFT`` and ``DEAD`` are final for an incarnation.
    """

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECTED = "suspected"
    LOST = "lost"
    LEFT = "left"
    DEAD = "dead"


FINAL_STATES = frozenset({MemberState.LEFT, MemberState.DEAD})
ENDED_STATES = FINAL_STATES | {MemberState.LOST}


class Evidence(StrEnum):
    """The reason for a change of a member's state."""

    HEARTBEAT = "heartbeat"
    SILENCE = "silence"
    REFUSED = "connection-refused"
    REPLACED = "newer-incarnation"
    GOODBYE = "goodbye"
    UNLISTED = "unlisted-and-silent"


_STATE_AFTER: dict[Evidence, MemberState] = {
    Evidence.HEARTBEAT: MemberState.ALIVE,
    Evidence.SILENCE: MemberState.SUSPECTED,
    Evidence.REFUSED: MemberState.DEAD,
    Evidence.REPLACED: MemberState.DEAD,
    Evidence.GOODBYE: MemberState.LEFT,
    Evidence.UNLISTED: MemberState.LOST,
}


@dataclass(slots=True)
class Member:
    """Another instance of the same failure domain."""

    identity: Identity
    last_heard_at: float
    state: MemberState = MemberState.JOINING
    ready: bool = False
    leaving: bool = False
    synchronized: bool = False
    version: int = 0
    key_slot: int = 0
    loads: list[ServiceLoad] = field(default_factory=list)


StateListener = Callable[[Member, Evidence], None]


class Membership:
    """The other members of this instance's failure domain, by incarnation."""

    def __init__(self, own: Identity, suspect_seconds: float) -> None:
        """Create a table without other members."""
        self.own = own
        self.member_by_incarnation: dict[str, Member] = {}
        self.suspect_factor = 1.0
        self._suspect_seconds = suspect_seconds
        self._listeners: list[StateListener] = []

    def subscribe(self, listener: StateListener) -> None:
        """Call ``listener`` after each change of a member's state."""
        self._listeners.append(listener)

    def add_member(self, identity: Identity, now: float) -> Member | None:
        """Add or find a member; return None if its incarnation has ended or was replaced."""
        member = self.member_by_incarnation.get(identity.incarnation)
        if member is not None:
            if member.state is MemberState.LOST:
                member.state = MemberState.JOINING
                member.last_heard_at = now
            return None if member.state in FINAL_STATES else member
        for other in list(self.member_by_incarnation.values()):
            if not _same_instance_or_address(other.identity, identity):
                continue
            if other.identity.incarnation > identity.incarnation:
                return None
            self._change_state(other, Evidence.REPLACED)
        member = Member(identity, last_heard_at=now)
        self.member_by_incarnation[identity.incarnation] = member
        return member

    def record_heartbeat(self, incarnation: str, heartbeat: Heartbeat, now: float) -> None:
        """Update a member from its heartbeat."""
        member = self.member_by_incarnation.get(incarnation)
        if member is None or member.state in FINAL_STATES:
            return
        member.last_heard_at = now
        member.ready = heartbeat.ready
        member.leaving = heartbeat.leaving
        member.synchronized = heartbeat.synchronized
        member.version = max(member.version, heartbeat.version)
        member.key_slot = heartbeat.key_slot
        if heartbeat.loads is not None:
            member.loads = heartbeat.loads
        self._change_state(member, Evidence.HEARTBEAT)

    def apply_evidence(self, incarnation: str, evidence: Evidence) -> None:
        """Change a member's state according to evidence."""
        member = self.member_by_incarnation.get(incarnation)
        if member is not None:
            self._change_state(member, evidence)

    def check_silence(self, now: float, listed: frozenset[str] | None) -> None:
        """Suspect members whose heartbeats are overdue.

        ``listed`` names the instances in the platform's list, or is None if the list is not known.
        A member is declared lost only if it is both silent and no longer listed, since either
        alone may be wrong.
        """
        for member in list(self.member_by_incarnation.values()):
            if member.state in ENDED_STATES:
                continue
            silent = now - member.last_heard_at > self._suspect_seconds * self.suspect_factor
            if silent and listed is not None and member.identity.instance not in listed:
                self._change_state(member, Evidence.UNLISTED)
            elif silent:
                self._change_state(member, Evidence.SILENCE)

    def resume_after_pause(self, now: float) -> None:
        """Restart the heartbeat timeout of every member after a pause of this process.

        Lost members are treated as running again: during the pause they may have come back, and may
        have declared this instance lost.
        """
        for member in self.member_by_incarnation.values():
            member.last_heard_at = now
            if member.state is MemberState.LOST:
                member.state = MemberState.JOINING

    def running(self) -> list[Member]:
        """Return the members that are not known to have ended."""
        members = self.member_by_incarnation.values()
        return [member for member in members if member.state not in ENDED_STATES]

    def alive(self) -> list[Member]:
        """Return the members with recent heartbeats."""
        members = self.member_by_incarnation.values()
        return [member for member in members if member.state is MemberState.ALIVE]

    def prune_ended(self, keep: int) -> None:
        """Delete the oldest ended members so that at most ``keep`` remain."""
        ended = [m for m in self.member_by_incarnation.values() if m.state in ENDED_STATES]
        ended.sort(key=lambda member: member.last_heard_at, reverse=True)
        for member in ended[keep:]:
            del self.member_by_incarnation[member.identity.incarnation]

    def identities(self) -> Iterable[Identity]:
        """Yield the identity of this instance and of each running member."""
        yield self.own
        for member in self.running():
            yield member.identity

    def _change_state(self, member: Member, evidence: Evidence) -> None:
        state = _STATE_AFTER[evidence]
        if member.state is state or member.state in FINAL_STATES:
            return
        member.state = state
        for listener in self._listeners:
            listener(member, evidence)


def _same_instance_or_address(one: Identity, other: Identity) -> bool:
    return one.instance == other.instance or one.peer_address == other.peer_address
