"""Composition root of an instance: builds, connects, starts and stops its components."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import Any

from prometheus_client import CollectorRegistry
from result import Ok, Result

from cassiashore._internal.admission.pause import PauseGuard
from cassiashore._internal.admission.rights import AdmissionRights
from cassiashore._internal.admission.shift import LinkRateLimiter, ShiftLimiter
from cassiashore._internal.admission.slots import ServiceSlots
from cassiashore._internal.catalogue.follower import CatalogueFollower
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.catalogue.manifest import Bundle, Manifest
from cassiashore._internal.catalogue.publisher import PublishFault, publish, read_manifest
from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.catalogue.versioned import VersionedCatalogue
from cassiashore._internal.dns.server import DnsServer
from cassiashore._internal.entry.cluster import Cluster
from cassiashore._internal.entry.prober import TargetProber
from cassiashore._internal.entry.status import describe
from cassiashore._internal.http.api import build_api
from cassiashore._internal.http.guard import guarded_protocol
from cassiashore._internal.http.server import HttpServer
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.incarnation import new_incarnation
from cassiashore._internal.observability.logs import DecisionLog, LogPipeline
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.peers.gossip import Gossip, OwnState
from cassiashore._internal.peers.membership import Membership
from cassiashore._internal.peers.messages import Identity, ServiceLoad
from cassiashore._internal.proxy.handler import PATH_PREFIX, ProxyHandler
from cassiashore._internal.proxy.runner import RequestRunner, ServiceRuntime
from cassiashore._internal.requests.claims import ClaimRegistrar
from cassiashore._internal.requests.ledger import KeyLedger
from cassiashore._internal.requests.poison import PoisonRegistry
from cassiashore._internal.requests.retry import RetryBudget
from cassiashore._internal.routing.domains import DomainTable
from cassiashore._internal.routing.finder import PlaceFinder
from cassiashore._internal.routing.lookup import LookupAnswer, LookupService
from cassiashore._internal.routing.policies import policy_by_name
from cassiashore._internal.settings import EntrySettings, read_key
from cassiashore._internal.store.client import StoreClient, StoreFault
from cassiashore._internal.supervision import TaskSet

logger = logging.getLogger(__name__)

LOAD_CACHE_SECONDS = 0.02  # loads change with every request, too often to recompute each time
STOP_POLL_SECONDS = 0.02  # short against a stop, which takes seconds
LEAVE_NOTICE_SECONDS = 0.5  # the heartbeat interval, within which members are notified
DEFAULT_STOP_SECONDS = 30.0  # longer than the longest request deadline
DEFAULT_POLICY = "adaptive"


class EntryNode:
    """One instance. ``start`` starts all of it or raises; ``stop`` shuts it down gracefully."""

    def __init__(self, settings: EntrySettings, logs: LogPipeline) -> None:
        """Build all components; raise ``InvalidFileError`` if a key file is unusable."""
        peer_key = read_key(settings.peer_key_file, "peer_key_file")
        operator_key = read_key(settings.operator_key_file, "operator_key_file")
        self.settings = settings
        self.own = Identity(
            settings.instance,
            new_incarnation(),
            settings.failure_domain,
            settings.listen,
            settings.peer_listen,
        )
        self.metrics = Metrics()
        self._logs = logs
        self._started_at = time.monotonic()
        self._rng = random.Random(self.own.incarnation)
        self._decisions = DecisionLog()
        self._loads: list[ServiceLoad] = []
        self._loads_at = float("-inf")
        self.tasks = TaskSet()
        self._is_stopping = False
        self._build_state(settings)
        self._build_cluster(settings, peer_key)
        self._build_data_path(settings, peer_key, operator_key)
        self._connect_listeners()

    # Construction.

    def _build_state(self, settings: EntrySettings) -> None:
        self.versioned_catalogue = VersionedCatalogue()
        self.guard = PauseGuard(settings.peers.pause_ms / 1000)
        self.rights = AdmissionRights(self.own.incarnation, self._in_flight_of)
        self.membership = Membership(self.own, settings.peers.suspect_ms / 1000)
        self.domains = DomainTable(settings.failure_domain)
        self.shift = ShiftLimiter(self.rights, settings.failure_domain, time.monotonic)
        self.link_limiter = LinkRateLimiter(time.monotonic)
        self.poison = PoisonRegistry()
        store_timeout = settings.store.timeout_ms / 1000
        self.store = StoreClient(Address.parse(settings.store.address), store_timeout)

    def _build_cluster(self, settings: EntrySettings, peer_key: bytes) -> None:
        self.cluster = Cluster(
            self.own,
            peer_key,
            self.membership,
            self.versioned_catalogue,
            self.rights,
            self.poison,
            self.store,
            settings.peers,
            settings.store,
            [Address.parse(seed) for seed in settings.seeds],
            self._decisions,
            time.monotonic,
        )
        gossip = Gossip(
            self.membership,
            self.domains,
            self.cluster.mesh,
            self.own_state,
            time.monotonic,
            self._rng,
        )
        self.cluster.attach(gossip, self._update_leaving_addresses)
        self.follower = CatalogueFollower(
            self.store,
            self.versioned_catalogue,
            settings.store.watch_seconds,
            self.cluster.is_watcher,
            self._rng,
        )

    def _build_data_path(
        self, settings: EntrySettings, peer_key: bytes, operator_key: bytes
    ) -> None:
        requests = settings.requests
        finder = PlaceFinder(self.own, self.membership, self.domains, time.monotonic, self._rng)
        self.runner = RequestRunner(
            self.own,
            finder,
            self.shift,
            self.link_limiter,
            self.poison,
            self._decisions,
            self.metrics,
            peer_key,
        )
        self.lookups = LookupService(
            self.own, self.own_state, self.membership, self.domains, time.monotonic, self._rng
        )
        self.ledger = KeyLedger(self.key_slot, requests.key_slots_kept, requests.max_keys)
        claims = ClaimRegistrar(self.store, self.own.incarnation, requests.claims_per_second)
        self.proxy = ProxyHandler(
            self.own,
            self.versioned_catalogue,
            self.runner,
            self.ledger,
            claims,
            finder,
            self.lookups,
            self.metrics,
            peer_key,
            requests.body_idle_seconds,
            self.is_ready,
            self.key_slot,
        )
        self._api = build_api(self, operator_key)
        protocol = guarded_protocol(
            requests.max_header_bytes, requests.header_seconds, requests.max_connections
        )
        self._http = HttpServer(self._dispatch, Address.parse(settings.listen), protocol)
        self._dns = DnsServer(self.look_up_dns, self.is_ready)
        self._prober = TargetProber(self.runner.runtime_by_service, self.rights)

    def _connect_listeners(self) -> None:
        self.guard.on_pause(self._handle_pause)
        self.poison.on_change = self.cluster.broadcast_crash_report
        self.versioned_catalogue.subscribe(self._apply_catalogue)

    # Life cycle.

    async def start(self) -> None:
        """Listen and start all tasks; raise ``OSError`` if an address is in use."""
        await self._api.start()  # type: ignore[no-untyped-call]
        await self.cluster.mesh.listen(Address.parse(self.settings.peer_listen))
        await self._http.start()
        if self.settings.dns_listen is not None:
            await self._dns.start(Address.parse(self.settings.dns_listen))
        for work in (
            self.guard.run(),
            self.follower.run(),
            self.cluster.run_heartbeats(),
            self.cluster.run_rights_manager(),
            self.cluster.run_digests(),
            self.cluster.run_instance_list(),
            self.cluster.run_registration(),
            self._prober.run(),
        ):
            self.tasks.spawn(work)
        logger.info("instance %s (%s) started", self.own.instance, self.own.incarnation)

    async def stop(self, seconds: float = DEFAULT_STOP_SECONDS) -> None:
        """Shut down in stages within ``seconds``; log the requests that are cut off after that.

        First, look-ups no longer return this instance and its rights are handed over; it still
        forwards requests of callers that cached an earlier look-up answer. When those answers have
        expired, it stops listening and waits for the requests in flight.
        """
        deadline = time.monotonic() + seconds
        self._is_stopping = True
        self.cluster.leave()
        await self._wait_for_cached_lookups(deadline)
        closing = asyncio.create_task(self._http.stop())
        while time.monotonic() < deadline:
            self.cluster.rights_manager.step()
            if closing.done() and not self._may_hand_over():
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        if self.proxy.in_flight:
            logger.warning("stopping cuts off %d requests", self.proxy.in_flight)
        closing.cancel()
        self.cluster.say_goodbye()
        await self.tasks.cancel()
        await asyncio.gather(closing, return_exceptions=True)
        self._dns.stop()
        await self.cluster.mesh.close()
        self.runner.close()
        self.store.close()
        logger.info("instance %s stopped", self.own.instance)

    async def _wait_for_cached_lookups(self, deadline: float) -> None:
        catalogue = self.versioned_catalogue.catalogue
        ttl = catalogue.lookup.ttl_seconds if catalogue else 0
        until = min(deadline, time.monotonic() + ttl + LEAVE_NOTICE_SECONDS)
        while time.monotonic() < until:
            self.cluster.rights_manager.step()
            await asyncio.sleep(STOP_POLL_SECONDS)

    def _may_hand_over(self) -> bool:
        alive = [m for m in self.membership.alive() if m.ready and not m.leaving]
        return bool(alive) and bool(self.rights.held())

    # Queries and operations.

    def key_slot(self) -> int:
        """Return the current time slot of request keys."""
        elapsed = time.monotonic() - self._started_at
        return int(elapsed / self.settings.requests.key_slot_seconds)

    def is_ready(self) -> bool:
        """Return whether a catalogue is active."""
        return self.versioned_catalogue.catalogue is not None

    def own_state(self) -> OwnState:
        """Describe this instance for heartbeats and look-ups."""
        catalogue = self.versioned_catalogue.catalogue
        draining = catalogue is not None and catalogue.instance_is_draining(
            self.own.instance, self.own.failure_domain
        )
        return OwnState(
            leaving=self._is_stopping or draining,
            ready=self.is_ready(),
            synchronized=self.cluster.rights_manager.is_synchronized(),
            version=self.versioned_catalogue.version,
            key_slot=self.key_slot(),
            rights_revision=self.rights.revision,
            loads=self._current_loads(),
        )

    def look_up(self, service: str, client: str) -> LookupAnswer | None:
        """Answer a look-up over HTTP."""
        self.metrics.lookups.labels("http").inc()
        return self._look_up(service, client)

    def look_up_dns(self, service: str, client: str) -> LookupAnswer | None:
        """Answer a look-up over DNS."""
        self.metrics.lookups.labels("dns").inc()
        return self._look_up(service, client)

    def _look_up(self, service: str, client: str) -> LookupAnswer | None:
        answer = self.lookups.answer(service, client)
        if answer is not None:
            self._decisions.write(
                "lookup",
                service=service,
                client=client,
                version=answer.version,
                region=answer.region,
                reason=answer.reason,
                instances=[x.instance for x in answer.instances],
            )
        return answer

    def bundle(self) -> Bundle | None:
        """Return the active catalogue as a bundle."""
        return self.versioned_catalogue.bundle

    async def publish(
        self, spec: CatalogueSpec, base: int, change_id: str, author: str
    ) -> Result[Manifest, PublishFault]:
        """Publish an operator's change."""
        outcome = await publish(self.store, spec, base, change_id, author)
        self._decisions.write(
            "publish",
            base=base,
            change=change_id,
            author=author,
            verdict="accepted" if isinstance(outcome, Ok) else outcome.err_value.verdict.value,
        )
        return outcome

    async def history(self) -> Result[Manifest | None, StoreFault]:
        """Read the current manifest from the store."""
        read = await read_manifest(self.store)
        return read.map(lambda pair: pair[0])

    def metrics_registry(self) -> CollectorRegistry:
        """Update the gauges and return the registry."""
        metrics = self.metrics
        metrics.version.set(self.versioned_catalogue.version)
        metrics.store_calls.set(self.store.calls)
        metrics.control_bytes.set(self.cluster.mesh.bytes_out())
        metrics.control_messages.set(self.cluster.mesh.messages_out())
        metrics.log_lines_dropped.set(self._logs.handler.dropped)
        for load in self._current_loads():
            metrics.slots.labels(load.service, "free").set(load.free)
            metrics.slots.labels(load.service, "total").set(load.total)
        return metrics.registry

    def status(self) -> dict[str, Any]:
        """Return the status report for operators."""
        return describe(self)

    # Event handlers.

    async def _dispatch(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http" and scope["path"].startswith(PATH_PREFIX):
            await self.proxy(scope, receive, send)
        else:
            await self._api(scope, receive, send)

    def _apply_catalogue(self, catalogue: Catalogue) -> None:
        """Apply a catalogue to all components, in one iteration of the event loop."""
        self.runner.catalogue = catalogue
        self.lookups.catalogue = catalogue
        self.cluster.rights_manager.update(catalogue)
        self.shift.update(catalogue)
        self._update_services(catalogue)
        self._loads_at = float("-inf")
        self._set_link_rates(catalogue)
        self._decisions.write("activate", version=catalogue.version)
        self.cluster.announce_catalogue()

    def _update_services(self, catalogue: Catalogue) -> None:
        """Create and update the runtimes of services; delete those of removed services."""
        runtimes = self.runner.runtime_by_service
        for name in [n for n in runtimes if n not in catalogue.service_by_name]:
            del runtimes[name]
        for name, service in catalogue.service_by_name.items():
            runtime = runtimes.get(name)
            factory = policy_by_name.get(service.policy, policy_by_name[DEFAULT_POLICY])
            policy = factory(self._rng)
            if runtime is None:
                slots = ServiceSlots(
                    self.rights, self.guard.check, time.monotonic, policy.choose_target
                )
                runtime = ServiceRuntime(slots, policy, RetryBudget(service.retry_share))
                runtimes[name] = runtime
            runtime.policy = policy
            runtime.slots.choose = policy.choose_target
            runtime.slots.update(service, catalogue, self.own.failure_domain)

    def _set_link_rates(self, catalogue: Catalogue) -> None:
        own_region = catalogue.region_by_failure_domain.get(self.own.failure_domain)
        held = set(self.rights.right_by_target)
        held_slots = region_slots = 0
        for service in catalogue.service_by_name.values():
            for target in service.target_by_name.values():
                if catalogue.region_by_failure_domain[target.failure_domain] != own_region:
                    continue
                region_slots += target.slots
                held_slots += target.slots if target.key in held else 0
        share = held_slots / region_slots if region_slots else 0.0
        self.link_limiter.set_rate(catalogue.link_bytes_per_second, share)

    def _update_leaving_addresses(self, addresses: frozenset[str]) -> None:
        for runtime in self.runner.runtime_by_service.values():
            for state in runtime.slots.state_by_target.values():
                state.listed_as_leaving = str(state.target.address) in addresses

    def _handle_pause(self, seconds: float) -> None:
        """Drop all rights, so that no decision relies on state from before the pause."""
        self.metrics.pauses.inc()
        self.cluster.reset_after_pause(time.monotonic())
        self._decisions.write("paused", seconds=round(seconds, 3))

    def _in_flight_of(self, target_key: str) -> int:
        service, _, _ = target_key.partition("/")
        runtime = self.runner.runtime_by_service.get(service)
        state = runtime.slots.state_by_target.get(target_key) if runtime else None
        return state.in_flight if state else 0

    def _current_loads(self) -> list[ServiceLoad]:
        now = time.monotonic()
        if now - self._loads_at < LOAD_CACHE_SECONDS:
            return self._loads
        self._loads_at = now
        if self.versioned_catalogue.catalogue is not None:
            self._set_link_rates(self.versioned_catalogue.catalogue)
        loads = []
        for name, runtime in sorted(self.runner.runtime_by_service.items()):
            totals = runtime.slots.totals()
            latency_ms = round(totals.latency * 1000, 1)
            queued = runtime.slots.queued
            loads.append(ServiceLoad(name, totals.free, totals.total, queued, latency_ms))
        self._loads = loads
        return loads
