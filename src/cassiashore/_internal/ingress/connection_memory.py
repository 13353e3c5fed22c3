"""What a connection holds of the memory budget, beside the accounts of its requests."""

from __future__ import annotations

from collections.abc import Callable

from cassiashore._internal.ingress.memory_budget import CONNECTION_BYTES, Account, MemoryBudget


class ConnectionMemory:
    """Counts the bytes of a connection, which is reset if its caller does not read."""

    def __init__(self, budget: MemoryBudget, reset: Callable[[], None]) -> None:
        """Count the connection itself; ``reset`` frees what it holds."""
        self.budget = budget
        self._reset = reset
        self._account = Account(budget, CONNECTION_BYTES)
        self._counted = 0

    def update(self, received: int, unsent: int | None) -> None:
        """Count unparsed bytes with an incomplete head, and unsent bytes.

        ``unsent`` is None unless the caller does not read.
        """
        held = received + (unsent or 0)
        counted, self._counted = self._counted, held
        self._account.hold(held - counted)
        if unsent is not None:
            self.budget.add_blocked_reader(self, self._reset)
        self.budget.reclaim()

    def unblock(self) -> None:
        """Note that the caller reads again."""
        self.budget.remove_blocked_reader(self)

    def release(self) -> None:
        """Return everything."""
        self.unblock()
        self._account.close()
