"""Interface of a store that can be watched for changes, as the mirror needs it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import msgspec
from result import Result

from cassiashore._internal.store.client import StoreFault


class StorePosition(NamedTuple):
    """A state of the store, in the order of its changes.

    The era increases when the store is restored from an older copy. Revisions increase within an
    era, and are lower and assigned again after a restore.

    >>> StorePosition(era=1, revision=40) > StorePosition(era=0, revision=95)
    True
    """

    era: int
    revision: int


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A write of a key, or its removal if ``value`` is None, at a revision of the store."""

    key: str
    revision: int
    value: bytes | None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All keys as they were at ``revision`` of an era or, for some of them, later."""

    revision: int
    items: list[Change]
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the state of the store that this is a copy of."""
        return StorePosition(self.era, self.revision)


class ChangeBatch(msgspec.Struct, frozen=True, array_like=True):
    """All changes of an era after revision ``after`` up to and including ``revision``."""

    after: int
    revision: int
    changes: list[Change]
    era: int = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has all changes after the requested revision."""


@dataclass(frozen=True, slots=True)
class EraEnded:
    """The store was restored since the conditions were read; the transaction was not sent."""


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease has expired or was ended."""


@dataclass(frozen=True, slots=True)
class TransactionRefused:
    """A condition of a transaction did not hold; ``current`` are those of its keys that exist."""

    current: list[Change]


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease granted by the store, with its duration in seconds."""

    lease_id: int
    seconds: float


NO_LEASE = 0  # the key exists until it is deleted


@dataclass(frozen=True, slots=True)
class Write:
    """A key to write under a lease (0: without a lease)."""

    key: str
    value: bytes
    lease_id: int = 0


class EventStore(Protocol):
    """A key-value store with a revision counter, leases, transactions and watches.

    ``on_era`` is called with the era of each response, before the call returns.
    """

    on_era: Callable[[int], None]

    async def read_all(self) -> Result[Snapshot, StoreFault]:
        """Read every key."""

    async def watch(
        self, after: int, wait_seconds: float
    ) -> Result[ChangeBatch, StoreFault | HistoryLost]:
        """Wait for changes after a revision; return an empty batch if there were none."""

    async def commit(
        self,
        expected: dict[str, int],
        writes: Sequence[Write],
        deletes: Sequence[str] = (),
        *,
        era: int = 0,
    ) -> Result[int, StoreFault | TransactionRefused | LeaseLost | EraEnded]:
        """Write and delete keys if all keys have their expected revisions (0: absent).

        The expected revisions are those of ``era``. In a later era the transaction is not sent,
        since a revision that was assigned again could match.
        """

    async def read(self, key: str) -> Result[Change | None, StoreFault]:
        """Read one key; return None if it is absent."""

    async def grant_lease(self, seconds: float) -> Result[Lease, StoreFault]:
        """Create a lease."""

    async def renew_lease(self, lease_id: int) -> Result[None, StoreFault | LeaseLost]:
        """Renew a lease."""

    async def end_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease; its keys are removed."""

    def close(self) -> None:
        """Close connections."""
