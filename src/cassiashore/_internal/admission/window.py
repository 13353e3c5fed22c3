"""Rate limiters: a sliding window and a token bucket."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Counts the events of the last ``seconds`` and admits new ones up to a limit.

    It stores the time of each admitted event, so the limit holds in every window of that length,
    not only in windows that begin at fixed times.
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

    def seconds_until_fewer(self, now: float) -> float:
        """Return the seconds until the oldest event leaves the window; 0 if it holds none."""
        return self._times[0] + self.seconds - now if self.count(now) else 0.0

    def add(self, now: float) -> None:
        """Record an event regardless of any limit."""
        self.count(now)
        self._times.append(now)

    def try_add(self, now: float, limit: int) -> bool:
        """Record an event if the window holds fewer than ``limit``; return whether it did."""
        if self.count(now) >= limit:
            return False
        self._times.append(now)
        return True


class TokenBucket:
    """A token bucket: a rate with a burst, in any unit."""

    def __init__(self, rate: float, burst: float, now: float, tokens: float | None = None) -> None:
        """Create a bucket with the given tokens, or a full one."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst if tokens is None else tokens
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and the burst, and keep the tokens up to the new burst."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._tokens = min(burst, self._tokens)

    def tokens(self, now: float) -> float:
        """Return the tokens in the bucket."""
        self._refill(now)
        return self._tokens

    def seconds_until(self, amount: float, now: float) -> float:
        """Return the seconds until there are enough tokens, which is never at a rate of 0."""
        self._refill(now)
        if self._tokens >= amount:
            return 0.0
        return (amount - self._tokens) / self.rate if self.rate > 0 else float("inf")

    def try_take(self, amount: float, now: float) -> bool:
        """Take tokens if there are enough; return whether they were taken."""
        self._refill(now)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def reserve(self, amount: float, now: float) -> float:
        """Take tokens even if there are too few; return the seconds until the debt is refilled."""
        self._refill(now)
        self._tokens -= amount
        return max(0.0, -self._tokens / self.rate) if self.rate > 0 else 0.0

    def _refill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now
