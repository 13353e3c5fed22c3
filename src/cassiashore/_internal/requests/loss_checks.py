"""Checks whether a target ended when it lost the connection of a request.

Load pattern: a disruption loses the responses of many requests while their targets run on, and a
request that crashes targets comes again and again. Both look the same at the connection that was
lost, so the run of the target is examined before the loss counts against the request:

- Connections that were opened before the loss end with the process. If one of them is still open,
  the target runs on.
- A target that ended refuses new connections until it is started again.
- A target that was started again at once accepts new connections, but registers as a later run.
- A target that cannot be reached may be cut off. If it ended, its registration expires.
"""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from cassiashore._internal.models.presence import Presence
from cassiashore._internal.net.pool import ConnectionPool, Probe
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.requests.poison import LossCount, PoisonRegistry

PROBE_SECONDS = 1.0  # to connect to a target that may have ended
# Two keep-alive probes: the reset of a connection may be lost, and is then sent again.
SURVIVOR_SECONDS = 2.0
# A later run registers within some seconds, and an entry expires after three missing reports.
WATCH_SECONDS = 6.0
WATCH_INTERVAL_SECONDS = 0.5
MAX_WATCHED_LOSSES = 4096  # limits memory; each takes some hundred bytes
# Longer than a round trip between distant regions, and short against the deadlines of requests.
MAX_WAIT_SECONDS = 0.15


class Verdict(StrEnum):
    """Whether a run of a target ended when it lost a connection."""

    ENDED = "ended"
    RUNS = "runs"
    UNKNOWN = "unknown"


# Observations by (result of the probe, whether an earlier connection is open). A refusal beside an
# open connection may come from a connection limit.
_VERDICT_BY_OBSERVATION = {
    (Probe.ACCEPTED, True): Verdict.RUNS,
    (Probe.ACCEPTED, False): Verdict.UNKNOWN,
    (Probe.REFUSED, True): Verdict.RUNS,
    (Probe.REFUSED, False): Verdict.ENDED,
    (Probe.UNREACHABLE, True): Verdict.UNKNOWN,
    (Probe.UNREACHABLE, False): Verdict.UNKNOWN,
}
# What a later change of the registry shows if the probe alone did not.
_ENDED_PRESENCES_BY_PROBE = {
    Probe.ACCEPTED: frozenset({Presence.SUPERSEDED}),
    Probe.UNREACHABLE: frozenset({Presence.REMOVED, Presence.SUPERSEDED}),
}


@dataclass(frozen=True, slots=True)
class TargetRun:
    """A run of a target; ``presence`` returns what the registry shows about it now."""

    name: str
    pool: ConnectionPool
    presence: Callable[[], Presence] = lambda: Presence.REGISTERED


@dataclass(frozen=True, slots=True)
class Loss:
    """A request whose connection was lost before a response began.

    ``before`` is the count of losses when the attempt began. ``was_idle`` tells that the connection
    was open before the attempt. ``lost_at`` is by the monotonic clock.
    """

    fingerprint: int
    run: TargetRun
    before: LossCount
    was_idle: bool
    lost_at: float


