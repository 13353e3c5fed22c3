"""Model of the mirror: a copy of one key of the store, fed by a watch and by another instance.

The store writes and removes the key. Copies and runs of changes leave the store or another mirror
and may arrive at any later time, in any order, more than once.

Checked: what the mirror shows is what stood in the store at the mirror's revision, and the revision
never falls. Bounds: ``WRITES`` changes of one key; messages are any part of the history so far.
Outside: removals that are held back after an outage.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

WRITES = 5
ABSENT = 0


class MirrorState(NamedTuple):
    """The store's value after each revision, and the mirror's revision and value.

    A value is the revision that wrote it, or ``ABSENT``.
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
        """Keep the variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List every step that is possible."""
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
        """Apply the changes of a run that are news to the mirror's own value."""
        value = state.value
        for revision in range(max(after, state.revision) + 1, until + 1):
            if state.history[revision] != state.history[revision - 1]:
                value = state.history[revision]
        return value

    def _moved(self, state: MirrorState, revision: int, value: int) -> MirrorState:
        fell = state.fell or revision < state.revision
        return state._replace(revision=revision, value=value, fell=fell)


def shows_the_store(state: dict[str, Any]) -> bool:
    """Check that the mirror shows what stood in the store at its revision."""
    return bool(state["value"] == state["history"][state["revision"]])


def never_falls(state: dict[str, Any]) -> bool:
    """Check that the mirror's revision only grew."""
    return not state["fell"]


def build_model(variant: MirrorVariant | None = None) -> Protocol:
    """Build the model; without a variant it is the real protocol."""
    model = MirrorModel(variant or MirrorVariant())
    return Protocol(
        name="mirror",
        candidate=False,
        fields=MirrorState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"shows_the_store": shows_the_store, "never_falls": never_falls},
    )
