"""Keeps the mirror current: by watching the store, or from instances that do.

A few instances, one in each region, watch the store; the others have a stream to two of them. When
neither has news, ``feed_health`` says which of the others watch the store in their place.
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

WATCH_SECONDS = 0.8  # bounds the time until a silent connection is noticed, with the call's margin
MIN_WATCH_INTERVAL_SECONDS = 0.4  # changes come in groups; each answered watch is a call
FIRST_RETRY_SECONDS = 0.1  # a few answer times of the store
MAX_RETRY_SECONDS = 0.25  # a drain must be known within seconds of the store's return
FALLBACK_RETRY_SECONDS = 1.0  # of those that try in place of readers, which already try often
IDLE_CHECK_SECONDS = 0.1  # a fraction of a beat
BOOT_PATIENCE_SECONDS = 0.8  # for a copy from another instance, which costs the store nothing
MIN_READERS = 2  # one may end
OUTAGE_SECONDS = 0.6  # a failed call shorter ago than this is no outage yet


class StoreFollower:
    """The task that watches the store when it is this instance's turn."""

    def __init__(
        self,
        store: EventStore,
        mirror: StoreMirror,
        instances: InstanceTable,
        feed: FeedHealth,
        starts_as_reader: bool,
        rng: random.Random,
    ) -> None:
        """Keep the parts; ``feed`` is what other instances tell of the store."""
        self.is_reading = False
        self.is_fallback_reader = False
        self._store = store
        self._mirror = mirror
        self._instances = instances
        self._feed = feed
        self._starts_as_reader = starts_as_reader
        self._rng = rng
        self._started_at = time.monotonic()
        self._failing_since: float | None = None
        self._retry = FIRST_RETRY_SECONDS
        self._needs_copy = False
        self._was_answered = False

    @property
    def has_store_access(self) -> bool:
        """Tell whether this instance reads the store and its last call was answered."""
        return self.is_reading and self._was_answered and not self.is_failing

    @property
    def is_failing(self) -> bool:
        """Tell whether the last call to the store failed."""
        return self._failing_since is not None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            self._mirror.apply_deferred_removals()
            if not self._should_read():
                self._note_role(reading=False)
                await asyncio.sleep(IDLE_CHECK_SECONDS)
                continue
            self._note_role(reading=True)
            started = time.monotonic()
            if await self._read_once():
                pause = started + MIN_WATCH_INTERVAL_SECONDS - time.monotonic()
            else:
                pause = self._retry * (0.5 + self._rng.random())
                self._retry = min(self._max_retry(), self._retry * 2)
            if pause > 0:
                await asyncio.sleep(pause)

    def _should_read(self) -> bool:
        readers = self._instances.store_readers(MIN_READERS)
        own = self._instances.own_incarnation
        is_reader = any(reader.identity.incarnation == own for reader in readers)
        self.is_fallback_reader = not is_reader and self._should_help()
        return is_reader or self.is_fallback_reader

    def _should_help(self) -> bool:
        """Tell whether this instance reads although it is none of the readers."""
        if self.is_fallback_reader and not self.is_failing:
            return not self._feed.has_direct_source
        state, seconds = self._feed.state()
        if state is FeedState.CURRENT:
            return False
        if not self._mirror.is_filled and not self._starts_as_reader:
            return time.monotonic() - self._started_at >= BOOT_PATIENCE_SECONDS
        rank, count = self._instances.fallback_rank(MIN_READERS)
        return should_read_store(state, seconds, rank, count)

    def _max_retry(self) -> float:
        """Return the longest pause after a failed call; those whose task it is to read are quick.

        While nothing is known, the seeds are: all instances may start while the store is away.
        """
        is_spare = self.is_fallback_reader and (
            self._mirror.is_filled or not self._starts_as_reader
        )
        return FALLBACK_RETRY_SECONDS if is_spare else MAX_RETRY_SECONDS

    async def _read_once(self) -> bool:
        """Make one call; tell whether it brought the mirror up to date."""
        if self._needs_copy or not self._mirror.is_filled:
            return await self._copy()
        started = time.monotonic()
        outcome = await self._store.watch(self._mirror.revision, WATCH_SECONDS)
        if isinstance(outcome, Err):
            if isinstance(outcome.err_value, HistoryLost):
                logger.warning("the store lost its history after %d", self._mirror.revision)
                self._needs_copy = True
                return True
            self._failed(outcome.err_value.detail)
            return False
        self._answered(started)
        if not self._mirror.apply(outcome.ok_value):
            self._needs_copy = True
        return True

    async def _copy(self) -> bool:
        started = time.monotonic()
        outcome = await self._store.read_all()
        if isinstance(outcome, Err):
            self._failed(outcome.err_value.detail)
            return False
        self._needs_copy = False
        self._answered(started)
        self._mirror.replace(outcome.ok_value)
        return True

    def _answered(self, started: float) -> None:
        now = time.monotonic()
        self._was_answered = True
        if self._failing_since is not None:
            seconds = now - self._failing_since
            logger.info("the store answers again after %.2f s", seconds)
            if seconds >= OUTAGE_SECONDS:
                self._mirror.record_recovery()
            self._failing_since = None
        self._retry = FIRST_RETRY_SECONDS
        self._mirror.mark_current(started)

    def _failed(self, detail: str) -> None:
        if self._failing_since is None:
            self._failing_since = time.monotonic()
            logger.warning("the store cannot be followed: %s", detail)

    def _note_role(self, *, reading: bool) -> None:
        if reading != self.is_reading:
            self.is_reading = reading
            # Whether the store answers is known only while it is called.
            self._failing_since = None
            self._was_answered = False
            logger.info("this instance %s the store", "reads" if reading else "no longer reads")
