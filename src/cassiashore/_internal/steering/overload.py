"""Load shedding: send a request, or reject it at once when the targets are busy.

When the demand exceeds all slots for some seconds and every request may queue until its deadline,
the queues grow until every response is late, and the targets spend their time on responses of
little value. So a request queues only if its response can still meet the route's latency objective.
A request that would be late uses a free slot if there is one; otherwise it is rejected at once with
a time after which to retry.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from cassiashore._internal.steering.placement import (
    MAX_IDLE_UTILISATION,
    Estimate,
    preferred_estimate,
)

MIN_RETRY_SECONDS = 0.05  # a shorter delay ends before a slot becomes free
RETRY_JITTER = 0.5  # fraction of the retry delay, so that rejected callers do not return together
MAX_RETRY_SECONDS = 2.0  # callers wait for at most a third of their remaining time
USABLE_DEADLINE_SHARE = 0.95  # of the remaining time; the rest is for the response to travel back
# Fraction of the latency objective that a request may use, by priority; the last entry also holds
# for all lower priorities.
IN_TIME_SHARE_BY_PRIORITY = (1.0, 0.95, 0.85)


class Verdict(Enum):
    """Whether a request is sent or rejected."""

    SEND = "send"
    REJECT = "turn-away"


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and its reason, and for a rejected request the seconds until it may be retried."""

    verdict: Verdict
    reason: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Urgency:
    """Remaining time and latency objective of a request in seconds, and the route's priority."""

    time_left: float
    objective: float
    priority: int

    @property
    def in_time_seconds(self) -> float:
        """Return the expected time in seconds up to which a request may queue."""
        rank = min(self.priority, len(IN_TIME_SHARE_BY_PRIORITY) - 1)
        return self.objective * IN_TIME_SHARE_BY_PRIORITY[rank]


def choose_estimate(estimates: list[Estimate], urgency: Urgency) -> Estimate:
    """Return the estimate of the target to use.

    This is the preferred target, unless the request would queue and be late there and another
    target is idle, since a late response is worth more to the caller than a rejection. Targets that
    are not idle are left out: they need their slots for the keys that rank them first.
    """
    best = preferred_estimate(estimates)
    if best.has_free_slot or best.seconds <= urgency.in_time_seconds:
        return best
    idle = [estimate for estimate in estimates if estimate.utilisation < MAX_IDLE_UTILISATION]
    return min(idle, key=lambda estimate: estimate.seconds, default=best)


def decide(best: Estimate, urgency: Urgency, rng: random.Random) -> Decision:
    """Decide whether to send a request to the target of the given estimate."""
    if best.seconds > urgency.time_left * USABLE_DEADLINE_SHARE:
        if best.has_free_slot:
            return Decision(Verdict.SEND, "free-slot")
        return Decision(Verdict.REJECT, "no-time", retry_after(best, rng))
    if best.seconds <= urgency.in_time_seconds:
        return Decision(Verdict.SEND, "in-time")
    if best.has_free_slot:
        return Decision(Verdict.SEND, "free-slot")
    return Decision(Verdict.REJECT, "queue-too-long", retry_after(best, rng))


def retry_after(best: Estimate, rng: random.Random) -> float:
    """Return the seconds until a slot should be free, with random jitter."""
    pause = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, best.waiting))
    return pause * (1 + RETRY_JITTER * rng.random())
