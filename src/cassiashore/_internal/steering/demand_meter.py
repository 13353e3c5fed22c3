"""Measures the demand of each workspace at this instance, and tells when to publish it.

Every publication is a write to the store. So the demand is published only if it differs from what
was published by more than chance, and at most once in ``PUBLISH_INTERVAL_SECONDS`` on average.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from cassiashore._internal.admission.window import TokenBucket
from cassiashore._internal.steering.demand_weights import MAX_WEIGHT, Weights
from cassiashore._internal.steering.workspaces import Workspace

SAMPLE_SECONDS = 1.0  # as often as the load is measured
# The demand is averaged over a long time, since a small workspace sends a request to an instance
# only every few seconds. A short average shows a shift of demand, and then replaces the long one.
SHORT_SECONDS = 3.0
LONG_SECONDS = 8.0
PUBLISH_INTERVAL_SECONDS = 3.0
PUBLISH_BURST = 2.0  # a shift of demand is published at once, also soon after another one
MIN_CHANGE = 0.3  # of the published demand
SHIFT_DEVIATIONS = 3.0  # standard deviations of the number of requests that are taken for chance
UNCERTAIN_DEVIATIONS = 0.5  # standard deviations by which the published demand is lower
CHANGE_DEVIATIONS = 1.0  # the same for the long average
MIN_WEIGHT = 2  # thousandths of a limit; below, the equal base is larger
MAX_PUBLISHED = 256  # workspaces; the largest demands come first


@dataclass(slots=True)
class _Demand:
    rate_limit: float
    requests: int = 0
    samples: int = 0
    short: float = 0.0
    per_second: float = 0.0
    published: float = 0.0

    def sample(self) -> None:
        """Update both averages; they are plain means until there are enough samples."""
        sampled = self.requests / SAMPLE_SECONDS
        self.requests = 0
        self.samples += 1
        newest = 1 / self.samples
        self.short += (sampled - self.short) * max(newest, SAMPLE_SECONDS / SHORT_SECONDS)
        self.per_second += (sampled - self.per_second) * max(newest, SAMPLE_SECONDS / LONG_SECONDS)
        if differs(self.per_second, self.short, SHORT_SECONDS, SHIFT_DEVIATIONS):
            self.per_second = self.short

    def certain(self) -> float:
        """Return the demand less what may be chance: that of small workspaces is mostly chance."""
        deviation = math.sqrt(self.per_second / LONG_SECONDS)
        return max(0.0, self.per_second - UNCERTAIN_DEVIATIONS * deviation)

    def has_changed(self) -> bool:
        """Whether the demand should be published again."""
        seconds = min(LONG_SECONDS, self.samples * SAMPLE_SECONDS)
        return differs(self.published, self.per_second, seconds, CHANGE_DEVIATIONS)


class DemandMeter:
    """Counts the requests of workspaces, admitted or not."""

    def __init__(self, now: float) -> None:
        """Create a meter without demand."""
        self._demand_by_workspace: dict[str, _Demand] = {}
        self._writes = TokenBucket(1 / PUBLISH_INTERVAL_SECONDS, PUBLISH_BURST, now)

    def count(self, workspace: Workspace) -> None:
        """Count a request."""
        demand = self._demand_by_workspace.get(workspace.name)
        if demand is None:
            demand = self._demand_by_workspace[workspace.name] = _Demand(workspace.rate)
        demand.rate_limit = workspace.rate
        demand.requests += 1

    def sample(self) -> None:
        """Apply the requests since the last sample; call it every ``SAMPLE_SECONDS``."""
        for name, demand in list(self._demand_by_workspace.items()):
            demand.sample()
            if demand.per_second < 1e-3 and not demand.published:
                del self._demand_by_workspace[name]

    def weights_to_publish(self, now: float) -> Weights | None:
        """Return the weights if they should be published now."""
        demands = self._demand_by_workspace
        if not any(demand.has_changed() for demand in demands.values()):
            return None
        if not self._writes.try_take(1.0, now):
            return None
        largest = sorted(demands.items(), key=lambda item: -item[1].per_second)[:MAX_PUBLISHED]
        weights = {}
        for demand in demands.values():
            demand.published = 0.0
        for name, demand in largest:
            weight = min(MAX_WEIGHT, round(1000 * demand.certain() / demand.rate_limit))
            if weight >= MIN_WEIGHT:
                weights[name] = weight
            demand.published = demand.per_second
        return weights


def differs(known: float, measured: float, seconds: float, deviations: float) -> bool:
    """Whether a demand that was measured for some seconds differs by more than chance.

    >>> [differs(20.0, measured, 10.0, 3.0) for measured in (22.0, 30.0)]
    [False, True]
    >>> [differs(0.0, measured, 10.0, 3.0) for measured in (0.1, 5.0)]
    [False, True]
    """
    requests = max(known, measured) * seconds
    chance = (deviations * math.sqrt(requests) + 1) / seconds
    return abs(measured - known) > max(chance, MIN_CHANGE * known)
