"""Model of request keys that are bound to one run of an instance.

A caller sends copies of one request with the same key; the network may delay, duplicate or lose
each. The owner of the key dispatches or refuses the request; it may crash, and a new run replaces
it. Another instance may receive a copy as well. The checker explores every order.

Checked: the request runs at most once, and if any caller was told "not run", the request has not
run and never will. Bounds: ``COPIES`` copies, one crash, one expiry of the key's time slot. Not
covered: targets that run one received request twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

COPIES = 3
MAX_RUNS = 2


class TicketState(NamedTuple):
    """The owner's record of the key, messages in transit, and outcomes told to callers.

    ``record`` is one of none, dispatched, answered, refused, unknown, expired. ``second_record`` is
    the record of an instance that takes over the key, which only a broken variant does.
    """

    owner: str
    record: str
    second_record: str
    copies_left: int
    inbox: int
    at_target: int
    answers: int
    runs: int
    told_not_run: bool
    told_unknown: bool


@dataclass(frozen=True)
class TicketVariant:
    """Deliberate faults, each of which the checker must detect."""

    take_over_from_dead_owner: bool = False
    reopen_refused_keys: bool = False
    forget_expired_keys: bool = False
    retry_unknown: bool = False


Step = tuple[str, TicketState]
INITIAL = TicketState("up", "none", "none", COPIES, 0, 0, 0, 0, False, False)


class TicketModel:
    """Transitions for one variant."""

    def __init__(self, variant: TicketVariant) -> None:
        """Create the model of a variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List all possible steps."""
        state = TicketState(*raw)
        return [
            *self._network(state),
            *self._owner(state),
            *self._target(state),
            *self._elsewhere(state),
        ]

    def _network(self, state: TicketState) -> Iterator[Step]:
        if state.copies_left:
            sent = state._replace(copies_left=state.copies_left - 1, inbox=state.inbox + 1)
            yield "caller sends a copy", sent
        if state.inbox:
            yield "a copy is lost", state._replace(inbox=state.inbox - 1)

    def _owner(self, state: TicketState) -> Iterator[Step]:
        if state.owner == "up":
            yield "owner crashes", state._replace(owner="dead")
            if state.record != "none" and state.record != "expired":
                after = "none" if self._variant.forget_expired_keys else "expired"
                yield "time slot expires", state._replace(record=after)
        if state.owner != "up" or not state.inbox:
            return
        rest = state._replace(inbox=state.inbox - 1)
        reopened = self._variant.reopen_refused_keys and state.record == "refused"
        if state.record == "none" or reopened:
            yield "owner dispatches", _dispatch(rest)
            yield "owner refuses", rest._replace(record="refused", told_not_run=True)
        elif state.record == "refused":
            yield "owner repeats its refusal", rest._replace(told_not_run=True)
        elif state.record == "unknown" and self._variant.retry_unknown:
            yield "owner dispatches again", _dispatch(rest)
        else:
            yield "owner repeats what it knows", rest._replace(told_unknown=True)

    def _target(self, state: TicketState) -> Iterator[Step]:
        if state.at_target and state.runs < MAX_RUNS:
            ran = state._replace(
                at_target=state.at_target - 1, runs=state.runs + 1, answers=state.answers + 1
            )
            yield "target runs the request", ran
        if state.at_target:
            yield "the request is lost", state._replace(at_target=state.at_target - 1)
        if state.owner == "up" and state.record == "dispatched":
            if state.answers:
                yield (
                    "owner receives the answer",
                    state._replace(record="answered", answers=state.answers - 1),
                )
            yield (
                "owner loses the connection",
                state._replace(record="unknown", told_unknown=True),
            )

    def _elsewhere(self, state: TicketState) -> Iterator[Step]:
        """Deliver a copy to another instance or a new run after the owner has crashed."""
        if state.owner != "dead" or not state.inbox:
            return
        rest = state._replace(inbox=state.inbox - 1)
        if self._variant.take_over_from_dead_owner and state.second_record == "none":
            taken = rest._replace(second_record="dispatched", at_target=rest.at_target + 1)
            yield "another instance takes the key over", taken
        yield "another instance says unknown", rest._replace(told_unknown=True)


def _dispatch(state: TicketState) -> TicketState:
    return state._replace(record="dispatched", at_target=state.at_target + 1)


def at_most_once(state: dict[str, Any]) -> bool:
    """Check that the request ran at most once."""
    return bool(state["runs"] <= 1)


def not_run_is_true(state: dict[str, Any]) -> bool:
    """Check that a request reported as not run has not run and cannot run."""
    pending = state["runs"] + state["at_target"]
    return not (state["told_not_run"] and pending)


def build_model(variant: TicketVariant | None = None) -> Protocol:
    """Build the model; without a variant it is the correct protocol."""
    model = TicketModel(variant or TicketVariant())
    return Protocol(
        name="request keys",
        candidate=False,
        fields=TicketState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"at_most_once": at_most_once, "not_run_is_true": not_run_is_true},
    )
