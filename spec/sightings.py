"""Model of how current instances consider their mirror, from the heartbeats of other instances.

One instance calls the store; the others send each other the age of their mirror, in any order and
along any path, including cycles. A message may be lost, or takes up to ``TRANSIT`` ticks, which its
receiver cannot measure.

Checked: a follower considers its mirror at most ``FOLLOWERS`` transits younger than the call which
confirmed it, so it considers it old soon after the calls end. Bounds: ``TICKS`` of time, one
message at a time.
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


class Beat(NamedTuple):
    """A message in transit: the age of the mirror of its sender, and the call that confirms it."""

    receiver: int
    age: int
    called_at: int
    ticks: int


class HearsayState(NamedTuple):
    """For each instance, when it considers its mirror current, and the call that confirms it."""

    now: int
    believed: tuple[int, ...]
    called_at: tuple[int, ...]
    beat: Beat | None


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
        beat = Beat(*state.beat) if state.beat is not None else None
        return [*self._time(state, beat), *self._beats(state, beat)]

    def _time(self, state: HearsayState, beat: Beat | None) -> Iterator[Step]:
        if state.now < TICKS and (beat is None or beat.ticks < TRANSIT):
            later = beat._replace(ticks=beat.ticks + 1) if beat is not None else None
            yield "time passes", state._replace(now=state.now + 1, beat=later)
        if state.called_at[READER] < state.now:
            yield "the reader calls the store", self._learned(state, READER, state.now, state.now)

    def _beats(self, state: HearsayState, beat: Beat | None) -> Iterator[Step]:
        if beat is not None:
            yield "a beat is lost", state._replace(beat=None)
            arrived = state._replace(beat=None)
            is_news = beat.called_at > state.called_at[beat.receiver]
            if is_news or self._variant.take_echoes:
                believed = max(state.believed[beat.receiver], state.now - beat.age)
                arrived = self._learned(arrived, beat.receiver, believed, beat.called_at)
            yield "a beat arrives", arrived
            return
        for sender in range(FOLLOWERS + 1):
            for receiver in range(1, FOLLOWERS + 1):
                if sender != receiver:
                    age = state.now - state.believed[sender]
                    sent = Beat(receiver, age, state.called_at[sender], 0)
                    yield f"{sender} tells {receiver}", state._replace(beat=sent)

    def _learned(
        self, state: HearsayState, who: int, believed: int, called_at: int
    ) -> HearsayState:
        return state._replace(
            believed=_with(state.believed, who, believed),
            called_at=_with(state.called_at, who, max(state.called_at[who], called_at)),
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
