"""Claims of caller-supplied idempotency keys in the platform's key-value store.

A claim is a store key that is created only if absent. The instance that created it owns the
idempotency key permanently: no lease passes it on when the owner stops renewing, since an owner
that is only paused cannot be prevented from dispatching the request later. The value contains the
owner's incarnation and time slot, so the owner recognises its own claim if the store's response to
the write was lost.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.admission.window import TokenBucket
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.store.client import Conflict, Entry, StoreClient

CLAIM_KEY_PREFIX = "claims/"
CLAIM_RETENTION_SECONDS = 24 * 3600.0  # callers may reuse an idempotency key for retries that long
LEASE_ROTATION_SECONDS = 3600.0  # keeps a day's claims from sharing a single lease
CLAIM_ATTEMPTS = 3  # enough for a lost response and the conflict that follows it


class ClaimValue(msgspec.Struct, frozen=True):
    """The stored value of a claim."""

    incarnation: str
    slot: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """An existing claim; ``owner`` is an incarnation, of this instance or another one."""

    owner: str
    slot: int


def claim_key(service: str, idempotency_key: str) -> str:
    """Return the store key for a caller's idempotency key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_KEY_PREFIX}{service}/{digest}"


class ClaimRegistrar:
    """Creates claims for one instance, within its share of the store's write rate."""

    def __init__(
        self,
        store: StoreClient,
        incarnation: str,
        claims_per_second: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a registrar with a full rate budget and no lease."""
        self._store = store
        self._incarnation = incarnation
        self._monotonic = monotonic
        self._budget = TokenBucket(claims_per_second, max(1.0, claims_per_second), monotonic())
        self._lease = ""
        self._lease_made_at = 0.0

    async def claim(self, key: str, slot: int) -> Result[Claimed, Failure]:
        """Create a claim, or return the existing one.

        A failure never has the outcome "not run": an earlier copy of the request may have run on
        another instance.
        """
        if not self._budget.try_take(1.0, self._monotonic()):
            return Err(Failure.unknown(Reason.CLAIM_BUDGET, "too many claims a second"))
        lease = await self._current_lease()
        if isinstance(lease, Err):
            return lease
        value = msgspec.json.encode(ClaimValue(self._incarnation, slot))
        detail = ""
        for _ in range(CLAIM_ATTEMPTS):
            written = await self._store.put_if(key, value, 0, lease.ok_value)
            if isinstance(written, Ok):
                return Ok(Claimed(self._incarnation, slot))
            if isinstance(written.err_value, Conflict):
                return _owner_of(written.err_value.current)
            detail = written.err_value.detail
        return Err(Failure.unknown(Reason.STORE_UNREACHABLE, detail))

    async def _current_lease(self) -> Result[str, Failure]:
        now = self._monotonic()
        if self._lease and now - self._lease_made_at < LEASE_ROTATION_SECONDS:
            return Ok(self._lease)
        granted = await self._store.grant_lease(CLAIM_RETENTION_SECONDS + LEASE_ROTATION_SECONDS)
        if isinstance(granted, Err):
            detail = granted.err_value.detail
            return Err(Failure.unknown(Reason.STORE_UNREACHABLE, detail))
        self._lease = granted.ok_value
        self._lease_made_at = now
        return Ok(self._lease)


def _owner_of(entry: Entry) -> Result[Claimed, Failure]:
    try:
        value = msgspec.json.decode(entry.value, type=ClaimValue)
    except DECODE_ERRORS:
        return Err(Failure.unknown(Reason.KEY_MALFORMED, "the stored claim is unreadable"))
    return Ok(Claimed(value.incarnation, value.slot))
