"""A model of targets that keep objects, driven by the real choice of targets in simulated time.

Several instances choose for callers who come at random. Each of them knows of the others only what
targets report of their load with their answers. A target runs as many requests at a time as it has
slots, queues some more, and keeps the objects that it handled last; one that it does not keep takes
several times as long. Nothing here opens a socket or looks at a real clock.
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
from cassiashore._internal.steering.overload import Urgency, Verdict, choose_estimate, decide
from cassiashore._internal.steering.placement import Estimate, Placement, RequestProfile
from cassiashore._internal.steering.registry import TargetRegistry, TargetReport

REGION = "erie"
DOMAIN = "erie-a"
SERVICE = "stock"
PRIORITY = 2
ANYWHERE: frozenset[str] = frozenset()


@dataclass(slots=True)
class ModelClock:
    """Simulated time in seconds."""

    now: float = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


@dataclass
class SimulatedTarget:
    """A target with slots and a queue, which keeps the objects that it handled last."""

    slots: int
    keeps: int
    kept_seconds: float
    made_seconds: float
    queue: int = 1_000_000
    busy_until: list[float] = field(default_factory=list)
    kept: OrderedDict[str, None] = field(default_factory=OrderedDict)
    made: int = 0

    def start_of(self, now: float) -> float:
        """Return when a request that comes now begins to run."""
        while self.busy_until and self.busy_until[0] <= now:
            heapq.heappop(self.busy_until)
        if len(self.busy_until) < self.slots:
            return now
        return sorted(self.busy_until)[len(self.busy_until) - self.slots]

    def serve(self, key: str, now: float, deadline: float = float("inf")) -> float | None:
        """Return when a request that comes now ends; None when the queue has no room for it.

        A run that reaches the deadline ends there, and the target keeps its object all the same.
        """
        start = self.start_of(now)
        if len(self.busy_until) >= self.slots + self.queue or start >= deadline:
            return None
        work = self.kept_seconds
        if key not in self.kept:
            work = self.made_seconds
            self.made += 1
        self.kept[key] = None
        self.kept.move_to_end(key)
        if len(self.kept) > self.keeps:
            self.kept.popitem(last=False)
        end = min(start + work, deadline)
        heapq.heappush(self.busy_until, end)
        return end

    def busy(self, now: float) -> int:
        """Return how many requests run or wait."""
        return sum(end > now for end in self.busy_until)


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes and times of a deployment; times in seconds."""

    instances: int
    targets: int
    objects: int
    slots: int = 6
    queue: int = 18
    keeps: int = 9
    kept_seconds: float = 0.83
    made_seconds: float = 2.9
    objective: float = 1.5
    timeout: float = 3.0
    deadline: float = 12.0


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """Requests a second in each second, the share that are operators' checks, and losses.

    At ``lost_at`` a share of the targets ends for good.
    """

    rate_by_second: tuple[float, ...]
    check_share: float = 0.0
    lost_at: float = float("inf")
    lost_share: float = 0.0


CHECK_SECONDS = 0.009  # a request that only shows which configuration is in force


