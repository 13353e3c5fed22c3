"""Budget of the bytes that an instance holds on behalf of others."""

from __future__ import annotations

from collections.abc import Callable

UNKNOWN_MEMORY_MB = 200  # the smallest machine of the deployments; used if the settings name none
# The rest is for the process itself (31 to 36 MB), for its tables and for what is not counted.
BUDGET_SHARE = 0.25
TIGHT_SHARE = 0.5  # of the budget; above it, reads are paused earlier
BULK_SHARE = 0.75  # above it, bodies are refused; small requests are still served from the rest
SMALL_RESPONSE_BYTES = 4 * 1024  # a refusal is below 1 KB
UNLIMITED_BYTES = 1 << 62
RETRY_SECONDS = 1.0  # about half of the time after which incomplete requests time out

# Costs of objects, by measurement of CPython 3.11 and rounded up.
CONNECTION_BYTES = 8 * 1024
REQUEST_BYTES = 4 * 1024
FIELD_BYTES = 128


class MemoryBudget:
    """A number of bytes, and how many of them are in use.

    When bulk data no longer fits, connections whose callers do not read are reset, the one that has
    been blocked longest first.
    """

    def __init__(self, limit: int = UNLIMITED_BYTES) -> None:
        """Create a budget of ``limit`` bytes."""
        self.limit = limit
        self.used = 0
        self._tight_at = int(limit * TIGHT_SHARE)
        self._bulk_limit = int(limit * BULK_SHARE)
        self._abort_by_reader: dict[object, Callable[[], None]] = {}

    @property
    def is_tight(self) -> bool:
        """Tell whether each connection should hold less."""
        return self.used > self._tight_at

    @property
    def has_room_for_bulk(self) -> bool:
        """Tell whether bodies and responses may be held."""
        return self.used < self._bulk_limit

    @property
    def is_exhausted(self) -> bool:
        """Tell whether new requests must be refused."""
        return self.used >= self.limit

    def must_drop(self, size: int) -> bool:
        """Tell whether a response of ``size`` bytes that has to wait must not be held."""
        return self.is_exhausted or (size > SMALL_RESPONSE_BYTES and not self.has_room_for_bulk)

    def add_blocked_reader(self, reader: object, abort: Callable[[], None]) -> None:
        """Register a connection whose caller does not read; ``abort`` frees what it holds."""
        self._abort_by_reader.setdefault(reader, abort)

    def remove_blocked_reader(self, reader: object) -> None:
        """Unregister a connection."""
        self._abort_by_reader.pop(reader, None)

    def reclaim(self) -> None:
        """Reset blocked connections until bulk data fits again, or none is left."""
        while not self.has_room_for_bulk and self._abort_by_reader:
            reader = next(iter(self._abort_by_reader))
            self._abort_by_reader.pop(reader)()


class Account:
    """What one request or connection holds of a budget."""

    __slots__ = ("_held", "_is_closed", "budget")

    def __init__(self, budget: MemoryBudget, held: int = 0) -> None:
        """Create an account that holds ``held`` bytes."""
        self.budget = budget
        self._held = 0
        self._is_closed = False
        self.hold(held)

    def hold(self, size: int) -> None:
        """Add ``size`` bytes, or return some if it is negative."""
        if not self._is_closed:
            self._held += size
            self.budget.used += size

    def close(self) -> None:
        """Return everything; what is held later is not counted."""
        self.hold(-self._held)
        self._is_closed = True


def budget_bytes(memory_mb: int) -> int:
    """Return the size of the budget on a machine with ``memory_mb``, or an unknown size if 0.

    >>> budget_bytes(200)
    52428800
    >>> budget_bytes(0) == budget_bytes(UNKNOWN_MEMORY_MB)
    True
    """
    return int((memory_mb or UNKNOWN_MEMORY_MB) * (1 << 20) * BUDGET_SHARE)
