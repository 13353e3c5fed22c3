"""Composition root of an instance on the users' platform."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import time
from collections.abc import Callable, Sequence

from result import Ok

from cassiashore._internal.ingress.connection_limit import (
    ConnectionLimit,
    descriptor_shares,
)
from cassiashore._internal.ingress.forwarder import Forwarder
from cassiashore._internal.ingress.memory_budget import MemoryBudget, budget_bytes
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.ingress.server import IngressServer
from cassiashore._internal.ingress.stop_schedule import NOTICE_SECONDS, REFUSE_SHARE, StopSchedule
from cassiashore._internal.ingress.target_admission import TargetAdmission
from cassiashore._internal.mirror.crash_reports import CrashReportExchange
from cassiashore._internal.mirror.distance_probe import DistanceProbe
from cassiashore._internal.mirror.feed_health import FeedState
from cassiashore._internal.mirror.follower import StoreFollower
from cassiashore._internal.mirror.instances import InstanceRecord, InstanceTable
from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.registration import Registration
from cassiashore._internal.mirror.relay import FeedRelay
from cassiashore._internal.mirror.shared_state import SharedState
from cassiashore._internal.mirror.workspace_demand import WorkspaceDemandExchange
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.incarnation import new_incarnation
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.observability.logs import DecisionLog, LogPipeline
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.peers.messages import Identity, RenewalRequest
from cassiashore._internal.requests.poison import LossCount, PoisonRegistry
from cassiashore._internal.steering.active_instances import InstanceInfo, capacity_of
from cassiashore._internal.steering.balance import RegionBalance
from cassiashore._internal.steering.cold import ColdAdmission
from cassiashore._internal.steering.directory import instances_for_caller
from cassiashore._internal.steering.distance import RegionDistances
from cassiashore._internal.steering.placement import Placement
from cassiashore._internal.steering.registry import TargetRegistry
from cassiashore._internal.steering.retry_budget import WindowedRetryBudget
from cassiashore._internal.steering.routes import IngressLimits
from cassiashore._internal.steering.senders import MAX_CONNECTIONS_PER_TARGET, RecentInstances
from cassiashore._internal.steering.target_limits import TargetRateLimits
from cassiashore._internal.steering.workspace_limits import QuotaTerms, WorkspaceLimits
from cassiashore._internal.supervision import TaskSet
from cassiashore.platform.changes import StoreChangeHandler
from cassiashore.platform.endpoints import Endpoints
from cassiashore.platform.settings import PlatformSettings, read_settings
from cassiashore.platform.store import PlatformStore
from cassiashore.platform.wire import (
    EDGE_HEADERS,
)

logger = logging.getLogger(__name__)

# How long the directory may still list an instance that has ended, beyond the stable window.
ENDED_INSTANCE_LISTED_SECONDS = 3.0
# The part of that time in which the end of a lease is read, relayed and applied.
LEASE_END_PROPAGATION_SECONDS = 1.5
DIRECTORY_TTL_SECONDS = 2.0  # bounds how long callers use an instance that has ended
METRICS_BACKLOG = 16  # the platform reads metrics with one client
POISON_CRASH_LIMIT = 3  # consecutive losses after which a request is not sent to any target
SETTINGS_POLL_SECONDS = 2.0  # settings may change without a signal
MAINTENANCE_INTERVAL_SECONDS = 5.0  # half of the idle time after which targets close connections
INSTANCE_POLL_SECONDS = 0.5  # a fifth of the time after which an instance uses parts of limits
STOP_POLL_SECONDS = 0.05  # a hundredth of the grace period, so that polling wastes little of it
CONFIGURATION_WAIT_SECONDS = 1.5  # at start, before callers are refused for lack of one
CONFIGURATION_POLL_SECONDS = 0.01  # the first copy arrives within some tens of milliseconds
PEER_KEY = b"cassiashore"  # the platform provides no secret; see docs/SECURITY.md
DEFAULT_LIMITS = IngressLimits()  # used until a configuration is in force


class PlatformNode:
    """One instance. ``start`` starts it or raises; ``stop`` shuts it down gracefully."""

    def __init__(
        self, settings: PlatformSettings, path: str, metrics_port: int | None, logs: LogPipeline
    ) -> None:
        """Build all components and connect them."""
        machine, listen = settings.machine, settings.network.listen
        self.settings = settings
        self._path = path
        self._metrics_port = metrics_port
        self._logs = logs
        self._last_read_settings = settings
        self._is_stopping = False
        self.tasks = TaskSet()
        self._rng = random.Random()
        identity = Identity(
            machine.node_name,
            new_incarnation(),
            machine.zone,
            listen.front or "",
            listen.control or f"{_host_of(settings)}:{settings.network.internal_ports[0]}",
        )
        limits = machine.limits
        capacity = capacity_of(limits.cpu_share * limits.cores, limits.link_mbps)
        self.own = InstanceRecord(identity, machine.region, capacity)
        self._decisions = DecisionLog()
        self._metrics = Metrics()
        self._build_state(settings)
        self._build_store(settings)
        self._build_servers(settings)
        self._build_shared_state()

    # Construction.

    def _build_state(self, settings: PlatformSettings) -> None:
        self.mirror = StoreMirror(time.monotonic)
        self.instances = InstanceTable(self.own)
        self.distances = RegionDistances(self.own.region)
        zones = dict(settings.network.zones)
        self.registry = TargetRegistry(zones, self._make_pool, time.monotonic)
        self.balance = RegionBalance(self.own.region)
        self.placement = Placement(
            self.registry, self.distances, self.balance, self.own.region, time.monotonic
        )
        self.poison = PoisonRegistry(limit=POISON_CRASH_LIMIT)
        self.poison.on_decision = self._log_poison_decision
        self.poison.is_own_turn = self.instances.is_chosen_for_turn
        self.recent = self._follow_list(self.instances.registered)
        self.recent_active = self._follow_list(
            lambda: self.instances.active_instances(without_own=False)
        )
        self.target_limits = TargetRateLimits(
            self.instances.own_incarnation, self.recent_active.instances, time.monotonic, self._rng
        )
        bounds = settings.terms.bounds
        self.cold = ColdAdmission(
            self.instances.own_incarnation,
            self.recent_active.instances,
            time.monotonic,
            bounds.cold_overshoot,
            bounds.cold_slack,
        )
        admission = TargetAdmission(
            self.cold, self.target_limits, self.recent.count, EDGE_HEADERS, self._decisions
        )
        self.forwarder = Forwarder(
            EDGE_HEADERS,
            self.registry,
            self.placement,
            self.distances,
            admission,
            self.poison,
            self._make_budget,
            self._decisions,
            self._metrics,
            self._rng,
        )

        terms = QuotaTerms(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack)
        self.forwarder.workspace_limits = WorkspaceLimits(
            self.instances.own_incarnation,
            self.recent_active.instances,
            time.monotonic,
            terms,
            self._is_isolated,
            self.instances.count,
            self.recent.instances,
            lambda: len(self.instances.active_instances(without_own=False)),
        )
        self.workspace_limits = self.forwarder.workspace_limits

    def _build_store(self, settings: PlatformSettings) -> None:
        access = settings.platform.platform
        self.store = PlatformStore(Address.parse(access.address))
        self.store.on_era = self.mirror.record_era
        stable_window = settings.terms.bounds.stable_window_s
        lease_seconds = max(
            stable_window + ENDED_INSTANCE_LISTED_SECONDS - LEASE_END_PROPAGATION_SECONDS,
            access.ttl_min_s,
        )
        self.registration = Registration(self.store, self.mirror, lease_seconds)
        seeds = [Address.parse(seed) for seed in settings.network.seeds]
        own = self.own.identity
        self.relay = FeedRelay(
            own,
            PEER_KEY,
            self.mirror,
            self.instances,
            self.poison,
            seeds,
            self.distances.round_trip,
        )
        is_seed = own.peer_address in settings.network.seeds or not seeds
        self.follower = StoreFollower(
            self.store,
            self.mirror,
            self.instances,
            self.relay.freshness.feed,
            is_seed,
            self._rng,
        )
        self.relay.freshness.is_failing = lambda: self.follower.is_failing
        self.relay.freshness.has_store_access = lambda: self.follower.has_store_access
        self.relay.is_fallback_reader = self.relay.freshness.is_fallback_reader = (
            lambda: self.follower.is_fallback_reader and self.follower.has_store_access
        )
        self.relay.renewals.renew = self._renew_for_peer
        self.registration.store_is_unreachable = self._is_store_unreachable
        self.registration.renew_via_peer = self.relay.renew_via_peer
        self._probe = DistanceProbe(self.instances, self.distances, self._rng)

    def _is_store_unreachable(self) -> bool:
        """Tell whether the store fails for the instances that read it, this one or others."""
        state, _ = self.relay.freshness.feed.state()
        if self.follower.is_reading:
            return self.follower.is_failing and state is not FeedState.CURRENT
        return state is FeedState.FAILING

    def _is_isolated(self) -> bool:
        """Tell whether this instance reaches neither the store nor an instance that follows it."""
        state, _ = self.relay.freshness.feed.state()
        return state is FeedState.SILENT and not self.follower.has_store_access

    async def _renew_for_peer(self, wanted: RenewalRequest) -> bool:
        """Renew a peer's lease: through an instance that reads the store, else by an own call.

        After a restore, the id of a lease of an earlier era may belong to another instance.
        """
        may_ask_readers = wanted.may_forward and not self.follower.is_reading
        if may_ask_readers and await self.relay.renew_via_peer(
            wanted.lease_id, may_forward=False, era=wanted.era
        ):
            return True
        if self._is_store_unreachable() or self.follower.is_failing or self._is_over(wanted.era):
            return False
        renewed = await self.store.renew_lease(wanted.lease_id)
        return isinstance(renewed, Ok) and not self._is_over(wanted.era)

    def _is_over(self, era: int | None) -> bool:
        """Tell whether an era named by another instance has ended; earlier releases name none."""
        return era is not None and era < self.mirror.latest_era

    def _build_servers(self, settings: PlatformSettings) -> None:
        ttl = min(DIRECTORY_TTL_SECONDS, settings.terms.bounds.ttl_max_s)
        endpoints = Endpoints(self.is_ready, self.resolve, ttl)
        budget = MemoryBudget(budget_bytes(settings.machine.limits.memory_mb))
        shares = descriptor_shares(settings.machine.limits.max_fds)
        self._shares = shares
        self.front = IngressServer(
            self.forwarder.handle, self._limits, budget, ConnectionLimit(shares.front)
        )
        # Else the platform would take an instance that is only short of memory for one that ended.
        self._readiness_server = IngressServer(
            endpoints.ready,
            IngressLimits,
            budget,
            ConnectionLimit(shares.readiness),
            serves_without_memory=True,
        )
        self._directory_server = IngressServer(
            endpoints.directory, IngressLimits, budget, ConnectionLimit(shares.directory)
        )
        self._metrics_server = IngressServer(self._serve_metrics, IngressLimits)

    def _build_shared_state(self) -> None:
        self._change_handler = StoreChangeHandler(
            self.mirror,
            self.registry,
            self.forwarder,
            self.placement,
            self.cold,
            self.target_limits,
            self.relay.configurations,
            self._decisions,
        )
        self.shared = SharedState(
            self.store,
            self.registration,
            self.mirror,
            self.instances,
            self.registry,
            self.balance,
            self.forwarder,
            self._decisions,
        )
        self.crash_reports = CrashReportExchange(
            self.store, self.mirror, self.instances, self.poison, self._decisions
        )
        self.workspace_demand = WorkspaceDemandExchange(
            self.registration,
            self.mirror,
            self.instances.own_incarnation,
            self.workspace_limits,
            self._decisions,
        )
        self.crash_reports.broadcast = self.relay.broadcast_crash_reports
        self.crash_reports.store_is_unreachable = self._is_store_unreachable

    # Life cycle.

    async def start(self) -> None:
        """Listen and start all tasks; raise ``OSError`` when an address is in use."""
        listen = self.settings.network.listen
        await _listen(self._readiness_server, listen.ready, self._shares.other_backlog)
        await _listen(self._directory_server, listen.directory, self._shares.other_backlog)
        if self._metrics_port is not None:
            await self._metrics_server.listen(
                _host_of(self.settings), self._metrics_port, METRICS_BACKLOG
            )
        await self.relay.listen(Address.parse(self.own.identity.peer_address))
        for work in (
            self.follower.run(),
            self.relay.run(),
            self.registration.run(),
            self._probe.run(),
            self._register_when_ready(),
            self._watch_settings(),
            self._maintain(),
            self._follow_instances(),
            self.crash_reports.run(),
            self.workspace_demand.run(),
            *self.shared.coroutines(),
        ):
            self.tasks.spawn(work)
        await self._wait_for_configuration()
        await _listen(self.front, listen.front, self._shares.front_backlog)
        gc.collect()
        gc.freeze()
        logger.info(
            "instance %s (%s) started", self.own.identity.instance, self.own.identity.incarnation
        )

    async def stop(self) -> None:
        """Stop in two stages within the grace period.

        First the instance withdraws its registration and reports that it is not ready, but still
        serves requests. Then it refuses new requests (see ``StopSchedule``) and waits for those in
        flight.
        """
        grace = self.settings.terms.bounds.grace_s
        stop = StopSchedule(time.monotonic(), grace)
        self.forwarder.stop_schedule = stop
        self._is_stopping = True
        self.shared.is_leaving = self.workspace_demand.is_leaving = True
        self.front.is_draining = True
        logger.info("instance %s stops within %g s", self.own.identity.instance, grace)
        self._withdraw_task = asyncio.create_task(self._withdraw())
        await asyncio.sleep(min(NOTICE_SECONDS, grace * REFUSE_SHARE))
        while time.monotonic() < stop.ends_at:
            if stop.refuses_all(time.monotonic()):
                self.front.stop_listening()
                if self.front.in_flight == 0:
                    break
            await asyncio.sleep(STOP_POLL_SECONDS)
        self.front.close_idle()
        if self.front.in_flight:
            logger.warning("stopping cuts off %d requests", self.front.in_flight)
        await asyncio.sleep(STOP_POLL_SECONDS)
        await self.tasks.cancel()
        self.relay.close()
        self.store.close()
        logger.info("instance %s stopped", self.own.identity.instance)

    async def _withdraw(self) -> None:
        """Remove the registration; if the store cannot be reached, notify the peers instead."""
        if not await self.registration.withdraw(calls_store=not self._is_store_unreachable()):
            self.relay.announce_leaving()

    async def _register_when_ready(self) -> None:
        while self.forwarder.table is None:
            await asyncio.sleep(STOP_POLL_SECONDS)
        self.shared.register()

    async def _wait_for_configuration(self) -> None:
        """Wait briefly before listening: without a configuration, requests would be refused."""
        deadline = time.monotonic() + CONFIGURATION_WAIT_SECONDS
        while self.forwarder.table is None and time.monotonic() < deadline:
            await asyncio.sleep(CONFIGURATION_POLL_SECONDS)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            self.reload(signalled=False)

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            self._decisions.write("store-calls", **self.store.calls_by_kind)
            for target in self.registry.target_by_id.values():
                target.pool.close_stale()

    async def _follow_instances(self) -> None:
        while True:
            self.recent.update()
            self.recent_active.update()
            self.workspace_limits.update()
            await asyncio.sleep(INSTANCE_POLL_SECONDS)

    def reload(self, *, signalled: bool) -> None:
        """Read the settings again; keep the current ones if the file is invalid."""
        try:
            settings = read_settings(self._path)
        except Exception as error:
            logger.error("settings not reloaded: %s", error)
            return
        if settings == self._last_read_settings:
            if signalled:
                logger.info("settings unchanged")
            return
        self._last_read_settings = settings
        self.registry.region_by_failure_domain.update(settings.network.zones)
        self.settings = settings
        logger.info("settings reloaded")

    def _log_poison_decision(self, what: str, fingerprint: int, count: LossCount) -> None:
        self._decisions.write(
            "poison",
            what=what,
            fingerprint=f"{fingerprint:016x}",
            epoch=count.epoch,
            losses=count.losses,
        )

    # Queries.

    def is_ready(self) -> bool:
        """Tell whether a configuration is in force and the instance is not stopping."""
        return self.forwarder.table is not None and not self._is_stopping

    def resolve(self, host: str, region: str, failure_domain: str) -> list[str]:
        """Return the addresses of the instances that a caller should use."""
        table = self.forwarder.table
        if table is None:
            return []
        home_regions = table.home_regions_of(host)
        active_instances = self.instances.active_instances(without_own=self._is_stopping)
        chosen_instances = instances_for_caller(
            region,
            failure_domain,
            home_regions,
            active_instances,
            self.distances.round_trip,
            self._rng,
        )
        return [active_instance.address for active_instance in chosen_instances]

    async def _serve_metrics(self, request: IngressRequest, responder: Responder) -> None:
        from prometheus_client import generate_latest

        self._metrics.store_calls.set(self.store.calls)
        dropped = self._logs.handler.dropped + self._decisions.suppressed
        self._metrics.log_lines_dropped.set(dropped)
        targets = self.registry.target_by_id.values()
        self._metrics.limited_targets.set(sum(t.rate_limit is not None for t in targets))
        table = self.forwarder.table
        self._metrics.version.set(table.version if table else 0)
        body = generate_latest(self._metrics.registry)
        responder.send_response(200, [(b"content-type", b"text/plain; version=0.0.4")], body)

    def _limits(self) -> IngressLimits:
        table = self.forwarder.table
        return table.limits if table is not None else DEFAULT_LIMITS

    def _follow_list(self, listed: Callable[[], Sequence[InstanceInfo]]) -> RecentInstances:
        own = self.instances.own_incarnation
        return RecentInstances(own, listed, self._is_isolated, time.monotonic)

    def _make_pool(self, address: Address) -> ConnectionPool:
        return ConnectionPool(address, MAX_CONNECTIONS_PER_TARGET)

    def _make_budget(self) -> WindowedRetryBudget:
        bounds = self.settings.terms.bounds
        return WindowedRetryBudget(
            bounds.retry_budget_ratio,
            bounds.retry_budget_slack,
            bounds.budget_window_s,
            self.recent.count,
            time.monotonic,
        )


async def _listen(server: IngressServer, address: str | None, backlog: int) -> None:
    if address is not None:
        where = Address.parse(address)
        await server.listen(where.host, where.port, backlog)


def _host_of(settings: PlatformSettings) -> str:
    listen = settings.network.listen
    for address in (listen.front, listen.ready, listen.control, listen.directory):
        if address is not None:
            return Address.parse(address).host
    return "0.0.0.0"
