"""Which instances a caller is told to use."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cassiashore._internal.steering.carriers import all_carriers

LEAST_IN_ZONE = 2  # with one, its callers have nowhere to go until their answer expires
MAX_INSTANCES = 64  # callers take no more


@dataclass(frozen=True, slots=True)
class Entrance:
    """An instance that takes callers' connections."""

    address: str
    failure_domain: str
    region: str
    capacity: float = 1.0
    load: float = 0.0


def entrances_for(
    region: str,
    failure_domain: str,
    homes: frozenset[str],
    entrances: Sequence[Entrance],
    distance: Callable[[str], float],
    rng: random.Random,
) -> list[Entrance]:
    """Return the nearest instances for a caller, at most ``MAX_INSTANCES``.

    The carriers of the caller's failure domain if there are enough, else those of its region; where
    its region has none, those of the nearest region, and of a home region if the routes have homes.
    """
    entrances = all_carriers(entrances)
    near = [e for e in entrances if e.failure_domain == failure_domain]
    if len(near) < LEAST_IN_ZONE:
        near = [e for e in entrances if e.region == region]
    if not near:
        allowed = [e for e in entrances if e.region in homes] if homes else list(entrances)
        allowed = allowed or list(entrances)
        nearest = min((distance(e.region) for e in allowed), default=0.0)
        near = [e for e in allowed if distance(e.region) <= nearest]
    if len(near) > MAX_INSTANCES:
        near = rng.sample(near, MAX_INSTANCES)
    return near
