"""Selects the instances from which an instance receives the changes of the store.

Load pattern: a hundred instances of a region follow the one that reads the store. If each of them
subscribed to the reader, it would send every change and every snapshot a hundred times: megabytes
a second over a link of ten megabits, most of it between failure domains. Therefore only one
instance of each failure domain, its distributor, subscribes to the readers and forwards the changes
to the others in its failure domain. Each of these also has a standby source: the distributor of
another failure domain of its region.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cassiashore._internal.mirror.instances import InstanceRecord


@dataclass(frozen=True, slots=True)
class FeedTree:
    """The readers of the store, and the distributor of each failure domain."""

    readers: Sequence[InstanceRecord]
    distributor_by_domain: dict[str, InstanceRecord]

    @classmethod
    def of(cls, readers: Sequence[InstanceRecord], others: Sequence[InstanceRecord]) -> FeedTree:
        """Choose as distributor a reader of the failure domain, or else its first of ``others``."""
        distributors: dict[str, InstanceRecord] = {}
        for record in (*readers, *others):
            distributors.setdefault(record.identity.failure_domain, record)
        return cls(readers, distributors)

    def sources_of(
        self, own: InstanceRecord, round_trip_to: Callable[[str], float]
    ) -> list[InstanceRecord]:
        """Return the sources of an instance that does not read the store, preferred ones first.

        A distributor, or an instance whose failure domain has none yet, follows the readers.
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
        """Return the readers except ``own``, nearest region first."""
        others = [reader for reader in self.readers if not _is_same(reader, own)]
        return sorted(others, key=lambda reader: round_trip_to(reader.region))

    def _next_distributor(self, own: InstanceRecord) -> InstanceRecord | None:
        """Return the distributor of the next failure domain of the region, if there is another.

        Failure domains are taken in cyclic order, which spreads the standby subscriptions.
        """
        domain = own.identity.failure_domain
        domains = sorted(
            name
            for name, record in self.distributor_by_domain.items()
            if record.region == own.region and name != domain
        )
        if not domains:
            return None
        later_domains = [name for name in domains if name > domain]
        return self.distributor_by_domain[(later_domains or domains)[0]]


def _is_same(first: InstanceRecord, second: InstanceRecord) -> bool:
    return first.identity.incarnation == second.identity.incarnation
