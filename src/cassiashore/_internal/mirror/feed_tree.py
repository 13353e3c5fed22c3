"""From which instances another one has the changes of the store.

Load pattern: a hundred instances of a region follow the one that reads the store. If each of them
has its changes from the reader, that instance sends every change and every copy a hundred times:
megabytes a second over a link of ten megabits, most of it between failure domains. So one instance
of each failure domain, its distributor, has the changes from the readers, and passes them on to the
others there. Each of these has the distributor of another failure domain of its region on standby.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cassiashore._internal.mirror.instances import InstanceRecord


@dataclass(frozen=True, slots=True)
class FeedTree:
    """The readers of the store, and the distributor of each failure domain by its name."""

    readers: Sequence[InstanceRecord]
    distributor_by_domain: dict[str, InstanceRecord]

    @classmethod
    def of(cls, readers: Sequence[InstanceRecord], others: Sequence[InstanceRecord]) -> FeedTree:
        """Choose the distributors: a reader where there is one, else the first of ``others``."""
        distributors: dict[str, InstanceRecord] = {}
        for record in (*readers, *others):
            distributors.setdefault(record.identity.failure_domain, record)
        return cls(readers, distributors)

    def sources_of(
        self, own: InstanceRecord, round_trip_to: Callable[[str], float]
    ) -> list[InstanceRecord]:
        """Return whom an instance that does not read the store follows, preferred ones first.

        The nearest readers, if it is a distributor or not registered yet.
        """
        distributor = self.distributor_by_domain.get(own.identity.failure_domain)
        if distributor is None or _is_same(distributor, own):
            return self.nearest_readers(own, round_trip_to)
        standby = self._next_distributor(own)
        if standby is not None:
            return [distributor, standby]
        readers = self.nearest_readers(own, round_trip_to)
        return [distributor, *(r for r in readers if not _is_same(r, distributor))]

    def nearest_readers(
        self, own: InstanceRecord, round_trip_to: Callable[[str], float]
    ) -> list[InstanceRecord]:
        """Return the readers but for the own instance, nearest region first."""
        others = [reader for reader in self.readers if not _is_same(reader, own)]
        return sorted(others, key=lambda reader: round_trip_to(reader.region))

    def _next_distributor(self, own: InstanceRecord) -> InstanceRecord | None:
        """Return that of the next failure domain of the region, so that standbys are spread."""
        domain = own.identity.failure_domain
        domains = sorted(
            name
            for name, record in self.distributor_by_domain.items()
            if record.region == own.region and name != domain
        )
        if not domains:
            return None
        following = [name for name in domains if name > domain]
        return self.distributor_by_domain[(following or domains)[0]]


def _is_same(one: InstanceRecord, other: InstanceRecord) -> bool:
    return one.identity.incarnation == other.identity.incarnation
