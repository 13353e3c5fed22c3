"""Model of the limit on requests to a cold target, shared by instances that come and go.

The list of instances changes step by step, and each instance learns of a change at some later time.
Of those that it knows, the first ``SENDERS`` by a fixed order may send to the target; each of them
spends its part of half of the limit in each window.

Checked: all requests of one window stay within the limit. Assumed: within one window no instance is
more than one change of the list behind another. Bounds: ``CHANGES`` changes of the list.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

LIMIT = 4
SENDERS = 2
OVERLAPPING_SETS = 2
# Each list follows from the one before by one start or end; the order is the hash order.
LISTS: tuple[tuple[str, ...], ...] = (
    ("b", "c", "d", "e"),
    ("a", "b", "c", "d", "e"),
    ("a", "c", "d", "e"),
)
CHANGES = len(LISTS) - 1
INSTANCES = ("a", "b", "c", "d", "e")


class ColdState(NamedTuple):
    """The list in force, the list that each instance knows, and requests in this window.

    ``sent`` is what each instance remembers to have sent, ``total`` what the target got.
    """

    current: int
    known: tuple[int, ...]
    sent: tuple[int, ...]
    total: int


@dataclass(frozen=True)
class ColdVariant:
    """Deliberate faults, each of which the checker must find."""

    spends_whole_limit: bool = False
    ignores_order: bool = False
    forgets_at_change: bool = False


Step = tuple[str, ColdState]
NOBODY_SENT = (0,) * len(INSTANCES)
INITIAL = ColdState(0, NOBODY_SENT, NOBODY_SENT, 0)


class ColdModel:
    """Transitions for one variant."""

    def __init__(self, variant: ColdVariant) -> None:
        """Keep the variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List every step that is possible."""
        state = ColdState(*raw)
        return [*self._changes(state), *self._sends(state)]

    def allowance(self, instance: str, known: int) -> int:
        """Return what an instance may send in a window by the list that it knows."""
        members = LISTS[known]
        senders = members if self._variant.ignores_order else members[:SENDERS]
        if instance not in senders:
            return 0
        sets = 1 if self._variant.spends_whole_limit else OVERLAPPING_SETS
        return max(1, LIMIT // sets // SENDERS)

    def _changes(self, state: ColdState) -> Iterator[Step]:
        if state.current < CHANGES and min(state.known) == state.current:
            yield "the list changes", state._replace(current=state.current + 1)
        for index, instance in enumerate(INSTANCES):
            if state.known[index] < state.current:
                known = _with(state.known, index, state.current)
                forgets = self._variant.forgets_at_change
                sent = _with(state.sent, index, 0) if forgets else state.sent
                yield f"{instance} learns the list", state._replace(known=known, sent=sent)
        if state.total and len(set(state.known)) == 1:
            yield "the window passes", state._replace(sent=NOBODY_SENT, total=0)

    def _sends(self, state: ColdState) -> Iterator[Step]:
        for index, instance in enumerate(INSTANCES):
            if state.sent[index] < self.allowance(instance, state.known[index]):
                sent = _with(state.sent, index, state.sent[index] + 1)
                yield f"{instance} sends", state._replace(sent=sent, total=state.total + 1)


def _with(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def stays_within_the_limit(state: dict[str, Any]) -> bool:
    """Check the requests of the window in the sum over all instances."""
    return bool(state["total"] <= LIMIT)


def build_model(variant: ColdVariant | None = None) -> Protocol:
    """Build the model; without a variant it is the real protocol."""
    model = ColdModel(variant or ColdVariant())
    return Protocol(
        name="cold_senders",
        candidate=False,
        fields=ColdState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"stays_within_the_limit": stays_within_the_limit},
    )
