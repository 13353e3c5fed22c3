"""Routing policies, which choose places and targets, by name.

The ``policy`` decorator registers a policy. ``adaptive`` supports both objectives; the others are
baselines for comparison.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from cassiashore._internal.admission.slots import TargetState
from cassiashore._internal.catalogue.schema import Objective
from cassiashore._internal.routing.places import Place, PlaceKind

HEADROOM_UTILISATION_THRESHOLD = 0.6  # share of slots in use above which queues begin to form
# Cost per squared utilisation above the threshold; about one typical response time.
HEADROOM_WEIGHT_SECONDS = 0.25
MAX_COST_JITTER = 0.1  # share of the cost; smaller than the usual difference between places


class Policy(Protocol):
    """Chooses the place and the target of a request."""

    def is_good_enough(self, local: Place, objective: Objective) -> bool:
        """Tell whether to run on this instance without comparing other places."""

    def order_places(self, places: Sequence[Place], objective: Objective) -> list[Place]:
        """Return the places in the order in which they should be tried."""

    def choose_target(self, candidates: list[TargetState]) -> TargetState:
        """Choose among targets that have a free slot; there is at least one."""


PolicyFactory = Callable[[random.Random], Policy]
policy_by_name: dict[str, PolicyFactory] = {}


def policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Register the decorated policy under a name."""

    def register(factory: PolicyFactory) -> PolicyFactory:
        policy_by_name[name] = factory
        return factory

    return register


def weighted_shuffle(places: Sequence[Place], rng: random.Random) -> list[Place]:
    """Shuffle places, weighted by their number of slots (Efraimidis and Spirakis, 2006)."""
    return sorted(
        places, key=lambda place: rng.random() ** (1.0 / max(place.total, 1e-3)), reverse=True
    )


class _Baseline:
    """Base of the policies that always compare all places."""

    def is_good_enough(self, local: Place, objective: Objective) -> bool:
        """Return False, so that all places are compared."""
        return False


@policy("random")
class RandomPolicy(_Baseline):
    """Chooses at random; the chance of a place is proportional to its number of slots."""

    def __init__(self, rng: random.Random) -> None:
        """Store the random number generator."""
        self._rng = rng

    def order_places(self, places: Sequence[Place], objective: Objective) -> list[Place]:
        """Shuffle the places."""
        return weighted_shuffle(places, self._rng)

    def choose_target(self, candidates: list[TargetState]) -> TargetState:
        """Pick any candidate."""
        return self._rng.choice(candidates)


@policy("round_robin")
class RoundRobinPolicy(_Baseline):
    """Takes places and targets in turn."""

    def __init__(self, rng: random.Random) -> None:
        """Start at a random position, so that instances do not rotate in lockstep."""
        self._turn = rng.randrange(1 << 16)

    def order_places(self, places: Sequence[Place], objective: Objective) -> list[Place]:
        """Begin with the next place in turn."""
        ordered = sorted(places, key=lambda place: place.name)
        self._turn += 1
        start = self._turn % len(ordered) if ordered else 0
        return ordered[start:] + ordered[:start]

    def choose_target(self, candidates: list[TargetState]) -> TargetState:
        """Take the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@policy("least_outstanding")
class LeastOutstandingPolicy(_Baseline):
    """Takes the place and the target with the fewest requests."""

    def __init__(self, rng: random.Random) -> None:
        """Store the random number generator, which breaks ties."""
        self._rng = rng

    def order_places(self, places: Sequence[Place], objective: Objective) -> list[Place]:
        """Order by slots in use and requests waiting."""
        return sorted(
            places, key=lambda p: (p.total == 0, p.total - p.free + p.queued, self._rng.random())
        )

    def choose_target(self, candidates: list[TargetState]) -> TargetState:
        """Take the candidate with the fewest requests in flight."""
        return min(candidates, key=lambda state: (state.in_flight, self._rng.random()))


@policy("two_choices")
class TwoChoicesPolicy(_Baseline):
    """Compares two random choices and takes the less loaded one (Mitzenmacher, 2001)."""

    def __init__(self, rng: random.Random) -> None:
        """Store the random number generator."""
        self._rng = rng

    def order_places(self, places: Sequence[Place], objective: Objective) -> list[Place]:
        """Shuffle, then put the less loaded of the first two first."""
        ordered = weighted_shuffle(places, self._rng)
        if len(ordered) > 1 and ordered[1].utilisation < ordered[0].utilisation:
            ordered[0], ordered[1] = ordered[1], ordered[0]
        return ordered

    def choose_target(self, candidates: list[TargetState]) -> TargetState:
        """Take the one of two random candidates that has fewer requests in flight."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        return first if first.in_flight <= second.in_flight else second


@policy("adaptive")
class AdaptivePolicy:
    """Minimises a cost in seconds: round trip, expected wait, and use of headroom.

    For the latency objective the cost is the sum of the round trip, the expected wait and the
    response time. For the headroom objective it also grows with the square of the utilisation
    above ``HEADROOM_UTILISATION_THRESHOLD``, so that load spreads before any place is full. A small
    random factor keeps instances that received the same digest from all choosing the same place.
    """

    def __init__(self, rng: random.Random, monotonic: Callable[[], float] = time.monotonic) -> None:
        """Store the random number generator and the clock."""
        self._rng = rng
        self._monotonic = monotonic

    def is_good_enough(self, local: Place, objective: Objective) -> bool:
        """Tell whether this instance has free slots and enough headroom for the objective.

        Requests that count as moved are always compared with other places.
        """
        if local.free == 0 or local.is_move:
            return False
        return objective is Objective.LATENCY or local.utilisation <= HEADROOM_UTILISATION_THRESHOLD

    def order_places(self, places: Sequence[Place], objective: Objective) -> list[Place]:
        """Order by cost with jitter; places without slots come last."""
        cost = _cost_by_objective[objective]
        return sorted(places, key=lambda place: self._jitter_factor(place) * cost(place))

    def choose_target(self, candidates: list[TargetState]) -> TargetState:
        """Take the candidate that is expected to respond first."""
        now = self._monotonic()
        return min(
            candidates,
            key=lambda s: ((s.in_flight + 1) / s.target.slots) * s.health.expected_latency(now),
        )

    def _jitter_factor(self, place: Place) -> float:
        if place.kind is PlaceKind.LOCAL:
            return 1.0
        return 1.0 + MAX_COST_JITTER * self._rng.random()


def _latency_cost(place: Place) -> float:
    return place.round_trip + place.expected_wait + place.latency


def _headroom_cost(place: Place) -> float:
    excess = max(0.0, place.utilisation - HEADROOM_UTILISATION_THRESHOLD)
    return _latency_cost(place) + HEADROOM_WEIGHT_SECONDS * excess * excess


_cost_by_objective: dict[Objective, Callable[[Place], float]] = {
    Objective.LATENCY: _latency_cost,
    Objective.HEADROOM: _headroom_cost,
}
