"""Registers this instance in the store under a lease, and what it wants others to know."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

from result import Err, Ok

from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.store.events import EventStore, LeaseLost, TransactionRefused, Write

logger = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 2  # one may be lost, and several tries fit into the rest of the lease
FIRST_RETRY_SECONDS = 0.3  # a store that lost one answer takes the next
MAX_RETRY_SECONDS = 1.2  # a refused call costs as much as an answered one
STEP_SECONDS = 0.25  # how long a change of what is wanted may wait, beside its wake


class Registration:
    """Keeps keys of this instance in the store for as long as it runs.

    A write whose answer was lost is settled by reading the key: it is this instance's if it holds
    the value that was written, since the key contains the incarnation. Such a write may also take
    effect later, when the key is no longer wanted; then the mirror shows it, and it is removed.
    """

    def __init__(
        self,
        store: EventStore,
        mirror: StoreMirror,
        lease_seconds: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a registration that wants nothing written yet."""
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
        self._written_by_key: dict[str, tuple[bytes, int]] = {}
        self._ever_wanted: set[str] = set()
        self._failing_since: float | None = None
        self._wake = asyncio.Event()

    def put(self, key: str, value: bytes | None) -> None:
        """Want a key with a value, or gone."""
        self._ever_wanted.add(key)
        if value is None:
            self.desired_by_key.pop(key, None)
        elif self.desired_by_key.get(key) != value:
            self.desired_by_key[key] = value
        self._wake.set()

    async def run(self) -> None:
        """Write, renew and write again what was lost, until cancelled.

        While others tell that the store is away, it is not called: they tell of its return.
        """
        while True:
            if self.store_is_unreachable():
                await self._pause(STEP_SECONDS)
            elif await self._step():
                self.retry_seconds = FIRST_RETRY_SECONDS
                self._note_working()
                await self._pause(STEP_SECONDS)
            else:
                await asyncio.sleep(self.retry_seconds)
                self.retry_seconds = min(MAX_RETRY_SECONDS, self.retry_seconds * 2)

    async def withdraw(self, *, calls_store: bool = True) -> bool:
        """Remove the keys by ending the lease, once; tell whether the store took it."""
        self.desired_by_key.clear()
        self._written_by_key.clear()
        self._ever_wanted.clear()
        lease_id, self._lease_id = self._lease_id, 0
        if lease_id:
            if not calls_store:
                return False
            ended = await self._store.end_lease(lease_id)
            if isinstance(ended, Err):
                logger.warning("withdrawing the registration failed: %s", ended.err_value.detail)
                return False
        return True

    async def _pause(self, seconds: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _step(self) -> bool:
        self._notice_strays()
        if not self.desired_by_key and not self._written_by_key:
            return True
        if not await self._ensure_lease():
            return False
        self._notice_losses()
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
                return self._failed("renewing the lease", renewed.err_value.detail)
            logger.warning("the lease of the registration was lost")
            self._forget_lease()
        granted = await self._store.grant_lease(self._lease_seconds)
        if isinstance(granted, Err):
            return self._failed("asking for a lease", granted.err_value.detail)
        self._lease_id = granted.ok_value.lease_id
        self._renewed_at = now
        return True

    async def _renew_via_peer(self) -> bool:
        """Have the lease renewed by another instance; keys cannot be written meanwhile."""
        started = self._monotonic()
        if self.renew_via_peer is None or not await self.renew_via_peer(self._lease_id):
            return False
        logger.info("another instance renewed the lease of the registration")
        self._renewed_at = started
        return True

    def _forget_lease(self) -> None:
        self._lease_id = 0
        self._written_by_key.clear()
        self.is_registered = False

    def _notice_losses(self) -> None:
        """Write again what the mirror shows to be gone although it was written."""
        for key, (_, revision) in list(self._written_by_key.items()):
            is_seen = 0 < revision < self._mirror.revision
            if is_seen and key not in self._mirror.item_by_key:
                logger.warning('registered key "%s" is gone from the store', key)
                self._forget_lease()
                return

    async def _write(self, key: str, value: bytes) -> bool:
        expected = self._written_by_key.get(key, (b"", 0))[1]
        outcome = await self._store.commit({key: expected}, [Write(key, value, self._lease_id)])
        if isinstance(outcome, Ok):
            self._written_by_key[key] = (value, outcome.ok_value)
            return True
        fault = outcome.err_value
        if isinstance(fault, LeaseLost):
            self._forget_lease()
            return False
        if isinstance(fault, TransactionRefused):
            # The store names only keys that stand; one that is not named does not exist.
            current = next((c for c in fault.current if c.key == key), None)
            if current is not None and current.value == value:
                self._written_by_key[key] = (value, current.revision)
                return True
            self._written_by_key[key] = (b"", current.revision if current is not None else 0)
            return False
        # It may have taken effect: what stands is not known, whatever is wanted next.
        self._written_by_key[key] = (b"", expected)
        return self._failed(f'writing key "{key}"', fault.detail)

    async def _delete(self, key: str) -> bool:
        revision = self._written_by_key[key][1]
        outcome = await self._store.commit({key: revision}, [], [key])
        if isinstance(outcome, Ok) or isinstance(outcome.err_value, TransactionRefused | LeaseLost):
            self._written_by_key.pop(key, None)
            return True
        return self._failed(f'removing key "{key}"', outcome.err_value.detail)

    def _notice_strays(self) -> None:
        """Want keys removed that stand although they are not wanted any more."""
        for key in self._ever_wanted - self.desired_by_key.keys() - self._written_by_key.keys():
            item = self._mirror.item_by_key.get(key)
            if item is not None:
                logger.warning('key "%s" was written late and is removed', key)
                self._written_by_key[key] = (b"", item.revision)

    def _failed(self, what: str, detail: str) -> bool:
        """Tell once that the registration cannot be kept, until it can again."""
        if self._failing_since is None:
            self._failing_since = self._monotonic()
            logger.warning("the registration cannot be kept: %s: %s", what, detail)
        return False

    def _note_working(self) -> None:
        if self._failing_since is not None:
            seconds = self._monotonic() - self._failing_since
            logger.info("the registration is kept again after %.2f s", seconds)
            self._failing_since = None
