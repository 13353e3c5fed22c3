"""Table of the instances that are registered in the store."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping

import msgspec

from cassiashore._internal.mirror.ended_runs import EndedRuns
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.models.hashing import hash64
from cassiashore._internal.peers.messages import Identity
from cassiashore._internal.steering.active_instances import InstanceInfo, select_active_per_domain

logger = logging.getLogger(__name__)


class InstanceRecord(msgspec.Struct, frozen=True, array_like=True):
    """Registration of an instance. ``capacity`` is the requests a second that it can handle."""

    identity: Identity
    region: str
    capacity: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(InstanceRecord)


def encode_record(record: InstanceRecord) -> bytes:
    """Encode a registration for the store."""
    return _encoder.encode(record)


class InstanceTable:
    """The registered instances by incarnation, and what is derived from them."""

    def __init__(self, own: InstanceRecord) -> None:
        """Create a table without registrations; ``own`` is the record of this instance."""
        self.own = own
        self.record_by_incarnation: dict[str, InstanceRecord] = {}
        self.on_change: Callable[[str, str], None] = lambda what, incarnation: None
        self._load_by_incarnation: dict[str, float] = {}
        self._infos_by_scope: dict[str, list[InstanceInfo]] = {}
        self._split_by_min_readers: dict[int, tuple[list[InstanceRecord], list[InstanceRecord]]] = (
            {}
        )
        self._leaving: set[str] = set()
        self._ended_runs = EndedRuns()

    def record_met(self, identity: Identity) -> None:
        """Record the run that proved its identity at its peer address, on a stream to it."""
        registered = (record.identity for record in self.record_by_incarnation.values())
        if self._ended_runs.record_met(identity, registered):
            self._clear_caches()

    def mark_leaving(self, incarnation: str) -> bool:
        """Record that an instance announced its shutdown; return whether that was unknown.

        It is no longer offered to callers or chosen as reader, even while it is still registered.
        """
        if incarnation in self._leaving or incarnation not in self.record_by_incarnation:
            return False
        self._leaving.add(incarnation)
        self._clear_caches()
        self.on_change("leaving", incarnation)
        return True

    def _clear_caches(self) -> None:
        self._infos_by_scope.clear()
        self._split_by_min_readers.clear()

    def apply_load(self, incarnation: str, value: bytes | None) -> None:
        """Record the published load of an instance in requests a second; None means no load."""
        self._infos_by_scope.clear()
        self._load_by_incarnation.pop(incarnation, None)
        if value is None:
            return
        try:
            load = msgspec.msgpack.decode(value, type=float)
        except DECODE_ERRORS as error:
            logger.warning('load of instance "%s" ignored: %s', incarnation, error)
            return
        if math.isfinite(load) and load > 0:
            self._load_by_incarnation[incarnation] = load

    def load_of(self, incarnation: str) -> float:
        """Return the load that an instance last published, in requests a second."""
        return self._load_by_incarnation.get(incarnation, 0.0)

    def apply_registration(self, incarnation: str, value: bytes | None) -> None:
        """Add, replace or, if ``value`` is None, remove the registration of an instance."""
        self._clear_caches()
        if value is None:
            self._leaving.discard(incarnation)
            self._ended_runs.forget(incarnation)
            if self.record_by_incarnation.pop(incarnation, None) is not None:
                self.on_change("gone", incarnation)
            return
        try:
            record = _decoder.decode(value)
            Address.parse(record.identity.peer_address)
        except DECODE_ERRORS as error:
            logger.warning('registration of instance "%s" ignored: %s', incarnation, error)
            return
        if incarnation not in self.record_by_incarnation:
            self.on_change("joined", incarnation)
        self.record_by_incarnation[incarnation] = record
        self._clear_caches()

    @property
    def own_incarnation(self) -> str:
        """Return the incarnation of this instance."""
        return self.own.identity.incarnation

    def records(self) -> list[InstanceRecord]:
        """Return the registered instances."""
        return list(self.record_by_incarnation.values())

    def count(self) -> int:
        """Return the number of instances; this one counts even if it is not registered."""
        registered = len(self.record_by_incarnation)
        return registered + (self.own_incarnation not in self.record_by_incarnation)

    def active_instances(self, *, without_own: bool) -> list[InstanceInfo]:
        """Return the registered instances that the directory names to callers.

        The same list object is returned until a registration or load changes.
        """
        if not without_own:
            return self._select_active("registered", self._not_leaving)
        own = self.own_incarnation
        return self._select_active(
            "without own",
            lambda: {i: r for i, r in self._not_leaving().items() if i != own},
        )

    def _not_leaving(self) -> dict[str, InstanceRecord]:
        """Return the registered instances that have not announced their shutdown."""
        return {i: r for i, r in self.record_by_incarnation.items() if i not in self._leaving}

    def registered(self) -> list[InstanceInfo]:
        """Return the registered instances, also those that are not active.

        The same list object is returned until a registration or load changes.
        """
        known = self._infos_by_scope.get("all")
        if known is None:
            known = self._infos_by_scope["all"] = self._infos(self.record_by_incarnation)
        return known

    def _select_active(
        self, scope: str, records: Callable[[], Mapping[str, InstanceRecord]]
    ) -> list[InstanceInfo]:
        known = self._infos_by_scope.get(scope)
        if known is None:
            known = select_active_per_domain(self._infos(records()))
            self._infos_by_scope[scope] = known
        return known

    def _infos(self, records: Mapping[str, InstanceRecord]) -> list[InstanceInfo]:
        return [
            InstanceInfo(
                incarnation,
                record.identity.failure_domain,
                record.region,
                record.identity.address,
                record.capacity,
                self.load_of(incarnation),
            )
            for incarnation, record in records.items()
        ]

    def is_region_leader(self) -> bool:
        """Whether this instance is the leader of its region: the one with the lowest hash."""
        in_region = [r for r in self.records() if r.region == self.own.region]
        if not in_region:
            return False
        leader = min(in_region, key=lambda r: hash64(r.identity.incarnation))
        return leader.identity.incarnation == self.own_incarnation

    def is_chosen_for_turn(self, fingerprint: int, turn: int) -> bool:
        """Whether this instance is the one that may try a request in a turn, chosen by hash."""
        own = self.own_incarnation
        return own == max(
            {own, *self.record_by_incarnation},
            key=lambda incarnation: hash64(f"{fingerprint}\n{turn}\n{incarnation}"),
        )

    def store_readers(self, min_readers: int) -> list[InstanceRecord]:
        """Return the instances that read the store on behalf of all others.

        These are one instance of each region, chosen by hash, and as many further instances as it
        takes to have ``min_readers``.
        """
        return self._split_readers(min_readers)[0]

    def fallback_rank(self, min_readers: int) -> tuple[int, int]:
        """Return the position of this instance among the fallback readers, and their number.

        An instance that is not registered comes last.
        """
        others = self._split_readers(min_readers)[1]
        own = self.own_incarnation
        ranks = [i for i, r in enumerate(others) if r.identity.incarnation == own]
        return (ranks[0] if ranks else len(others)), len(others)

    def fallback_readers(self, min_readers: int) -> list[InstanceRecord]:
        """Return the instances that are no readers, in the order in which they take over.

        The first of each failure domain come before all others, which receive changes from them.
        """
        return self._split_readers(min_readers)[1]

    def _is_replaced_run(self, record: InstanceRecord) -> bool:
        """Whether a registration belongs to an earlier run at the peer address of this one."""
        own = self.own.identity
        other = record.identity
        return other.peer_address == own.peer_address and other.incarnation != own.incarnation

    def _split_readers(self, min_readers: int) -> tuple[list[InstanceRecord], list[InstanceRecord]]:
        """Return the readers, and the others in the order in which they take over from them."""
        known = self._split_by_min_readers.get(min_readers)
        if known is not None:
            return known
        not_leaving = self._not_leaving()
        current = self._ended_runs.current(r.identity for r in not_leaving.values())
        candidates = [
            record
            for incarnation, record in not_leaving.items()
            if incarnation in current and not self._is_replaced_run(record)
        ]
        records = sorted(candidates, key=lambda r: hash64(r.identity.incarnation))
        by_region: dict[str, InstanceRecord] = {}
        for record in records:
            by_region.setdefault(record.region, record)
        readers = list(by_region.values())
        for record in records:
            if len(readers) >= min_readers:
                break
            if record not in readers:
                readers.append(record)
        rest = [record for record in records if record not in readers]
        first_by_domain = {r.identity.failure_domain: r for r in reversed(rest)}
        first_incarnations = {r.identity.incarnation for r in first_by_domain.values()}
        others = sorted(rest, key=lambda r: r.identity.incarnation not in first_incarnations)
        self._split_by_min_readers[min_readers] = (readers, others)
        return readers, others
