"""Model of the mirror: a copy of one key of the store, updated by a watch and by another instance.

The key is written and removed in the store. Snapshots and batches of changes are sent by the store
or another mirror, and may arrive at any later time, in any order, more than once.

Checked: the mirror equals the store at the revision of the mirror, and that revision never
decreases. Bounds: ``WRITES`` changes of one key; messages are any part of the history so far. Not
modelled: removals that are deferred after an outage.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

WRITES = 5
ABSENT = 0


class MirrorState(NamedTuple):
    """The value in the store after each revision, and the revision and value of the mirror.

    A value is the revision that wrote it, or ``ABSENT``. ``fell`` tells whether the revision of the
    mirror ever decreased.
    """

    history: tuple[int, ...]
    revision: int
    value: int
    fell: bool


@dataclass(frozen=True)
class MirrorVariant:
    """Deliberate faults, each of which the checker must find."""

    apply_over_gaps: bool = False
    take_old_copies: bool = False


Step = tuple[str, MirrorState]
INITIAL = MirrorState((ABSENT,), 0, ABSENT, False)


class MirrorModel:
    """Transitions for one variant."""

    def __init__(self, variant: MirrorVariant) -> None:
        """Create a model with the deliberate faults of ``variant``."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return all possible steps from a state."""
        state = MirrorState(*raw)
        return [*self._store(state), *self._copies(state), *self._batches(state)]

    def _store(self, state: MirrorState) -> Iterator[Step]:
        now = len(state.history) - 1
        if now == WRITES:
            return
        yield "the key is written", state._replace(history=(*state.history, now + 1))
        if state.history[-1] != ABSENT:
            yield "the key is removed", state._replace(history=(*state.history, ABSENT))

    def _copies(self, state: MirrorState) -> Iterator[Step]:
        for revision, value in enumerate(state.history):
            if revision < state.revision and not self._variant.take_old_copies:
                continue
            yield f"a copy of {revision} arrives", self._moved(state, revision, value)

    def _batches(self, state: MirrorState) -> Iterator[Step]:
        last = len(state.history) - 1
        for after in range(last + 1):
            for until in range(after, last + 1):
                if after > state.revision and not self._variant.apply_over_gaps:
                    continue
                if until <= state.revision:
                    continue
                value = self._value_after(state, after, until)
                yield f"changes {after} to {until} arrive", self._moved(state, until, value)

    def _value_after(self, state: MirrorState, after: int, until: int) -> int:
        """Return the value of the mirror after the changes of a batch that it does not have yet."""
        value = state.value
        for revision in range(max(after, state.revision) + 1, until + 1):
            if state.history[revision] != state.history[revision - 1]:
                value = state.history[revision]
        return value

    def _moved(self, state: MirrorState, revision: int, value: int) -> MirrorState:
        fell = state.fell or revision < state.revision
        return state._replace(revision=revision, value=value, fell=fell)


def shows_the_store(state: dict[str, Any]) -> bool:
    """Check that the mirror equals the store at the revision of the mirror."""
    return bool(state["value"] == state["history"][state["revision"]])


def never_falls(state: dict[str, Any]) -> bool:
    """Check that the revision of the mirror never decreased."""
    return not state["fell"]


def build_model(variant: MirrorVariant | None = None) -> Protocol:
    """Build the model of the protocol, or of a faulty variant."""
    model = MirrorModel(variant or MirrorVariant())
    return Protocol(
        name="mirror",
        candidate=False,
        fields=MirrorState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"shows_the_store": shows_the_store, "never_falls": never_falls},
    )
