"""Budget of retries."""

from __future__ import annotations

RETRY_BURST = 10.0  # retries without any first try before them


class RetryBudget:
    """Allows retries up to a share of first tries, with a small burst.

    >>> budget = RetryBudget(0.5, burst=1.0)
    >>> budget.try_retry(), budget.try_retry()
    (True, False)
    >>> budget.record_first_attempt(); budget.record_first_attempt()
    >>> budget.try_retry()
    True
    """

    def __init__(self, share: float, burst: float = RETRY_BURST) -> None:
        """Start with a full burst; ``share`` is retries per first try."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Count a first try."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_retry(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