@dataclass
class Played:
    """What became of the requests for objects, and how often objects were made."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    timed_out: int = 0
    lost: int = 0
    made: int = 0
    targets_per_object: float = 0.0
    in_time_by_second: Counter[int] = field(default_factory=Counter)
    asked_by_second: Counter[int] = field(default_factory=Counter)

    def share_in_time(self, first: int, last: int) -> float:
        """Return the share in time of the requests of some seconds."""
        asked = sum(self.asked_by_second[s] for s in range(first, last))
        return sum(self.in_time_by_second[s] for s in range(first, last)) / max(1, asked)


@dataclass(frozen=True, slots=True, order=True)
class _Arrival:
    at: float
    number: int
    key: str
    route: str
    first_at: float


@dataclass(frozen=True, slots=True)
class _Sent:
    arrival: _Arrival
    instance: int
    estimate: Estimate
    ends_at: float


class Experiment:
    """One fleet under one load pattern; ``is_informed`` replaces the policy.

    An informed choice sees the true queues and kept objects of all targets and takes the one that
    ends first, the key's own if several do. It does not look ahead, so it is no bound: where the
    policy is better, it keeps objects together for later requests.
    """

    def __init__(
        self, fleet: Fleet, pattern: LoadPattern, *, seed: int, is_informed: bool = False
    ) -> None:
        """Build targets and instances."""
        self._fleet = fleet
        self._pattern = pattern
        self._is_informed = is_informed
        self._rng = random.Random(seed)
        self._clock = ModelClock()
        self._numbers = itertools.count()
        self.played = Played()
        self._target_by_id = {
            f"t-{number}": SimulatedTarget(
                fleet.slots, fleet.keeps, fleet.kept_seconds, fleet.made_seconds, fleet.queue
            )
            for number in range(fleet.targets)
        }
        self._instances = [self._instance() for _ in range(fleet.instances)]
        self._arrivals: list[_Arrival] = []
        self._ends: list[tuple[float, int, _Sent]] = []
        self._targets_by_key: dict[str, set[str]] = defaultdict(set)

    def _instance(self) -> tuple[TargetRegistry, Placement]:
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

    def run(self) -> Played:
        """Play the whole pattern."""
        self._draw_arrivals()
        has_lost = False
        while self._arrivals:
            arrival = heapq.heappop(self._arrivals)
            self._clock.now = arrival.at
            if not has_lost and arrival.at >= self._pattern.lost_at:
                has_lost = True
                self._lose_targets()
            self._end_runs(arrival.at)
            self._arrive(arrival)
        self._end_runs(float("inf"))
        kept = [len(targets) for targets in self._targets_by_key.values()]
        self.played.targets_per_object = sum(kept) / max(1, len(kept))
        self.played.made = sum(target.made for target in self._target_by_id.values())
        return self.played

    def _draw_arrivals(self) -> None:
        for second, rate in enumerate(self._pattern.rate_by_second):
            at = second + self._rng.expovariate(rate)
            while at < second + 1:
                number = next(self._numbers)
                is_check = self._rng.random() < self._pattern.check_share
                key = f"check-{number}" if is_check else self._object()
                route = "checks" if is_check else "objects"
                heapq.heappush(self._arrivals, _Arrival(at, number, key, route, at))
                at += self._rng.expovariate(rate)

    def _object(self) -> str:
        objects = self._fleet.objects
        return str(int(self._rng.triangular(0, objects, objects / 4)))

    def _lose_targets(self) -> None:
        lost = list(self._target_by_id)[: int(len(self._target_by_id) * self._pattern.lost_share)]
        for target_id in lost:
            del self._target_by_id[target_id]
            for registry, _ in self._instances:
                registry.remove(target_id)

    def _end_runs(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            at, _, sent = heapq.heappop(self._ends)
            target_id = sent.estimate.target.target_id
            sent.estimate.target.load.in_flight -= 1
            simulated = self._target_by_id.get(target_id)
            if simulated is None:
                continue
            self._clock.now = at
            _, placement = self._instances[sent.instance]
            profile = self._profile(sent.arrival)
            took = at - sent.arrival.at
            if took >= self._fleet.timeout and sent.arrival.route == "objects":
                placement.record_timeout(sent.estimate, profile, took)
            else:
                sent.estimate.target.load.record_report(simulated.busy(at), at)
                placement.record_response(sent.estimate, profile, took)
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
            self.played.asked += 1
            self.played.asked_by_second[int(arrival.at)] += 1
        instance = self._rng.randrange(len(self._instances))
        placement = self._instances[instance][1]
        if self._is_informed:
            chosen = self._informed(placement, arrival)
        else:
            chosen = self._by_policy(placement, arrival)
        if chosen is None:
            return
        target_id = chosen.target.target_id
        simulated = self._target_by_id[target_id]
        if not is_object:
            end: float | None = arrival.at + CHECK_SECONDS
        else:
            end = simulated.serve(arrival.key, arrival.at, arrival.at + self._fleet.timeout)
        if end is None:
            self._turned_away(arrival, self._fleet.kept_seconds)
            return
        if is_object:
            self._targets_by_key[arrival.key].add(target_id)
            self._judge(arrival, end)
        chosen.target.load.in_flight += 1
        sent = _Sent(arrival, instance, chosen, end)
        heapq.heappush(self._ends, (end, next(self._numbers), sent))

    def _by_policy(self, placement: Placement, arrival: _Arrival) -> Estimate | None:
        profile = self._profile(arrival)
        order = placement.ranked(profile, ANYWHERE)
        left = self._fleet.timeout
        urgency = Urgency(left, self._fleet.objective, PRIORITY)
        best = choose_estimate(placement.estimates(order, profile), urgency)
        decision = decide(best, urgency, self._rng)
        if decision.verdict is Verdict.REJECT:
            self._turned_away(arrival, decision.retry_after)
            return None
        return best

    def _informed(self, placement: Placement, arrival: _Arrival) -> Estimate | None:
        best: Estimate | None = None
        for target in placement.ranked(self._profile(arrival), ANYWHERE):
            simulated = self._target_by_id[target.target_id]
            work = simulated.made_seconds
            if arrival.key in simulated.kept:
                work = simulated.kept_seconds
            waiting = simulated.start_of(arrival.at) - arrival.at
            if best is None or waiting + work < best.seconds:
                best = Estimate(target, waiting + work, waiting)
        if best is not None and best.waiting > self._fleet.objective:
            self._turned_away(arrival, best.waiting)
            return None
        return best

    def _turned_away(self, arrival: _Arrival, pause: float) -> None:
        """Let a caller come back once, if its time allows."""
        back_at = arrival.at + pause
        is_first = arrival.first_at == arrival.at
        if is_first and back_at < arrival.first_at + self._fleet.deadline:
            later = _Arrival(
                back_at, next(self._numbers), arrival.key, arrival.route, arrival.first_at
            )
            heapq.heappush(self._arrivals, later)
        elif arrival.route == "objects":
            self.played.lost += 1

    def _judge(self, arrival: _Arrival, end: float) -> None:
        took = end - arrival.first_at
        if end - arrival.at >= self._fleet.timeout:
            self.played.timed_out += 1
        elif took <= self._fleet.objective:
            self.played.in_time += 1
            self.played.in_time_by_second[int(arrival.first_at)] += 1
        else:
            self.played.late += 1


def play(fleet: Fleet, pattern: LoadPattern, *, seed: int = 1, is_informed: bool = False) -> Played:
    """Play a pattern once."""
    return Experiment(fleet, pattern, seed=seed, is_informed=is_informed).run()
