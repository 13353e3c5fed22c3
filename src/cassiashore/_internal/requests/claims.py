"""Claims of callers' own idempotency keys in the platform's store.

A claim is a key created only if absent. The instance that created it owns the request key for good:
no lease moves it, since a paused owner could not be stopped. The value names the owner's run and
its time slot, so the owner recognises a claim whose answer was lost.
"""

from __future__ import annotations

import hashlib
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.admission.window import TokenBucket
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.store.client import Conflict, Entry, StoreClient

CLAIM_KEY_PREFIX = "claims/"
CLAIM_RETENTION_SECONDS = 24 * 3600.0  # how long callers may send a key of their own again
LEASE_ROTATION_SECONDS = 3600.0  # so that one lease does not hold the claims of a day
CLAIM_ATTEMPTS = 3  # a lost answer and a conflict


class ClaimValue(msgspec.Struct, frozen=True):
    """The stored form of a claim."""

    incarnation: str
    slot: int


@dataclass(frozen=True, slots=True)
class Claimed:
    """A claim that stands; ``owner`` may be another run than this one."""

    owner: str
    slot: int


def claim_key(service: str, idempotency_key: str) -> str:
    """Return the store key of a caller's idempotency key."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return f"{CLAIM_KEY_PREFIX}{service}/{digest}"


class ClaimRegistrar:
    """Makes claims for one instance, within its part of the store's write rate."""

    def __init__(
        self,
        store: StoreClient,
        incarnation: str,
        claims_per_second: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a registrar that has not made a claim."""
        self._store = store
        self._incarnation = incarnation
        self._monotonic = monotonic
        self._budget = TokenBucket(claims_per_second, max(1.0, claims_per_second), monotonic())
        self._lease = ""
        self._lease_made_at = 0.0

    async def claim(self, key: str, slot: int) -> Result[Claimed, Failure]:
        """Create the claim or find whose it is.

        A failure never means "not run": an earlier copy of the request may have run elsewhere.
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
    except msgspec.DecodeError:
        return Err(Failure.unknown(Reason.KEY_MALFORMED, "the stored claim is unreadable"))
    return Ok(Claimed(value.incarnation, value.slot))
