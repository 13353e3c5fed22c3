"""Simulation of targets that cache objects, using the real placement with simulated time.

Several instances choose targets for requests that arrive at random. They know each other's requests
only from the load that targets report with their responses. A target runs as many requests at the
same time as it has slots, queues some more, and caches the most recently used objects; requests for
other objects take several times as long. No sockets and no real clock are used.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict
from dataclasses import dataclass, field

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.steering.balance import RegionBalance
from cassiashore._internal.steering.distance import RegionDistances
from cassiashore._internal.steering.load import LoadReport
from cassiashore._internal.steering.overload import Urgency, Verdict, choose_estimate, decide
from cassiashore._internal.steering.placement import Estimate, Placement, RequestProfile
from cassiashore._internal.steering.registry import TargetRegistry, TargetReport

REGION = "erie"
DOMAIN = "erie-a"
SERVICE = "stock"
PRIORITY = 2
NO_HOME_REGIONS: frozenset[str] = frozenset()


@dataclass(slots=True)
class ModelClock:
    """Simulated time in seconds."""

    now: float = 0.0

    def __call__(self) -> float:
        """Return the simulated time."""
        return self.now


@dataclass
class SimulatedTarget:
    """A target with slots, a queue and a cache of the most recently used objects."""

    slots: int
    cache_size: int
    cached_seconds: float
    uncached_seconds: float
    queue: int = 1_000_000
    end_times: list[float] = field(default_factory=list)
    cached: OrderedDict[str, None] = field(default_factory=OrderedDict)
    misses: int = 0

    def start_time(self, now: float) -> float:
        """Return when a request that arrives now starts to run."""
        while self.end_times and self.end_times[0] <= now:
            heapq.heappop(self.end_times)
        if len(self.end_times) < self.slots:
            return now
        return sorted(self.end_times)[len(self.end_times) - self.slots]

    def serve(self, key: str, now: float, deadline: float = float("inf")) -> float | None:
        """Return when a request that arrives now ends, or None if the queue is full.

        A request that reaches the deadline ends then, but the target still caches its object.
        """
        start = self.start_time(now)
        if len(self.end_times) >= self.slots + self.queue or start >= deadline:
            return None
        work = self.cached_seconds
        if key not in self.cached:
            work = self.uncached_seconds
            self.misses += 1
        self.cached[key] = None
        self.cached.move_to_end(key)
        if len(self.cached) > self.cache_size:
            self.cached.popitem(last=False)
        end = min(start + work, deadline)
        heapq.heappush(self.end_times, end)
        return end

    def busy(self, now: float) -> int:
        """Return the number of running and queued requests."""
        return sum(end > now for end in self.end_times)


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes and times of a deployment, with times in seconds."""

    instances: int
    targets: int
    objects: int
    slots: int = 6
    queue: int = 18
    cache_size: int = 9
    cached_seconds: float = 0.83
    uncached_seconds: float = 2.9
    objective: float = 1.5
    timeout: float = 3.0
    deadline: float = 12.0


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """Request rate in each second, share of operators' checks, and loss of targets.

    At the time ``lost_at`` the share ``lost_share`` of the targets is lost for good.
    """

    rate_by_second: tuple[float, ...]
    check_share: float = 0.0
    lost_at: float = float("inf")
    lost_share: float = 0.0


CHECK_SECONDS = 0.009  # A check only returns the version of the current configuration.


@dataclass
class SimulationResult:
    """Results of the requests for objects, and the number of cache misses."""

    requested: int = 0
    in_time: int = 0
    late: int = 0
    timed_out: int = 0
    lost: int = 0
    misses: int = 0
    targets_per_object: float = 0.0
    in_time_by_second: Counter[int] = field(default_factory=Counter)
    requested_by_second: Counter[int] = field(default_factory=Counter)

    def share_in_time(self, first: int, last: int) -> float:
        """Return the share of requests in time from second ``first`` up to second ``last``."""
        requested = sum(self.requested_by_second[s] for s in range(first, last))
        return sum(self.in_time_by_second[s] for s in range(first, last)) / max(1, requested)


@dataclass(frozen=True, slots=True, order=True)
class _Arrival:
    at: float
    number: int
    key: str
    route: str
    first_at: float


