"""Health of a target, derived from the outcomes of real requests."""

from __future__ import annotations

from dataclasses import dataclass

# Consecutive failures. A target that fails half of its requests rarely reaches this number.
EJECT_AFTER_FAILURES = 5
FIRST_EJECTION_SECONDS = 1.0  # a crashed process restarts within a few seconds
MAX_EJECTION_SECONDS = 30.0  # bounds how long a recovered target stays unused
# Share of the targets. If more of them look unhealthy, the measurement itself is suspect.
MAX_EJECTED_SHARE = 0.5
SHED_PAUSE_SECONDS = 0.25  # about one typical response time, after which a slot is free
LATENCY_WEIGHT = 0.2  # of one response in the moving average, which spans about five responses
SLOW_START_SECONDS = 3.0  # how long a target takes to warm up
DEFAULT_LATENCY_SECONDS = 0.005  # of an idle target; assumed before the first response
# Load that slowed a target down has mostly ended after this long without a response.
LATENCY_HALF_LIFE_SECONDS = 1.0


@dataclass(slots=True)
class TargetHealth:
    """Health of one target. Points in time are in seconds of the monotonic clock."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    slow_start_began_at: float = float("-inf")
    shed_until: float = 0.0
    latency: float = DEFAULT_LATENCY_SECONDS
    last_response_at: float = float("-inf")

    def record_success(self, latency: float, now: float) -> None:
        """Record a response that arrived after ``latency`` seconds."""
        self.last_response_at = now
        self.consecutive_failures = 0
        self.ejections = max(0, self.ejections - 1) if self.ejected_until == 0.0 else 0
        self.latency += LATENCY_WEIGHT * (latency - self.latency)

    def expected_latency(self, now: float) -> float:
        """Return the average latency, decayed towards the default while no responses arrive.

        Without the decay a target that responded slowly during a burst would get no further
        requests as long as other targets have free slots.
        """
        idle = max(0.0, now - self.last_response_at)
        decay = float(0.5 ** (idle / LATENCY_HALF_LIFE_SECONDS))
        return DEFAULT_LATENCY_SECONDS + (self.latency - DEFAULT_LATENCY_SECONDS) * decay

    def record_failure(self) -> bool:
        """Record a failure; return whether the target should be ejected."""
        self.consecutive_failures += 1
        return self.consecutive_failures >= EJECT_AFTER_FAILURES

    def eject(self, now: float) -> None:
        """Stop requests to the target for a time that doubles with each consecutive ejection."""
        seconds = min(FIRST_EJECTION_SECONDS * 2.0**self.ejections, MAX_EJECTION_SECONDS)
        self.ejections += 1
        self.consecutive_failures = 0
        self.ejected_until = now + seconds
        self.slow_start_began_at = self.ejected_until

    def record_shed(self, now: float) -> None:
        """Record that the target shed a request; stop requests for ``SHED_PAUSE_SECONDS``."""
        self.shed_until = now + SHED_PAUSE_SECONDS

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is ejected."""
        return now < self.ejected_until

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the target gets no requests now, because it is ejected or shed a request."""
        return now < self.ejected_until or now < self.shed_until

    def begin_slow_start(self, now: float) -> None:
        """Begin a slow start, as for a new target or one with cold caches."""
        self.slow_start_began_at = now

    def slow_start_share(self, now: float) -> float:
        """Return the share of its slots that a target may use during slow start, 0 to 1."""
        elapsed = now - self.slow_start_began_at
        if elapsed >= SLOW_START_SECONDS:
            return 1.0
        return max(0.0, elapsed / SLOW_START_SECONDS)
