"""Model of the target registry: runs under one id, whose reports arrive late and out of order.

A target starts, reports, drains, ends, and may restart under the same id with a new sequence. Each
report may arrive at any later time, several times, or never.

Checked: once a report of draining, or of a later run, was applied, no earlier report restores the
target to its former state. Bounds: ``RUNS`` runs with ``REPORTS`` reports each, of which the last
one reports draining. Not modelled: clocks of targets that go back between runs.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

RUNS = 3
REPORTS = 3


class RegistryState(NamedTuple):
    """The last run and its last sequence that were sent, and the state of the registry.

    ``known`` is the run and sequence of the report in force, ``newest`` the highest one applied.
    """

    run: int
    sequence: int
    known_run: int
    known_sequence: int
    newest_run: int
    newest_sequence: int
    is_listed: bool


@dataclass(frozen=True)
class RegistryVariant:
    """Deliberate faults, each of which the checker must find."""

    ignore_runs: bool = False
    ignore_sequences: bool = False
    forget_at_removal: bool = False


Step = tuple[str, RegistryState]
INITIAL = RegistryState(1, 1, 0, 0, 0, 0, False)


class RegistryModel:
    """Transitions for one variant."""

    def __init__(self, variant: RegistryVariant) -> None:
        """Create a model with the deliberate faults of ``variant``."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return all possible steps from a state."""
        state = RegistryState(*raw)
        return [*self._target(state), *self._arrivals(state), *self._removal(state)]

    def _target(self, state: RegistryState) -> Iterator[Step]:
        if state.sequence < REPORTS:
            yield "the target reports", state._replace(sequence=state.sequence + 1)
        if state.run < RUNS:
            yield "the target starts again", state._replace(run=state.run + 1, sequence=1)

    def _arrivals(self, state: RegistryState) -> Iterator[Step]:
        for run in range(1, state.run + 1):
            last = state.sequence if run == state.run else REPORTS
            for sequence in range(1, last + 1):
                if self._counts(state, run, sequence):
                    newest = max((run, sequence), (state.newest_run, state.newest_sequence))
                    taken = state._replace(
                        known_run=run,
                        known_sequence=sequence,
                        newest_run=newest[0],
                        newest_sequence=newest[1],
                        is_listed=True,
                    )
                    yield f"report {sequence} of run {run} arrives", taken

    def _counts(self, state: RegistryState, run: int, sequence: int) -> bool:
        if self._variant.ignore_runs:
            return sequence >= state.known_sequence
        if self._variant.ignore_sequences:
            return run >= state.known_run
        return (run, sequence) >= (state.known_run, state.known_sequence)

    def _removal(self, state: RegistryState) -> Iterator[Step]:
        if not state.is_listed:
            return
        removed = state._replace(is_listed=False)
        if self._variant.forget_at_removal:
            removed = removed._replace(known_run=0, known_sequence=0)
        yield "the entry is removed", removed


def nothing_old_comes_back(state: dict[str, Any]) -> bool:
    """Check that the report in force is the newest one that was applied."""
    if not state["is_listed"]:
        return True
    known = (state["known_run"], state["known_sequence"])
    return known >= (state["newest_run"], state["newest_sequence"])


def build_model(variant: RegistryVariant | None = None) -> Protocol:
    """Build the model of the protocol, or of a faulty variant."""
    model = RegistryModel(variant or RegistryVariant())
    return Protocol(
        name="registrations",
        candidate=False,
        fields=RegistryState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"nothing_old_comes_back": nothing_old_comes_back},
    )
