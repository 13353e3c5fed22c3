"""Who calls the store when sources have no news: replays of outages with many instances."""

from __future__ import annotations

import itertools

from cassiashore._internal.mirror.feed_health import (
    REPORT_TTL_SECONDS,
    FeedHealth,
    FeedState,
    should_read_store,
)
from cassiashore._internal.mirror.follower import FALLBACK_RETRY_SECONDS, MAX_RETRY_SECONDS
from tests.lib.steering_builders import Clock

MAX_OUTAGE_CALLS = 1500  # of an outage of nine seconds with 195 instances: what users asked for
TICK_SECONDS = 0.05


def outage_calls(instances: int, readers: int, seconds: float) -> int:
    """Return the calls of all instances while the store refuses each of them at once."""
    next_call = [0.0] * instances
    calls = 0
    for tick in range(int(seconds / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        for number in range(instances):
            rank = number - readers
            is_reader = rank < 0
            if not is_reader and not should_read_store(
                FeedState.FAILING, now, rank, instances - readers
            ):
                continue
            if now >= next_call[number]:
                calls += 1
                next_call[number] = now + (
                    MAX_RETRY_SECONDS if is_reader else FALLBACK_RETRY_SECONDS
                )
    return calls


def test_an_outage_costs_few_calls_and_no_more_with_more_instances() -> None:
    assert outage_calls(195, 3, 9.0) < MAX_OUTAGE_CALLS / 4
    assert outage_calls(1600, 3, 9.0) == outage_calls(195, 3, 9.0)


def test_one_of_the_instances_that_the_store_serves_is_soon_asked() -> None:
    """A third of the instances are turned away, all readers among them."""
    refused = {rank for rank in range(192) if rank % 3 == 0}
    first = min(rank for rank in range(192) if rank not in refused)
    assert should_read_store(FeedState.FAILING, 2.0, first, 192)


def test_sources_that_end_are_replaced_one_after_the_other() -> None:
    turning = [
        sum(should_read_store(FeedState.SILENT, s / 10, rank, 192) for rank in range(192))
        for s in range(12)
    ]
    assert turning == sorted(turning) and turning[0] == 1 and turning[-1] == 192
    assert max(b - a for a, b in itertools.pairwise(turning)) < 25


def test_the_last_word_of_each_source_counts_for_a_while() -> None:
    clock = Clock()
    health = FeedHealth(clock)
    assert health.state()[0] is FeedState.SILENT
    health.record_current("near", is_direct=True)
    health.record_failing("far")
    assert health.state()[0] is FeedState.CURRENT and health.has_direct_source
    health.record_failing("near")
    assert health.state() == (FeedState.FAILING, 0.0) and not health.has_direct_source
    clock.now += 1.0
    assert health.state() == (FeedState.FAILING, 1.0)
    health.record_current("far", is_direct=False)
    assert health.state()[0] is FeedState.CURRENT and not health.has_direct_source
    clock.now += REPORT_TTL_SECONDS + 0.1
    assert health.state()[0] is FeedState.SILENT
