"""Retry budget of a service, which holds for all instances together.

When targets shed load or fail and every request is retried, the retries use the capacity for first
sends, which then fail as well. Each instance may retry a fraction of its own first sends, below the
allowed ratio, plus an equal part of a fixed allowance. As each instance counts its own requests
only, the sum stays within the limit whatever happens to the other instances. An instance that the
others may not know yet uses no part of the allowance.
"""

from __future__ import annotations

from collections.abc import Callable

from cassiashore._internal.admission.window import SlidingWindow

RATIO_SAFETY_FACTOR = 0.8  # the windows of different instances do not begin together
ALLOWANCE_SAFETY_FACTOR = 0.5  # instances that do not know each other yet divide by too few


class WindowedRetryBudget:
    """Counts the first sends and retries of a service in a sliding window."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_seconds: float,
        instances: Callable[[], int],
        monotonic: Callable[[], float],
    ) -> None:
        """Limit the retries of all instances to ``ratio`` of the requests plus ``allowance``.

        The allowance is divided by ``instances``; 0 means that this instance uses no part of it.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._instances = instances
        self._monotonic = monotonic
        self._first_sends = SlidingWindow(window_seconds)
        self._retries = SlidingWindow(window_seconds)

    def record_first_send(self) -> None:
        """Count the first send of a request."""
        self._first_sends.add(self._monotonic())

    def try_retry(self) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        now = self._monotonic()
        instances = self._instances()
        share = self._allowance * ALLOWANCE_SAFETY_FACTOR / instances if instances else 0.0
        earned = self._ratio * RATIO_SAFETY_FACTOR * self._first_sends.count(now)
        return self._retries.try_add(now, int(share + earned))