class LossChecks:
    """Counts the loss of a request once it is known that the target ended."""

    def __init__(
        self,
        poison: PoisonRegistry,
        decisions: DecisionLog,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create checks that report to ``poison``."""
        self._poison = poison
        self._decisions = decisions
        self._monotonic = monotonic
        self._probe_by_run: dict[str, asyncio.Task[Probe]] = {}
        self._checks_by_fingerprint: dict[int, set[asyncio.Task[None]]] = {}
        self._watched: OrderedDict[tuple[int, str], tuple[Loss, Probe]] = OrderedDict()
        self._watcher: asyncio.Task[None] | None = None

    def start(
        self, fingerprint: int, run: TargetRun, before: LossCount, *, was_idle: bool = False
    ) -> None:
        """Begin to check the run of a target that has just lost the connection of a request."""
        loss = Loss(fingerprint, run, before, was_idle, self._monotonic())
        check = asyncio.create_task(self._check(loss))
        checks = self._checks_by_fingerprint.setdefault(fingerprint, set())
        checks.add(check)

        def finish(done: asyncio.Task[None]) -> None:
            checks.discard(done)
            if not checks and self._checks_by_fingerprint.get(fingerprint) is checks:
                del self._checks_by_fingerprint[fingerprint]

        check.add_done_callback(finish)

    async def settle(self, fingerprint: int) -> None:
        """Wait for the checks of a request, so that a known loss precedes its next attempt."""
        checks = self._checks_by_fingerprint.get(fingerprint)
        if checks:
            await asyncio.wait(checks, timeout=MAX_WAIT_SECONDS)

    async def _check(self, loss: Loss) -> None:
        presence = loss.run.presence()
        if presence is not Presence.REGISTERED:
            self._judge(loss, None, _verdict_if_gone(presence))
            return
        probe = await self._probe(loss.run)
        is_connected = loss.run.pool.has_connection_from_before(loss.lost_at)
        if is_connected and probe is Probe.REFUSED:
            await asyncio.sleep(SURVIVOR_SECONDS)
            is_connected = loss.run.pool.has_connection_from_before(loss.lost_at)
        verdict = _VERDICT_BY_OBSERVATION[probe, is_connected]
        self._judge(loss, probe, verdict)
        if verdict is Verdict.UNKNOWN:
            self._watch(loss, probe)

    async def _probe(self, run: TargetRun) -> Probe:
        """Probe a run once for all losses that are noticed meanwhile."""
        task = self._probe_by_run.get(run.name)
        if task is None:
            task = asyncio.create_task(run.pool.probe(PROBE_SECONDS))
            task.add_done_callback(lambda _: self._probe_by_run.pop(run.name, None))
            self._probe_by_run[run.name] = task
        probe = await asyncio.shield(task)
        if run.presence() is not Presence.REGISTERED:
            run.pool.close()  # nothing else closes the new connection
        return probe

    def _judge(self, loss: Loss, probe: Probe | None, verdict: Verdict) -> None:
        self._decisions.write_request(
            "lost-connection",
            request=f"{loss.fingerprint:016x}",
            target_run=loss.run.name,
            was_idle=loss.was_idle,
            probe=probe.value if probe is not None else None,
            presence=loss.run.presence().value,
            age=round(self._monotonic() - loss.lost_at, 4),
            outcome=verdict.value,
        )
        if verdict is Verdict.ENDED:
            self._poison.record_loss(
                loss.fingerprint, loss.run.name, loss.before, was_idle=loss.was_idle
            )
        elif verdict is Verdict.UNKNOWN:
            self._poison.record_ambiguous_loss(loss.fingerprint)

    def _watch(self, loss: Loss, probe: Probe) -> None:
        """Judge a loss again when the registration of the run changes."""
        key = (loss.fingerprint, loss.run.name)
        self._watched.pop(key, None)
        self._watched[key] = (loss, probe)
        if len(self._watched) > MAX_WATCHED_LOSSES:
            self._watched.popitem(last=False)
        if self._watcher is None or self._watcher.done():
            self._watcher = asyncio.create_task(self._watch_runs())

    async def _watch_runs(self) -> None:
        while self._watched:
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            oldest = self._monotonic() - WATCH_SECONDS
            for key, (loss, probe) in list(self._watched.items()):
                if loss.run.presence() in _ENDED_PRESENCES_BY_PROBE[probe]:
                    del self._watched[key]
                    self._judge(loss, probe, Verdict.ENDED)
                elif loss.lost_at < oldest:
                    del self._watched[key]


def _verdict_if_gone(presence: Presence) -> Verdict:
    """Return the verdict on a run that was not registered any more when it lost a connection.

    A target whose entry was removed has left as planned, and ends the connections that remain.
    """
    return Verdict.ENDED if presence is Presence.SUPERSEDED else Verdict.UNKNOWN
