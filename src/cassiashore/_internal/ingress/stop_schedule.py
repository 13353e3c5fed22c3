"""Stages of a planned stop: which requests an instance still takes, and when it ends.

Callers learn within seconds that the instance leaves, so it takes all requests at first. A request
that it takes later may last until its deadline, and would be cut off if the process ended before.
So later requests are taken only if their deadline comes first, and refused as not run otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass

NOTICE_SECONDS = 2.0  # callers and the platform notice a leaving instance within this time
# Shares of the grace period after which all requests are refused, and at which the process ends.
REFUSE_SHARE = 0.45
END_SHARE = 0.93


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The stages of a stop that began at ``started_at`` (monotonic clock), in seconds."""

    started_at: float
    grace: float

    @property
    def ends_at(self) -> float:
        """Return when the process ends, with requests in flight or without."""
        return self.started_at + self.grace * END_SHARE

    def refuses_all(self, now: float) -> bool:
        """Return whether no request is taken any more."""
        return now - self.started_at >= self.grace * REFUSE_SHARE

    def takes(self, now: float, deadline: float) -> bool:
        """Return whether a request with the given deadline is taken.

        >>> stop = StopSchedule(started_at=100.0, grace=10.0)
        >>> [stop.takes(now, deadline=now + 6.0) for now in (101.0, 103.0, 104.0, 105.0)]
        [True, True, False, False]
        """
        if self.refuses_all(now):
            return False
        notice = min(NOTICE_SECONDS, self.grace * REFUSE_SHARE)
        return now - self.started_at < notice or deadline <= self.ends_at
