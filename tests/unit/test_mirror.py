"""The mirror of the store: forward only, whatever order copies and changes come in."""

from __future__ import annotations

import random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from cassiashore._internal.mirror.mirror import RETURN_SECONDS, StoreMirror
from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot
from tests.lib.steering_builders import Clock


def listening(clock: Clock | None = None) -> tuple[StoreMirror, dict[str, bytes]]:
    mirror = StoreMirror(clock or Clock())
    seen: dict[str, bytes] = {}

    def listen(key: str, value: bytes | None) -> None:
        if value is None:
            seen.pop(key, None)
        else:
            seen[key] = value

    mirror.listen("", listen)
    return mirror, seen


def test_changes_with_a_gap_are_not_applied() -> None:
    mirror, seen = listening()
    mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
    assert not mirror.apply(ChangeBatch(7, 8, [Change("a", 8, b"2")]))
    assert seen == {"a": b"1"} and mirror.revision == 5


def test_an_old_copy_brings_nothing_back() -> None:
    mirror, seen = listening()
    mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
    mirror.apply(ChangeBatch(5, 6, [Change("a", 6, None)]))
    mirror.replace(Snapshot(5, [Change("a", 3, b"1")]))
    assert seen == {}


def test_a_copy_shows_what_was_removed_while_history_was_lost() -> None:
    mirror, seen = listening()
    mirror.replace(Snapshot(5, [Change("a", 3, b"1"), Change("b", 4, b"2")]))
    mirror.replace(Snapshot(9, [Change("b", 8, b"3")]))
    assert seen == {"b": b"3"}


def test_entries_that_lapse_in_an_outage_stay_until_they_are_back_or_missing_for_good() -> None:
    clock = Clock()
    mirror, seen = listening(clock)
    doubts: list[str] = []
    mirror.on_doubt = doubts.append
    mirror.replace(Snapshot(5, [Change("back", 3, b"1"), Change("gone", 4, b"2")]))
    mirror.store_returned()
    mirror.replace(Snapshot(9, []))
    assert set(seen) == {"back", "gone"} == set(doubts)
    mirror.apply(ChangeBatch(9, 10, [Change("back", 10, b"3")]))
    clock.now += RETURN_SECONDS
    mirror.sweep()
    assert seen == {"back": b"3"}


@seed(20)
@settings(max_examples=300, deadline=None, database=None)
@given(st.integers(min_value=0, max_value=2**32))
def test_two_sources_in_any_order_lead_to_the_state_of_the_store(number: int) -> None:
    rng = random.Random(number)
    store: dict[str, Change] = {}
    log: list[Change] = []
    copies = [Snapshot(0, [])]
    for revision in range(1, 40):
        key = rng.choice("abcd")
        value = None if key in store and rng.random() < 0.4 else bytes([revision])
        change = Change(key, revision, value)
        log.append(change)
        if value is None:
            del store[key]
        else:
            store[key] = change
        copies.append(Snapshot(revision, list(store.values())))
    mirror, seen = listening()
    for _ in range(60):
        if rng.random() < 0.2:
            mirror.replace(rng.choice(copies[1:]))
        else:
            begin = rng.randrange(0, 39)
            end = rng.randrange(begin, 40)
            mirror.apply(ChangeBatch(begin, end, log[begin:end]))
        state = {c.key: c.value for c in copies[mirror.revision].items}
        assert seen == state
