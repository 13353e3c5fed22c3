"""Registry of targets: which reports are applied, and which targets are usable."""

from __future__ import annotations

from tests.lib.steering_builders import Clock, registry, report


def ids(targets: list) -> list[str]:  # type: ignore[type-arg]
    return sorted(target.target_id for target in targets)


def test_an_outdated_report_of_an_earlier_run_is_ignored() -> None:
    targets = registry()
    targets.apply(report(started=2000, sequence=1))
    assert not targets.apply(report(started=1000, sequence=99, draining=True))
    assert ids(targets.usable("stock")) == ["t-1"]


def test_an_outdated_report_of_the_same_run_does_not_end_draining() -> None:
    targets = registry()
    targets.apply(report(sequence=4))
    targets.apply(report(sequence=5, draining=True))
    assert not targets.apply(report(sequence=4))
    assert targets.usable("stock") == []


def test_an_outdated_report_does_not_restore_a_removed_target() -> None:
    targets = registry()
    targets.apply(report(sequence=5, draining=True))
    targets.remove("t-1")
    assert not targets.apply(report(sequence=4))
    assert targets.usable("stock") == []


def test_a_new_run_with_the_same_id_has_a_new_state() -> None:
    targets = registry()
    targets.apply(report(started=1000, sequence=50))
    old = targets.target_by_id["t-1"]
    old.load.in_flight = 3
    targets.apply(report(started=2000, sequence=1, cold=2.0))
    new = targets.target_by_id["t-1"]
    assert old.is_gone and new.load.in_flight == 0
    assert new.is_cold(101.0)


def test_an_address_belongs_to_the_run_that_started_last() -> None:
    targets = registry()
    targets.apply(report("new", started=2000))
    targets.apply(report("old", started=1000))
    assert ids(targets.usable("stock")) == ["new"]
    targets.apply(report("newest", started=3000, service="orders"))
    assert targets.usable("stock") == []
    assert ids(targets.usable("orders")) == ["newest"]


def test_targets_of_an_evacuated_domain_are_unusable_and_cold_afterwards() -> None:
    clock = Clock()
    targets = registry(clock)
    targets.cold_seconds_of = lambda service: 3.0
    targets.apply(report("a", failure_domain="erie-a"))
    targets.apply(report("b", failure_domain="huron-a", address="127.0.0.1:9002"))
    targets.set_evacuated("erie-a", True)
    targets.apply(report("c", failure_domain="erie-a", address="127.0.0.1:9003"))
    assert ids(targets.usable("stock")) == ["b"]
    targets.set_evacuated("erie-a", False)
    assert ids(targets.usable("stock")) == ["a", "b", "c"]
    assert targets.target_by_id["a"].is_cold(clock.now + 2.9)
    assert not targets.target_by_id["b"].is_cold(clock.now)


def test_unconfirmed_targets_are_left_out_if_few_and_used_if_many() -> None:
    targets = registry()
    for number in range(5):
        targets.apply(report(f"t-{number}", address=f"127.0.0.1:{9000 + number}"))
    targets.mark_unconfirmed("t-0")
    assert ids(targets.usable("stock")) == ["t-1", "t-2", "t-3", "t-4"]
    for number in range(5):
        targets.mark_unconfirmed(f"t-{number}")
    assert len(targets.usable("stock")) == 5
    for number in range(5):
        targets.apply(report(f"t-{number}", sequence=2, address=f"127.0.0.1:{9000 + number}"))
    assert not any(target.is_unconfirmed for target in targets.usable("stock"))
