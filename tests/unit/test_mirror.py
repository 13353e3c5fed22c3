"""Mirror of the store: its revision never decreases, in whatever order changes arrive."""

from __future__ import annotations

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cassiashore._internal.mirror.mirror import REMOVAL_DELAY_SECONDS, StoreMirror
from cassiashore._internal.mirror.recent_changes import MAX_BYTES, MAX_CHANGES, RecentChanges
from cassiashore._internal.mirror.sender_choice import (
    FAILBACK_DELAY_SECONDS,
    FAILOVER_DELAY_SECONDS,
    SenderChoice,
)
from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot
from tests.lib.steering_builders import Clock


def mirror_with_listener(clock: Clock | None = None) -> tuple[StoreMirror, dict[str, bytes]]:
    mirror = StoreMirror(clock or Clock())
    seen: dict[str, bytes] = {}

    def listen(key: str, value: bytes | None) -> None:
        if value is None:
            seen.pop(key, None)
        else:
            seen[key] = value

    mirror.listen("", listen)
    return mirror, seen


def test_batches_after_a_gap_are_not_applied() -> None:
    mirror, seen = mirror_with_listener()
    mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
    assert not mirror.apply(ChangeBatch(7, 8, [Change("a", 8, b"2")]))
    assert seen == {"a": b"1"} and mirror.revision == 5


def test_an_old_snapshot_does_not_restore_removed_keys() -> None:
    mirror, seen = mirror_with_listener()
    mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
    mirror.apply(ChangeBatch(5, 6, [Change("a", 6, None)]))
    mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
    assert seen == {}


def test_a_snapshot_removes_keys_that_it_does_not_contain() -> None:
    mirror, seen = mirror_with_listener()
    mirror.replace(Snapshot(5, [Change("a", 3, b"1"), Change("b", 4, b"2")]))
    mirror.replace(Snapshot(9, [Change("b", 8, b"3")]))
    assert seen == {"b": b"3"}


def test_keys_that_expire_in_an_outage_are_kept_until_the_removal_delay_passes() -> None:
    clock = Clock()
    mirror, seen = mirror_with_listener(clock)
    deferred_keys: list[str] = []
    mirror.on_removal_deferred = deferred_keys.append
    mirror.replace(Snapshot(5, [Change("back", 3, b"1"), Change("gone", 4, b"2")]))
    mirror.record_recovery()
    mirror.replace(Snapshot(9, []))
    assert set(seen) == {"back", "gone"} == set(deferred_keys)
    mirror.apply(ChangeBatch(9, 10, [Change("back", 10, b"3")]))
    clock.now += REMOVAL_DELAY_SECONDS
    mirror.apply_deferred_removals()
    assert seen == {"back": b"3"}


@seed(20)
@settings(max_examples=300, deadline=None, database=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_snapshots_and_batches_in_any_order_give_the_state_of_the_store(number: int) -> None:
    rng = random.Random(number)
    store: dict[str, Change] = {}
    log: list[Change] = []
    snapshots = [Snapshot(0, [])]
    for revision in range(1, 40):
        key = rng.choice("abcd")
        value = None if key in store and rng.random() < 0.4 else bytes([revision])
        change = Change(key, revision, value)
        log.append(change)
        if value is None:
            del store[key]
        else:
            store[key] = change
        snapshots.append(Snapshot(revision, list(store.values())))
    mirror, seen = mirror_with_listener()
    for _ in range(60):
        if rng.random() < 0.2:
            mirror.replace(rng.choice(snapshots[1:]))
        else:
            begin = rng.randrange(0, 39)
            end = rng.randrange(begin, 40)
            mirror.apply(ChangeBatch(begin, end, log[begin:end]))
        state = {c.key: c.value for c in snapshots[mirror.revision].items}
        assert seen == state


def test_a_failing_listener_does_not_block_other_changes() -> None:
    """An error in the listener would end the process, again after each restart."""
    mirror, seen = mirror_with_listener()

    def fails(key: str, value: bytes | None) -> None:
        raise RuntimeError("unexpected")

    mirror.listen("bad/", fails)
    mirror.replace(Snapshot(5, [Change("bad/a", 3, b"1"), Change("b", 4, b"2")]))
    assert mirror.apply(ChangeBatch(5, 7, [Change("bad/a", 6, b"3"), Change("c", 7, b"4")]))
    assert mirror.revision == 7 and {"b", "c"} <= set(seen)


@seed(11)
@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=4),
        min_size=1,
        max_size=12,
    ),
    st.data(),
)
def test_recent_changes_update_any_earlier_state(
    batches: list[list[tuple[str, bool]]], data: st.DataObject
) -> None:
    mirror, recent = StoreMirror(Clock()), RecentChanges()
    snapshots = []
    mirror.on_batch = recent.add
    revision = 1
    mirror.replace(Snapshot(1, [Change("a", 1, b"0")]))
    snapshots.append(mirror.snapshot())
    for batch in batches:
        changes = []
        for key, is_written in batch:
            revision += 1
            changes.append(Change(key, revision, b"%d" % revision if is_written else None))
        mirror.apply(ChangeBatch(mirror.revision, revision, changes))
        snapshots.append(mirror.snapshot())
    earlier = data.draw(st.sampled_from(snapshots))
    restored = StoreMirror(Clock())
    restored.replace(earlier)
    missing = recent.after(earlier.revision)
    assert missing is not None
    assert restored.apply(missing)
    assert restored.item_by_key == mirror.item_by_key and restored.revision == mirror.revision


def test_recent_changes_are_bounded_and_cleared_by_a_gap() -> None:
    recent = RecentChanges()
    for revision in range(1, 2 * MAX_CHANGES):
        recent.add(ChangeBatch(revision, revision + 1, [Change("a", revision + 1, b"")]))
    assert recent.after(1) is None and recent.after(2 * MAX_CHANGES - 10) is not None
    for revision in range(2 * MAX_CHANGES, 2 * MAX_CHANGES + 20):
        recent.add(ChangeBatch(revision, revision + 1, [Change("a", revision + 1, bytes(1 << 20))]))
    assert recent.after(2 * MAX_CHANGES - 10) is None
    kept = recent.after(2 * MAX_CHANGES + 19 - (MAX_BYTES >> 20) + 1)
    assert kept is not None and len(kept.changes) == MAX_BYTES >> 20
    recent.add(ChangeBatch(9 * MAX_CHANGES, 9 * MAX_CHANGES + 1, []))
    assert recent.after(2 * MAX_CHANGES - 10) is None


def test_the_preferred_source_takes_over_after_being_in_sync_for_the_delay() -> None:
    choice = SenderChoice()
    assert not choice.takes_over(0, 0.0, is_preferred=True)
    assert not choice.takes_over(-1, 1.0, is_preferred=True)
    assert not choice.takes_over(0, 2.0, is_preferred=True)
    assert not choice.takes_over(0, 1.9 + FAILBACK_DELAY_SECONDS, is_preferred=True)
    assert choice.takes_over(0, 2.0 + FAILBACK_DELAY_SECONDS, is_preferred=True)
    assert not choice.takes_over(0, 9.0, is_preferred=False)


def test_a_source_that_is_ahead_only_briefly_does_not_take_over() -> None:
    choice = SenderChoice()
    assert not choice.takes_over(1, 0.0, is_preferred=False)
    assert not choice.takes_over(0, 0.2, is_preferred=False)
    assert not choice.takes_over(1, 0.4, is_preferred=False)
    assert choice.takes_over(1, 0.5 + FAILOVER_DELAY_SECONDS, is_preferred=False)
