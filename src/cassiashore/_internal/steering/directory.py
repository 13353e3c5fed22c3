"""Which instances a caller is told to use."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from cassiashore._internal.steering.active_instances import InstanceInfo

LEAST_IN_ZONE = 2  # with one, its callers have nowhere to go until their answer expires
MAX_INSTANCES = 64  # callers take no more


def instances_for_caller(
    region: str,
    failure_domain: str,
    homes: frozenset[str],
    carriers: Sequence[InstanceInfo],
    distance: Callable[[str], float],
    rng: random.Random,
) -> list[InstanceInfo]:
    """Return the nearest of the instances that carry callers, at most ``MAX_INSTANCES``.

    Those of the caller's failure domain if there are enough, else those of its region; where
    its region has none, those of the nearest region, and of a home region if the routes have homes.
    """
    near = [c for c in carriers if c.failure_domain == failure_domain]
    if len(near) < LEAST_IN_ZONE:
        near = [c for c in carriers if c.region == region]
    if not near:
        allowed = [c for c in carriers if not homes or c.region in homes] or list(carriers)
        nearest = min((distance(c.region) for c in allowed), default=0.0)
        near = [c for c in allowed if distance(c.region) <= nearest]
    if len(near) > MAX_INSTANCES:
        near = rng.sample(near, MAX_INSTANCES)
    return near
