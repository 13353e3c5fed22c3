"""Select the target of a request, with affinity between request keys and targets.

Each target caches the objects that it used most recently, and a request for a cached object takes a
third of the time. Without affinity the demand exceeds the slots of all targets; with it, most
requests fit. So all requests with the same key go to the same target while that is the fastest
choice, and otherwise to the next target in the key's ranking.

Targets are ranked for each key by weighted rendezvous hashing (the score ``-weight / ln(u)`` of a
uniform hash ``u``; the highest score wins). The weight of a target is its number of slots, reduced
by the fraction of the route's latency objective that the round trip to it takes, so all instances
of a region compute the same ranking. Where a region has too few slots for its callers,
``RegionBalance`` sets the fraction of the keys that stay in the region.

Under load, a request must not be sent to a target that has not cached its object: it would take
three times as long and reduce the total throughput when it is needed most. So a target takes
requests for keys of other targets only while enough of its slots are idle.
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

# A round trip of an eighth of the latency objective divides the weight of a target by e.
DISTANCE_PENALTY = 8.0
# Weights are rounded, since the round trips measured by different instances differ slightly.
WEIGHT_STEPS_PER_E_FOLD = 2
MAX_RANKINGS_PER_SERVICE = 4096
# Of all services, objectives and sets of home regions together: each workspace may have its own
# set. A ranking of 60 targets has about 600 bytes.
MAX_RANKINGS = 16 * MAX_RANKINGS_PER_SERVICE
RANKED_CANDIDATES = 4  # considered before the least loaded of all targets
# Service times as fractions of the latency objective, used until a response has been measured.
DEFAULT_CACHED_SHARE = 0.4
DEFAULT_UNCACHED_SHARE = 1.2
RESPONSE_TIME_WEIGHT = 0.05  # of a new sample: the average covers about twenty responses
# The first ranked target is used unless another one is faster by more than this factor.
FIRST_RANKED_TOLERANCE = 1.15
# A response slower than this multiple of the cached time is a likely cache miss: misses take three
# to four times as long as hits.
CACHE_MISS_RATIO = 2.0
# Lower bound where the estimates of queueing and round trip exceed the measured time.
MIN_SERVICE_SECONDS = 0.001
# Of a clipped sample: the average settles near the times of the requests that cost least.
LOW_SAMPLE_WEIGHT = 0.2
HIGH_SAMPLE_WEIGHT = 0.04
MAX_CLIPPED_RATIO = 1.5  # of a response time to the average, beyond which it is an exception
MAX_KEYS_PER_TARGET = 64
MAX_ROUTES = 4096  # routes of all services together whose response times are stored
SLOW_PACE = 1.5  # of a target's machine, from which other targets take its requests
MIN_SLOWNESS = 2.0  # ratio to the typical response time from which a target counts as slow
LEAST_LOADED_SAMPLE = 2  # estimated in addition to the first ranked: the power of two choices
# The next ranked targets take requests for another target's key up to this utilisation.
MAX_OVERFLOW_UTILISATION = 0.8
# All other targets do so up to this one: most of their slots serve the keys that rank them first.
MAX_IDLE_UTILISATION = 0.25


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """The properties of a request that determine its target.

    ``key`` identifies the requested object, ``objective`` is the latency objective in seconds. A
    request without an object (``has_object`` is false) has a unique key and no target that suits it
    better than others.
    """

    service: str
    route: str
    key: str
    objective: float
    has_object: bool = True


@dataclass(slots=True)
class ResponseTimes:
    """Average service times of a route in seconds, without round trip and queueing.

    They are kept for each route, since the routes of one service differ by a factor of a hundred.
    """

    cached: float = 0.0
    uncached: float = 0.0

    def record_cached(self, seconds: float, usual: float | None = None) -> None:
        """Record a response for an object that the target had cached.

        ``usual`` is set if some requests cost several times as much as others that look alike; the
        average starts from it. Such a request says nothing about the next one, so a high sample
        counts little and a low one much. An average that the queues after a start have raised would
        keep requests from the targets that cache their objects, and never get another sample.
        """
        weight = RESPONSE_TIME_WEIGHT
        if usual is not None:
            self.cached = self.cached or usual
            weight = LOW_SAMPLE_WEIGHT if seconds < self.cached else HIGH_SAMPLE_WEIGHT
            seconds = min(seconds, MAX_CLIPPED_RATIO * self.cached)
        self.cached = _moving_average(self.cached, seconds, weight)

    def record_uncached(self, seconds: float) -> None:
        """Record a response for an object that the target probably had not cached."""
        self.uncached = _moving_average(self.uncached, seconds)

    def is_likely_miss(self, seconds: float) -> bool:
        """Return whether a response took so long that it was probably a cache miss."""
        return self.cached > 0.0 and seconds > CACHE_MISS_RATIO * self.cached

    def record_uncached_minimum(self, seconds: float) -> None:
        """Record a lower bound of the time for an uncached object."""
        self.uncached = _moving_average(self.uncached, max(self.uncached, seconds))

    def cached_or_default(self, objective: float) -> float:
        """Return the time for a cached object."""
        return self.cached or objective * DEFAULT_CACHED_SHARE

    def uncached_or_default(self, objective: float) -> float:
        """Return the time for an object that is not known to be cached."""
        return self.uncached or objective * DEFAULT_UNCACHED_SHARE


def _moving_average(old: float, new: float, weight: float = RESPONSE_TIME_WEIGHT) -> float:
    return new if old == 0.0 else old + weight * (new - old)


@dataclass(frozen=True, slots=True)
class Estimate:
    """The expected time until a target responds.

    ``seconds`` is the total, ``waiting`` the part of it that is spent in the target's queue.
    ``expects_cached`` is set if the target has probably cached the object, and ``utilisation`` is
    the ratio of busy slots to all slots. ``usual_seconds`` is the time without a queue at a target
    that is not slowed down, and ``travel`` the part of it for the way there and back.
    """

    target: RegisteredTarget
    seconds: float
    waiting: float
    expects_cached: bool = True
    utilisation: float = 0.0
    usual_seconds: float = 0.0
    travel: float = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Return whether the request would not have to queue."""
        return self.waiting <= 0.0


