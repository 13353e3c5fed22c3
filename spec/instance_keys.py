"""Model of a key that an instance keeps in the store, whose responses may be lost or late.

The desired value of the key changes, or the key should not exist. A write carries the expected
revision; it may take effect immediately, later or never, with or without a response. The lease may
expire, which removes the key.

Checked: when no write is pending and the instance, seeing the current state of the store, has
nothing to do, the key has its desired value. Bounds: ``REVISIONS`` changes of the key. Not
modelled: the delay of the mirror, which always equals the store here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol

REVISIONS = 6
ABSENT = 0
VALUES = (ABSENT, 1, 2)
UNKNOWN = 9  # the value after a write without a response
NOTHING = (-1, -1)


class KeyState(NamedTuple):
    """The key in the store, its desired value, what the instance believes, and a late write.

    ``revision`` counts changes; ``stands_at`` is the revision of the key, 0 while it is absent.
    ``believed`` and ``late`` are a value with the revision that it has or expects.
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
        """Create a model with the deliberate faults of ``variant``."""
        self._variant = variant

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return all possible steps from a state."""
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
        """Return the next action of the instance, or an empty string."""
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
        """Return the state after a write, which does nothing if the key has another revision."""
        if expected != state.stands_at and not self._variant.writes_without_condition:
            return state
        revision = state.revision + 1
        stands_at = revision if value != ABSENT else 0
        return state._replace(value=value, revision=revision, stands_at=stands_at)


def build_model(variant: KeyVariant | None = None) -> Protocol:
    """Build the model of the protocol, or of a faulty variant."""
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
