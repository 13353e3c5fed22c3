"""Model of a key that an instance keeps in the store, whose answers may be lost or come late.

The instance wants a value, another one, or the key gone. A write carries the revision that it
expects; it may take effect at once, later or never, with or without an answer. The lease may lapse,
which removes the key.

Checked: when nothing is under way and the instance sees the store as it is and has nothing to do,
the key is as it is wanted. Bounds: ``REVISIONS`` changes of the key. Outside: the instance's
mirror, which the model lets see the store at once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

REVISIONS = 6
ABSENT = 0
VALUES = (ABSENT, 1, 2)
UNKNOWN = 9  # what stands after a write without an answer
NOTHING = (-1, -1)


class KeyState(NamedTuple):
    """The key as it stands, what is wanted, what the instance believes, and a late write.

    ``revision`` counts changes; ``stands_at`` is the key's own, 0 while it is absent. ``believed``
    and ``late`` are a value with the revision at which it stands or that it expects.
    """

    value: int
    revision: int
    stands_at: int
    wanted: int
    believed: tuple[int, int]
    late: tuple[int, int]


@dataclass(frozen=True)
class KeyVariant:
    """Deliberate faults, each of which the checker must find."""

    ignores_strays: bool = False
    ignores_losses: bool = False
    believes_unanswered: bool = False
    forgets_unanswered: bool = False
    writes_without_condition: bool = False


Step = tuple[str, KeyState]
INITIAL = KeyState(ABSENT, 0, 0, ABSENT, NOTHING, NOTHING)


class KeyModel:
    """Transitions for one variant."""

    def __init__(self, variant: KeyVariant) -> None:
        """Keep the variant."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """List every step that is possible."""
        state = KeyState(*raw)
        return [*self._around(state), *self._instance(state)]

    def _around(self, state: KeyState) -> Iterator[Step]:
        for value in VALUES:
            if value != state.wanted and state.revision < REVISIONS:
                yield f"value {value} is wanted", state._replace(wanted=value)
        if state.late != NOTHING:
            yield "the late write happens", self._applied(state, *state.late)._replace(late=NOTHING)
            yield "the late write is lost", state._replace(late=NOTHING)
        if state.value != ABSENT and state.revision < REVISIONS:
            gone = state._replace(value=ABSENT, stands_at=0, revision=state.revision + 1)
            yield "the lease lapses", gone._replace(late=NOTHING)

    def _instance(self, state: KeyState) -> Iterator[Step]:
        todo = self.todo(state)
        if todo == "believe":
            believed = (state.value, state.stands_at)
            yield "the instance sees the key", state._replace(believed=believed)
        elif todo == "forget":
            yield "the instance sees the key gone", state._replace(believed=NOTHING)
        elif todo == "write" and state.revision < REVISIONS:
            yield from self._writes(state)

    def todo(self, state: KeyState) -> str:
        """Return what the instance has to do, or an empty text."""
        knows = state.believed != NOTHING
        is_gone = knows and state.stands_at == 0 and state.believed[1] > 0
        if is_gone and not self._variant.ignores_losses:
            return "forget"
        if not knows and state.value != ABSENT:
            if state.wanted != ABSENT or not self._variant.ignores_strays:
                return "believe"
            return ""
        have = state.believed[0] if knows else ABSENT
        return "write" if have != state.wanted else ""

    def _writes(self, state: KeyState) -> Iterator[Step]:
        expected = state.believed[1] if state.believed != NOTHING else 0
        done = self._applied(state, state.wanted, expected)
        if done == state:
            current = (state.value, state.stands_at) if state.value != ABSENT else NOTHING
            yield "the write is refused", state._replace(believed=current)
            return
        believed = (state.wanted, done.stands_at) if state.wanted != ABSENT else NOTHING
        yield "the write is answered", done._replace(believed=believed)
        unanswered = (UNKNOWN, expected)
        if self._variant.believes_unanswered:
            unanswered = believed
        elif self._variant.forgets_unanswered:
            unanswered = state.believed
        yield "the answer is lost", done._replace(believed=unanswered)
        if state.late == NOTHING:
            late = (state.wanted, expected)
            yield "the write is late", state._replace(late=late, believed=unanswered)

    def _applied(self, state: KeyState, value: int, expected: int) -> KeyState:
        """Return the state after a write, which does nothing where another revision stands."""
        if expected != state.stands_at and not self._variant.writes_without_condition:
            return state
        revision = state.revision + 1
        stands_at = revision if value != ABSENT else 0
        return state._replace(value=value, revision=revision, stands_at=stands_at)


def build_model(variant: KeyVariant | None = None) -> Protocol:
    """Build the model; without a variant it is the real protocol."""
    model = KeyModel(variant or KeyVariant())

    def key_is_as_wanted(state: dict[str, Any]) -> bool:
        now = KeyState(**state)
        if now.late != NOTHING or model.todo(now):
            return True
        return now.value == now.wanted

    return Protocol(
        name="instance_keys",
        candidate=False,
        fields=KeyState._fields,
        initial=tuple(INITIAL),
        transitions=lambda raw: [(label, tuple(s)) for label, s in model.transitions(raw)],
        invariants={"key_is_as_wanted": key_is_as_wanted},
    )
