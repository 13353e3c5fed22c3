"""Model of publishing and activating catalogue versions.

Two operators publish by compare-and-swap from the version that they read. Responses of the store
may be lost after the write took effect; the publisher then retries and determines the outcome from
the current manifest. Two instances read versions from the store or from each other; either may
restart, and then has no version.

Checked: a version is one change; the outcome that an operator was told stays true; no instance
applies a change that was not accepted; no instance returns to an older version unless it restarts.
Bounds: two operators with one change each, two instances, one restart. Not modelled: a store that
loses accepted writes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

ATTEMPTS = 2
OPERATORS = ("x", "y")


class Operator(NamedTuple):
    """Progress of one change: idle, read, waiting, accepted, conflict or unknown."""

    phase: str
    base: int
    attempts: int


class ActivationState(NamedTuple):
    """The accepted changes in order, the operators, and the active versions of the instances.

    ``history`` lists the change of each version, beginning with the first version.
    """

    history: tuple[str, ...]
    x: Operator
    y: Operator
    in_force: tuple[int, int]
    restarts: int
    reverted: bool


@dataclass(frozen=True)
class ActivationVariant:
    """Deliberate faults of the protocol, each of which the model checker must find."""

    write_blindly: bool = False
    lost_answer_is_conflict: bool = False
    apply_any_version: bool = False


Step = tuple[str, ActivationState]
IDLE = Operator("idle", 0, 0)
INITIAL = ActivationState((), IDLE, IDLE, (0, 0), 0, False)


class ActivationModel:
    """Transitions for one variant."""

    def __init__(self, variant: ActivationVariant) -> None:
        """Store the variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List all possible steps from a state."""
        state = ActivationState(*raw)
        steps = [step for name in OPERATORS for step in self._operator(name, state)]
        steps.extend(step for index in (0, 1) for step in self._instance(index, state))
        return steps

    def _operator(self, name: str, state: ActivationState) -> Iterator[Step]:
        operator: Operator = getattr(state, name)
        if operator.phase == "idle":
            read = operator._replace(phase="read", base=len(state.history))
            yield f"{name} reads", _with(state, name, read)
        if operator.phase in ("read", "waiting") and operator.attempts < ATTEMPTS:
            yield from self._compare_and_swap(name, operator, state)
        if operator.phase == "waiting" and operator.attempts == ATTEMPTS:
            yield f"{name} is told unknown", _with(state, name, operator._replace(phase="unknown"))

    def _compare_and_swap(
        self, name: str, operator: Operator, state: ActivationState
    ) -> Iterator[Step]:
        tried = operator._replace(attempts=operator.attempts + 1)
        base_is_current = len(state.history) == operator.base
        history = state.history
        if base_is_current:
            history = (*history, name)
        elif self._variant.write_blindly:
            history = (*history[: operator.base], name)
        is_listed = name in history
        verdict = "accepted" if is_listed else "conflict"
        written = state._replace(history=history)
        yield f"{name} is told {verdict}", _with(written, name, tried._replace(phase=verdict))
        after_loss = "conflict" if self._variant.lost_answer_is_conflict else "waiting"
        lost = _with(written, name, tried._replace(phase=after_loss))
        yield f"{name} loses the store's answer", lost

    def _instance(self, index: int, state: ActivationState) -> Iterator[Step]:
        current = state.in_force[index]
        offered = {len(state.history), state.in_force[1 - index]}
        for version in sorted(offered):
            if version > current or (self._variant.apply_any_version and version < current):
                reverted = state.reverted or version < current
                yield (
                    f"instance {index} applies {version}",
                    state._replace(in_force=_replace_at(state, index, version), reverted=reverted),
                )
        if current and not state.restarts:
            restarted = state._replace(in_force=_replace_at(state, index, 0), restarts=1)
            yield f"instance {index} restarts", restarted


def _with(state: ActivationState, name: str, operator: Operator) -> ActivationState:
    return state._replace(x=operator) if name == "x" else state._replace(y=operator)


def _replace_at(state: ActivationState, index: int, version: int) -> tuple[int, int]:
    first, second = state.in_force
    return (version, second) if index == 0 else (first, version)


def verdicts_are_true(state: dict[str, Any]) -> bool:
    """Check that changes reported as accepted are in the history, and conflicting ones are not."""
    for name in OPERATORS:
        phase = state[name].phase
        if phase == "accepted" and name not in state["history"]:
            return False
        if phase == "conflict" and name in state["history"]:
            return False
    return True


def never_reverts(state: dict[str, Any]) -> bool:
    """Check that no instance returned to an older version without a restart."""
    return not state["reverted"]


def only_accepted(state: dict[str, Any]) -> bool:
    """Check that all active versions were accepted."""
    return all(version <= len(state["history"]) for version in state["in_force"])


def build_model(variant: ActivationVariant | None = None) -> Protocol:
    """Build the model of a variant, by default of the real protocol."""
    model = ActivationModel(variant or ActivationVariant())
    return Protocol(
        name="catalogue activation",
        candidate=False,
        fields=ActivationState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={
            "verdicts_are_true": verdicts_are_true,
            "never_reverts": never_reverts,
            "only_accepted": only_accepted,
        },
    )
