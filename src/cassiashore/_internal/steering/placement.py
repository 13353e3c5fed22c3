"""Choice of the target of a request.

Load pattern: targets keep the objects that they handled last, and a request for a kept object takes
a third of the time. Without affinity the demand exceeds all slots; with it, most fit. So requests
of one key go to one target as long as that pays, and only then to the key's next one.

Targets are ranked for each key by weighted rendezvous hashing (the score ``-weight / ln(u)`` of a
uniform hash ``u``; the highest wins). A target's weight is its slots, lowered with the part of the
route's objective that the way to it takes, so every instance of a region ranks alike. Where the own
region has few slots for its callers, ``RegionBalance`` says which part of the keys it keeps.

When the targets are busy, a request must not be sent where its object is not kept: it would take
three times the work, and the throughput of all falls when it is needed most. So only targets with
idle slots take requests beyond those that rank first for their key.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from cassiashore._internal.models.hashing import HASH_RANGE, hash64
from cassiashore._internal.steering.balance import RegionBalance
from cassiashore._internal.steering.distance import RegionDistances
from cassiashore._internal.steering.registry import RegisteredTarget, TargetRegistry

DISTANCE_AVERSION = 8.0  # e-fold of the weight when the way takes an eighth of the objective
WEIGHT_STEPS_PER_E_FOLD = 2  # measured distances differ a little between instances
MAX_RANKINGS = 4096  # of one service
RANKED_CANDIDATES = 4  # looked at before the least loaded of all
WARM_SHARE = 0.4  # of the objective: answer time for a kept object before any was measured
UNKNOWN_SHARE = 1.2  # of the objective: answer time for another object before any was measured
TIME_WEIGHT = 0.05  # of one answer: the mean of some twenty
PREFERENCE = 1.15  # the first ranked is taken unless another is faster by more than this
MADE_ANEW_RATIO = 2.0  # to the time for kept objects; others take three to four times as long
LEAST_WORK_SECONDS = 0.001  # when the estimates of waiting and travel exceed what was measured
KEPT_KEYS = 64  # keys remembered for each target
MAX_ROUTES = 4096  # of all services, whose times are remembered
MIN_SLOWNESS = 2.0  # ratio to the service's usual times from which a target counts as slow
LEAST_LOADED_SAMPLE = 2  # estimated beside the first: the power of two choices
OVERFLOW_UTILISATION = 0.8  # of the next ranked targets, up to which they take another's key
SPREAD_UTILISATION = 0.25  # of any other target; most of its slots serve the keys that it keeps


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """What the choice of a target goes by: where a request may go, its object, and its objective.

    ``key`` names the object, ``objective`` is in seconds. Without an object (``has_object``) the
    key is unique, and all targets are alike.
    """

    service: str
    route: str
    key: str
    objective: float
    has_object: bool = True


@dataclass(slots=True)
class AnswerTimes:
    """Learned answer times of a route at a service in seconds, without travel and waiting.

    Routes of one service differ by a hundred times: a mean of all would tell nothing of any.
    """

    warm: float = 0.0
    unknown: float = 0.0

    def learn_warm(self, seconds: float) -> None:
        """Take in the time of an answer for a kept object."""
        self.warm = _blend(self.warm, seconds)

    def learn_unknown(self, seconds: float) -> None:
        """Take in the time of an answer for an object that probably was not kept."""
        self.unknown = _blend(self.unknown, seconds)

    def is_too_long_for_warm(self, seconds: float) -> bool:
        """Tell whether an answer took longer than for a kept object, as far as that is known."""
        return self.warm > 0.0 and seconds > MADE_ANEW_RATIO * self.warm

    def learn_at_least(self, seconds: float) -> None:
        """Take in that an object of which nothing was known took longer than this."""
        self.unknown = _blend(self.unknown, max(self.unknown, seconds))

    def warm_or(self, objective: float) -> float:
        """Return the time for a kept object."""
        return self.warm or objective * WARM_SHARE

    def unknown_or(self, objective: float) -> float:
        """Return the time for an object of which nothing is known."""
        return self.unknown or objective * UNKNOWN_SHARE


def _blend(old: float, new: float) -> float:
    return new if old == 0.0 else old + TIME_WEIGHT * (new - old)


@dataclass(frozen=True, slots=True)
class Estimate:
    """What sending to a target would bring: seconds until the answer, and of them waiting.

    ``expects_warm`` tells that the target presumably keeps the object; ``utilisation`` is its busy
    slots per slot.
    """

    target: RegisteredTarget
    seconds: float
    waiting: float
    expects_warm: bool = True
    utilisation: float = 0.0

    @property
    def is_immediate(self) -> bool:
        """Tell whether a slot is free."""
        return self.waiting <= 0.0


@dataclass(slots=True)
class _Rankings:
    state: tuple[int, float, int]
    order_by_key: OrderedDict[str, list[RegisteredTarget]] = field(default_factory=OrderedDict)


class Placement:
    """Ranks and weighs the targets of each service for one instance."""

    def __init__(
        self,
        registry: TargetRegistry,
        distances: RegionDistances,
        balance: RegionBalance,
        own_region: str,
        monotonic: Callable[[], float],
    ) -> None:
        """Keep the parts."""
        self._balance = balance
        self._own_region = own_region
        self._registry = registry
        self._distances = distances
        self._monotonic = monotonic
        self._rankings_by_service: dict[tuple[str, float, frozenset[str]], _Rankings] = {}
        self._times_by_route: OrderedDict[tuple[str, str], AnswerTimes] = OrderedDict()
        self._mean_by_service: dict[str, float] = {}
        self._keys_by_target: dict[str, OrderedDict[str, None]] = {}

    def times(self, profile: RequestProfile) -> AnswerTimes:
        """Return the learned times of a route at a service."""
        group = (profile.service, profile.route)
        times = self._times_by_route.get(group)
        if times is None:
            times = self._times_by_route[group] = AnswerTimes()
            if len(self._times_by_route) > MAX_ROUTES:
                self._times_by_route.popitem(last=False)
        return times

    def ranked(self, profile: RequestProfile, homes: frozenset[str]) -> list[RegisteredTarget]:
        """Return the targets for a key that take work, best first; only in ``homes`` if any."""
        service = profile.service
        group = (service, profile.objective, homes)
        rankings = self._rankings_by_service.get(group)
        state = (
            self._registry.epoch_by_service[service],
            self._balance.share(service),
            self._distances.version,
        )
        if rankings is None or rankings.state != state:
            rankings = _Rankings(state)
            self._rankings_by_service[group] = rankings
        order = rankings.order_by_key.get(profile.key)
        if order is None:
            order = self._rank(profile, homes)
            rankings.order_by_key[profile.key] = order
            if len(rankings.order_by_key) > MAX_RANKINGS:
                rankings.order_by_key.popitem(last=False)
        return order

    def estimate(
        self, target: RegisteredTarget, profile: RequestProfile, *, first: bool
    ) -> Estimate:
        """Estimate the time until an answer; ``first`` marks the key's own target."""
        now = self._monotonic()
        times = self.times(profile)
        expects_warm = first or self._is_known_warm(target, profile)
        if expects_warm:
            work = times.warm_or(profile.objective)
        else:
            work = times.unknown_or(profile.objective)
        slowness = target.load.slowness_at(now)
        if slowness >= MIN_SLOWNESS:
            work *= slowness
        slots = max(1, target.report.slots)
        busy = target.load.busy(now)
        over = busy + 1 - slots
        typical = self._mean_by_service.get(profile.service, profile.objective * WARM_SHARE)
        waiting = over / slots * typical if over > 0 else 0.0
        travel = self._distances.round_trip(target.region)
        seconds = travel + waiting + work
        return Estimate(target, seconds, waiting, expects_warm, busy / slots)

    def estimates(
        self, ranked: Iterable[RegisteredTarget], profile: RequestProfile
    ) -> list[Estimate]:
        """Estimate the first ranked targets or, if these are busy, the least loaded of the others.

        Only then are the others looked at, whose number grows with the deployment.
        """
        now = self._monotonic()
        others = iter(ranked)
        leading = list(islice(others, RANKED_CANDIDATES))
        chosen = leading[:1] + [
            target
            for target in leading[1:]
            if self.is_warm(target, profile.key) or _utilisation(target, now) < OVERFLOW_UTILISATION
        ]
        if len(chosen) == 1:
            chosen.extend(_least_loaded(others, now))
        return [
            self.estimate(target, profile, first=index == 0) for index, target in enumerate(chosen)
        ]

    def is_warm(self, target: RegisteredTarget, key: str) -> bool:
        """Tell whether this instance lately sent a request of the key to the target."""
        keys = self._keys_by_target.get(target.target_id)
        return keys is not None and key in keys

    def answered(self, sent: Estimate, profile: RequestProfile, seconds: float) -> None:
        """Learn from an answer that took ``seconds`` to a request sent by an estimate.

        A key's own target usually keeps an object of which this instance knows nothing, since the
        other instances send there as well. So such an answer says nothing of kept objects, and of
        others only if it took long.
        """
        work = self._work_of(sent, seconds)
        times = self.times(profile)
        mean = _blend(self._mean_by_service.get(profile.service, 0.0), work)
        self._mean_by_service[profile.service] = mean
        sent.target.load.expect_answers_within(mean)
        if self._is_known_warm(sent.target, profile):
            sent.target.load.answered(work, times.warm, self._monotonic())
            times.learn_warm(work)
        elif not sent.expects_warm or times.is_too_long_for_warm(work):
            times.learn_unknown(work)
        self._note_key(sent.target, profile)

    def unanswered(self, sent: Estimate, profile: RequestProfile, seconds: float) -> None:
        """Learn from a request that had no answer after ``seconds``, which took longer than that.

        Without these, the time for an object that is not kept would be that of the few such
        requests that were fast enough, and every busy target's keys would go elsewhere. The target
        keeps the object of a run that it did not finish.
        """
        work = self._work_of(sent, seconds)
        times = self.times(profile)
        if self._is_known_warm(sent.target, profile):
            sent.target.load.answered(work, times.warm, self._monotonic())
        else:
            times.learn_at_least(work)
        self._note_key(sent.target, profile)

    def _work_of(self, sent: Estimate, seconds: float) -> float:
        travel = self._distances.round_trip(sent.target.region)
        return max(LEAST_WORK_SECONDS, seconds - sent.waiting - travel)

    def _is_known_warm(self, target: RegisteredTarget, profile: RequestProfile) -> bool:
        """Tell whether there is no object to be made, or this instance lately had it used."""
        return not profile.has_object or self.is_warm(target, profile.key)

    def _note_key(self, target: RegisteredTarget, profile: RequestProfile) -> None:
        if not profile.has_object:
            return
        keys = self._keys_by_target.setdefault(target.target_id, OrderedDict())
        keys[profile.key] = None
        keys.move_to_end(profile.key)
        if len(keys) > KEPT_KEYS:
            keys.popitem(last=False)

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that is gone."""
        self._keys_by_target.pop(target_id, None)

    def _rank(self, profile: RequestProfile, homes: frozenset[str]) -> list[RegisteredTarget]:
        targets = [
            target
            for target in self._registry.usable(profile.service)
            if not homes or target.region in homes
        ]
        weights = self._weights(targets, profile.service, profile.objective)
        scored = []
        for target, weight in zip(targets, weights, strict=True):
            uniform = (hash64(f"{profile.key}\n{target.target_id}") + 1) / (HASH_RANGE + 2)
            scored.append((weight / -math.log(uniform), target))
        scored.sort(key=lambda pair: -pair[0])
        return [target for _, target in scored]

    def _weights(
        self, targets: list[RegisteredTarget], service: str, objective: float
    ) -> list[float]:
        """Return the weight of each target.

        Those of other regions are raised together until the own region's part of all weights is
        what it keeps.
        """
        weights = [self._weight(target, objective) for target in targets]
        own = sum(w for w, t in zip(weights, targets, strict=True) if t.region == self._own_region)
        others = sum(weights) - own
        share = self._balance.share(service)
        if own == 0 or others == 0 or own / (own + others) <= share:
            return weights
        factor = own * (1 - share) / (share * others)
        return [
            weight if target.region == self._own_region else weight * factor
            for weight, target in zip(weights, targets, strict=True)
        ]

    def _weight(self, target: RegisteredTarget, objective: float) -> float:
        share = self._distances.round_trip(target.region) / max(objective, 0.001)
        e_folds = round(DISTANCE_AVERSION * share * WEIGHT_STEPS_PER_E_FOLD)
        return target.report.slots * math.exp(-e_folds / WEIGHT_STEPS_PER_E_FOLD)


def _utilisation(target: RegisteredTarget, now: float) -> float:
    return target.load.busy(now) / max(1, target.report.slots)


def _least_loaded(targets: Iterable[RegisteredTarget], now: float) -> list[RegisteredTarget]:
    idle = [
        (utilisation, target.target_id, target)
        for target in targets
        if (utilisation := _utilisation(target, now)) < SPREAD_UTILISATION
    ]
    return [target for _, _, target in heapq.nsmallest(LEAST_LOADED_SAMPLE, idle)]


def best_of(estimates: list[Estimate]) -> Estimate:
    """Return the estimate to go by: the first one unless another is clearly faster."""
    first = estimates[0]
    fastest = min(estimates, key=lambda e: e.seconds)
    return first if first.seconds <= fastest.seconds * PREFERENCE else fastest
