"""Slots of the targets that an instance may use, and the queue of requests that wait for one."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain

from result import Err, Ok, Result

from cassiashore._internal.admission.rights import AdmissionRights
from cassiashore._internal.catalogue.index import Catalogue, Service, Target
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.routing.health import MAX_EJECTED_SHARE, TargetHealth


@dataclass(slots=True)
class TargetState:
    """A target with its requests in flight, health and connections.

    Three independent signals stop new requests: operators drain the target in the catalogue, the
    target reports that it drains, or the platform lists its instance as leaving.
    """

    target: Target
    connections: ConnectionPool
    health: TargetHealth = field(default_factory=TargetHealth)
    in_flight: int = 0
    reported_draining: bool = False
    drained_by_operators: bool = False
    listed_as_leaving: bool = False

    @property
    def is_draining(self) -> bool:
        """Return whether any signal tells to send no new requests to the target."""
        return self.drained_by_operators or self.reported_draining or self.listed_as_leaving

    def limit(self, utilisation: float, now: float) -> int:
        """Return how many requests may run on the target concurrently, at least one."""
        slots = self.target.slots * utilisation * self.health.slow_start_share(now)
        return max(1, int(slots + 1e-9))

    def load(self, now: float) -> float:
        """Return the requests in flight per slot."""
        return self.in_flight / self.limit(1.0, now)


@dataclass(frozen=True, slots=True)
class Totals:
    """Free slots, all slots, and mean latency in seconds of a service's usable targets."""

    free: int
    total: int
    latency: float


@dataclass(slots=True)
class _Waiter:
    future: asyncio.Future[TargetState]


MAX_CANDIDATES = 12
TOTALS_CACHE_SECONDS = 0.01

Chooser = Callable[[list[TargetState]], TargetState]


