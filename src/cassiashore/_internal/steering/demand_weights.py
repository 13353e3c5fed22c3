"""Shares of the limits of workspaces, which follow the demand that instances publish.

Each instance publishes the demand of each workspace as a *weight*: the requests per second that it
gets, in thousandths of the workspace's limit. The share of an instance is its weight, plus an equal
base, divided by the weights of all.

Instances learn of a change at different times, mostly within half a second. So an instance uses
the lowest weight that it published within ``SETTLE_SECONDS``, since others may not know a higher
one, and divides by the highest weights that others published within ``RETENTION_SECONDS``, since
they may still use them. A weight counts from its return through the store. While changes arrive
later than that, the shares add up to more than one for a moment; the part of the agreed bound that
is not divided covers it, and parts grow slowly (see ``workspace_limits``).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SETTLE_SECONDS = 1.0  # twice the usual time until a change in the store reaches all instances
RETENTION_SECONDS = 2.0  # until others that use a higher weight have learned of a lower one
# Weight that is divided equally among all instances, in thousandths of the limit. With the usual
# demand of 0.625 of a limit, a quarter of the limit is divided equally.
BASE_WEIGHT = 200
MAX_WEIGHT = 8000  # for clients that send again and again to one instance

Weights = Mapping[str, int]
NO_WEIGHTS: Weights = {}


@dataclass(slots=True)
class _Published:
    """The weights of an instance now, and earlier ones with the time at which they ended."""

    current: Weights = field(default_factory=dict)
    earlier: list[tuple[float, Weights]] = field(default_factory=list)
    highest: Weights = field(default_factory=dict)

    def replace(self, weights: Weights, now: float) -> None:
        """Use new weights from now on."""
        self.earlier.append((now, self.current))
        self.current = weights

    def forget_before(self, time: float) -> bool:
        """Forget weights that ended before a time; return whether there were any."""
        kept = [entry for entry in self.earlier if entry[0] > time]
        has_forgotten = len(kept) < len(self.earlier)
        self.earlier = kept
        return has_forgotten


class DemandWeights:
    """The published weights of all instances."""

    def __init__(self, own_incarnation: str) -> None:
        """Create an empty table; all shares are equal."""
        self.version = 0  # increases with each change of a share
        self._own = own_incarnation
        self._published_by_incarnation: dict[str, _Published] = {}
        self._total_by_workspace: dict[str, int] = {}
        self._own_lowest: Weights = NO_WEIGHTS
        self._next_change_at = float("inf")

    def apply(self, incarnation: str, weights: Weights | None, now: float) -> None:
        """Record what an instance published; None means that its key is gone."""
        if incarnation not in self._published_by_incarnation:
            if not weights:
                return
            self._published_by_incarnation[incarnation] = _Published()
        self._published_by_incarnation[incarnation].replace(weights or NO_WEIGHTS, now)
        self._recompute([incarnation], now)

    def update(self, now: float) -> None:
        """Apply what changes with time."""
        if now < self._next_change_at:
            return
        changed = [
            incarnation
            for incarnation, published in self._published_by_incarnation.items()
            if published.forget_before(now - RETENTION_SECONDS) or incarnation == self._own
        ]
        self._recompute(changed, now)

    def share(self, workspace: str, instances: float, own: float = 1.0) -> float:
        """Return the share of this instance of a limit.

        The base is divided among ``instances``, of which this one counts as ``own``.
        """
        total = BASE_WEIGHT + self._total_by_workspace.get(workspace, 0)
        return (BASE_WEIGHT * own / instances + self._own_lowest.get(workspace, 0)) / total

    def _recompute(self, incarnations: Iterable[str], now: float) -> None:
        for incarnation in incarnations:
            published = self._published_by_incarnation[incarnation]
            previous = published.highest
            states = [published.current, *(weights for _, weights in published.earlier)]
            published.highest = _highest(states)
            self._add_to_totals(previous, -1)
            self._add_to_totals(published.highest, 1)
            if not published.current and not published.earlier:
                del self._published_by_incarnation[incarnation]
        self._own_lowest = self._lowest_of_own(now)
        self._next_change_at = self._find_next_change(now)
        self.version += 1

    def _add_to_totals(self, weights: Weights, sign: int) -> None:
        totals = self._total_by_workspace
        for name, weight in weights.items():
            total = totals.get(name, 0) + sign * weight
            if total:
                totals[name] = total
            else:
                totals.pop(name, None)

    def _lowest_of_own(self, now: float) -> Weights:
        own = self._published_by_incarnation.get(self._own)
        if own is None:
            return NO_WEIGHTS
        recent = [w for ended_at, w in own.earlier if ended_at > now - SETTLE_SECONDS]
        return {
            name: min(weight, *(weights.get(name, 0) for weights in recent), weight)
            for name, weight in own.current.items()
        }

    def _find_next_change(self, now: float) -> float:
        times = [
            ended_at + RETENTION_SECONDS
            for published in self._published_by_incarnation.values()
            for ended_at, _ in published.earlier
        ]
        own = self._published_by_incarnation.get(self._own)
        if own is not None:
            settled = (ended_at + SETTLE_SECONDS for ended_at, _ in own.earlier)
            times += [at for at in settled if at > now]
        return min(times, default=float("inf"))


def _highest(states: Iterable[Weights]) -> Weights:
    highest: dict[str, int] = {}
    for weights in states:
        for name, weight in weights.items():
            if weight > highest.get(name, 0):
                highest[name] = weight
    return highest
