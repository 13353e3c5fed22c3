"""The instances of the system, as they register themselves in the store."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping

import msgspec

from cassiashore._internal.models.address import Address
from cassiashore._internal.models.hashing import hash64
from cassiashore._internal.peers.messages import Identity
from cassiashore._internal.steering.active_instances import InstanceInfo, select_active_per_domain

logger = logging.getLogger(__name__)


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an instance registers. ``capacity`` is the requests a second that it can carry."""

    identity: Identity
    region: str
    capacity: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(InstanceRecord)


def encode_record(record: InstanceRecord) -> bytes:
    """Encode a record for the store."""
    return _encoder.encode(record)


class InstanceTable:
    """Registered instances by incarnation; always contains the own one."""

    def __init__(self, own: InstanceRecord) -> None:
        """Start with the own record."""
        self.own = own
        self.record_by_incarnation: dict[str, InstanceRecord] = {}
        self.on_change: Callable[[str, str], None] = lambda what, incarnation: None
        self._load_by_incarnation: dict[str, float] = {}
        self._carriers_by_purpose: dict[str, list[InstanceInfo]] = {}
        self._order_by_least: dict[int, tuple[list[InstanceRecord], list[InstanceRecord]]] = {}
        self._leaving: set[str] = set()

    def leaves(self, incarnation: str) -> bool:
        """Take in that an instance said it leaves; tell whether that is news.

        It counts no more for callers and readers, although its registration may still stand.
        """
        if incarnation in self._leaving or incarnation not in self.record_by_incarnation:
            return False
        self._leaving.add(incarnation)
        self._members_changed()
        self.on_change("leaving", incarnation)
        return True

    def _members_changed(self) -> None:
        self._carriers_by_purpose.clear()
        self._order_by_least.clear()

    def load_changed(self, incarnation: str, value: bytes | None) -> None:
        """Take in the requests a second that an instance tells, or that it tells none."""
        self._carriers_by_purpose.clear()
        self._load_by_incarnation.pop(incarnation, None)
        if value is None:
            return
        try:
            load = msgspec.msgpack.decode(value, type=float)
        except msgspec.DecodeError as error:
            logger.warning('load of instance "%s" ignored: %s', incarnation, error)
            return
        if math.isfinite(load) and load > 0:
            self._load_by_incarnation[incarnation] = load

    def load_of(self, incarnation: str) -> float:
        """Return the requests a second that an instance told last."""
        return self._load_by_incarnation.get(incarnation, 0.0)

    def changed(self, incarnation: str, value: bytes | None) -> None:
        """Take in a change of a registration."""
        self._members_changed()
        if value is None:
            self._leaving.discard(incarnation)
            if self.record_by_incarnation.pop(incarnation, None) is not None:
                self.on_change("gone", incarnation)
            return
        try:
            record = _decoder.decode(value)
            Address.parse(record.identity.peer_address)
        except ValueError as error:  # msgspec's errors among them
            logger.warning('registration of instance "%s" ignored: %s', incarnation, error)
            return
        if incarnation not in self.record_by_incarnation:
            self.on_change("joined", incarnation)
        self.record_by_incarnation[incarnation] = record
        self._members_changed()

    @property
    def own_incarnation(self) -> str:
        """Return the incarnation of this instance."""
        return self.own.identity.incarnation

    def records(self) -> list[InstanceRecord]:
        """Return the registered instances."""
        return list(self.record_by_incarnation.values())

    def count(self) -> int:
        """Return the number of instances, this one included."""
        registered = len(self.record_by_incarnation)
        return registered + (self.own_incarnation not in self.record_by_incarnation)

    def senders(self) -> list[InstanceInfo]:
        """Return the instances that carry callers, with the own one counted as registered.

        The list stays the same object until something changes.
        """
        return self._carriers(
            "senders", lambda: {self.own_incarnation: self.own, **self._present()}
        )

    def entrances(self, *, without_own: bool) -> list[InstanceInfo]:
        """Return the registered instances that carry callers."""
        if not without_own:
            return self._carriers("entrances", self._present)
        own = self.own_incarnation
        return self._carriers(
            "entrances without own",
            lambda: {i: r for i, r in self._present().items() if i != own},
        )

    def _present(self) -> dict[str, InstanceRecord]:
        """Return the registered instances that have not said that they leave."""
        return {i: r for i, r in self.record_by_incarnation.items() if i not in self._leaving}

    def _carriers(
        self, purpose: str, records: Callable[[], Mapping[str, InstanceRecord]]
    ) -> list[InstanceInfo]:
        known = self._carriers_by_purpose.get(purpose)
        if known is None:
            known = select_active_per_domain(
                InstanceInfo(
                    incarnation,
                    record.identity.failure_domain,
                    record.region,
                    record.identity.address,
                    record.capacity,
                    self.load_of(incarnation),
                )
                for incarnation, record in records().items()
            )
            self._carriers_by_purpose[purpose] = known
        return known

    def decides_for_region(self) -> bool:
        """Tell whether this is the instance that decides for its region."""
        near = [r for r in self.records() if r.region == self.own.region]
        if not near:
            return False
        first = min(near, key=lambda r: hash64(r.identity.incarnation))
        return first.identity.incarnation == self.own_incarnation

    def store_readers(self, least: int) -> list[InstanceRecord]:
        """Return the instances that follow the store for the others.

        One in each region, chosen by hash; more of the others until there are ``least``.
        """
        return self._reading_order(least)[0]

    def rank_behind_readers(self, least: int) -> tuple[int, int]:
        """Return the place of this instance among those that are no readers, and their number.

        One that is not registered has the last place.
        """
        others = self._reading_order(least)[1]
        own = self.own_incarnation
        ranks = [i for i, r in enumerate(others) if r.identity.incarnation == own]
        return (ranks[0] if ranks else len(others)), len(others)

    def others_in_order(self, least: int) -> list[InstanceRecord]:
        """Return the instances that are no readers, in the order in which they would be.

        The first of each failure domain come before all others, who have their news from them.
        """
        return self._reading_order(least)[1]

    def _is_earlier_run(self, record: InstanceRecord) -> bool:
        """Tell whether a registration is of a run that this one replaced at its address."""
        own = self.own.identity
        other = record.identity
        return other.peer_address == own.peer_address and other.incarnation != own.incarnation

    def _reading_order(self, least: int) -> tuple[list[InstanceRecord], list[InstanceRecord]]:
        """Return the readers, and the others in the order in which they would take their place."""
        known = self._order_by_least.get(least)
        if known is not None:
            return known
        present = [r for r in self._present().values() if not self._is_earlier_run(r)]
        records = sorted(present, key=lambda r: hash64(r.identity.incarnation))
        by_region: dict[str, InstanceRecord] = {}
        for record in records:
            by_region.setdefault(record.region, record)
        readers = list(by_region.values())
        for record in records:
            if len(readers) >= least:
                break
            if record not in readers:
                readers.append(record)
        rest = [record for record in records if record not in readers]
        first_by_domain = {r.identity.failure_domain: r for r in reversed(rest)}
        firsts = {r.identity.incarnation for r in first_by_domain.values()}
        others = sorted(rest, key=lambda r: r.identity.incarnation not in firsts)
        self._order_by_least[least] = (readers, others)
        return readers, others
