"""Model of the limit on requests to a cold target, shared by instances that start and end.

The list of instances changes step by step, and each instance learns of a change at a later time. Of
the instances in the list that it knows, the first ``SENDERS`` in a fixed order may send to the
target. Each of them has an equal part of half of the limit in each window.

Checked: the requests of all instances in one window stay within the limit. Assumed: within one
window no instance is more than one change of the list behind another. Bounds: ``CHANGES`` changes
of the list.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

LIMIT = 4
SENDERS = 2
OVERLAPPING_SETS = 2
# Each list differs from the previous one by one start or end; the order is the hash order.
LISTS: tuple[tuple[str, ...], ...] = (
    ("b", "c", "d", "e"),
    ("a", "b", "c", "d", "e"),
    ("a", "c", "d", "e"),
)
CHANGES = len(LISTS) - 1
INSTANCES = ("a", "b", "c", "d", "e")


class ColdState(NamedTuple):
    """The current list, the list that each instance knows, and the requests in this window.

    ``sent`` are the requests counted by each instance, ``total`` those received by the target.
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
        """Create a model with the deliberate faults of ``variant``."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return all possible steps from a state."""
        state = ColdState(*raw)
        return [*self._changes(state), *self._sends(state)]

    def allowance(self, instance: str, known: int) -> int:
        """Return the number of requests that an instance may send in a window, by its list."""
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
    """Check that the requests of all instances in this window are within the limit."""
    return bool(state["total"] <= LIMIT)


def build_model(variant: ColdVariant | None = None) -> Protocol:
    """Build the model of the protocol, or of a faulty variant."""
    model = ColdModel(variant or ColdVariant())
    return Protocol(
        name="cold_senders",
        candidate=False,
        fields=ColdState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"stays_within_the_limit": stays_within_the_limit},
    )
