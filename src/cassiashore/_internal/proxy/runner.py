"""Runs a request: chooses a place, sends the request there, and retries where that is allowed.

This is the only layer that retries. A retry is allowed if the failed attempt certainly did not run,
or if the request is safe. It counts against the service's retry budget, unless no target received
the request.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.admission.shift import LinkRateLimiter, ShiftLimiter
from cassiashore._internal.admission.slots import ServiceSlots, TargetState
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.peers.messages import Identity
from cassiashore._internal.proxy import headers as header_names
from cassiashore._internal.proxy.attempt import (
    PEER_REASONS,
    TARGET_REASONS,
    UpstreamResponse,
    attempt,
)
from cassiashore._internal.proxy.exchange import Exchange
from cassiashore._internal.proxy.hop import Hop, HopKind, sign_hop
from cassiashore._internal.proxy.responses import FailureReport
from cassiashore._internal.requests.loss_checks import LossChecks, TargetRun
from cassiashore._internal.requests.poison import CRASH_LIMIT, LossCount, PoisonRegistry
from cassiashore._internal.requests.retry import RetryBudget
from cassiashore._internal.routing.finder import PlaceFinder
from cassiashore._internal.routing.places import Place, PlaceKind
from cassiashore._internal.routing.policies import Policy

MAX_CONNECTIONS_PER_PEER = 256
CANCEL_GRACE_SECONDS = 0.05
MAX_FAILURE_REPORT_BYTES = 16 * 1024
SERVER_ERROR = 500
_CRASH_REASONS = frozenset({Reason.TARGET_FAILED, Reason.PEER_FAILED})
_FINAL_REASONS = frozenset({Reason.DEADLINE, Reason.POISONOUS})
_RETRIED_WITHOUT_BUDGET = frozenset({Reason.NO_CAPACITY, Reason.SHIFT_CAP})
_UNREACHABLE_REASONS = frozenset({Reason.PEER_UNREACHABLE, Reason.TARGET_UNREACHABLE})


_HOP_KIND_BY_PLACE_KIND = {PlaceKind.PEER: HopKind.EXECUTE, PlaceKind.REMOTE: HopKind.PLACE}


class Reach(Enum):
    """How far from this instance a request may run.

    Only the instance that the caller contacted, or that owns the request's key, considers all
    places.
    """

    ANYWHERE = "anywhere"
    DOMAIN = "domain"
    HERE = "here"


_ATTEMPTS_BY_REACH = {Reach.ANYWHERE: 4, Reach.DOMAIN: 2, Reach.HERE: 1}


@dataclass(slots=True)
class ServiceRuntime:
    """Per-service state of an instance."""

    slots: ServiceSlots
    policy: Policy
    budget: RetryBudget


@dataclass(slots=True)
class _Progress:
    """State of one request over its attempts."""

    reach: Reach
    tried_places: set[str] = field(default_factory=set)
    tried_targets: set[str] = field(default_factory=set)
    candidates: list[str] = field(default_factory=list)
    crashes: int = 0
    failure: Failure | None = None

    def record_failure(self, failure: Failure) -> None:
        """Record a failed attempt.

        A failure after which the request may have run is not replaced by a later one.
        """
        if self.failure is None or self.failure.outcome is Outcome.NOT_RUN:
            self.failure = failure
        if failure.reason in _CRASH_REASONS:
            self.crashes += 1


class RequestRunner:
    """Runs requests for one instance."""

    def __init__(
        self,
        own: Identity,
        finder: PlaceFinder,
        shift: ShiftLimiter,
        link_limiter: LinkRateLimiter,
        poison: PoisonRegistry,
        decisions: DecisionLog,
        metrics: Metrics,
        peer_key: bytes,
    ) -> None:
        """Store the collaborators.

        ``catalogue`` and ``runtime_by_service`` are set when a catalogue version is activated.
        """
        self.runtime_by_service: dict[str, ServiceRuntime] = {}
        self.catalogue: Catalogue | None = None
        self.in_flight = 0
        self._own = own
        self._finder = finder
        self._shift = shift
        self._link_limiter = link_limiter
        self._poison = poison
        self._loss_checks = LossChecks(poison, decisions)
        self._decisions = decisions
        self._metrics = metrics
        self._peer_key = peer_key
        self._pool_by_peer: dict[str, ConnectionPool] = {}

    async def run(self, exchange: Exchange, reach: Reach) -> Result[UpstreamResponse, Failure]:
        """Run the request; a failure describes the outcome of the request over all attempts."""
        runtime = self.runtime_by_service.get(exchange.service.name)
        if runtime is None:
            detail = f'service "{exchange.service.name}" has left the catalogue'
            return Err(Failure.not_run(Reason.UNKNOWN_SERVICE, detail))
        await self._loss_checks.settle(exchange.fingerprint)
        if not self._poison.try_admit(exchange.fingerprint):
            detail = "this request has crashed targets"
            return Err(Failure.not_run(Reason.POISONOUS, detail))
        if reach is Reach.ANYWHERE:
            runtime.budget.record_first_attempt()
        progress = _Progress(reach)
        for _ in range(_ATTEMPTS_BY_REACH[reach]):
            place = self._choose_place(exchange, runtime, progress)
            if place is None:
                break
            outcome = await self._try_place(exchange, runtime, place, progress)
            if isinstance(outcome, Ok):
                return outcome
            progress.record_failure(outcome.err_value)
            await self._loss_checks.settle(exchange.fingerprint)
            if not self._may_retry(exchange, runtime, place, progress, outcome.err_value):
                break
        no_place = Failure.not_run(Reason.NO_CAPACITY, "no place can take the request")
        return Err(progress.failure or no_place)

    async def forward_to_owner(
        self, exchange: Exchange, owner: Identity
    ) -> Result[UpstreamResponse, Failure]:
        """Forward a request to the instance that owns its key."""
        hop = self._build_hop(exchange, HopKind.OWN)
        return await self._forward(exchange, owner, hop)

    def close(self) -> None:
        """Close idle connections to peers and targets."""
        for pool in self._pool_by_peer.values():
            pool.close()
        for runtime in self.runtime_by_service.values():
            for state in runtime.slots.state_by_target.values():
                state.connections.close()

    def _choose_place(
        self, exchange: Exchange, runtime: ServiceRuntime, progress: _Progress
    ) -> Place | None:
        catalogue = self.catalogue
        if catalogue is None:
            return None
        service = exchange.service
        home = (exchange.home_region, exchange.home_domain)
        local = self._finder.local_place(runtime.slots, catalogue, *home)
        local_untried = local.name not in progress.tried_places
        progress.candidates = [local.name]
        if progress.reach is Reach.HERE:
            return local
        if local_untried and runtime.policy.is_good_enough(local, service.objective):
            return local
        places = [
            place
            for place in self._finder.other_places(service.name, catalogue, *home)
            if place.free > 0
            and place.name not in progress.tried_places
            and (progress.reach is Reach.ANYWHERE or place.kind is PlaceKind.PEER)
        ]
        if local_untried and local.total > 0:
            places.append(local)
        ordered = runtime.policy.order_places(places, service.objective)
        progress.candidates = [place.name for place in ordered]
        return ordered[0] if ordered else None

    async def _try_place(
        self, exchange: Exchange, runtime: ServiceRuntime, place: Place, progress: _Progress
    ) -> Result[UpstreamResponse, Failure]:
        started = time.monotonic()
        if place.kind is PlaceKind.LOCAL:
            outcome = await self._try_local(exchange, runtime, progress)
        else:
            outcome = await self._try_other_instance(exchange, place, progress)
        self._record_attempt(exchange, place, progress, outcome, time.monotonic() - started)
        return outcome

    def _record_attempt(
        self,
        exchange: Exchange,
        place: Place,
        progress: _Progress,
        outcome: Result[UpstreamResponse, Failure],
        seconds: float,
    ) -> None:
        service = exchange.service.name
        result = "answered" if isinstance(outcome, Ok) else outcome.err_value.reason.value
        self._metrics.count_attempt(service, place.kind.value, result)
        self._decisions.write(
            "route",
            service=service,
            version=self.catalogue.version if self.catalogue else 0,
            candidates=progress.candidates,
            place=place.name,
            kind=place.kind.value,
            free=place.free,
            total=place.total,
            moved=place.is_move,
            result=result,
            served_by=outcome.ok_value.served_by if isinstance(outcome, Ok) else None,
            seconds=round(seconds, 6),
        )

    def _may_retry(
        self,
        exchange: Exchange,
        runtime: ServiceRuntime,
        place: Place,
        progress: _Progress,
        failure: Failure,
    ) -> bool:
        if failure.reason in _FINAL_REASONS or progress.crashes >= CRASH_LIMIT:
            return False
        if failure.outcome is not Outcome.NOT_RUN and not exchange.is_safe:
            return False
        if not exchange.can_resend:
            return False
        if failure.outcome is Outcome.NOT_RUN and failure.reason in _UNREACHABLE_REASONS:
            return True
        if failure.reason in _RETRIED_WITHOUT_BUDGET:
            # No target received the request, and a place that refused one is not tried again soon.
            return True
        if progress.reach is not Reach.ANYWHERE or not runtime.budget.try_retry():
            return False
        self._metrics.retries.labels(exchange.service.name).inc()
        return True

    # On this instance.

    async def _try_local(
        self, exchange: Exchange, runtime: ServiceRuntime, progress: _Progress
    ) -> Result[UpstreamResponse, Failure]:
        """Take a slot of a target of this instance and run the request there.

        Mark this instance as tried once all of its usable targets were tried.
        """
        slots = runtime.slots
        wait = min(exchange.service.queue_seconds, exchange.deadline - time.monotonic())
        taken = await slots.take(wait, frozenset(progress.tried_targets))
        if isinstance(taken, Err):
            progress.tried_places.add(self._own.instance)
            return taken
        state = taken.ok_value
        if self._shift.is_move(exchange.home_region, exchange.home_domain):
            if not self._shift.try_admit():
                slots.release(state)
                progress.tried_places.add(self._own.instance)
                return Err(Failure.not_run(Reason.SHIFT_CAP, "the shift cap is used up"))
            self._metrics.moved.inc()
        progress.tried_targets.add(state.target.key)
        outcome = await self._run_on_target(exchange, slots, state)
        if isinstance(outcome, Err) and progress.tried_targets.issuperset(slots.usable_targets()):
            progress.tried_places.add(self._own.instance)
        return outcome

    async def _run_on_target(
        self, exchange: Exchange, slots: ServiceSlots, state: TargetState
    ) -> Result[UpstreamResponse, Failure]:
        started = time.monotonic()
        losses_before = self._poison.loss_count(exchange.fingerprint)
        response: UpstreamResponse | None = None
        outcome: Result[UpstreamResponse, Failure] | None = None
        try:
            outcome = await attempt(
                exchange,
                state.connections,
                exchange.path,
                [],
                TARGET_REASONS,
                _noop,
                state.target.name,
            )
        finally:
            if outcome is None:
                self._release_slot_later(slots, state)
        if isinstance(outcome, Err):
            failure = outcome.err_value
            self._record_failure(exchange, slots, state, failure, losses_before)
            if failure.outcome is Outcome.NOT_RUN:
                slots.release(state)
            else:
                self._release_slot_later(slots, state)
            return outcome
        response = outcome.ok_value
        response.finish = self._target_finisher(slots, state, response)
        seconds = time.monotonic() - started
        return await self._check_response(exchange, slots, state, response, seconds)

    async def _check_response(
        self,
        exchange: Exchange,
        slots: ServiceSlots,
        state: TargetState,
        response: UpstreamResponse,
        seconds: float,
    ) -> Result[UpstreamResponse, Failure]:
        """Update the target's health from the response head; fail if the request was shed."""
        if response.head.get(exchange.service.shed_header) is not None:
            state.health.record_shed(time.monotonic())
            response.finish(False)
            return Err(Failure.not_run(Reason.TARGET_SHED, f"{state.target.name} shed it"))
        self._poison.record_response(exchange.fingerprint)
        if response.head.status >= SERVER_ERROR:
            if state.health.record_failure():
                slots.eject_if_allowed(state)
        else:
            state.health.record_success(seconds, time.monotonic())
        self._metrics.observe_latency(exchange.service.name, seconds)
        if self.catalogue is not None and self._is_from_other_region(exchange):
            # Responses to other regions are throttled to the bandwidth of the link.
            region = exchange.home_region
            response.send_delay = lambda size: self._link_limiter.reserve(region, size)
        return Ok(response)

    def _is_from_other_region(self, exchange: Exchange) -> bool:
        assert self.catalogue is not None
        own_region = self.catalogue.region_by_failure_domain.get(self._own.failure_domain)
        return exchange.home_region != own_region

    def _record_failure(
        self,
        exchange: Exchange,
        slots: ServiceSlots,
        state: TargetState,
        failure: Failure,
        losses_before: LossCount,
    ) -> None:
        if failure.reason is Reason.TARGET_FAILED:
            run = TargetRun(state.target.key, state.connections)
            self._loss_checks.start(exchange.fingerprint, run, losses_before)
            if losses_before.losses > 0:
                # A request that several targets failed on is itself at fault, not the target.
                return
        if state.health.record_failure():
            slots.eject_if_allowed(state)

    def _target_finisher(
        self, slots: ServiceSlots, state: TargetState, response: UpstreamResponse
    ) -> Callable[[bool], None]:
        def finish(fully_read: bool) -> None:
            if fully_read:
                state.connections.release(response.connection)
                slots.release(state)
            else:
                state.connections.discard(response.connection)
                self._release_slot_later(slots, state)

        return finish

    def _release_slot_later(self, slots: ServiceSlots, state: TargetState) -> None:
        """Release the slot after the target has had time to notice the cancellation."""
        loop = asyncio.get_running_loop()
        loop.call_later(CANCEL_GRACE_SECONDS, slots.release, state)

    # On other instances.

    async def _try_other_instance(
        self, exchange: Exchange, place: Place, progress: _Progress
    ) -> Result[UpstreamResponse, Failure]:
        progress.tried_places.add(place.name)
        assert place.address is not None
        identity = self._finder.identity_at(place.address)
        if identity is None:
            return Err(Failure.not_run(Reason.PEER_UNREACHABLE, f"{place.name} is gone"))
        outstanding, service = self._finder.outstanding, exchange.service.name
        outstanding.begin(place.name, service)
        try:
            hop = self._build_hop(exchange, _HOP_KIND_BY_PLACE_KIND[place.kind])
            outcome = await self._forward(exchange, identity, hop)
            if isinstance(outcome, Err) and outcome.err_value.reason is Reason.NO_CAPACITY:
                outstanding.record_refusal(place.name, service)
            return outcome
        finally:
            outstanding.end(place.name, service)

    def _build_hop(self, exchange: Exchange, kind: HopKind) -> Hop:
        return Hop(
            kind,
            self._own.instance,
            exchange.home_region,
            exchange.home_domain,
            exchange.client,
        )

    async def _forward(
        self, exchange: Exchange, peer: Identity, hop: Hop
    ) -> Result[UpstreamResponse, Failure]:
        pool = self._peer_pool(peer)
        path = f"/services/{exchange.service.name}{exchange.path}"
        extra_headers = [(header_names.HOP, sign_hop(hop, peer.incarnation, self._peer_key))]
        outcome = await attempt(
            exchange, pool, path, extra_headers, PEER_REASONS, _noop, peer.instance
        )
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
        response.finish = _pool_finisher(pool, response)
        return await _read_peer_outcome(response)

    def _peer_pool(self, peer: Identity) -> ConnectionPool:
        pool = self._pool_by_peer.get(peer.address)
        if pool is None:
            pool = ConnectionPool(Address.parse(peer.address), MAX_CONNECTIONS_PER_PEER)
            self._pool_by_peer[peer.address] = pool
        return pool


