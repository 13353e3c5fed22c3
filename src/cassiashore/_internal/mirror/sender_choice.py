"""Decides when a standby source replaces the source that sends the changes.

Load pattern: readers and distributors start, end and lose the store all the time. A sender that
falls behind is replaced soon. The preferred source, which is the nearest, takes over again later,
since traffic between regions and failure domains is billed.
"""

from __future__ import annotations

from dataclasses import dataclass

# A standby source must be ahead for longer than changes are in transit from the sender.
FAILOVER_DELAY_SECONDS = 0.3
# The preferred source must stay in sync for longer than a lossy link takes to fail again.
FAILBACK_DELAY_SECONDS = 3.0


@dataclass(slots=True)
class SenderChoice:
    """Since when a standby source has been ahead, or the preferred one in sync."""

    _ahead_since: float | None = None
    _in_sync_since: float | None = None

    def takes_over(self, ahead: int, now: float, *, is_preferred: bool) -> bool:
        """Record how far a standby source is ahead; return whether it takes over.

        Any positive number means ahead, any negative one behind.

        >>> choice = SenderChoice()
        >>> [choice.takes_over(2, now, is_preferred=False) for now in (0.0, 0.4)]
        [False, True]
        """
        if ahead > 0:
            self._in_sync_since = None
            if self._ahead_since is None:
                self._ahead_since = now
            return now - self._ahead_since >= FAILOVER_DELAY_SECONDS
        self._ahead_since = None
        if ahead < 0 or not is_preferred:
            self._in_sync_since = None
            return False
        if self._in_sync_since is None:
            self._in_sync_since = now
        return now - self._in_sync_since >= FAILBACK_DELAY_SECONDS
