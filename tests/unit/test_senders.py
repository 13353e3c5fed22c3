"""Instances among which a limit is divided, while their lists differ."""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiashore._internal.steering.active_instances import InstanceInfo
from cassiashore._internal.steering.senders import (
    MAX_ISOLATION_SECONDS,
    RETENTION_SECONDS,
    SETTLE_SECONDS,
    RecentInstances,
)
from tests.lib.steering_builders import Clock


def info(number: int, run: int = 0) -> InstanceInfo:
    return InstanceInfo(f"i-{number}-{run}", "erie-a", "erie", f"10.0.0.{number}:80")


@dataclass
class Lists:
    """The list that the instance i-1-0 has, and what it divides limits among."""

    listed: list[InstanceInfo] = field(default_factory=lambda: [info(1), info(2)])
    is_isolated: bool = False
    clock: Clock = field(default_factory=Clock)

    def __post_init__(self) -> None:
        self.recent = RecentInstances(
            "i-1-0", lambda: self.listed, lambda: self.is_isolated, self.clock
        )

    def after(self, seconds: float) -> list[str]:
        for _ in range(int(seconds / 0.1)):
            self.recent.update()
            self.clock.now += 0.1
        return sorted(i.incarnation for i in self.recent.instances())


def test_an_instance_uses_no_part_before_others_know_it() -> None:
    lists = Lists()
    assert lists.after(SETTLE_SECONDS - 0.2) == []
    assert lists.after(0.4) == ["i-1-0", "i-2-0"]


def test_an_instance_that_is_not_listed_uses_no_part() -> None:
    lists = Lists(listed=[info(2)])
    assert lists.after(60) == []


def test_an_instance_that_left_the_list_still_counts_for_some_seconds() -> None:
    lists = Lists()
    lists.after(SETTLE_SECONDS)
    lists.listed = [info(1)]
    assert lists.after(RETENTION_SECONDS - 0.3) == ["i-1-0", "i-2-0"]
    assert lists.after(0.6) == ["i-1-0"]


def test_a_restarted_instance_counts_once() -> None:
    lists = Lists(listed=[info(1), info(2, run=0), info(2, run=1)])
    assert len(lists.after(SETTLE_SECONDS + 0.1)) == 2


def test_the_own_run_counts_and_not_an_earlier_one_at_its_address() -> None:
    lists = Lists(listed=[info(1, run=0), info(1, run=7), info(2)])
    assert lists.after(SETTLE_SECONDS + 0.1) == ["i-1-0", "i-2-0"]


def test_an_isolated_instance_uses_no_part_until_others_had_time_to_reach_it() -> None:
    lists = Lists()
    lists.after(SETTLE_SECONDS)
    lists.is_isolated = True
    assert lists.after(MAX_ISOLATION_SECONDS - 0.3) == ["i-1-0", "i-2-0"]
    assert lists.after(0.6) == []
    lists.is_isolated = False
    assert lists.after(SETTLE_SECONDS - 0.3) == []
    assert lists.after(0.6) == ["i-1-0", "i-2-0"]


def test_a_single_instance_has_nobody_to_be_isolated_from() -> None:
    lists = Lists(listed=[info(1)], is_isolated=True)
    assert lists.after(60) == ["i-1-0"]