@dataclass(frozen=True, slots=True)
class _Attempt:
    arrival: _Arrival
    instance: int
    estimate: Estimate
    ends_at: float


class Simulation:
    """Simulation of a fleet with a load pattern; ``is_informed`` replaces the policy.

    The informed choice knows the queues and caches of all targets and takes the target that
    finishes first, or the one that ranks highest for the key if there are several. It is greedy and
    so no upper bound: the policy can be better, since it avoids caching an object more than once.
    """

    def __init__(
        self, fleet: Fleet, pattern: LoadPattern, *, seed: int, is_informed: bool = False
    ) -> None:
        """Create the targets and instances."""
        self._fleet = fleet
        self._load_pattern = pattern
        self._is_informed = is_informed
        self._rng = random.Random(seed)
        self._clock = ModelClock()
        self._numbers = itertools.count()
        self.result = SimulationResult()
        self._target_by_id = {
            f"t-{number}": SimulatedTarget(
                fleet.slots,
                fleet.cache_size,
                fleet.cached_seconds,
                fleet.uncached_seconds,
                fleet.queue,
            )
            for number in range(fleet.targets)
        }
        self._instances = [self._make_instance() for _ in range(fleet.instances)]
        self._arrivals: list[_Arrival] = []
        self._running: list[tuple[float, int, _Attempt]] = []
        self._targets_by_key: dict[str, set[str]] = defaultdict(set)

    def _make_instance(self) -> tuple[TargetRegistry, Placement]:
        registry = TargetRegistry({DOMAIN: REGION}, lambda a: ConnectionPool(a, 64), self._clock)
        for number, target_id in enumerate(self._target_by_id):
            address = Address("127.0.0.1", 1 + number)
            registry.apply(
                TargetReport(
                    target_id, 1, 1, SERVICE, address, DOMAIN, self._fleet.slots, False, 0.0
                )
            )
        distances = RegionDistances(REGION)
        balance = RegionBalance(REGION)
        return registry, Placement(registry, distances, balance, REGION, self._clock)

    def run(self) -> SimulationResult:
        """Simulate the whole load pattern."""
        self._draw_arrivals()
        targets_lost = False
        while self._arrivals:
            arrival = heapq.heappop(self._arrivals)
            self._clock.now = arrival.at
            if not targets_lost and arrival.at >= self._load_pattern.lost_at:
                targets_lost = True
                self._lose_targets()
            self._finish_requests(arrival.at)
            self._arrive(arrival)
        self._finish_requests(float("inf"))
        target_counts = [len(targets) for targets in self._targets_by_key.values()]
        self.result.targets_per_object = sum(target_counts) / max(1, len(target_counts))
        self.result.misses = sum(target.misses for target in self._target_by_id.values())
        return self.result

    def _draw_arrivals(self) -> None:
        for second, rate in enumerate(self._load_pattern.rate_by_second):
            at = second + self._rng.expovariate(rate)
            while at < second + 1:
                number = next(self._numbers)
                is_check = self._rng.random() < self._load_pattern.check_share
                key = f"check-{number}" if is_check else self._draw_object()
                route = "checks" if is_check else "objects"
                heapq.heappush(self._arrivals, _Arrival(at, number, key, route, at))
                at += self._rng.expovariate(rate)

    def _draw_object(self) -> str:
        objects = self._fleet.objects
        return str(int(self._rng.triangular(0, objects, objects / 4)))

    def _lose_targets(self) -> None:
        lost = list(self._target_by_id)[
            : int(len(self._target_by_id) * self._load_pattern.lost_share)
        ]
        for target_id in lost:
            del self._target_by_id[target_id]
            for registry, _ in self._instances:
                registry.remove(target_id)

    def _finish_requests(self, until: float) -> None:
        while self._running and self._running[0][0] <= until:
            at, _, attempt = heapq.heappop(self._running)
            target_id = attempt.estimate.target.target_id
            attempt.estimate.target.load.in_flight -= 1
            simulated = self._target_by_id.get(target_id)
            if simulated is None:
                continue
            self._clock.now = at
            _, placement = self._instances[attempt.instance]
            profile = self._profile(attempt.arrival)
            elapsed = at - attempt.arrival.at
            if elapsed >= self._fleet.timeout and attempt.arrival.route == "objects":
                placement.record_timeout(attempt.estimate, profile, elapsed)
            else:
                attempt.estimate.target.load.record_report(LoadReport(simulated.busy(at), 0), at)
                placement.record_response(attempt.estimate, profile, elapsed)
        if until < float("inf"):
            self._clock.now = until

    def _profile(self, arrival: _Arrival) -> RequestProfile:
        return RequestProfile(
            SERVICE,
            arrival.route,
            arrival.key,
            self._fleet.objective,
            has_object=arrival.route == "objects",
        )

    def _arrive(self, arrival: _Arrival) -> None:
        is_object = arrival.route == "objects"
        if is_object and arrival.first_at == arrival.at:
            self.result.requested += 1
            self.result.requested_by_second[int(arrival.at)] += 1
        instance = self._rng.randrange(len(self._instances))
        placement = self._instances[instance][1]
        if self._is_informed:
            chosen = self._choose_informed(placement, arrival)
        else:
            chosen = self._choose_by_policy(placement, arrival)
        if chosen is None:
            return
        target_id = chosen.target.target_id
        simulated = self._target_by_id[target_id]
        if not is_object:
            end: float | None = arrival.at + CHECK_SECONDS
        else:
            end = simulated.serve(arrival.key, arrival.at, arrival.at + self._fleet.timeout)
        if end is None:
            self._retry_later(arrival, self._fleet.cached_seconds)
            return
        if is_object:
            self._targets_by_key[arrival.key].add(target_id)
            self._record_outcome(arrival, end)
        chosen.target.load.in_flight += 1
        attempt = _Attempt(arrival, instance, chosen, end)
        heapq.heappush(self._running, (end, next(self._numbers), attempt))

    def _choose_by_policy(self, placement: Placement, arrival: _Arrival) -> Estimate | None:
        profile = self._profile(arrival)
        order = placement.ranked(profile, NO_HOME_REGIONS)
        time_left = self._fleet.timeout
        urgency = Urgency(time_left, self._fleet.objective, PRIORITY)
        best = choose_estimate(placement.estimates(order, profile), urgency)
        decision = decide(best, urgency, self._rng)
        if decision.verdict is Verdict.REJECT:
            self._retry_later(arrival, decision.retry_after)
            return None
        return best

    def _choose_informed(self, placement: Placement, arrival: _Arrival) -> Estimate | None:
        best: Estimate | None = None
        for target in placement.ranked(self._profile(arrival), NO_HOME_REGIONS):
            simulated = self._target_by_id[target.target_id]
            work = simulated.uncached_seconds
            if arrival.key in simulated.cached:
                work = simulated.cached_seconds
            waiting = simulated.start_time(arrival.at) - arrival.at
            if best is None or waiting + work < best.seconds:
                best = Estimate(target, waiting + work, waiting)
        if best is not None and best.waiting > self._fleet.objective:
            self._retry_later(arrival, best.waiting)
            return None
        return best

    def _retry_later(self, arrival: _Arrival, pause: float) -> None:
        """Schedule a single retry if the deadline allows it."""
        retry_at = arrival.at + pause
        is_first = arrival.first_at == arrival.at
        if is_first and retry_at < arrival.first_at + self._fleet.deadline:
            later = _Arrival(
                retry_at, next(self._numbers), arrival.key, arrival.route, arrival.first_at
            )
            heapq.heappush(self._arrivals, later)
        elif arrival.route == "objects":
            self.result.lost += 1

    def _record_outcome(self, arrival: _Arrival, end: float) -> None:
        elapsed = end - arrival.first_at
        if end - arrival.at >= self._fleet.timeout:
            self.result.timed_out += 1
        elif elapsed <= self._fleet.objective:
            self.result.in_time += 1
            self.result.in_time_by_second[int(arrival.first_at)] += 1
        else:
            self.result.late += 1


def simulate(
    fleet: Fleet, pattern: LoadPattern, *, seed: int = 1, is_informed: bool = False
) -> SimulationResult:
    """Run a simulation and return its result."""
    return Simulation(fleet, pattern, seed=seed, is_informed=is_informed).run()
