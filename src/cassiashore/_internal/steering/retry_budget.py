"""The budget of repeated sends, within a limit that holds in the sum over all instances.

Load pattern: targets shed or fail, and every request is sent once more; the repeats take the room
of first sends, which fail in turn. Each instance earns repeats with its own first sends, at less
than the allowed ratio, and has an equal part of the fixed allowance; as instances count their own
requests only, the parts add up whatever becomes of the others.
"""

from __future__ import annotations

from collections.abc import Callable

from cassiashore._internal.admission.window import SlidingWindow

RATIO_USED = 0.8  # of the allowed ratio: windows of different instances do not begin together
ALLOWANCE_USED = 0.5  # instances that have not heard of each other may count too few


class WindowedRetryBudget:
    """Repeats of one service in a sliding window."""

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_seconds: float,
        instances: Callable[[], int],
        monotonic: Callable[[], float],
    ) -> None:
        """Keep the limit of all instances together: ``ratio`` of the requests + ``allowance``."""
        self._ratio = ratio
        self._allowance = allowance
        self._instances = instances
        self._monotonic = monotonic
        self._firsts = SlidingWindow(window_seconds)
        self._repeats = SlidingWindow(window_seconds)

    def record_first_send(self) -> None:
        """Count a request's first send."""
        self._firsts.add(self._monotonic())

    def try_retry(self) -> bool:
        """Take one repeat from the budget; tell whether there was one."""
        now = self._monotonic()
        share = self._allowance * ALLOWANCE_USED / max(1, self._instances())
        earned = self._ratio * RATIO_USED * self._firsts.count(now)
        return self._repeats.try_add(now, int(share + earned))
