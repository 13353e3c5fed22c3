"""Selection of the instances that the directory names to a caller."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from cassiashore._internal.steering.active_instances import InstanceInfo

# If a caller knew only one and it stopped, the caller would have none until the response expires.
MIN_INSTANCES_IN_DOMAIN = 2
MAX_INSTANCES = 64  # callers accept no more


def instances_for_caller(
    region: str,
    failure_domain: str,
    home_regions: frozenset[str],
    active: Sequence[InstanceInfo],
    distance: Callable[[str], float],
    rng: random.Random,
) -> list[InstanceInfo]:
    """Return at most ``MAX_INSTANCES`` of the active instances that are nearest to a caller.

    These are the ones of the caller's failure domain if there are enough, otherwise those of its
    region. If its region has none, they are those of the nearest region, chosen among the home
    regions of the routes if any of these has instances.
    """
    candidates = [c for c in active if c.failure_domain == failure_domain]
    if len(candidates) < MIN_INSTANCES_IN_DOMAIN:
        candidates = [c for c in active if c.region == region]
    if not candidates:
        allowed = [c for c in active if not home_regions or c.region in home_regions] or list(
            active
        )
        nearest = min((distance(c.region) for c in allowed), default=0.0)
        candidates = [c for c in allowed if distance(c.region) <= nearest]
    if len(candidates) > MAX_INSTANCES:
        candidates = rng.sample(candidates, MAX_INSTANCES)
    return candidates
