"""The instances of the system, as they register themselves in the store."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

import msgspec

from cassiashore._internal.models.hashing import hash64
from cassiashore._internal.peers.messages import Identity
from cassiashore._internal.steering.carriers import all_carriers
from cassiashore._internal.steering.cold import Candidate

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
        self._candidates: list[Candidate] | None = None

    def load_changed(self, incarnation: str, value: bytes | None) -> None:
        """Take in the requests a second that an instance tells, or that it tells none."""
        self._candidates = None
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
        self._candidates = None
        if value is None:
            if self.record_by_incarnation.pop(incarnation, None) is not None:
                self.on_change("gone", incarnation)
            return
        try:
            record = _decoder.decode(value)
        except msgspec.DecodeError as error:
            logger.warning('registration of instance "%s" ignored: %s', incarnation, error)
            return
        if incarnation not in self.record_by_incarnation:
            self.on_change("joined", incarnation)
        self.record_by_incarnation[incarnation] = record

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

    def candidates(self) -> list[Candidate]:
        """Return the instances that carry callers, for choices that must be alike everywhere."""
        if self._candidates is None:
            by_incarnation = dict(self.record_by_incarnation)
            by_incarnation.setdefault(self.own_incarnation, self.own)
            self._candidates = all_carriers(
                Candidate(
                    incarnation,
                    record.identity.failure_domain,
                    record.region,
                    record.identity.address,
                    record.capacity,
                    self.load_of(incarnation),
                )
                for incarnation, record in by_incarnation.items()
            )
        return self._candidates

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
        records = sorted(self.records(), key=lambda r: hash64(r.identity.incarnation))
        by_region: dict[str, InstanceRecord] = {}
        for record in records:
            by_region.setdefault(record.region, record)
        readers = list(by_region.values())
        for record in records:
            if len(readers) >= least:
                break
            if record not in readers:
                readers.append(record)
        return readers
