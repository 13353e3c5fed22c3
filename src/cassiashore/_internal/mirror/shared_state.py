"""Publishes the state of this instance in the store, and applies what other instances publish.

Instances publish their registration and load under their lease. The leader of a region publishes
its load balancing decisions without a lease.
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
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.steering.active_instances import load_to_publish
from cassiashore._internal.steering.balance import DECISION_INTERVAL_SECONDS, RegionBalance
from cassiashore._internal.steering.registry import TargetRegistry
from cassiashore._internal.store.events import NO_LEASE, EventStore, Write

logger = logging.getLogger(__name__)

INSTANCE_PREFIX = "cassiashore/instances/"
LOAD_PREFIX = "cassiashore/load/"
BALANCE_PREFIX = "cassiashore/balance/"
LOAD_INTERVAL_SECONDS = 2.0  # about as long as callers cache a directory response


class SharedState:
    """Exchanges registrations, loads and decisions with the other instances."""

    def __init__(
        self,
        store: EventStore,
        registration: Registration,
        mirror: StoreMirror,
        instances: InstanceTable,
        registry: TargetRegistry,
        balance: RegionBalance,
        forwarder: Forwarder,
        decisions: DecisionLog,
    ) -> None:
        """Listen to the keys of other instances; ``coroutines`` returns the publishing tasks."""
        self.is_leaving = False
        self._store = store
        self._registration = registration
        self._mirror = mirror
        self._instances = instances
        self._registry = registry
        self._balance = balance
        self._forwarder = forwarder
        self._decisions = decisions
        self._published_balance = b""
        self._other_decision_at = float("-inf")
        mirror.listen(INSTANCE_PREFIX, instances.apply_registration)
        mirror.listen(LOAD_PREFIX, instances.apply_load)
        mirror.listen(BALANCE_PREFIX, self._balance_changed)
        instances.on_change = self._instance_changed

    def coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that have to run for the lifetime of the instance."""
        return [self._publish_load(), self._balance_regions()]

    def register(self) -> None:
        """Register this instance as ready for callers, unless it is shutting down."""
        if not self.is_leaving:
            key = INSTANCE_PREFIX + self._instances.own_incarnation
            self._registration.put(key, encode_record(self._instances.own))

    # Publishing.

    async def _publish_load(self) -> None:
        """Publish the rounded request rate, from which the active instances are selected."""
        key = LOAD_PREFIX + self._instances.own_incarnation
        published, previous_requests = 0.0, 0
        while True:
            await asyncio.sleep(LOAD_INTERVAL_SECONDS)
            load = load_to_publish(
                (self._forwarder.requests - previous_requests) / LOAD_INTERVAL_SECONDS, published
            )
            previous_requests = self._forwarder.requests
            if load != published and not self.is_leaving:
                published = load
                self._decisions.write("load", requests_per_s=round(load, 1))
                self._registration.put(key, msgspec.msgpack.encode(load) if load else None)

    async def _balance_regions(self) -> None:
        """Decide the share of its requests that the region keeps; the leader publishes it."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_SECONDS)
            decided = self._decide()
            if decided and self.may_decide(time.monotonic()):
                table = self._forwarder.table
                services = table.rule_by_service if table is not None else decided
                await self.publish_balance(self._balance.merged_decisions(decided, services))

    def may_decide(self, now: float) -> bool:
        """Return whether this instance may move keys of its region now.

        Instances with different lists may both be the leader. So the decision of another one counts
        like an own one: together they move one step in each interval.
        """
        if self.is_leaving or not self._instances.is_region_leader():
            return False
        return now - self._other_decision_at >= DECISION_INTERVAL_SECONDS

    def _decide(self) -> dict[str, float]:
        """Return the new shares of the services whose share should change."""
        now = time.monotonic()
        records = self._instances.records()
        in_region = sum(record.region == self._instances.own.region for record in records)
        decided: dict[str, float] = {}
        for service, targets in self._registry.targets_by_service.items():
            usable = [target for target in targets if target.accepts_requests]
            if not usable:
                continue
            self._balance.set_initial_share(service, usable, in_region, len(records))
            share = self._balance.decide(service, usable, now)
            if share is not None:
                decided[service] = share
        return decided

    async def publish_balance(self, share_by_service: dict[str, float]) -> None:
        """Write the shares of the region without a lease, so that they outlive all instances.

        After a restore of the store nothing is written before the mirror has its keys.
        """
        if not self._mirror.is_in_latest_era:
            return
        region = self._instances.own.region
        key = BALANCE_PREFIX + region
        current = self._mirror.item_by_key.get(key)
        revision = current.revision if current is not None else 0
        value = msgspec.msgpack.encode(share_by_service)
        self._published_balance = value
        outcome = await self._store.commit(
            {key: revision}, [Write(key, value, NO_LEASE)], era=self._mirror.era
        )
        self._decisions.write(
            "balance",
            own_share=share_by_service,
            region=region,
            after=revision,
            outcome="published" if isinstance(outcome, Ok) else str(outcome.err_value),
        )

    # Applying.

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
        if value != self._published_balance:
            self._other_decision_at = time.monotonic()
        try:
            self._balance.apply_decisions(msgspec.msgpack.decode(value, type=dict[str, float]))
        except DECODE_ERRORS as error:
            logger.warning('balance of region "%s" ignored: %s', region, error)
