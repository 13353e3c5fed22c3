"""What instances tell each other through the store: that they run, their load, and decisions.

All but a region's decision stands under the lease of the instance that tells it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Coroutine
from typing import Any

import msgspec
from result import Ok

from cassiashore._internal.ingress.forwarder import Forwarder
from cassiashore._internal.mirror.instances import InstanceTable, encode_record
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.registration import Registration
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.requests.poison import PoisonRegistry
from cassiashore._internal.steering.active_instances import load_to_publish
from cassiashore._internal.steering.balance import DECISION_INTERVAL_SECONDS, RegionBalance
from cassiashore._internal.steering.registry import TargetRegistry
from cassiashore._internal.store.events import NO_LEASE, EventStore, Write

logger = logging.getLogger(__name__)

INSTANCE_PREFIX = "cassiashore/instances/"
LOAD_PREFIX = "cassiashore/load/"
BALANCE_PREFIX = "cassiashore/balance/"
CRASH_PREFIX = "cassiashore/crashes/"
LOAD_SECONDS = 2.0  # callers keep the directory's answer about as long
CRASH_REPORT_SECONDS = (
    1.0  # a third of the time after which crashes must be contained; a write each
)


class SharedState:
    """Tells the others what this instance knows, and takes in what they tell."""

    def __init__(
        self,
        store: EventStore,
        registration: Registration,
        mirror: StoreMirror,
        instances: InstanceTable,
        registry: TargetRegistry,
        balance: RegionBalance,
        forwarder: Forwarder,
        poison: PoisonRegistry,
        decisions: DecisionLog,
    ) -> None:
        """Listen to what others tell; ``works`` tells them what happens here."""
        self.is_leaving = False
        self._store = store
        self._registration = registration
        self._mirror = mirror
        self._instances = instances
        self._registry = registry
        self._balance = balance
        self._forwarder = forwarder
        self._poison = poison
        self._decisions = decisions
        self._crashed = asyncio.Event()
        mirror.listen(INSTANCE_PREFIX, instances.changed)
        mirror.listen(LOAD_PREFIX, instances.load_changed)
        mirror.listen(BALANCE_PREFIX, self._balance_changed)
        mirror.listen(CRASH_PREFIX, self._crashes_changed)
        instances.on_change = self._instance_changed
        poison.on_crash = self._crashed.set

    def works(self) -> list[Coroutine[Any, Any, None]]:
        """Return what has to run as long as the instance does."""
        return [self._report_crashes(), self._tell_load(), self._balance_regions()]

    def register(self) -> None:
        """Tell that this instance takes callers, unless it leaves."""
        if not self.is_leaving:
            key = INSTANCE_PREFIX + self._instances.own_incarnation
            self._registration.put(key, encode_record(self._instances.own))

    # Telling.

    async def _report_crashes(self) -> None:
        """Tell of lost connections in groups: a target that fails loses many at once."""
        key = CRASH_PREFIX + self._instances.own_incarnation
        while True:
            await self._crashed.wait()
            self._crashed.clear()
            counts = self._poison.own_counts()
            self._registration.put(key, msgspec.msgpack.encode(counts) if counts else None)
            await asyncio.sleep(CRASH_REPORT_SECONDS)

    async def _tell_load(self) -> None:
        """Tell the requests a second that come here, in steps, for the choice of carriers."""
        key = LOAD_PREFIX + self._instances.own_incarnation
        told, before = 0.0, 0
        while True:
            await asyncio.sleep(LOAD_SECONDS)
            load = load_to_publish((self._forwarder.requests - before) / LOAD_SECONDS, told)
            before = self._forwarder.requests
            if load != told and not self.is_leaving:
                told = load
                self._decisions.write("load", requests_per_s=round(load, 1))
                self._registration.put(key, msgspec.msgpack.encode(load) if load else None)

    async def _balance_regions(self) -> None:
        """Compare the load of the regions; the region's first instance by hash decides."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_SECONDS)
            decided = self._decide()
            if decided and self._instances.decides_for_region() and not self.is_leaving:
                table = self._forwarder.table
                services = table.rule_by_service if table is not None else decided
                await self.publish_balance(self._balance.merged_decisions(decided, services))

    def _decide(self) -> dict[str, float]:
        """Return the shares that should change, by service."""
        now = time.monotonic()
        records = self._instances.records()
        here = sum(record.region == self._instances.own.region for record in records)
        decided: dict[str, float] = {}
        for service, targets in self._registry.targets_by_service.items():
            usable = [target for target in targets if target.accepts_requests]
            if not usable:
                continue
            self._balance.set_initial_share(service, usable, here, len(records))
            share = self._balance.decide(service, usable, now)
            if share is not None:
                decided[service] = share
        return decided

    async def publish_balance(self, share_by_service: dict[str, float]) -> None:
        """Write the region's shares without a lease, so that they outlast all instances."""
        region = self._instances.own.region
        key = BALANCE_PREFIX + region
        known = self._mirror.item_by_key.get(key)
        revision = known.revision if known is not None else 0
        value = msgspec.msgpack.encode(share_by_service)
        outcome = await self._store.commit({key: revision}, [Write(key, value, NO_LEASE)])
        self._decisions.write(
            "balance",
            own_share=share_by_service,
            region=region,
            after=revision,
            outcome="published" if isinstance(outcome, Ok) else str(outcome.err_value),
        )

    # Taking in.

    def _instance_changed(self, what: str, incarnation: str) -> None:
        self._decisions.write(
            "instance",
            what=what,
            incarnation=incarnation,
            revision=self._mirror.revision,
            known=self._instances.count(),
        )

    def _balance_changed(self, region: str, value: bytes | None) -> None:
        if value is None or region != self._instances.own.region:
            return
        try:
            self._balance.apply_decisions(msgspec.msgpack.decode(value, type=dict[str, float]))
        except msgspec.DecodeError as error:
            logger.warning('balance of region "%s" ignored: %s', region, error)

    def _crashes_changed(self, incarnation: str, value: bytes | None) -> None:
        if incarnation == self._instances.own_incarnation:
            return
        self._poison.forget_origin(incarnation)
        if value is None:
            return
        try:
            counts = msgspec.msgpack.decode(value, type=dict[int, int])
        except msgspec.DecodeError as error:
            logger.warning('crash report of "%s" ignored: %s', incarnation, error)
            return
        self._poison.merge_report(incarnation, counts)
