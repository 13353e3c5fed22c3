"""Retry budget."""

from __future__ import annotations

RETRY_BURST = 10.0  # retries that are allowed before any first attempt


class RetryBudget:
    """Allows retries up to a share of first attempts, with a small burst.

    >>> budget = RetryBudget(0.5, burst=1.0)
    >>> budget.try_retry(), budget.try_retry()
    (True, False)
    >>> budget.record_first_attempt(); budget.record_first_attempt()
    >>> budget.try_retry()
    True
    """

    def __init__(self, share: float, burst: float = RETRY_BURST) -> None:
        """Start with a full burst; ``share`` is the number of retries per first attempt."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
