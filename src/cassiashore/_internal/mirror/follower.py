"""Keeps the mirror current by watching the store while this instance is one of its readers.

A few instances, at least one in each region, read the store; the others receive its changes over
streams from two sources (see ``relay``). While the sources are silent or cannot reach the store,
``feed_health`` decides which other instances read it in their place, as fallback readers.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

from result import Err

from cassiashore._internal.mirror.feed_health import (
    FeedHealth,
    FeedState,
    should_read_store,
)
from cassiashore._internal.mirror.instances import InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.store.events import EventStore, HistoryLost

logger = logging.getLogger(__name__)

# With the margin of the call, bounds the time until a silent connection is detected.
WATCH_TIMEOUT_SECONDS = 0.8
MIN_WATCH_INTERVAL_SECONDS = 0.4  # lets one call return a group of changes
FIRST_RETRY_SECONDS = 0.1  # a few response times of the store
MAX_RETRY_SECONDS = 0.25  # drains must be known within seconds of the recovery of the store
FALLBACK_RETRY_SECONDS = 1.0  # fallback readers retry less often, since the readers do already
ROLE_CHECK_INTERVAL_SECONDS = 0.1  # a fraction of the heartbeat interval, at which sources report
PEER_SNAPSHOT_TIMEOUT_SECONDS = 0.8  # before the store is read; a peer's snapshot saves a call
MIN_READERS = 2  # if one ends, the other still reads the store
MIN_OUTAGE_SECONDS = 0.6  # shorter failures do not count as an outage


class StoreFollower:
    """Reads the store while this instance is a reader or a fallback reader."""

    def __init__(
        self,
        store: EventStore,
        mirror: StoreMirror,
        instances: InstanceTable,
        feed: FeedHealth,
        is_seed: bool,
        rng: random.Random,
    ) -> None:
        """Create a follower; ``feed`` is the health of the sources of this instance."""
        self.is_reading = False
        self.is_fallback_reader = False
        self._store = store
        self._mirror = mirror
        self._instances = instances
        self._feed = feed
        self._is_seed = is_seed
        self._rng = rng
        self._started_at = time.monotonic()
        self._failing_since: float | None = None
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._needs_snapshot = False
        self._last_call_answered = False

    @property
    def has_store_access(self) -> bool:
        """Whether this instance reads the store and its last call succeeded."""
        return self.is_reading and self._last_call_answered and not self.is_failing

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Read the store whenever it is the turn of this instance, until cancelled."""
        while True:
            self._mirror.apply_deferred_changes()
            if not self._should_read():
                self._update_role(reading=False)
                await asyncio.sleep(ROLE_CHECK_INTERVAL_SECONDS)
                continue
            self._update_role(reading=True)
            started = time.monotonic()
            if await self._read_once():
                pause = started + MIN_WATCH_INTERVAL_SECONDS - time.monotonic()
            else:
                pause = self._retry_seconds * (0.5 + self._rng.random())
                self._retry_seconds = min(self._max_retry(), self._retry_seconds * 2)
            if pause > 0:
                await asyncio.sleep(pause)

    def _should_read(self) -> bool:
        readers = self._instances.store_readers(MIN_READERS)
        own = self._instances.own_incarnation
        is_reader = any(reader.identity.incarnation == own for reader in readers)
        self.is_fallback_reader = not is_reader and self._should_read_as_fallback()
        return is_reader or self.is_fallback_reader

    def _should_read_as_fallback(self) -> bool:
        """Whether this instance reads the store in place of the readers.

        An instance that reads the store goes on until another one does. Its sources may be current
        by its own reports only.
        """
        if self.has_store_access:
            own_address = self._instances.own.identity.peer_address
            return not self._feed.has_reader_before(own_address)
        state, seconds = self._feed.state()
        if state is FeedState.CURRENT:
            return False
        if not self._mirror.is_filled and not self._is_seed:
            return time.monotonic() - self._started_at >= PEER_SNAPSHOT_TIMEOUT_SECONDS
        rank, count = self._instances.fallback_rank(MIN_READERS)
        return should_read_store(state, seconds, rank, count)

    def _max_retry(self) -> float:
        """Return the longest pause after a failed call, which is shorter for readers.

        While the mirror is empty, no readers are known and seeds take their place: all instances
        may have started while the store is unreachable.
        """
        is_fallback = self.is_fallback_reader and (self._mirror.is_filled or not self._is_seed)
        return FALLBACK_RETRY_SECONDS if is_fallback else MAX_RETRY_SECONDS

    async def _read_once(self) -> bool:
        """Make one call to the store; return False if it failed."""
        mirror = self._mirror
        if self._needs_snapshot or not mirror.is_filled or not mirror.is_in_latest_era:
            return await self._read_snapshot()
        started = time.monotonic()
        outcome = await self._store.watch(mirror.revision, WATCH_TIMEOUT_SECONDS)
        if isinstance(outcome, Err):
            if isinstance(outcome.err_value, HistoryLost):
                logger.warning(
                    "the store no longer has the changes after revision %d", mirror.revision
                )
                self._needs_snapshot = True
                return await self._read_snapshot()
            self._record_failure(outcome.err_value.detail)
            return False
        self._record_success()
        if not mirror.apply(outcome.ok_value):
            self._needs_snapshot = True
            return await self._read_snapshot()
        if outcome.ok_value.era == mirror.latest_era:
            mirror.mark_current(started)
        return True

    async def _read_snapshot(self) -> bool:
        started = time.monotonic()
        outcome = await self._store.read_all()
        if isinstance(outcome, Err):
            self._record_failure(outcome.err_value.detail)
            return False
        self._needs_snapshot = False
        self._record_success()
        self._mirror.replace(outcome.ok_value)
        if outcome.ok_value.era == self._mirror.latest_era:
            self._mirror.mark_current(started)
        return True

    def _record_success(self) -> None:
        now = time.monotonic()
        self._last_call_answered = True
        if self._failing_since is not None:
            seconds = now - self._failing_since
            logger.info("the store is reachable again after %.2f s", seconds)
            if seconds >= MIN_OUTAGE_SECONDS:
                self._mirror.record_recovery()
            self._failing_since = None
        self._retry_seconds = FIRST_RETRY_SECONDS

    def _record_failure(self, detail: str) -> None:
        if self._failing_since is None:
            self._failing_since = time.monotonic()
            logger.warning("reading the store failed: %s", detail)

    def _update_role(self, *, reading: bool) -> None:
        if reading != self.is_reading:
            self.is_reading = reading
            # The result of the last call says nothing about the store once calls have paused.
            self._failing_since = None
            self._last_call_answered = False
            logger.info("this instance %s the store", "reads" if reading else "no longer reads")