@dataclass(slots=True)
class _Rankings:
    state: tuple[int, float, int]
    ranking_by_key: OrderedDict[str, list[RegisteredTarget]] = field(default_factory=OrderedDict)


class Placement:
    """Ranks the targets of each service and estimates their response times."""

    def __init__(
        self,
        registry: TargetRegistry,
        distances: RegionDistances,
        balance: RegionBalance,
        own_region: str,
        monotonic: Callable[[], float],
    ) -> None:
        """Create a placement for an instance in ``own_region``."""
        self._balance = balance
        self._own_region = own_region
        self._registry = registry
        self._distances = distances
        self._monotonic = monotonic
        self._rankings_by_service: OrderedDict[tuple[str, float, frozenset[str]], _Rankings] = (
            OrderedDict()
        )
        self._ranking_count = 0
        self._response_times_by_route: OrderedDict[tuple[str, str], ResponseTimes] = OrderedDict()
        self._mean_by_service: dict[str, float] = {}
        self._keys_by_target: dict[str, OrderedDict[str, None]] = {}

    def response_times(self, profile: RequestProfile) -> ResponseTimes:
        """Return the average service times of the route and service of a request."""
        route_key = (profile.service, profile.route)
        response_times = self._response_times_by_route.get(route_key)
        if response_times is None:
            response_times = self._response_times_by_route[route_key] = ResponseTimes()
            if len(self._response_times_by_route) > MAX_ROUTES:
                self._response_times_by_route.popitem(last=False)
        return response_times

    def ranked(
        self, profile: RequestProfile, home_regions: frozenset[str]
    ) -> list[RegisteredTarget]:
        """Return the usable targets for a key, best first, only in the home regions if given."""
        service = profile.service
        ranking_key = (service, profile.objective, home_regions)
        rankings = self._rankings_by_service.get(ranking_key)
        state = (
            self._registry.epoch_by_service[service],
            self._balance.share(service),
            self._distances.version,
        )
        if rankings is None or rankings.state != state:
            if rankings is not None:
                self._ranking_count -= len(rankings.ranking_by_key)
            rankings = _Rankings(state)
            self._rankings_by_service[ranking_key] = rankings
        self._rankings_by_service.move_to_end(ranking_key)
        ranking = rankings.ranking_by_key.get(profile.key)
        if ranking is None:
            ranking = self._rank(profile, home_regions)
            self._keep_ranking(rankings, profile.key, ranking)
        return ranking

    def _keep_ranking(self, rankings: _Rankings, key: str, ranking: list[RegisteredTarget]) -> None:
        """Store a ranking, and discard the oldest ones above the limits."""
        rankings.ranking_by_key[key] = ranking
        self._ranking_count += 1
        if len(rankings.ranking_by_key) > MAX_RANKINGS_PER_SERVICE:
            rankings.ranking_by_key.popitem(last=False)
            self._ranking_count -= 1
        while self._ranking_count > MAX_RANKINGS:
            _, oldest = self._rankings_by_service.popitem(last=False)
            self._ranking_count -= len(oldest.ranking_by_key)

    def estimate(
        self, target: RegisteredTarget, profile: RequestProfile, *, first: bool
    ) -> Estimate:
        """Estimate the time until a response; ``first`` marks the first ranked target."""
        now = self._monotonic()
        response_times = self.response_times(profile)
        expects_cached = first or self._is_known_cached(target, profile)
        if expects_cached:
            service_seconds = response_times.cached_or_default(profile.objective)
        else:
            service_seconds = response_times.uncached_or_default(profile.objective)
        travel = self._distances.round_trip(target.region)
        usual_seconds = travel + service_seconds
        slowness = target.load.slowness_at(now)
        service_seconds *= max(
            slowness if slowness >= MIN_SLOWNESS else 1.0, target.load.pace_at(now)
        )
        slots = max(1, target.report.slots)
        busy = target.load.busy(now)
        excess = busy + 1 - slots
        typical = self._mean_by_service.get(
            profile.service, profile.objective * DEFAULT_CACHED_SHARE
        )
        waiting = excess / slots * typical if excess > 0 else 0.0
        seconds = travel + waiting + service_seconds
        return Estimate(
            target, seconds, waiting, expects_cached, busy / slots, usual_seconds, travel
        )

    def estimates(
        self, ranked: Iterable[RegisteredTarget], profile: RequestProfile
    ) -> list[Estimate]:
        """Estimate the first ranked targets or, if these are busy, the least loaded of the others.

        The others are examined only in that case, since their number grows with the deployment.
        """
        now = self._monotonic()
        remaining = iter(ranked)
        first_ranked = list(islice(remaining, RANKED_CANDIDATES))
        selected = first_ranked[:1] + [
            target
            for target in first_ranked[1:]
            if self.has_cached(target, profile.key)
            or _utilisation(target, now) < MAX_OVERFLOW_UTILISATION
        ]
        if len(selected) == 1:
            selected.extend(_least_loaded(remaining, now))
        # While the first ranked target is slow, all instances use the next one, which then caches
        # the object as well.
        likely_cached = 2 if selected and selected[0].load.pace_at(now) >= SLOW_PACE else 1
        return [
            self.estimate(target, profile, first=index < likely_cached)
            for index, target in enumerate(selected)
        ]

    def has_cached(self, target: RegisteredTarget, key: str) -> bool:
        """Return whether this instance recently sent a request with the key to the target."""
        keys = self._keys_by_target.get(target.target_id)
        return keys is not None and key in keys

    def record_response(self, sent: Estimate, profile: RequestProfile, seconds: float) -> None:
        """Update the averages with a response that took ``seconds``.

        The first ranked target has often cached an object that this instance never requested,
        because other instances send requests there as well. So its response is not counted as a
        cache hit, and as a cache miss only if it took long.
        """
        service_seconds = self._service_time(sent, seconds)
        service_seconds /= sent.target.load.pace_at(self._monotonic())
        response_times = self.response_times(profile)
        mean = _moving_average(self._mean_by_service.get(profile.service, 0.0), service_seconds)
        self._mean_by_service[profile.service] = mean
        sent.target.load.set_typical_response_time(mean)
        if self._is_known_cached(sent.target, profile):
            sent.target.load.record_response_time(
                service_seconds, response_times.cached, self._monotonic()
            )
            usual = profile.objective * DEFAULT_CACHED_SHARE
            reports_pace = sent.target.load.reports_pace
            response_times.record_cached(service_seconds, usual if reports_pace else None)
        elif not sent.expects_cached or response_times.is_likely_miss(service_seconds):
            response_times.record_uncached(service_seconds)
        self._remember_key(sent.target, profile)

    def record_timeout(self, sent: Estimate, profile: RequestProfile, seconds: float) -> None:
        """Update the averages with a request that had no response after ``seconds``.

        Without these requests, the average for uncached objects would only include those that were
        fast enough, and the keys of every busy target would move to other targets. The target
        caches the object even if it did not finish the request in time.
        """
        service_seconds = self._service_time(sent, seconds)
        response_times = self.response_times(profile)
        if self._is_known_cached(sent.target, profile):
            sent.target.load.record_response_time(
                service_seconds, response_times.cached, self._monotonic()
            )
        else:
            response_times.record_uncached_minimum(service_seconds)
        self._remember_key(sent.target, profile)

    def _service_time(self, sent: Estimate, seconds: float) -> float:
        travel = self._distances.round_trip(sent.target.region)
        return max(MIN_SERVICE_SECONDS, seconds - sent.waiting - travel)

    def _is_known_cached(self, target: RegisteredTarget, profile: RequestProfile) -> bool:
        """Return whether there is no object, or the target is known to have cached it."""
        return not profile.has_object or self.has_cached(target, profile.key)

    def _remember_key(self, target: RegisteredTarget, profile: RequestProfile) -> None:
        if not profile.has_object:
            return
        keys = self._keys_by_target.setdefault(target.target_id, OrderedDict())
        keys[profile.key] = None
        keys.move_to_end(profile.key)
        if len(keys) > MAX_KEYS_PER_TARGET:
            keys.popitem(last=False)

    def remove_target(self, target_id: str) -> None:
        """Remove the keys of a target that no longer exists."""
        self._keys_by_target.pop(target_id, None)

    def _rank(
        self, profile: RequestProfile, home_regions: frozenset[str]
    ) -> list[RegisteredTarget]:
        targets = [
            target
            for target in self._registry.usable(profile.service)
            if not home_regions or target.region in home_regions
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

        The weights of other regions are scaled up until the own region's fraction of the total does
        not exceed its balance share.
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
        e_folds = round(DISTANCE_PENALTY * share * WEIGHT_STEPS_PER_E_FOLD)
        return target.report.slots * math.exp(-e_folds / WEIGHT_STEPS_PER_E_FOLD)


def _utilisation(target: RegisteredTarget, now: float) -> float:
    return target.load.busy(now) / max(1, target.report.slots)


def _least_loaded(targets: Iterable[RegisteredTarget], now: float) -> list[RegisteredTarget]:
    idle = [
        (utilisation, target.target_id, target)
        for target in targets
        if (utilisation := _utilisation(target, now)) < MAX_IDLE_UTILISATION
    ]
    return [target for _, _, target in heapq.nsmallest(LEAST_LOADED_SAMPLE, idle)]


def preferred_estimate(estimates: list[Estimate]) -> Estimate:
    """Return the first estimate unless another one is clearly faster."""
    first = estimates[0]
    fastest = min(estimates, key=lambda e: e.seconds)
    return first if first.seconds <= fastest.seconds * FIRST_RANKED_TOLERANCE else fastest