def _noop(fully_read: bool) -> None:
    """Do nothing; placeholder for ``finish``, which is set when the response head is received."""


def _pool_finisher(pool: ConnectionPool, response: UpstreamResponse) -> Callable[[bool], None]:
    def finish(fully_read: bool) -> None:
        if fully_read:
            pool.release(response.connection)
        else:
            pool.discard(response.connection)

    return finish


async def _read_peer_outcome(response: UpstreamResponse) -> Result[UpstreamResponse, Failure]:
    """Return the response of the peer's target, or the failure that the peer itself reports."""
    reason = response.head.get(header_names.REASON)
    served_by = response.head.get(header_names.SERVED_BY)
    if served_by is not None:
        response.served_by = served_by.decode("latin-1")
    if reason is None and response.head.get(header_names.OUTCOME) == Outcome.RAN.encode():
        return Ok(response)
    fully_read = False
    try:
        body = await response.connection.read_all(MAX_FAILURE_REPORT_BYTES)
        fully_read = True
        report = msgspec.json.decode(body, type=FailureReport)
        return Err(Failure(report.outcome, report.reason, report.detail))
    except (ConnectionLostError, *DECODE_ERRORS) as error:
        return Err(Failure.unknown(Reason.PEER_FAILED, f"unreadable answer: {error}"))
    finally:
        response.finish(fully_read)
