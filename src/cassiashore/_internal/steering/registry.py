"""Registry of the targets, which register themselves by reports and may reuse an earlier id."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiashore._internal.models.address import Address
from cassiashore._internal.models.presence import Presence
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.routing.health import TargetHealth
from cassiashore._internal.steering.load import TargetLoad

logger = logging.getLogger(__name__)

MAX_REMEMBERED_REPORTS = 4096  # several times the number of targets of the largest deployment
# Unconfirmed targets of a service are left out if at least this fraction is confirmed.
MIN_CONFIRMED_SHARE = 0.6
COLD_MARGIN_SECONDS = 0.5  # covers the delay of reports, which are read from the store


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The registration that a target publishes.

    ``started_ms`` identifies a run of the target and increases with each restart; ``sequence``
    counts the reports of a run. ``cold_seconds`` is the time that the target remains cold.
    """

    target_id: str
    started_ms: int
    sequence: int
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_draining: bool
    cold_seconds: float

    @property
    def order(self) -> tuple[int, int]:
        """Return a sort key that increases with each report of a target."""
        return (self.started_ms, self.sequence)


@dataclass(slots=True)
class RegisteredTarget:
    """A target with its connection pool, load, health and state as seen by this instance.

    An unconfirmed target is one whose entry was missing from the store after an outage.
    ``rate_limit`` is the number of requests per second that the target accepts from all instances
    together, as named in its last response; None means that it named none.
    """

    report: TargetReport
    region: str
    pool: ConnectionPool
    load: TargetLoad = field(default_factory=TargetLoad)
    health: TargetHealth = field(default_factory=TargetHealth)
    cold_until: float = float("-inf")
    rate_limit: float | None = None
    is_evacuated: bool = False
    presence: Presence = Presence.REGISTERED
    is_unconfirmed: bool = False

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.report.target_id

    @property
    def run(self) -> str:
        """Return a name of this run of the target; a later run may have the same id."""
        return f"{self.target_id} {self.report.started_ms}"

    @property
    def is_gone(self) -> bool:
        """Return whether the target is no longer registered, or only as a later run."""
        return self.presence is not Presence.REGISTERED

    @property
    def accepts_requests(self) -> bool:
        """Return whether the target may get new requests, regardless of its load."""
        return not (self.is_gone or self.report.is_draining or self.is_evacuated)

    def is_cold(self, now: float) -> bool:
        """Return whether the target still has to warm up after a start or an evacuation."""
        return now < self.cold_until


MakePool = Callable[[Address], ConnectionPool]


