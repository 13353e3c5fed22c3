"""Which instances call the store while the sources are not current, with many instances."""

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

MAX_OUTAGE_CALLS = 1500  # required by the users: in an outage of nine seconds with 195 instances
TICK_SECONDS = 0.05


def outage_calls(instances: int, readers: int, seconds: float) -> int:
    """Return the number of calls by all instances while the store refuses each call immediately."""
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


def test_outage_calls_are_bounded_and_independent_of_instance_count() -> None:
    assert outage_calls(195, 3, 9.0) < MAX_OUTAGE_CALLS / 4
    assert outage_calls(1600, 3, 9.0) == outage_calls(195, 3, 9.0)


def test_an_instance_with_store_access_soon_becomes_fallback_reader() -> None:
    """The store refuses a third of the instances, including all readers."""
    refused = {rank for rank in range(192) if rank % 3 == 0}
    first = min(rank for rank in range(192) if rank not in refused)
    assert should_read_store(FeedState.FAILING, 2.0, first, 192)


def test_instances_take_over_gradually_from_silent_sources() -> None:
    active_counts = [
        sum(should_read_store(FeedState.SILENT, s / 10, rank, 192) for rank in range(192))
        for s in range(12)
    ]
    assert (
        active_counts == sorted(active_counts)
        and active_counts[0] == 1
        and active_counts[-1] == 192
    )
    assert max(b - a for a, b in itertools.pairwise(active_counts)) < 25


def test_the_last_report_of_each_source_counts_until_it_expires() -> None:
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
