"""Tracks how current the mirror is, from the heartbeats of sources and the own calls."""

from __future__ import annotations

import time
from collections.abc import Callable

from cassiashore._internal.mirror.feed_health import FeedHealth, FeedState
from cassiashore._internal.mirror.follower import WATCH_TIMEOUT_SECONDS
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.sightings import LatestContacts
from cassiashore._internal.peers.messages import FeedHeartbeat, StoreContact
from cassiashore._internal.store.events import StorePosition

# A watch confirms that the mirror was current when the watch began, and without changes the next
# confirmation takes as long again: two watches and a heartbeat. An older mirror may lack changes.
MAX_FRESH_AGE_SECONDS = 2 * WATCH_TIMEOUT_SECONDS + 0.4
MAX_AGE_MS = 60_000  # the largest age in a heartbeat


def position_of(heartbeat: FeedHeartbeat) -> StorePosition:
    """Return the state of the store that the sender of a heartbeat has."""
    return StorePosition(heartbeat.era, heartbeat.revision)


def is_fresh(heartbeat: FeedHeartbeat) -> bool:
    """Whether the mirror of the sender of a heartbeat is current enough to rely on."""
    return heartbeat.age_ms / 1000 < MAX_FRESH_AGE_SECONDS


class FeedFreshness:
    """Records the heartbeats of sources and builds the heartbeats of this instance.

    ``is_failing``, ``has_store_access`` and ``is_fallback_reader`` return the state of the own
    calls to the store.
    """

    def __init__(self, own_incarnation: str, mirror: StoreMirror) -> None:
        """Create an instance without any report on the store."""
        self.is_failing: Callable[[], bool] = lambda: False
        self.has_store_access: Callable[[], bool] = lambda: False
        self.is_fallback_reader: Callable[[], bool] = lambda: False
        self.offered_configuration: Callable[[], int] = lambda: 0
        self.feed = FeedHealth(time.monotonic)
        self._own = own_incarnation
        self._mirror = mirror
        self._contacts = LatestContacts(own_incarnation)
        self._failed_contacts = LatestContacts(own_incarnation)
        self._last_contact: StoreContact | None = None
        self._last_failed_contact: StoreContact | None = None
        self._current_at_by_peers = float("-inf")

    def record_heartbeat(self, source: str, heartbeat: FeedHeartbeat) -> bool:
        """Record a heartbeat of a source; return whether subscribers should learn of it."""
        self._mirror.record_era(heartbeat.era)
        if heartbeat.seen is None:
            return False
        if heartbeat.store_is_unreachable:
            if not self._failed_contacts.record_if_newer(heartbeat.seen):
                return False
            self._last_failed_contact = heartbeat.seen
            self.feed.record_failing(source)
            return True
        if not is_fresh(heartbeat) or not self.is_confirmed_by(heartbeat):
            return False
        self.feed.record_current(
            source, is_direct=heartbeat.is_direct, is_fallback=heartbeat.is_fallback
        )
        return self.record_confirmation(heartbeat)

    def is_confirmed_by(self, heartbeat: FeedHeartbeat) -> bool:
        """Whether the mirror has all that the sender of a heartbeat has.

        A sender that has not noticed a restore confirms nothing about the present era.
        """
        is_latest_era = heartbeat.era == self._mirror.latest_era
        return is_latest_era and position_of(heartbeat) <= self._mirror.position

    def record_confirmation(self, heartbeat: FeedHeartbeat) -> bool:
        """Mark the mirror as current by a heartbeat; return False if its call is known already."""
        if heartbeat.seen is None or not self._contacts.record_if_newer(heartbeat.seen):
            return False
        now, age = time.monotonic(), heartbeat.age_ms / 1000
        self._current_at_by_peers = max(self._current_at_by_peers, now - age)
        self._mirror.mark_current(now, age)
        self._last_contact = heartbeat.seen
        return True

    def build_heartbeat(self) -> FeedHeartbeat | None:
        """Return the heartbeat to send, or None while the state of the store is unknown."""
        now = time.monotonic()
        current_at = self._mirror.current_at
        if not self._mirror.is_filled or current_at == float("-inf"):
            return None
        if self.is_failing() and now - self._current_at_by_peers >= MAX_FRESH_AGE_SECONDS:
            own_failed_contact = StoreContact(self._own, int(now * 1000))
            return self._build(MAX_AGE_MS, seen=own_failed_contact, store_is_unreachable=True)
        sources_fail = self.feed.state()[0] is FeedState.FAILING and not self.has_store_access()
        if sources_fail and self._last_failed_contact is not None:
            return self._build(
                MAX_AGE_MS, seen=self._last_failed_contact, store_is_unreachable=True
            )
        last_contact = self._last_contact
        if last_contact is None or current_at > self._current_at_by_peers:
            last_contact = StoreContact(self._own, int(current_at * 1000))
        age_ms = min(MAX_AGE_MS, int((now - current_at) * 1000))
        return self._build(
            age_ms,
            is_direct=self.has_store_access(),
            seen=last_contact,
            is_fallback=self.is_fallback_reader(),
        )

    def _build(
        self,
        age_ms: int,
        *,
        seen: StoreContact,
        is_direct: bool = False,
        store_is_unreachable: bool = False,
        is_fallback: bool = False,
    ) -> FeedHeartbeat:
        return FeedHeartbeat(
            self._mirror.revision,
            age_ms,
            is_direct,
            seen,
            store_is_unreachable,
            is_fallback,
            self._mirror.era,
            self.offered_configuration(),
        )
