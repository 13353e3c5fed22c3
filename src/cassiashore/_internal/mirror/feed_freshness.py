"""What an instance knows of how current its copy of the store is, and what it tells others."""

from __future__ import annotations

import time
from collections.abc import Callable

from cassiashore._internal.mirror.feed_health import FeedHealth, FeedState
from cassiashore._internal.mirror.follower import WATCH_TIMEOUT_SECONDS
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.sightings import Sightings
from cassiashore._internal.peers.messages import FeedHeartbeat, StoreContact

# What a watch confirms is as old as its start, and the next one takes as long to confirm more: two
# quiet watches and a beat. Older knowledge may miss changes.
MAX_FRESH_AGE_SECONDS = 2 * WATCH_TIMEOUT_SECONDS + 0.4
STALE_MS = 60_000  # the most that is told


def is_fresh(beat: FeedHeartbeat) -> bool:
    """Tell whether what a beat tells is not too old to rely on."""
    return beat.age_ms / 1000 < MAX_FRESH_AGE_SECONDS


class FeedFreshness:
    """Takes in the beats of others and makes the own ones.

    ``is_failing`` and ``has_store_access`` tell of the own calls to the store.
    """

    def __init__(self, own_incarnation: str, mirror: StoreMirror) -> None:
        """Start without a report on the store."""
        self.is_failing: Callable[[], bool] = lambda: False
        self.has_store_access: Callable[[], bool] = lambda: False
        self.feed = FeedHealth(time.monotonic)
        self._own = own_incarnation
        self._mirror = mirror
        self._heard = Sightings(own_incarnation)
        self._heard_away = Sightings(own_incarnation)
        self._confirmed_by: StoreContact | None = None
        self._away_seen: StoreContact | None = None
        self._peers_current_at = float("-inf")

    def take(self, source: str, beat: FeedHeartbeat) -> bool:
        """Take in a beat of a source; tell whether it is news for those who follow this one."""
        if beat.seen is None:
            return False
        if beat.store_is_unreachable:
            if not self._heard_away.is_news(beat.seen):
                return False
            self._away_seen = beat.seen
            self.feed.record_failing(source)
            return True
        if not is_fresh(beat) or beat.revision > self._mirror.revision:
            return False
        self.feed.record_current(source, is_direct=beat.is_direct)
        return self.confirm(beat)

    def confirm(self, beat: FeedHeartbeat) -> bool:
        """Take in that the mirror is current, unless that is known; tell whether it was news."""
        if beat.seen is None or not self._heard.is_news(beat.seen):
            return False
        now, age = time.monotonic(), beat.age_ms / 1000
        self._peers_current_at = max(self._peers_current_at, now - age)
        self._mirror.mark_current(now, age)
        self._confirmed_by = beat.seen
        return True

    def next_beat(self) -> FeedHeartbeat | None:
        """Return what to tell of the store, and who saw it; None while nothing is known."""
        now = time.monotonic()
        current_at = self._mirror.current_at
        if not self._mirror.is_filled or current_at == float("-inf"):
            return None
        revision = self._mirror.revision
        if self.is_failing() and now - self._peers_current_at >= MAX_FRESH_AGE_SECONDS:
            seen = StoreContact(self._own, int(now * 1000))
            return FeedHeartbeat(revision, STALE_MS, seen=seen, store_is_unreachable=True)
        others_fail = self.feed.state()[0] is FeedState.FAILING and not self.has_store_access()
        if others_fail and self._away_seen is not None:
            return FeedHeartbeat(
                revision, STALE_MS, seen=self._away_seen, store_is_unreachable=True
            )
        confirmed_by = self._confirmed_by
        if confirmed_by is None or current_at > self._peers_current_at:
            confirmed_by = StoreContact(self._own, int(current_at * 1000))
        age_ms = min(STALE_MS, int((now - current_at) * 1000))
        return FeedHeartbeat(revision, age_ms, is_direct=self.has_store_access(), seen=confirmed_by)