class TargetRegistry:
    """All registered targets, by id and by service.

    A report is applied only if it belongs to a later run of the target than the last one, or to the
    same run with a higher sequence. If two targets report the same address, it belongs to the one
    that started later.
    """

    def __init__(
        self,
        region_by_failure_domain: dict[str, str],
        make_pool: MakePool,
        monotonic: Callable[[], float],
    ) -> None:
        """Create an empty registry."""
        self.region_by_failure_domain = region_by_failure_domain
        self.target_by_id: dict[str, RegisteredTarget] = {}
        self.targets_by_service: dict[str, list[RegisteredTarget]] = {}
        self.evacuated: set[str] = set()
        self.cold_seconds_of: Callable[[str], float] = lambda service: 0.0
        self.on_change: Callable[[str, RegisteredTarget], None] = lambda change, target: None
        self.epoch_by_service: Counter[str] = Counter()
        self._make_pool = make_pool
        self._monotonic = monotonic
        self._id_by_address: dict[Address, str] = {}
        self._last_report_by_id: dict[str, TargetReport] = {}

    def apply(self, report: TargetReport) -> bool:
        """Apply a report unless it is outdated, and return whether it was applied."""
        known = self.target_by_id.get(report.target_id)
        last = self._last_report_by_id.get(report.target_id)
        if last is not None and report.order < last.order:
            logger.info(
                'ignoring outdated report of target "%s": start and sequence %s, latest is %s',
                report.target_id,
                report.order,
                last.order,
            )
            return False
        self._remember_report(report)
        if known is not None and known.report.started_ms == report.started_ms:
            return self._update(known, report)
        self._add(report, known)
        return True

    def remove(
        self,
        target_id: str,
        why: str = "entry removed",
        presence: Presence = Presence.REMOVED,
    ) -> None:
        """Remove a target; requests in flight to it continue."""
        target = self.target_by_id.pop(target_id, None)
        if target is None:
            return
        target.presence = presence
        service_targets = self.targets_by_service[target.report.service]
        service_targets.remove(target)
        if self._id_by_address.get(target.report.address) == target_id:
            del self._id_by_address[target.report.address]
        target.pool.close()
        self._notify_change(why, target)

    def set_evacuated(self, failure_domain: str, evacuated: bool) -> None:
        """Begin or end the evacuation of a failure domain; its targets are cold afterwards."""
        if evacuated == (failure_domain in self.evacuated):
            return
        (self.evacuated.add if evacuated else self.evacuated.discard)(failure_domain)
        now = self._monotonic()
        for target in self.target_by_id.values():
            if target.report.failure_domain != failure_domain:
                continue
            target.is_evacuated = evacuated
            if not evacuated:
                cold = self.cold_seconds_of(target.report.service)
                target.cold_until = max(target.cold_until, now + cold)
            self._notify_change("evacuated" if evacuated else "taken back", target)

    def extend_cold(self, target: RegisteredTarget, seconds: float) -> None:
        """Keep a target cold for at least the given seconds from now."""
        target.cold_until = max(target.cold_until, self._monotonic() + seconds)

    def usable(self, service: str) -> list[RegisteredTarget]:
        """Return the targets of a service that may get new requests.

        During an outage of the store the entries of all targets expire. If only a few are still
        missing after it, those targets have probably stopped and are left out.
        """
        targets = [t for t in self.targets_by_service.get(service, ()) if t.accepts_requests]
        confirmed = [t for t in targets if not t.is_unconfirmed]
        return confirmed if len(confirmed) >= len(targets) * MIN_CONFIRMED_SHARE else targets

    def mark_unconfirmed(self, target_id: str) -> None:
        """Mark a target whose entry is missing after an outage of the store."""
        target = self.target_by_id.get(target_id)
        if target is not None and not target.is_unconfirmed:
            target.is_unconfirmed = True
            self._notify_change("entry missing", target)

    def _update(self, known: RegisteredTarget, report: TargetReport) -> bool:
        if report.address != known.report.address or report.service != known.report.service:
            self.remove(report.target_id, "moved")
            self._add(report, None)
            return True
        was_accepting = known.accepts_requests and not known.is_unconfirmed
        known.is_unconfirmed = False
        slots_changed = known.report.slots != report.slots
        known.report = report
        if report.cold_seconds > 0:
            self.extend_cold(known, report.cold_seconds + COLD_MARGIN_SECONDS)
        if known.accepts_requests != was_accepting or slots_changed:
            self._notify_change("draining" if report.is_draining else "updated", known)
        return True

    def _add(self, report: TargetReport, known: RegisteredTarget | None) -> None:
        if known is not None:
            self.remove(report.target_id, "started again", Presence.SUPERSEDED)
        holder_id = self._id_by_address.get(report.address)
        if holder_id is not None:
            other = self.target_by_id[holder_id].report
            if other.started_ms > report.started_ms:
                logger.info(
                    'ignoring target "%s": target "%s" has the same address %s and started later',
                    report.target_id,
                    holder_id,
                    report.address,
                )
                return
            self.remove(holder_id, "address taken over", Presence.SUPERSEDED)
        region = self.region_by_failure_domain.get(report.failure_domain, "")
        target = RegisteredTarget(report, region, self._make_pool(report.address))
        target.is_evacuated = report.failure_domain in self.evacuated
        if report.cold_seconds > 0:
            self.extend_cold(target, report.cold_seconds + COLD_MARGIN_SECONDS)
        self.target_by_id[report.target_id] = target
        self.targets_by_service.setdefault(report.service, []).append(target)
        self._id_by_address[report.address] = report.target_id
        self._notify_change("added", target)

    def _remember_report(self, report: TargetReport) -> None:
        self._last_report_by_id.pop(report.target_id, None)
        self._last_report_by_id[report.target_id] = report
        if len(self._last_report_by_id) > MAX_REMEMBERED_REPORTS:
            oldest = next(iter(self._last_report_by_id))
            del self._last_report_by_id[oldest]

    def _notify_change(self, change: str, target: RegisteredTarget) -> None:
        self.epoch_by_service[target.report.service] += 1
        self.on_change(change, target)
