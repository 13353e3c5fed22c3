"""Tracks whether the sources of an instance are current, and decides when to read the store itself.

Load pattern: hundreds of instances follow three that read the store, and the store refuses all
calls for nine seconds. If every instance called the store as soon as its sources stop being
current, an outage would cause hundreds of calls a second, each of which is refused, billed, and
delays the recovery of the store. Readers therefore report that the store refuses them, and the
other instances start to call it one by one: one more after each ``FALLBACK_STEP_SECONDS``, in an
order known to all. An instance that succeeds passes what it reads back to the readers. If the
sources are silent, they may all have ended, so the others take over within
``SILENCE_SPREAD_SECONDS``.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

REPORT_TTL_SECONDS = 1.2  # three heartbeat intervals, so that a late heartbeat does no harm
FALLBACK_STEP_SECONDS = 1.0  # each instance makes a few calls before the next one starts
SILENCE_SPREAD_SECONDS = 1.0  # spreads the first calls of all instances when sources are silent


class FeedState(Enum):
    """Combined state of the sources."""

    CURRENT = "current"
    FAILING = "failing"
    SILENT = "silent"


class FeedHealth:
    """The last report of each source; reports expire after ``REPORT_TTL_SECONDS``."""

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Create an instance without reports."""
        self._monotonic = monotonic
        self._current_at: dict[str, float] = {}
        self._direct_at: dict[str, float] = {}
        self._fallback_at: dict[str, float] = {}
        self._failing_at: dict[str, float] = {}
        self._state = FeedState.SILENT
        self._state_since = monotonic()

    def record_current(self, source: str, *, is_direct: bool, is_fallback: bool = False) -> None:
        """Record that a source is current, and whether it reads the store itself."""
        now = self._monotonic()
        self._current_at[source] = now
        if is_direct:
            (self._fallback_at if is_fallback else self._direct_at)[source] = now
        self._failing_at.pop(source, None)

    def record_failing(self, source: str) -> None:
        """Record that a source is running, but the readers cannot reach the store."""
        self._failing_at[source] = self._monotonic()
        self._current_at.pop(source, None)
        self._direct_at.pop(source, None)
        self._fallback_at.pop(source, None)

    @property
    def last_current_at(self) -> float:
        """Return when a source was last current, or minus infinity if all such reports expired.

        The report of a source that has ended counts until it expires. Readers change whenever
        instances start and end, and each change would make all followers call the store otherwise.
        """
        return self._latest(self._current_at)

    @property
    def has_direct_source(self) -> bool:
        """Whether a source reads the store itself."""
        return max(self._latest(self._direct_at), self._latest(self._fallback_at)) > float("-inf")

    def has_reader_before(self, own_address: str) -> bool:
        """Return whether a fallback reader at ``own_address`` can leave reading to a source.

        Of two fallback readers that follow each other only one may stop, so it depends on their
        addresses which one does.
        """
        if self._latest(self._direct_at) > float("-inf"):
            return True
        self._latest(self._fallback_at)
        return any(source < own_address for source in self._fallback_at)

    def state(self) -> tuple[FeedState, float]:
        """Return the combined state of the sources, and its age in seconds."""
        now = self._monotonic()
        state = FeedState.SILENT
        if self._latest(self._current_at) > float("-inf"):
            state = FeedState.CURRENT
        elif self._latest(self._failing_at) > float("-inf"):
            state = FeedState.FAILING
        if state is not self._state:
            self._state, self._state_since = state, now
        return state, now - self._state_since

    def _latest(self, time_by_source: dict[str, float]) -> float:
        oldest = self._monotonic() - REPORT_TTL_SECONDS
        for source in [s for s, at in time_by_source.items() if at < oldest]:
            del time_by_source[source]
        return max(time_by_source.values(), default=float("-inf"))


def should_read_store(state: FeedState, seconds: float, rank: int, count: int) -> bool:
    """Decide whether an instance that is no reader calls the store itself.

    ``state`` has been the state of its sources for ``seconds``; ``rank`` is the position of the
    instance among the ``count`` instances that may take over from the readers.

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
        return seconds >= (rank + 1) * FALLBACK_STEP_SECONDS
    return seconds >= SILENCE_SPREAD_SECONDS * rank / max(1, count)
