"""Keeps the keys that this instance publishes in the store, under a lease."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

from result import Err, Ok

from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.store.events import (
    EraEnded,
    EventStore,
    LeaseLost,
    TransactionRefused,
    Write,
)

logger = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 2  # a renewal may fail and leave time for several retries
FIRST_RETRY_SECONDS = 0.3  # after a single lost response the next call usually succeeds
MAX_RETRY_SECONDS = 1.2  # backs off, since a refused call costs as much as a successful one
CHECK_INTERVAL_SECONDS = 0.25  # between checks if no desired key changes


class Registration:
    """Makes the keys of this instance in the store match their desired values.

    If the response to a write is lost, the next write may be refused with the key as it stands. If
    that key holds the desired value, the write succeeded: the key contains the incarnation, so no
    other instance writes it. A write may also take effect later, when the key is no longer desired;
    the key then appears in the mirror and is removed.

    The lease and the revisions of written keys belong to one era of the store. After a restore both
    are forgotten, and all keys are written again under a new lease. The restored copy may contain
    them under the earlier lease, with which they would be removed.
    """

    def __init__(
        self,
        store: EventStore,
        mirror: StoreMirror,
        lease_seconds: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a registration without desired keys."""
        self.store_is_unreachable: Callable[[], bool] = lambda: False
        self.renew_via_peer: Callable[[int], Awaitable[bool]] | None = None
        self.desired_by_key: dict[str, bytes] = {}
        self.is_registered = False
        self.retry_seconds = FIRST_RETRY_SECONDS
        self._store = store
        self._mirror = mirror
        self._lease_seconds = lease_seconds
        self._monotonic = monotonic
        self._lease_id = 0
        self._renewed_at = float("-inf")
        self._era = 0
        self._written_by_key: dict[str, tuple[bytes, int]] = {}
        # Keys of which the response to a write under the present lease was lost.
        self._unconfirmed_keys: set[str] = set()
        self._ever_desired: set[str] = set()
        self._failing_since: float | None = None
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes | None) -> None:
        """Set the desired value of a key; None means that the key should not exist."""
        self._ever_desired.add(key)
        if value is None:
            self.desired_by_key.pop(key, None)
        elif self.desired_by_key.get(key) != value:
            self.desired_by_key[key] = value
        self._changed.set()

    async def run(self) -> None:
        """Keep the lease and the desired keys in the store, until cancelled.

        The store is not called while the sources report it as unreachable; they also report when
        it is reachable again.
        """
        while True:
            if self.store_is_unreachable():
                await self._wait_for_change(CHECK_INTERVAL_SECONDS)
            elif await self._synchronize():
                self.retry_seconds = FIRST_RETRY_SECONDS
                self._log_recovery()
                await self._wait_for_change(CHECK_INTERVAL_SECONDS)
            else:
                await asyncio.sleep(self.retry_seconds)
                self.retry_seconds = min(MAX_RETRY_SECONDS, self.retry_seconds * 2)

    async def withdraw(self, *, calls_store: bool = True) -> bool:
        """Remove the keys by ending the lease, without retries; return whether that succeeded.

        A lease of an earlier era is not ended, since its id may now belong to another instance.
        """
        had_lease = self._lease_id != 0
        self._follow_era()
        self.desired_by_key.clear()
        self._written_by_key.clear()
        self._ever_desired.clear()
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            if not calls_store:
                return False
            ended = await self._store.end_lease(lease_id)
            if isinstance(ended, Err):
                logger.warning("ending the registration lease failed: %s", ended.err_value.detail)
                return False
        return lease_id != 0 or not had_lease

    async def _wait_for_change(self, seconds: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _synchronize(self) -> bool:
        self._follow_era()
        self._detect_stale_keys()
        if not self.desired_by_key and not self._written_by_key:
            return True
        if not await self._ensure_lease():
            return False
        self._detect_lost_keys()
        for key, value in list(self.desired_by_key.items()):
            if self._written_by_key.get(key, (None, 0))[0] != value and not await self._write(
                key, value
            ):
                return False
        for key in [k for k in self._written_by_key if k not in self.desired_by_key]:
            if not await self._delete(key):
                return False
        self.is_registered = True
        return True

    def _follow_era(self) -> None:
        """Forget the lease and the written keys if the store was restored since."""
        if self._era == self._mirror.latest_era:
            return
        if self._lease_id:
            logger.warning("the registration is written again: the store was restored")
        self._era = self._mirror.latest_era
        self._forget_lease()

    async def _ensure_lease(self) -> bool:
        now = self._monotonic()
        if self._lease_id and now - self._renewed_at < self._lease_seconds / RENEWALS_PER_LEASE:
            return True
        if self._lease_id:
            renewed = await self._store.renew_lease(self._lease_id)
            if isinstance(renewed, Ok):
                self._renewed_at = now
                return True
            if not isinstance(renewed.err_value, LeaseLost):
                if await self._renew_via_peer():
                    return True
                return self._log_failure("renewing the lease", renewed.err_value.detail)
            logger.warning("the registration lease expired")
            self._forget_lease()
        granted = await self._store.grant_lease(self._lease_seconds)
        if isinstance(granted, Err):
            return self._log_failure("requesting a lease", granted.err_value.detail)
        self._lease_id = granted.ok_value.lease_id
        self._renewed_at = now
        return True

    async def _renew_via_peer(self) -> bool:
        """Have a peer renew the lease, which keeps the keys while the store is unreachable."""
        started = self._monotonic()
        if self.renew_via_peer is None or self._era != self._mirror.latest_era:
            return False
        if not await self.renew_via_peer(self._lease_id):
            return False
        logger.info("a peer renewed the registration lease")
        self._renewed_at = started
        return True

    def _forget_lease(self) -> None:
        self._lease_id = 0
        self._written_by_key.clear()
        self._unconfirmed_keys.clear()
        self.is_registered = False

    def _detect_lost_keys(self) -> None:
        """Drop the lease if a written key is missing from the mirror, so that all are rewritten.

        A mirror of an earlier era does not have the present keys yet.
        """
        if self._mirror.era != self._era:
            return
        for key, (_, revision) in list(self._written_by_key.items()):
            is_applied = 0 < revision < self._mirror.revision
            if is_applied and key not in self._mirror.item_by_key:
                logger.warning('registered key "%s" is missing from the store', key)
                self._forget_lease()
                return

    async def _write(self, key: str, value: bytes) -> bool:
        expected = self._written_by_key.get(key, (b"", 0))[1]
        if self._era != self._mirror.latest_era:
            return False
        write = Write(key, value, self._lease_id)
        outcome = await self._store.commit({key: expected}, [write], era=self._era)
        if isinstance(outcome, Ok):
            self._written_by_key[key] = (value, outcome.ok_value)
            self._unconfirmed_keys.discard(key)
            return True
        fault = outcome.err_value
        if isinstance(fault, EraEnded):
            return False
        if isinstance(fault, LeaseLost):
            self._forget_lease()
            return False
        if isinstance(fault, TransactionRefused):
            # The store returns only existing keys; a key that is not returned does not exist.
            current = next((c for c in fault.current if c.key == key), None)
            was_written = key in self._unconfirmed_keys
            self._unconfirmed_keys.discard(key)
            if was_written and current is not None and current.value == value:
                self._written_by_key[key] = (value, current.revision)
                return True
            self._written_by_key[key] = (b"", current.revision if current is not None else 0)
            return False
        # The write may have taken effect: forget the value, so that the key is written again.
        self._written_by_key[key] = (b"", expected)
        if fault.sent:
            self._unconfirmed_keys.add(key)
        return self._log_failure(f'writing key "{key}"', fault.detail)

    async def _delete(self, key: str) -> bool:
        if self._era != self._mirror.latest_era:
            return False
        revision = self._written_by_key[key][1]
        outcome = await self._store.commit({key: revision}, [], [key], era=self._era)
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, TransactionRefused | LeaseLost):
            self._written_by_key.pop(key, None)
            return True
        if isinstance(outcome.err_value, EraEnded):
            return False
        return self._log_failure(f'removing key "{key}"', outcome.err_value.detail)

    def _detect_stale_keys(self) -> None:
        """Schedule the removal of keys that are in the mirror but no longer desired."""
        if self._mirror.era != self._era:
            return
        for key in self._ever_desired - self.desired_by_key.keys() - self._written_by_key.keys():
            item = self._mirror.item_by_key.get(key)
            if item is not None:
                logger.warning('removing key "%s", whose write took effect late', key)
                self._written_by_key[key] = (b"", item.revision)

    def _log_failure(self, what: str, detail: str) -> bool:
        """Log the first failure since the last success; return False for the caller."""
        if self._failing_since is None:
            self._failing_since = self._monotonic()
            logger.warning("the registration cannot be kept: %s: %s", what, detail)
        return False

    def _log_recovery(self) -> None:
        if self._failing_since is not None:
            seconds = self._monotonic() - self._failing_since
            logger.info("the registration is kept again after %.2f s", seconds)
            self._failing_since = None
