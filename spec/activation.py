"""Model of publishing and activating catalogue versions.

Two operators publish by compare-and-swap from the version that they read. Answers of the store may
be lost after the write took effect; the publisher then tries again and settles from what stands.
Two instances follow the store or each other; either may restart, and then knows nothing.

Checked: a version is one change; what an operator was told is true for ever; no instance applies
what was not accepted; no run of an instance goes back. Bounds: two operators with one change each,
two instances, one restart. Outside: a store that goes back by itself.
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
    """The accepted changes in order, the operators, and the versions in force.

    ``history`` names the change behind each version, from the first on.
    """

    history: tuple[str, ...]
    x: Operator
    y: Operator
    in_force: tuple[int, int]
    restarts: int
    reverted: bool


@dataclass(frozen=True)
class ActivationVariant:
    """Deliberate faults, each of which the checker must find."""

    write_blindly: bool = False
    lost_answer_is_conflict: bool = False
    apply_any_version: bool = False


Step = tuple[str, ActivationState]
IDLE = Operator("idle", 0, 0)
INITIAL = ActivationState((), IDLE, IDLE, (0, 0), 0, False)


class ActivationModel:
    """Transitions for one variant."""

    def __init__(self, variant: ActivationVariant) -> None:
        """Keep the variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List every step that is possible."""
        state = ActivationState(*raw)
        steps = [step for name in OPERATORS for step in self._operator(name, state)]
        steps.extend(step for index in (0, 1) for step in self._instance(index, state))
        return steps

    def _operator(self, name: str, state: ActivationState) -> Iterator[Step]:
        me: Operator = getattr(state, name)
        if me.phase == "idle":
            read = me._replace(phase="read", base=len(state.history))
            yield f"{name} reads", _with(state, name, read)
        if me.phase in ("read", "waiting") and me.attempts < ATTEMPTS:
            yield from self._swap(name, me, state)
        if me.phase == "waiting" and me.attempts == ATTEMPTS:
            yield f"{name} is told unknown", _with(state, name, me._replace(phase="unknown"))

    def _swap(self, name: str, me: Operator, state: ActivationState) -> Iterator[Step]:
        tried = me._replace(attempts=me.attempts + 1)
        fits = len(state.history) == me.base
        history = state.history
        if fits:
            history = (*history, name)
        elif self._variant.write_blindly:
            history = (*history[: me.base], name)
        stands = name in history
        verdict = "accepted" if stands else "conflict"
        written = state._replace(history=history)
        yield f"{name} is told {verdict}", _with(written, name, tried._replace(phase=verdict))
        after_loss = "conflict" if self._variant.lost_answer_is_conflict else "waiting"
        lost = _with(written, name, tried._replace(phase=after_loss))
        yield f"{name} loses the store's answer", lost

    def _instance(self, index: int, state: ActivationState) -> Iterator[Step]:
        own = state.in_force[index]
        offered = {len(state.history), state.in_force[1 - index]}
        for version in sorted(offered):
            if version > own or (self._variant.apply_any_version and version < own):
                reverted = state.reverted or version < own
                yield (
                    f"instance {index} applies {version}",
                    state._replace(in_force=_put(state, index, version), reverted=reverted),
                )
        if own and not state.restarts:
            restarted = state._replace(in_force=_put(state, index, 0), restarts=1)
            yield f"instance {index} restarts", restarted


def _with(state: ActivationState, name: str, operator: Operator) -> ActivationState:
    return state._replace(x=operator) if name == "x" else state._replace(y=operator)


def _put(state: ActivationState, index: int, version: int) -> tuple[int, int]:
    one, other = state.in_force
    return (version, other) if index == 0 else (one, version)


def verdicts_are_true(state: dict[str, Any]) -> bool:
    """Check that an accepted change stands, and one told to conflict does not."""
    for name in OPERATORS:
        phase = state[name].phase
        if phase == "accepted" and name not in state["history"]:
            return False
        if phase == "conflict" and name in state["history"]:
            return False
    return True


def never_reverts(state: dict[str, Any]) -> bool:
    """Check that no run of an instance went back."""
    return not state["reverted"]


def only_accepted(state: dict[str, Any]) -> bool:
    """Check that what is in force was accepted."""
    return all(version <= len(state["history"]) for version in state["in_force"])


def build_model(variant: ActivationVariant | None = None) -> Protocol:
    """Build the model; without a variant it is the real protocol."""
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
