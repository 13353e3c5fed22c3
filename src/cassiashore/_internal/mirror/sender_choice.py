"""When another source takes over from the one that sends the changes.

Load pattern: readers and distributors are cut off from the store, start and end all the time. A
source that falls behind is replaced soon. The nearest source takes over again later, since each
change sent from another region or failure domain is paid for.
"""

from __future__ import annotations

from dataclasses import dataclass

FAILOVER_DELAY_SECONDS = (
    0.3  # that a standby source knows more: the news were on their way meanwhile
)
FAILBACK_DELAY_SECONDS = (
    3.0  # that the preferred source knows as much; a lossy link comes and goes faster
)


@dataclass(slots=True)
class SenderChoice:
    """What the beats of a standby source showed since the sender was chosen."""

    _ahead_since: float | None = None
    _level_since: float | None = None

    def takes_over(self, ahead: int, now: float, *, is_preferred: bool) -> bool:
        """Take in how many revisions a standby source is ahead; tell whether to change over.

        >>> choice = SenderChoice()
        >>> [choice.takes_over(2, now, is_preferred=False) for now in (0.0, 0.4)]
        [False, True]
        """
        if ahead > 0:
            self._level_since = None
            if self._ahead_since is None:
                self._ahead_since = now
            return now - self._ahead_since >= FAILOVER_DELAY_SECONDS
        self._ahead_since = None
        if ahead < 0 or not is_preferred:
            self._level_since = None
            return False
        if self._level_since is None:
            self._level_since = now
        return now - self._level_since >= FAILBACK_DELAY_SECONDS
