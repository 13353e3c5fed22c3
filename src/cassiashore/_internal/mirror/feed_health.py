"""What an instance is told about the store by those that read it, and whose turn it is to read.

Load pattern: hundreds of instances follow three that read the store, and the store turns everybody
away for nine seconds. If each instance turns to the store itself when its sources have no news, an
outage brings hundreds of calls a second, which are refused, paid for, and in the way of the store's
return. So readers tell that they are turned away, and the others take turns: one more of them tries
with each ``SPARE_STEP_SECONDS``, in an order that all of them know. One that succeeds passes on
what it reads to the readers. Silent sources, which may all have ended, and those without news are
no reason to wait.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

REPORT_TTL_SECONDS = 1.2  # three beats
SPARE_STEP_SECONDS = 1.0  # some calls of those before in the order
SILENCE_SPREAD_SECONDS = 1.0  # between the first and the last that turn to the store after that


class FeedState(Enum):
    """What the sources say."""

    CURRENT = "current"
    FAILING = "failing"
    SILENT = "silent"


class FeedHealth:
    """The last word of each source."""

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Start without a source."""
        self._monotonic = monotonic
        self._current_at: dict[object, float] = {}
        self._direct_at: dict[object, float] = {}
        self._failing_at: dict[object, float] = {}
        self._state = FeedState.SILENT
        self._state_since = monotonic()

    def record_current(self, source: object, *, is_direct: bool) -> None:
        """Take in that a source is current, and whether it reads the store itself."""
        now = self._monotonic()
        self._current_at[source] = now
        if is_direct:
            self._direct_at[source] = now
        self._failing_at.pop(source, None)

    def record_failing(self, source: object) -> None:
        """Take in that a source runs, and that the store turns away those who read it."""
        self._failing_at[source] = self._monotonic()
        self._current_at.pop(source, None)
        self._direct_at.pop(source, None)

    @property
    def last_current_at(self) -> float:
        """Return when a source last was current, if that is not long ago.

        A source that has ended counts for a while: readers change as instances start and end, and
        if all followers read the store meanwhile, each change costs as many calls.
        """
        return self._last(self._current_at)

    @property
    def has_direct_source(self) -> bool:
        """Tell whether a source reads the store itself."""
        return self._last(self._direct_at) > float("-inf")

    def state(self) -> tuple[FeedState, float]:
        """Return what the sources say, and for how many seconds they have said so."""
        now = self._monotonic()
        state = FeedState.SILENT
        if self._last(self._current_at) > float("-inf"):
            state = FeedState.CURRENT
        elif self._last(self._failing_at) > float("-inf"):
            state = FeedState.FAILING
        if state is not self._state:
            self._state, self._state_since = state, now
        return state, now - self._state_since

    def _last(self, at_by_source: dict[object, float]) -> float:
        oldest = self._monotonic() - REPORT_TTL_SECONDS
        for source in [s for s, at in at_by_source.items() if at < oldest]:
            del at_by_source[source]
        return max(at_by_source.values(), default=float("-inf"))


def should_read_store(state: FeedState, seconds: float, rank: int, count: int) -> bool:
    """Tell whether an instance turns to the store itself; ``rank`` is its place among ``count``.

    >>> [should_read_store(FeedState.FAILING, 2.5, rank, 190) for rank in (0, 1, 2, 100)]
    [True, True, False, False]
    >>> [should_read_store(FeedState.SILENT, 0.5, rank, 190) for rank in (0, 90, 100)]
    [True, True, False]
    >>> should_read_store(FeedState.CURRENT, 9.0, 0, 190)
    False
    """
    if state is FeedState.CURRENT:
        return False
    if state is FeedState.FAILING:
        return seconds >= (rank + 1) * SPARE_STEP_SECONDS
    return seconds >= SILENCE_SPREAD_SECONDS * rank / max(1, count)
