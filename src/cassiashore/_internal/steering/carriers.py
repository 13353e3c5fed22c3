"""Which instances of a failure domain its callers are told to use.

Load pattern: 60 small instances before 280 targets, 30 requests a second at each instance. Spread
over all instances, a pair of instance and target sees one request in ten seconds: connections are
closed before they are used again, load reports are old when they count, and the few requests that a
cold target tolerates must be divided among many. Concentrated on the few instances with the most
room, the same requests find open connections and fresh reports.

The choice follows from the registered instances alone, so all instances agree on it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

from cassiashore._internal.models.hashing import hash64

LEAST_CARRIERS = 3  # of a failure domain: one may end and one be replaced at the same time


class Entry(Protocol):
    """What the choice goes by."""

    @property
    def address(self) -> str:
        """Return where callers connect, which is the same after a restart."""

    @property
    def failure_domain(self) -> str:
        """Return the failure domain."""

    @property
    def capacity(self) -> float:
        """Return the requests a second that the instance can carry."""


E = TypeVar("E", bound=Entry)


def carriers_of(entries: Sequence[E]) -> list[E]:
    """Return the entries of one failure domain that take its callers, the largest first."""
    ordered = sorted(entries, key=lambda e: (-e.capacity, hash64(e.address)))
    return ordered[:LEAST_CARRIERS]


def all_carriers(entries: Iterable[E]) -> list[E]:
    """Return the carriers of each failure domain."""
    by_domain: dict[str, list[E]] = {}
    for entry in entries:
        by_domain.setdefault(entry.failure_domain, []).append(entry)
    return [carrier for members in by_domain.values() for carrier in carriers_of(members)]
