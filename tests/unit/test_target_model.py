"""Simulated load on large deployments whose targets cache few objects each."""

from __future__ import annotations

from lab.target_model import Fleet, LoadPattern, SimulationResult, simulate

FLEET = Fleet(instances=7, targets=66, objects=99)
SEEDS = (1, 2, 3)
CALM_RATE = 145.0  # Requests per second: a third of the capacity when all objects are cached.
CAPACITY = FLEET.targets * FLEET.slots / FLEET.cached_seconds
CHECK_SHARE = 0.05


def simulate_load(rates: tuple[float, ...], **losses: float) -> list[SimulationResult]:
    return [simulate(FLEET, LoadPattern(rates, CHECK_SHARE, **losses), seed=seed) for seed in SEEDS]


def total(results: list[SimulationResult], what: str) -> int:
    return sum(getattr(result, what) for result in results)


def test_with_little_load_each_object_is_cached_by_few_targets() -> None:
    """Instances see objects at different times, and operators' checks only take milliseconds."""
    results = simulate_load((CALM_RATE,) * 20)
    for result in results:
        assert result.targets_per_object <= 1.5
        assert result.share_in_time(4, 20) >= 0.95
    assert total(results, "timed_out") <= 0.005 * total(results, "requested")


def test_most_of_the_capacity_is_used_in_time_during_a_burst() -> None:
    """If every target with a free slot cached objects anew, half of all slot time would be lost."""
    rates = (CALM_RATE,) * 4 + (1.05 * CAPACITY,) * 8 + (CALM_RATE,) * 8
    results = simulate_load(rates)
    possible = sum(min(rate * (1 - CHECK_SHARE), CAPACITY) for rate in rates) * len(results)
    assert total(results, "in_time") >= 0.6 * possible
    assert total(results, "timed_out") <= 0.03 * total(results, "requested")
    for result in results:
        assert result.share_in_time(15, 20) >= 0.95


def test_keys_move_to_other_targets_when_half_of_them_are_lost() -> None:
    results = simulate_load((CALM_RATE,) * 20, lost_at=8.0, lost_share=0.5)
    assert total(results, "lost") <= 0.005 * total(results, "requested")
    for result in results:
        assert result.share_in_time(16, 20) >= 0.9


def test_the_policy_is_as_good_as_a_greedy_choice_with_full_knowledge() -> None:
    for pattern in (
        LoadPattern((CALM_RATE,) * 20, CHECK_SHARE),
        LoadPattern((CALM_RATE,) * 8 + (2 * CALM_RATE,) * 3 + (CALM_RATE,) * 9, CHECK_SHARE),
    ):
        by_policy = simulate(FLEET, pattern, seed=1)
        informed = simulate(FLEET, pattern, seed=1, is_informed=True)
        assert by_policy.in_time >= informed.in_time


def test_rejections_end_with_the_queues_of_a_burst() -> None:
    """All callers return at once after a restart, and load reports are soon outdated.

    While an instance believes a target to be full, it sends no requests there and so gets no newer
    report.
    """
    fleet = Fleet(
        instances=8,
        targets=8,
        objects=82,
        cache_size=64,
        cached_seconds=0.108,
        uncached_seconds=0.36,
        objective=0.25,
        timeout=2.0,
        deadline=2.0,
    )
    capacity = fleet.targets * fleet.slots / fleet.cached_seconds
    rates = (0.3 * capacity,) * 6 + (3.0 * capacity,) + (0.35 * capacity,) * 5
    results = [simulate(fleet, LoadPattern(rates, CHECK_SHARE), seed=seed) for seed in range(1, 6)]
    after = sum(result.share_in_time(7, 8) for result in results) / len(results)
    assert after >= 0.9
