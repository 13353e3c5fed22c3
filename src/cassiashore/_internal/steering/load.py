"""Estimate of the load of a target, from own requests and the load reports of the target."""

from __future__ import annotations

from dataclasses import dataclass

REPORT_WEIGHT = 0.4  # of a new report, which is a single sample of a varying load
# Half-life of reports in typical response times. It is short, since a queue drains within a few
# responses and a target that is believed to be busy gets no requests and so sends no newer report.
HALF_LIFE_RESPONSES = 2.0
MIN_HALF_LIFE_SECONDS = 0.1  # covers the travel time of a report between regions
MAX_HALF_LIFE_SECONDS = 1.5  # the number of callers changes within seconds
SLOWNESS_WEIGHT = 0.15  # of a new sample: the average covers about seven responses of a target
MAX_RATIO_WITH_PACE = 3.0  # of one response time to the typical one, for targets with a pace
SLOWNESS_HALF_LIFE_SECONDS = 2.0  # without responses, since a slow target may have recovered
# How long a reported pace is used. Other programs on the target's machine start and end many times
# a second, so an older report says nothing.
PACE_SECONDS = 0.5
USUAL_PACE = 100  # as reported, when work takes as long as usual on the target's machine
MAX_PACE = 100 * USUAL_PACE
MAX_REPORT_DIGITS = 9


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Running and waiting requests of a target, and how long work takes there (1 is usual)."""

    running: int
    waiting: int
    pace: float = 1.0
    names_pace: bool = False

    @property
    def busy(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + self.waiting


def parse_load_report(value: bytes) -> LoadReport | None:
    """Parse a report of running requests, waiting requests, slots and, if given, the pace.

    >>> parse_load_report(b"2,1,3").busy, parse_load_report(b"2,1,3,250").pace
    (3, 2.5)
    >>> parse_load_report(b"2,1") is None, parse_load_report(b"2,-1,3") is None
    (True, True)
    """
    parts = value.split(b",")
    if not 3 <= len(parts) <= 4:
        return None
    if not all(part.isdigit() and len(part) <= MAX_REPORT_DIGITS for part in parts):
        return None
    running, waiting, *rest = [int(part) for part in parts]
    pace = min(MAX_PACE, max(1, rest[1])) / USUAL_PACE if len(rest) > 1 else 1.0
    return LoadReport(running, waiting, pace, names_pace=len(rest) > 1)


@dataclass(slots=True)
class TargetLoad:
    """Requests at a target: those of this instance, and an estimate of those of other instances.

    Targets report their load with their responses. Between reports the estimate for the other
    instances decays, since it is unknown whether they still send requests. ``slowness`` is the
    ratio of the response times of the target to the typical ones, and ``pace`` how long work takes
    on its machine now, as it reports (1 is usual).
    """

    in_flight: int = 0
    others_in_flight: float = 0.0
    reported_at: float = float("-inf")
    pace: float = 1.0
    reports_pace: bool = False
    slowness: float = 1.0
    last_response_at: float = float("-inf")
    report_half_life: float = MAX_HALF_LIFE_SECONDS

    def record_report(self, report: LoadReport, now: float) -> None:
        """Record the load that a target reported.

        The request whose response carries the report is not included.
        """
        sample = max(0.0, report.busy - self.in_flight)
        self.pace = report.pace
        self.reports_pace = report.names_pace
        current = self.estimate_others(now)
        self.others_in_flight = current + REPORT_WEIGHT * (sample - current)
        self.reported_at = now

    def set_typical_response_time(self, seconds: float) -> None:
        """Adjust the half-life of reports to the typical response time of the service."""
        half_life = HALF_LIFE_RESPONSES * seconds
        self.report_half_life = min(MAX_HALF_LIFE_SECONDS, max(MIN_HALF_LIFE_SECONDS, half_life))

    def estimate_others(self, now: float) -> float:
        """Return the estimated number of requests of other instances."""
        age = now - self.reported_at
        if age <= 0 or self.others_in_flight == 0.0:
            return self.others_in_flight
        return float(self.others_in_flight * 0.5 ** (age / self.report_half_life))

    def pace_at(self, now: float) -> float:
        """Return how long work takes on the target's machine (1 is usual or unknown)."""
        return self.pace if now - self.reported_at < PACE_SECONDS else 1.0

    def busy(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        return self.in_flight + self.estimate_others(now)

    def slowness_at(self, now: float) -> float:
        """Return the slowness, which decays towards 1 while there are no responses.

        Otherwise a target that was slow once would never get a request again.
        """
        idle = max(0.0, now - self.last_response_at)
        return float(1.0 + (self.slowness - 1.0) * 0.5 ** (idle / SLOWNESS_HALF_LIFE_SECONDS))

    def record_response_time(self, seconds: float, typical: float, now: float) -> None:
        """Record the response time for a cached object; a ``typical`` time of 0 is unknown.

        Cache misses are not recorded, since they take several times as long at any target.
        """
        if typical > 0.0:
            known = self.slowness_at(now)
            ratio = seconds / typical
            if self.reports_pace:
                # Some requests cost several times as much; the pace tells of a slow machine.
                ratio = min(ratio, MAX_RATIO_WITH_PACE)
            self.slowness = known + SLOWNESS_WEIGHT * (ratio - known)
            self.last_response_at = now
