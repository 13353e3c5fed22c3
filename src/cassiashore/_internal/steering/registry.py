"""The registry of targets, which register themselves and may return under an old name."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiashore._internal.models.address import Address
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.routing.health import TargetHealth
from cassiashore._internal.steering.load import TargetLoad

logger = logging.getLogger(__name__)

MAX_REMEMBERED_REPORTS = 4096  # of ids, several times the targets of the largest deployment
SURE_SHARE = 0.6  # of a service's targets that suffices without the doubtful ones
COLD_MARGIN_SECONDS = 0.5  # reports travel through the store before they are read


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target said of itself.

    ``started_ms`` tells runs under one id apart and only grows with them; ``sequence`` counts the
    reports of one run. ``cold_seconds`` is how much longer the target stays cold.
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
        """Return what grows with each report of a target."""
        return (self.started_ms, self.sequence)


@dataclass(slots=True)
class RegisteredTarget:
    """A target with what this instance knows of it."""

    report: TargetReport
    region: str
    pool: ConnectionPool
    load: TargetLoad = field(default_factory=TargetLoad)
    health: TargetHealth = field(default_factory=TargetHealth)
    cold_until: float = float("-inf")
    is_evacuated: bool = False
    is_gone: bool = False
    is_unconfirmed: bool = False

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.report.target_id

    @property
    def accepts_requests(self) -> bool:
        """Tell whether new requests may go to the target, apart from its load."""
        return not (self.is_gone or self.report.is_draining or self.is_evacuated)

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is cold."""
        return now < self.cold_until


MakePool = Callable[[Address], ConnectionPool]


class TargetRegistry:
    """All registered targets by service, with the rules for whose report counts.

    A report counts only if it belongs to a newer run than the one known under its id, or to the
    same run with a higher sequence. Of two ids at one address the run that started later holds it.
    """

    def __init__(
        self,
        region_by_failure_domain: dict[str, str],
        make_pool: MakePool,
        monotonic: Callable[[], float],
    ) -> None:
        """Start empty."""
        self.region_by_failure_domain = region_by_failure_domain
        self.target_by_id: dict[str, RegisteredTarget] = {}
        self.targets_by_service: dict[str, list[RegisteredTarget]] = {}
        self.evacuated: set[str] = set()
        self.cold_seconds_of: Callable[[str], float] = lambda service: 0.0
        self.on_change: Callable[[str, RegisteredTarget], None] = lambda what, target: None
        self.epoch_by_service: Counter[str] = Counter()
        self._make_pool = make_pool
        self._monotonic = monotonic
        self._id_by_address: dict[Address, str] = {}
        self._last_report_by_id: dict[str, TargetReport] = {}

    def apply(self, report: TargetReport) -> bool:
        """Take in a report; tell whether it counts."""
        known = self.target_by_id.get(report.target_id)
        last = self._last_report_by_id.get(report.target_id)
        if last is not None and report.order < last.order:
            logger.info(
                'late report of target "%s" ignored: run and sequence %s, known %s',
                report.target_id,
                report.order,
                last.order,
            )
            return False
        self._remember(report)
        if known is not None and known.report.started_ms == report.started_ms:
            return self._update(known, report)
        self._add(report, known)
        return True

    def remove(self, target_id: str, why: str = "entry removed") -> None:
        """Take a target out; requests in flight to it go on."""
        target = self.target_by_id.pop(target_id, None)
        if target is None:
            return
        target.is_gone = True
        peers = self.targets_by_service[target.report.service]
        peers.remove(target)
        if self._id_by_address.get(target.report.address) == target_id:
            del self._id_by_address[target.report.address]
        target.pool.close()
        self._changed(why, target)

    def set_evacuated(self, failure_domain: str, evacuated: bool) -> None:
        """Begin or end an evacuation; afterwards the targets there count as cold."""
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
            self._changed("evacuated" if evacuated else "taken back", target)

    def note_cold(self, target: RegisteredTarget, seconds: float) -> None:
        """Take in that a target is cold for some more seconds."""
        target.cold_until = max(target.cold_until, self._monotonic() + seconds)

    def usable(self, service: str) -> list[RegisteredTarget]:
        """Return the targets of a service that take new work.

        An outage of the store makes all entries lapse. If only few of them are missing after one,
        those targets have probably left, and the others are enough.
        """
        targets = [t for t in self.targets_by_service.get(service, ()) if t.accepts_requests]
        sure = [t for t in targets if not t.is_unconfirmed]
        return sure if len(sure) >= len(targets) * SURE_SHARE else targets

    def mark_unconfirmed(self, target_id: str) -> None:
        """Take in that a target's entry is missing after an outage and may come back."""
        target = self.target_by_id.get(target_id)
        if target is not None and not target.is_unconfirmed:
            target.is_unconfirmed = True
            self._changed("entry missing", target)

    def _update(self, known: RegisteredTarget, report: TargetReport) -> bool:
        if report.address != known.report.address or report.service != known.report.service:
            self.remove(report.target_id, "moved")
            self._add(report, None)
            return True
        was_taking = known.accepts_requests and not known.is_unconfirmed
        known.is_unconfirmed = False
        slots_changed = known.report.slots != report.slots
        known.report = report
        if report.cold_seconds > 0:
            self.note_cold(known, report.cold_seconds + COLD_MARGIN_SECONDS)
        if known.accepts_requests != was_taking or slots_changed:
            self._changed("draining" if report.is_draining else "updated", known)
        return True

    def _add(self, report: TargetReport, known: RegisteredTarget | None) -> None:
        if known is not None:
            self.remove(report.target_id, "started again")
        holder = self._id_by_address.get(report.address)
        if holder is not None:
            other = self.target_by_id[holder].report
            if other.started_ms > report.started_ms:
                logger.info(
                    'target "%s" ignored: "%s" has its address %s and started later',
                    report.target_id,
                    holder,
                    report.address,
                )
                return
            self.remove(holder, "address taken over")
        region = self.region_by_failure_domain.get(report.failure_domain, "")
        target = RegisteredTarget(report, region, self._make_pool(report.address))
        target.is_evacuated = report.failure_domain in self.evacuated
        if report.cold_seconds > 0:
            self.note_cold(target, report.cold_seconds + COLD_MARGIN_SECONDS)
        self.target_by_id[report.target_id] = target
        self.targets_by_service.setdefault(report.service, []).append(target)
        self._id_by_address[report.address] = report.target_id
        self._changed("added", target)

    def _remember(self, report: TargetReport) -> None:
        self._last_report_by_id.pop(report.target_id, None)
        self._last_report_by_id[report.target_id] = report
        if len(self._last_report_by_id) > MAX_REMEMBERED_REPORTS:
            oldest = next(iter(self._last_report_by_id))
            del self._last_report_by_id[oldest]

    def _changed(self, what: str, target: RegisteredTarget) -> None:
        self.epoch_by_service[target.report.service] += 1
        self.on_change(what, target)
