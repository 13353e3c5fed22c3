"""Limits over sliding windows and rates."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Counts events of the last ``seconds``; admits an event only below a limit.

    It keeps the time of each admitted event, so the limit holds in every window, not only in
    windows that begin at fixed times.
    """

    def __init__(self, seconds: float) -> None:
        """Create an empty window."""
        self.seconds = seconds
        self._times: deque[float] = deque()

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now."""
        times = self._times
        start = now - self.seconds
        while times and times[0] <= start:
            times.popleft()
        return len(times)

    def add(self, now: float) -> None:
        """Record an event without a limit."""
        self.count(now)
        self._times.append(now)

    def try_add(self, now: float, limit: int) -> bool:
        """Record an event if fewer than ``limit`` are in the window; tell whether it was."""
        if self.count(now) >= limit:
            return False
        self._times.append(now)
        return True


class TokenBucket:
    """A rate with a burst, in any unit."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._at = now

    def try_take(self, amount: float, now: float) -> bool:
        """Take tokens if there are enough; tell whether they were taken."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def reserve(self, amount: float, now: float) -> float:
        """Take tokens even below zero; return the seconds to wait until the debt is paid."""
        self._refill(now)
        self._tokens -= amount
        return max(0.0, -self._tokens / self.rate) if self.rate > 0 else 0.0

    def _refill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + (now - self._at) * self.rate)
        self._at = now
