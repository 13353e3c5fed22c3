"""Limits of the connections of callers, one for each listener of an instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

RESERVED_DESCRIPTORS = 200  # agreed with the platform: store, other instances, logs
# Shares of the other descriptors. Connections to targets have a quarter. Each listener has its own
# share, so that a crowd at one of them does not make the instance appear not ready.
FRONT_SHARE = 0.5
DIRECTORY_SHARE = 0.09375
READINESS_SHARE = 0.03125
# Connections that are accepted at once are open for a moment even if they exceed the limit, so the
# backlogs of all listeners together have an eighth. The front has most of it, since all callers may
# reconnect at once after a restart.
FRONT_BACKLOG_SHARE = 0.09375
OTHER_BACKLOG_SHARE = 0.015625
MIN_BACKLOG = 4
UNLIMITED = 1 << 62


class LimitedConnection(Protocol):
    """A connection that the limit may close."""

    @property
    def is_expendable(self) -> bool:
        """Tell whether no complete request head is being handled on the connection."""

    def abort(self) -> None:
        """Close the connection at once."""


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """How the descriptors of a machine are divided."""

    front: int
    directory: int
    readiness: int
    front_backlog: int
    other_backlog: int


def descriptor_shares(max_fds: int) -> DescriptorShares:
    """Divide the descriptors that are not reserved.

    >>> descriptor_shares(4100)
    DescriptorShares(front=1950, directory=365, readiness=121, front_backlog=365, other_backlog=60)
    """
    available = max(0, max_fds - RESERVED_DESCRIPTORS)
    return DescriptorShares(
        max(1, int(available * FRONT_SHARE)),
        max(1, int(available * DIRECTORY_SHARE)),
        max(1, int(available * READINESS_SHARE)),
        max(MIN_BACKLOG, int(available * FRONT_BACKLOG_SHARE)),
        max(MIN_BACKLOG, int(available * OTHER_BACKLOG_SHARE)),
    )


class ConnectionLimit:
    """Keeps the number of open connections at or below a limit.

    A new connection replaces the oldest one without a request, or is closed if there is none.
    """

    def __init__(self, most: int = UNLIMITED) -> None:
        """Create a limit of ``most`` connections."""
        self.most = most
        self._connections: dict[LimitedConnection, None] = {}

    def __len__(self) -> int:
        """Return the number of counted connections."""
        return len(self._connections)

    def add(self, connection: LimitedConnection) -> None:
        """Count a new connection, and close one if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self.most:
            expendable = (c for c in self._connections if c.is_expendable and c is not connection)
            closed = next(expendable, connection)
            self.remove(closed)
            closed.abort()

    def remove(self, connection: LimitedConnection) -> None:
        """Stop counting a connection."""
        self._connections.pop(connection, None)
