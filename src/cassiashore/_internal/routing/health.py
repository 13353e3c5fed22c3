"""Health of a target, from outcomes of real requests."""

from __future__ import annotations

from dataclasses import dataclass

EJECT_AFTER_FAILURES = 5  # in a row: a target that fails half of its requests is seldom taken out
FIRST_EJECTION_SECONDS = 1.0  # a process that crashed is back after some seconds
MAX_EJECTION_SECONDS = 30.0  # so that a mended target is not forgotten
MAX_EJECTED_SHARE = 0.5  # of the targets: when more look bad, the measurement is suspected
SHED_PAUSE_SECONDS = 0.25  # about a usual answer time, after which a slot is free
LATENCY_WEIGHT = 0.2  # of one answer: the mean of some five
SLOW_START_SECONDS = 3.0  # how long targets are cold
DEFAULT_LATENCY_SECONDS = 0.005  # before any answer: a target that does nothing
LATENCY_HALF_LIFE_SECONDS = 1.0  # without an answer: load that made a target slow has mostly ended


@dataclass(slots=True)
class TargetHealth:
    """Outcomes of one target. Times are seconds of the monotonic clock."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    slow_start_began_at: float = float("-inf")
    shed_until: float = 0.0
    latency: float = DEFAULT_LATENCY_SECONDS
    last_response_at: float = float("-inf")

    def record_success(self, latency: float, now: float) -> None:
        """Take in an answer that came after ``latency`` seconds."""
        self.last_response_at = now
        self.consecutive_failures = 0
        self.ejections = max(0, self.ejections - 1) if self.ejected_until == 0.0 else 0
        self.latency += LATENCY_WEIGHT * (latency - self.latency)

    def expected_latency(self, now: float) -> float:
        """Return the latency to expect, which fades while the target is not asked.

        Otherwise one that answered slowly in a burst would get nothing more while others have room.
        """
        idle = max(0.0, now - self.last_response_at)
        decay = float(0.5 ** (idle / LATENCY_HALF_LIFE_SECONDS))
        return DEFAULT_LATENCY_SECONDS + (self.latency - DEFAULT_LATENCY_SECONDS) * decay

    def record_failure(self) -> bool:
        """Take in a failure; return whether the target should be ejected."""
        self.consecutive_failures += 1
        return self.consecutive_failures >= EJECT_AFTER_FAILURES

    def eject(self, now: float) -> None:
        """Send nothing to the target for a time that doubles with each ejection in a row."""
        seconds = min(FIRST_EJECTION_SECONDS * 2.0**self.ejections, MAX_EJECTION_SECONDS)
        self.ejections += 1
        self.consecutive_failures = 0
        self.ejected_until = now + seconds
        self.slow_start_began_at = self.ejected_until

    def record_shed(self, now: float) -> None:
        """Take in that the target shed a request: send it nothing for a moment."""
        self.shed_until = now + SHED_PAUSE_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is ejected."""
        return now < self.ejected_until

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the target gets no requests now, ejected or shedding."""
        return now < self.ejected_until or now < self.shed_until

    def begin_slow_start(self, now: float) -> None:
        """Begin a slow start, as for a target that is new or cold."""
        self.slow_start_began_at = now

    def slow_start_share(self, now: float) -> float:
        """Return the share of its slots that a target may use during slow start, 0 to 1."""
        elapsed = now - self.slow_start_began_at
        if elapsed >= SLOW_START_SECONDS:
            return 1.0
        return max(0.0, elapsed / SLOW_START_SECONDS)