class ServiceSlots:
    """Slots of one service's targets in this instance's failure domain.

    A slot is taken and counted in the same iteration of the event loop in which the rights are
    checked, so no other task runs in between.
    """

    def __init__(
        self,
        rights: AdmissionRights,
        check_pause: Callable[[], None],
        monotonic: Callable[[], float],
        choose: Chooser,
    ) -> None:
        """Start without targets; ``update`` sets them."""
        self.state_by_target: dict[str, TargetState] = {}
        self.choose = choose
        self.service: Service | None = None
        self._rights = rights
        self._check_pause = check_pause
        self._monotonic = monotonic
        self._waiters: deque[_Waiter] = deque()
        self._states: list[tuple[str, TargetState]] = []
        self._search_start = 0
        self._totals = Totals(0, 0, 0.0)
        self._totals_at = float("-inf")

    def update(self, service: Service, catalogue: Catalogue, failure_domain: str) -> None:
        """Apply a catalogue version; the state of a target is kept unless its address changed."""
        self.service = service
        local = {
            t.key: t for t in service.target_by_name.values() if t.failure_domain == failure_domain
        }
        for key in [k for k in self.state_by_target if k not in local]:
            self.state_by_target.pop(key).connections.close()
        for key, target in local.items():
            state = self.state_by_target.get(key)
            if state is None or state.target.address != target.address:
                pool = ConnectionPool(target.address, target.connections)
                state = TargetState(target, pool)
                self.state_by_target[key] = state
            state.target = target
            state.connections.limit = target.connections
            state.drained_by_operators = catalogue.target_is_draining(target)
        self._states = list(self.state_by_target.items())
        self._totals_at = float("-inf")
        self.wake_waiters()

    def free(self) -> list[TargetState]:
        """Return up to ``MAX_CANDIDATES`` targets that have a free slot now.

        Each search begins one target further, so that its cost does not grow with the number of
        targets unless most are busy.
        """
        service = self.service
        if service is None or not self._states:
            return []
        self._check_pause()
        now = self._monotonic()
        self._search_start = (self._search_start + 1) % len(self._states)
        found: list[TargetState] = []
        for key, state in chain(
            self._states[self._search_start :], self._states[: self._search_start]
        ):
            if state.in_flight >= state.limit(service.utilisation, now):
                continue
            if self._is_usable(key, state, now):
                found.append(state)
                if len(found) == MAX_CANDIDATES:
                    break
        return found

    def usable_targets(self) -> list[str]:
        """Return the keys of the usable targets, whether or not they have a free slot."""
        now = self._monotonic()
        return [k for k, state in self.state_by_target.items() if self._is_usable(k, state, now)]

    def totals(self) -> Totals:
        """Return the totals of the usable targets, cached for ``TOTALS_CACHE_SECONDS``."""
        now = self._monotonic()
        if now - self._totals_at >= TOTALS_CACHE_SECONDS:
            self._totals = self._compute_totals(now)
            self._totals_at = now
        return self._totals

    def _compute_totals(self, now: float) -> Totals:
        service = self.service
        usable = [s for key, s in self._states if self._is_usable(key, s, now)]
        if service is None or not usable:
            return Totals(0, 0, 0.0)
        limits = [state.limit(service.utilisation, now) for state in usable]
        free = sum(max(0, limit - s.in_flight) for limit, s in zip(limits, usable, strict=True))
        latency = sum(state.health.latency for state in usable) / len(usable)
        return Totals(free, sum(limits), latency)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def try_take(self, avoid: frozenset[str] = frozenset()) -> TargetState | None:
        """Take a free slot if no request is queued; prefer targets not in ``avoid``."""
        if self._waiters:
            return None
        return self._take_free(avoid)

    async def take(
        self, wait_seconds: float, avoid: frozenset[str] = frozenset()
    ) -> Result[TargetState, Failure]:
        """Take a slot; wait in the queue for at most ``wait_seconds``."""
        state = self.try_take(avoid)
        if state is not None:
            return Ok(state)
        service = self.service
        if service is None or wait_seconds <= 0 or len(self._waiters) >= service.queue_length:
            return Err(Failure.not_run(Reason.NO_CAPACITY, "no slot is free"))
        if not any(key in self._rights.right_by_target for key in self.state_by_target):
            return Err(Failure.not_run(Reason.NO_CAPACITY, "no target is held here"))
        waiter = _Waiter(asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(wait_seconds):
                return Ok(await waiter.future)
        except TimeoutError:
            if waiter.future.done() and not waiter.future.cancelled():
                return Ok(waiter.future.result())
            return Err(Failure.not_run(Reason.NO_CAPACITY, "no slot became free in time"))
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def release(self, state: TargetState) -> None:
        """Release a slot and assign it to the request that has waited longest."""
        state.in_flight -= 1
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Assign free slots to waiting requests in first-in, first-out order."""
        while self._waiters:
            waiter = self._waiters[0]
            if waiter.future.done():
                self._waiters.popleft()
                continue
            state = self._take_free(frozenset())
            if state is None:
                return
            self._waiters.popleft()
            waiter.future.set_result(state)

    def eject_if_allowed(self, state: TargetState) -> bool:
        """Eject a failing target unless too many are ejected already; return whether it was."""
        now = self._monotonic()
        ejected = sum(s.health.is_ejected(now) for s in self.state_by_target.values())
        if (ejected + 1) / len(self.state_by_target) > MAX_EJECTED_SHARE:
            return False
        state.health.eject(now)
        return True

    def _is_usable(self, key: str, state: TargetState, now: float) -> bool:
        if state.is_draining or state.health.is_unavailable(now):
            return False
        return self._rights.may_admit(key, now)

    def _take_free(self, avoid: frozenset[str]) -> TargetState | None:
        candidates = self.free()
        if not candidates:
            return None
        preferred = [s for s in candidates if s.target.key not in avoid] if avoid else candidates
        state = self.choose(preferred or candidates)
        state.in_flight += 1
        return state
