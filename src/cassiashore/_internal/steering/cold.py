"""Admission to cold targets, within a limit that holds in the sum over all instances.

Load pattern: a failure domain comes back and every instance finds its targets empty at once. A
cold target that gets more than its rate crashes, and all its requests return as retries.

A few instances, the same ones on every instance by rendezvous hashing, may send to a cold target;
the others leave it alone until it is warm. Each of them spends a fixed part of half of the limit:
while instances come and go, two sets of senders may be at work, and together they stay within it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cassiashore._internal.admission.window import SlidingWindow
from cassiashore._internal.models.hashing import hash64
from cassiashore._internal.steering.active_instances import InstanceInfo

WINDOW_SECONDS = 1.15  # one second, and the spread of travel times that can press two windows
MAX_SENDERS = 4  # of a target: with more, the part of each rounds to nothing
OVERLAPPING_SETS = 2  # while instances come and go: those of the old list, and of the new one


def senders_to(
    target_id: str, failure_domain: str, region: str, instances: Sequence[InstanceInfo], count: int
) -> list[str]:
    """Return the instances that may send to a cold target, nearest first, then by hash."""

    def order(instance: InstanceInfo) -> tuple[bool, bool, int]:
        return (
            instance.failure_domain != failure_domain,
            instance.region != region,
            hash64(f"{target_id}\n{instance.incarnation}"),
        )

    return [c.incarnation for c in sorted(instances, key=order)[:count]]


class ColdAdmission:
    """Decides whether this instance may send one more request to a cold target."""

    def __init__(
        self,
        own_incarnation: str,
        instances: Callable[[], Sequence[InstanceInfo]],
        monotonic: Callable[[], float],
        overshoot: float,
        slack: float,
    ) -> None:
        """Keep the bounds: ``rate * overshoot + slack`` requests a second and target in all."""
        self._own = own_incarnation
        self._instances = instances
        self._monotonic = monotonic
        self._overshoot = overshoot
        self._slack = slack
        self._window_by_target: dict[str, SlidingWindow] = {}
        self._senders_by_target: dict[str, tuple[Sequence[InstanceInfo], list[str]]] = {}

    def allowance(self, target_id: str, failure_domain: str, region: str, cold_rate: float) -> int:
        """Return how many requests this instance may send to a cold target in any second."""
        limit = int((cold_rate * self._overshoot + self._slack) / OVERLAPPING_SETS)
        if limit < 1:
            return 0  # two sets of senders could not even send one each; the target warms up alone
        count = min(MAX_SENDERS, limit)
        if self._own not in self._senders(target_id, failure_domain, region, count):
            return 0
        return limit // count

    def try_admit(self, target_id: str, failure_domain: str, region: str, cold_rate: float) -> bool:
        """Count one request to a cold target if that is allowed; tell whether it is."""
        window = self._window_by_target.get(target_id)
        if window is None:
            window = self._window_by_target[target_id] = SlidingWindow(WINDOW_SECONDS)
        allowed = self.allowance(target_id, failure_domain, region, cold_rate)
        return allowed > 0 and window.try_add(self._monotonic(), allowed)

    def forget(self, target_id: str) -> None:
        """Drop the count of a target that is gone."""
        self._window_by_target.pop(target_id, None)
        self._senders_by_target.pop(target_id, None)

    def _senders(self, target_id: str, failure_domain: str, region: str, count: int) -> list[str]:
        """Return the senders, which change only with the instances."""
        instances = self._instances()
        known = self._senders_by_target.get(target_id)
        if known is None or known[0] is not instances:
            senders = senders_to(target_id, failure_domain, region, instances, count)
            known = self._senders_by_target[target_id] = (instances, senders)
        return known[1]
