"""Pace of the machines that targets share with other programs, and when to ask for it.

Load pattern: at any moment one target in seven works at two fifths of its speed, since other
programs use its machine, and this changes several times a second. A fleet of many instances sends
each target a request every few seconds from each of them, so reports in responses are outdated when
they are needed. Asking a target first costs one round trip. It is done only while a slow target
would make the request miss its latency objective and another one would not.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from cassiashore._internal.steering.load import PACE_SECONDS, LoadReport
from cassiashore._internal.steering.placement import SLOW_PACE, Estimate
from cassiashore._internal.steering.registry import RegisteredTarget

SAMPLE_WEIGHT = 0.02  # of a new report: the averages cover about fifty reports of a service
MIN_SLOW_SHARE = 0.05  # of a service's reports; with fewer, asking costs more than it saves
MAX_REPORT_AGE_SECONDS = PACE_SECONDS / 2  # of a report that is used without asking
MAX_PROBE_SHARE = 0.25  # of the time left that asking may take


@dataclass(slots=True)
class ServicePace:
    """Share of a service's reports that are slow, and their average pace."""

    slow_share: float = 0.0
    slow_pace: float = SLOW_PACE

    def record(self, report: LoadReport) -> None:
        """Record the pace that a target of the service reported.

        >>> pace = ServicePace()
        >>> for _ in range(100):
        ...     pace.record(LoadReport(1, 0, 2.5, names_pace=True))
        >>> round(pace.slow_share, 1), round(pace.slow_pace, 1)
        (0.9, 2.4)
        """
        is_slow = report.pace >= SLOW_PACE
        self.slow_share += SAMPLE_WEIGHT * (is_slow - self.slow_share)
        if is_slow:
            self.slow_pace += SAMPLE_WEIGHT * (report.pace - self.slow_pace)

    def needs_probe(self, estimate: Estimate, objective_left: float, report_age: float) -> bool:
        """Return whether to ask a target for its pace before a request is sent to it.

        ``objective_left`` is what is left of the latency objective, ``report_age`` the age of the
        target's last report, both in seconds.
        """
        if self.slow_share < MIN_SLOW_SHARE or report_age < MAX_REPORT_AGE_SECONDS:
            return False
        if estimate.travel > MAX_PROBE_SHARE * objective_left:
            return False
        service_seconds = estimate.usual_seconds - estimate.travel
        slow_seconds = estimate.seconds + (self.slow_pace - 1.0) * service_seconds
        is_in_time = estimate.seconds + estimate.travel <= objective_left
        return is_in_time and slow_seconds > objective_left


@dataclass(slots=True)
class ServicePaces:
    """Paces of the services whose targets report one."""

    pace_by_service: dict[str, ServicePace] = field(default_factory=dict)

    def record_report(self, target: RegisteredTarget, report: LoadReport) -> None:
        """Record a report for its target and its service."""
        target.load.record_report(report, time.monotonic())
        if report.names_pace:
            service = target.report.service
            self.pace_by_service.setdefault(service, ServicePace()).record(report)

    def varies(self, service: str) -> bool:
        """Return whether enough targets of a service are slow at times to ask for their pace."""
        pace = self.pace_by_service.get(service)
        return pace is not None and pace.slow_share >= MIN_SLOW_SHARE
