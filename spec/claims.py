"""Model of store claims: two instances receive copies of a request with one idempotency key.

A claim is created only if absent. The store's response may be lost after the write took effect; the
claimant then writes again and recognises its own claim in the conflict. Instances may be paused for
any time between their steps, and may crash.

Checked: the request runs at most once; no step reports "not run". Bounds: two instances,
``ATTEMPTS`` writes each. Not covered: a claim older than its retention.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

ATTEMPTS = 3
NOBODY = ""
NAMES = ("a", "b")


class Claimant(NamedTuple):
    """Progress of one instance: idle, waiting, owner, dispatched, told (replied), or dead."""

    phase: str
    writes: int


class ClaimState(NamedTuple):
    """The claim in the store, both instances, the number of runs, and of lapsed leases."""

    owner: str
    a: Claimant
    b: Claimant
    runs: int
    lapses: int


@dataclass(frozen=True)
class ClaimVariant:
    """Deliberate faults, each of which the checker must detect."""

    lease_lapses: bool = False
    assume_lost_answer_is_own: bool = False


Step = tuple[str, ClaimState]
INITIAL = ClaimState(NOBODY, Claimant("idle", 0), Claimant("idle", 0), 0, 0)


class ClaimModel:
    """Transitions for one variant."""

    def __init__(self, variant: ClaimVariant) -> None:
        """Create the model of a variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List all possible steps."""
        state = ClaimState(*raw)
        steps = [step for name in NAMES for step in self._instance(name, state)]
        if self._variant.lease_lapses and state.owner and not state.lapses:
            steps.append(("the claim's lease lapses", state._replace(owner=NOBODY, lapses=1)))
        return steps

    def _instance(self, name: str, state: ClaimState) -> Iterator[Step]:
        me: Claimant = getattr(state, name)
        if me.phase in ("idle", "waiting") and me.writes < ATTEMPTS:
            yield from self._write(name, me, state)
        if me.phase == "waiting" and me.writes == ATTEMPTS:
            yield f"{name} says unknown", _with(state, name, me._replace(phase="told"))
        if me.phase == "owner":
            yield f"{name} dispatches", _with(state, name, me._replace(phase="dispatched"))
        if me.phase == "dispatched":
            ran = _with(state, name, me._replace(phase="told"))
            yield f"{name}'s request runs", ran._replace(runs=state.runs + 1)
            yield f"{name}'s request is lost", ran
        if me.phase not in ("dead", "told"):
            yield f"{name} crashes", _with(state, name, me._replace(phase="dead"))

    def _write(self, name: str, me: Claimant, state: ClaimState) -> Iterator[Step]:
        tried = me._replace(writes=me.writes + 1)
        written = state._replace(owner=name) if state.owner == NOBODY else state
        if written.owner == name:
            yield f"{name} claims", _with(written, name, tried._replace(phase="owner"))
        else:
            yield f"{name} finds a claim", _with(state, name, tried._replace(phase="told"))
        after_loss = "owner" if self._variant.assume_lost_answer_is_own else "waiting"
        lost = _with(written, name, tried._replace(phase=after_loss))
        yield f"{name} loses the store's answer", lost
        down = _with(state, name, tried._replace(phase="waiting"))
        yield f"{name} does not reach the store", down


def _with(state: ClaimState, name: str, claimant: Claimant) -> ClaimState:
    return state._replace(a=claimant) if name == "a" else state._replace(b=claimant)


def at_most_once(state: dict[str, Any]) -> bool:
    """Check that the request ran at most once."""
    return bool(state["runs"] <= 1)


def build_model(variant: ClaimVariant | None = None) -> Protocol:
    """Build the model; without a variant it is the correct protocol."""
    model = ClaimModel(variant or ClaimVariant())
    return Protocol(
        name="store claims",
        candidate=False,
        fields=ClaimState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"at_most_once": at_most_once},
    )
