"""Model of how current instances consider their mirror, from the heartbeats of other instances.

One instance, the reader, calls the store. All instances send the age of their mirror in heartbeats,
in any order and along any path, including cycles. A heartbeat may be lost, or takes up to
``TRANSIT`` ticks, which its receiver cannot measure. A receiver uses only a heartbeat that reports
a newer call than it knows of; otherwise two instances could confirm each other by echoes.

Checked: a follower considers its mirror at most ``FOLLOWERS`` transits younger than the call which
confirmed it, so it considers it old soon after the calls end. Bounds: ``TICKS`` of time, one
heartbeat at a time.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

TICKS = 7
TRANSIT = 1
FOLLOWERS = 2
READER = 0


class Heartbeat(NamedTuple):
    """A heartbeat in transit: the age of its sender's mirror, and the call that confirms it."""

    receiver: int
    age: int
    called_at: int
    ticks: int


class HearsayState(NamedTuple):
    """For each instance, when it considers its mirror current, and the call that confirms it."""

    now: int
    believed: tuple[int, ...]
    called_at: tuple[int, ...]
    beat: Heartbeat | None


@dataclass(frozen=True)
class HearsayVariant:
    """Deliberate faults, each of which the checker must find."""

    take_echoes: bool = False


Step = tuple[str, HearsayState]
INITIAL = HearsayState(0, (0,) * (FOLLOWERS + 1), (0,) * (FOLLOWERS + 1), None)


class HearsayModel:
    """Transitions for one variant."""

    def __init__(self, variant: HearsayVariant) -> None:
        """Create a model with the deliberate faults of ``variant``."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return all possible steps from a state."""
        state = HearsayState(*raw)
        heartbeat = Heartbeat(*state.beat) if state.beat is not None else None
        return [*self._time(state, heartbeat), *self._heartbeats(state, heartbeat)]

    def _time(self, state: HearsayState, heartbeat: Heartbeat | None) -> Iterator[Step]:
        if state.now < TICKS and (heartbeat is None or heartbeat.ticks < TRANSIT):
            later = heartbeat._replace(ticks=heartbeat.ticks + 1) if heartbeat is not None else None
            yield "time passes", state._replace(now=state.now + 1, beat=later)
        if state.called_at[READER] < state.now:
            yield "the reader calls the store", self._update(state, READER, state.now, state.now)

    def _heartbeats(self, state: HearsayState, heartbeat: Heartbeat | None) -> Iterator[Step]:
        if heartbeat is not None:
            yield "a beat is lost", state._replace(beat=None)
            arrived = state._replace(beat=None)
            is_newer = heartbeat.called_at > state.called_at[heartbeat.receiver]
            if is_newer or self._variant.take_echoes:
                believed = max(state.believed[heartbeat.receiver], state.now - heartbeat.age)
                arrived = self._update(arrived, heartbeat.receiver, believed, heartbeat.called_at)
            yield "a beat arrives", arrived
            return
        for sender in range(FOLLOWERS + 1):
            for receiver in range(1, FOLLOWERS + 1):
                if sender != receiver:
                    age = state.now - state.believed[sender]
                    sent = Heartbeat(receiver, age, state.called_at[sender], 0)
                    yield f"{sender} tells {receiver}", state._replace(beat=sent)

    def _update(
        self, state: HearsayState, instance: int, believed: int, called_at: int
    ) -> HearsayState:
        return state._replace(
            believed=_with(state.believed, instance, believed),
            called_at=_with(state.called_at, instance, max(state.called_at[instance], called_at)),
        )


def _with(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def ages_with_the_calls(state: dict[str, Any]) -> bool:
    """Check that no mirror is considered much younger than the call that confirms it."""
    pairs = zip(state["believed"], state["called_at"], strict=True)
    return all(believed - called_at <= FOLLOWERS * TRANSIT for believed, called_at in pairs)


def build_model(variant: HearsayVariant | None = None) -> Protocol:
    """Build the model of the protocol, or of a faulty variant."""
    model = HearsayModel(variant or HearsayVariant())
    return Protocol(
        name="sightings",
        candidate=False,
        fields=HearsayState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"ages_with_the_calls": ages_with_the_calls},
    )
