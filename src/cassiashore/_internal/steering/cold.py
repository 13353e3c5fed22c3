"""Rate limit for requests to cold targets, which holds for all instances together.

A target is cold for some seconds after it started. When a failure domain recovers, all its targets
are cold at the same time. A cold target that gets requests above its rate crashes, and all these
requests come back as retries.

Only a few instances, the senders, may send requests to a cold target until it is warm; rendezvous
hashing selects the same senders on every instance. Each sender may use an equal fraction of half of
the limit: while instances start and stop, two sets of senders may be active, and both together stay
within the limit. An instance that the others may not know yet is no sender, since instances that
start together and know only themselves would all be senders (see ``senders``).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cassiashore._internal.admission.window import SlidingWindow
from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.senders import MAX_SENDERS, senders_to

# One second, plus the variation of travel times, by which requests of two windows can arrive within
# the same second.
WINDOW_SECONDS = 1.15
OVERLAPPING_SETS = 2  # senders by the old and by the new list while instances start and stop


class ColdAdmission:
    """Decides whether this instance may send another request to a cold target."""

    def __init__(
        self,
        own_incarnation: str,
        instances: Callable[[], Sequence[InstanceInfo]],
        monotonic: Callable[[], float],
        overshoot: float,
        slack: float,
    ) -> None:
        """Create a limiter for ``rate * overshoot + slack`` requests per second and target.

        The limit holds for all instances together.
        """
        self._own = own_incarnation
        self._instances = instances
        self._monotonic = monotonic
        self._overshoot = overshoot
        self._slack = slack
        self._window_by_target: dict[str, SlidingWindow] = {}
        self._senders_by_target: dict[str, tuple[Sequence[InstanceInfo], list[str]]] = {}

    def allowance(self, target_id: str, failure_domain: str, region: str, cold_rate: float) -> int:
        """Return how many requests per second this instance may send to a cold target."""
        limit = int((cold_rate * self._overshoot + self._slack) / OVERLAPPING_SETS)
        if limit < 1:
            # Less than one request for each of the two sets: the target warms up without any.
            return 0
        sender_count = min(MAX_SENDERS, limit)
        if self._own not in self._senders(target_id, failure_domain, region, sender_count):
            return 0
        return limit // sender_count

    def try_admit(self, target_id: str, failure_domain: str, region: str, cold_rate: float) -> bool:
        """Count a request to a cold target if the limit allows it, and return whether it does."""
        window = self._window_by_target.get(target_id)
        if window is None:
            window = self._window_by_target[target_id] = SlidingWindow(WINDOW_SECONDS)
        allowed = self.allowance(target_id, failure_domain, region, cold_rate)
        return allowed > 0 and window.try_add(self._monotonic(), allowed)

    def remove_target(self, target_id: str) -> None:
        """Remove the state of a target that no longer exists."""
        self._window_by_target.pop(target_id, None)
        self._senders_by_target.pop(target_id, None)

    def _senders(
        self, target_id: str, failure_domain: str, region: str, sender_count: int
    ) -> list[str]:
        """Return the senders, cached until the list of instances changes."""
        instances = self._instances()
        cached = self._senders_by_target.get(target_id)
        if cached is None or cached[0] is not instances:
            senders = senders_to(target_id, failure_domain, region, instances, sender_count)
            cached = self._senders_by_target[target_id] = (instances, senders)
        return cached[1]
