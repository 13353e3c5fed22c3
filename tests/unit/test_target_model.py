"""Load patterns of large deployments, replayed on the model of targets that keep few objects."""

from __future__ import annotations

from lab.target_model import Fleet, LoadPattern, Played, play

FLEET = Fleet(instances=7, targets=66, objects=99)
SEEDS = (1, 2, 3)
CALM = 145.0  # requests a second: a third of the slots when all objects are kept
CAPACITY = FLEET.targets * FLEET.slots / FLEET.kept_seconds
CHECKS = 0.05


def played(rates: tuple[float, ...], **losses: float) -> list[Played]:
    return [play(FLEET, LoadPattern(rates, CHECKS, **losses), seed=seed) for seed in SEEDS]


def total(results: list[Played], what: str) -> int:
    return sum(getattr(result, what) for result in results)


def test_on_a_quiet_day_each_object_is_made_at_few_targets() -> None:
    """Instances know objects at different times, and operators' checks are over in milliseconds."""
    results = played((CALM,) * 20)
    for result in results:
        assert result.targets_per_object <= 1.5
        assert result.share_in_time(4, 20) >= 0.95
    assert total(results, "timed_out") <= 0.005 * total(results, "asked")


def test_a_burst_beyond_the_slots_leaves_most_of_their_work_in_time() -> None:
    """Objects made anew at every target with a free slot would take half of all slots' time."""
    rates = (CALM,) * 4 + (1.05 * CAPACITY,) * 8 + (CALM,) * 8
    results = played(rates)
    possible = sum(min(rate * (1 - CHECKS), CAPACITY) for rate in rates) * len(results)
    assert total(results, "in_time") >= 0.6 * possible
    assert total(results, "timed_out") <= 0.03 * total(results, "asked")
    for result in results:
        assert result.share_in_time(15, 20) >= 0.95


def test_after_the_loss_of_half_of_the_targets_their_keys_find_others() -> None:
    results = played((CALM,) * 20, lost_at=8.0, lost_share=0.5)
    assert total(results, "lost") <= 0.005 * total(results, "asked")
    for result in results:
        assert result.share_in_time(16, 20) >= 0.9


def test_the_policy_is_as_good_as_a_choice_that_knows_all_queues_but_looks_no_further() -> None:
    for pattern in (
        LoadPattern((CALM,) * 20, CHECKS),
        LoadPattern((CALM,) * 8 + (2 * CALM,) * 3 + (CALM,) * 9, CHECKS),
    ):
        by_policy = play(FLEET, pattern, seed=1)
        informed = play(FLEET, pattern, seed=1, is_informed=True)
        assert by_policy.in_time >= informed.in_time


def test_refusals_end_with_the_queues_of_a_burst() -> None:
    """All callers come at once after a restart; reports of full targets are soon out of date.

    While an instance takes a target for full, it sends nothing there and hears nothing newer.
    """
    fleet = Fleet(
        instances=8,
        targets=8,
        objects=82,
        keeps=64,
        kept_seconds=0.108,
        made_seconds=0.36,
        objective=0.25,
        timeout=2.0,
        deadline=2.0,
    )
    capacity = fleet.targets * fleet.slots / fleet.kept_seconds
    rates = (0.3 * capacity,) * 6 + (3.0 * capacity,) + (0.35 * capacity,) * 5
    results = [play(fleet, LoadPattern(rates, CHECKS), seed=seed) for seed in range(1, 6)]
    after = sum(result.share_in_time(7, 8) for result in results) / len(results)
    assert after >= 0.9
