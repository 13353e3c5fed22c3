"""Members of the own failure domain and what is known about each.

Takes evidence from heartbeats, refused connections, newer incarnations and the platform's list, and
tells members that stopped for certain from those that are only silent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cassiashore._internal.peers.messages import Heartbeat, Identity, ServiceLoad


class MemberState(StrEnum):
    """What is known about a member.

    ``SUSPECTED`` members are silent but may still run: they may be paused or slow. ``LOST`` ones
    are silent and no longer listed by the platform; they rejoin when they are heard again. ``LEFT``
    and ``DEAD`` are final for an incarnation.
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
    """Why a member changed its state."""

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
    """Table of the members of one failure domain, by incarnation."""

    def __init__(self, own: Identity, suspect_seconds: float) -> None:
        """Create a table that holds no other member yet."""
        self.own = own
        self.member_by_incarnation: dict[str, Member] = {}
        self.suspect_factor = 1.0
        self._suspect_seconds = suspect_seconds
        self._listeners: list[StateListener] = []

    def subscribe(self, listener: StateListener) -> None:
        """Call ``listener`` after each change of a member's state."""
        self._listeners.append(listener)

    def add_member(self, identity: Identity, now: float) -> Member | None:
        """Add a member; return None for one whose incarnation already ended or was replaced."""
        member = self.member_by_incarnation.get(identity.incarnation)
        if member is not None:
            if member.state is MemberState.LOST:
                member.state = MemberState.JOINING
                member.last_heard_at = now
            return None if member.state in FINAL_STATES else member
        for other in list(self.member_by_incarnation.values()):
            if not _same_place(other.identity, identity):
                continue
            if other.identity.incarnation > identity.incarnation:
                return None
            self._move(other, Evidence.REPLACED)
        member = Member(identity, last_heard_at=now)
        self.member_by_incarnation[identity.incarnation] = member
        return member

    def record_heartbeat(self, incarnation: str, heartbeat: Heartbeat, now: float) -> None:
        """Take in a heartbeat."""
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
        self._move(member, Evidence.HEARTBEAT)

    def apply_evidence(self, incarnation: str, evidence: Evidence) -> None:
        """Apply evidence that a member ended."""
        member = self.member_by_incarnation.get(incarnation)
        if member is not None:
            self._move(member, evidence)

    def check_silence(self, now: float, listed: frozenset[str] | None) -> None:
        """Suspect members that are silent.

        ``listed`` names the instances in the platform's list, None when it is not known. A member
        is given up only when it is both silent and no longer listed; either alone may be wrong.
        """
        for member in list(self.member_by_incarnation.values()):
            if member.state in ENDED_STATES:
                continue
            silent = now - member.last_heard_at > self._suspect_seconds * self.suspect_factor
            if silent and listed is not None and member.identity.instance not in listed:
                self._move(member, Evidence.UNLISTED)
            elif silent:
                self._move(member, Evidence.SILENCE)

    def resume_after_pause(self, now: float) -> None:
        """Give every member a new silence period, since the own clock stood still for them.

        Members that were given up as lost count as running again: while this instance was paused
        they may have come back, and may have given this one up.
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
        """Return the members heard of lately."""
        members = self.member_by_incarnation.values()
        return [member for member in members if member.state is MemberState.ALIVE]

    def prune_ended(self, keep: int) -> None:
        """Drop the oldest ended members so that at most ``keep`` of them stay."""
        ended = [m for m in self.member_by_incarnation.values() if m.state in ENDED_STATES]
        ended.sort(key=lambda member: member.last_heard_at, reverse=True)
        for member in ended[keep:]:
            del self.member_by_incarnation[member.identity.incarnation]

    def identities(self) -> Iterable[Identity]:
        """Yield the identity of this instance and of each member that runs."""
        yield self.own
        for member in self.running():
            yield member.identity

    def _move(self, member: Member, evidence: Evidence) -> None:
        state = _STATE_AFTER[evidence]
        if member.state is state or member.state in FINAL_STATES:
            return
        member.state = state
        for listener in self._listeners:
            listener(member, evidence)


def _same_place(one: Identity, other: Identity) -> bool:
    return one.instance == other.instance or one.peer_address == other.peer_address
