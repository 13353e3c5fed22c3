"""Compares the choice of targets with one that knows all queues: ``scripts/bench placement``."""

from __future__ import annotations

import argparse
from collections.abc import Callable

from cassiashore._internal.cli.output import format_table
from lab.target_model import Fleet, LoadPattern, SimulationResult, simulate

# Sizes and caches as in existing deployments, the large one scaled to a quarter.
FLEET_BY_NAME = {
    "large": Fleet(instances=7, targets=66, objects=99),
    "small": Fleet(
        instances=4, targets=8, objects=82, cache_size=64, cached_seconds=0.108,
        uncached_seconds=0.36, objective=0.25, timeout=2.0, deadline=2.0,
    ),
}  # fmt: skip
CHECK_SHARE = 0.05
CALM_SHARE = 0.3  # Of the capacity when all objects are cached.
SECONDS = 20

MakePattern = Callable[[float], LoadPattern]
pattern_by_name: dict[str, MakePattern] = {}


def load_pattern(name: str) -> Callable[[MakePattern], MakePattern]:
    """Register a load pattern, which is built from the capacity in requests per second."""

    def register(make: MakePattern) -> MakePattern:
        pattern_by_name[name] = make
        return make

    return register


def _with_burst(capacity: float, factor: float) -> tuple[float, ...]:
    calm = CALM_SHARE * capacity
    return (calm,) * 4 + (factor * capacity,) * 8 + (calm,) * 8


@load_pattern("everything unknown")
def _everything_unknown(capacity: float) -> LoadPattern:
    return LoadPattern((CALM_SHARE * capacity,) * SECONDS, CHECK_SHARE)


@load_pattern("burst of all slots")
def _burst(capacity: float) -> LoadPattern:
    return LoadPattern(_with_burst(capacity, 1.0), CHECK_SHARE)


@load_pattern("burst beyond all slots")
def _large_burst(capacity: float) -> LoadPattern:
    return LoadPattern(_with_burst(capacity, 1.3), CHECK_SHARE)


@load_pattern("half of the targets lost")
def _half_lost(capacity: float) -> LoadPattern:
    return LoadPattern((CALM_SHARE * capacity,) * SECONDS, CHECK_SHARE, SECONDS / 2, 0.5)


def _row(fleet: str, name: str, choice: str, results: list[SimulationResult]) -> list[object]:
    requested = sum(result.requested for result in results)
    counts = [
        sum(result.in_time for result in results),
        sum(result.late for result in results),
        sum(result.timed_out for result in results),
        sum(result.lost for result in results),
    ]
    cached_by = sum(result.targets_per_object for result in results) / len(results)
    shares = [round(count / requested, 3) for count in counts]
    return [fleet, name, choice, *shares, round(cached_by, 2)]


def main() -> None:
    """Print a row for each fleet, load pattern and choice of targets."""
    parser = argparse.ArgumentParser(prog="scripts/bench placement", description=__doc__)
    parser.add_argument("--fleet", choices=FLEET_BY_NAME, help="only this one")
    parser.add_argument("--seeds", type=int, default=5, help="plays of each row")
    arguments = parser.parse_args()
    rows = []
    for fleet_name in [arguments.fleet] if arguments.fleet else FLEET_BY_NAME:
        fleet = FLEET_BY_NAME[fleet_name]
        capacity = fleet.targets * fleet.slots / fleet.cached_seconds
        for name, make in pattern_by_name.items():
            for choice, is_informed in (("policy", False), ("informed", True)):
                results = [
                    simulate(fleet, make(capacity), seed=seed, is_informed=is_informed)
                    for seed in range(1, arguments.seeds + 1)
                ]
                rows.append(_row(fleet_name, name, choice, results))
    header = [
        "fleet", "load", "choice", "in time", "late", "timed out", "lost", "targets an object",
    ]  # fmt: skip
    print(format_table(header, rows))


if __name__ == "__main__":
    main()
