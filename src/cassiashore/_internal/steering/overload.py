"""What becomes of a request when the targets are busy: send it, or turn it away at once.

Load pattern: demand above all slots for seconds. If every request may wait until its deadline, the
queues grow until every answer is late, and the targets work on answers that are worth little. So a
queue is used only while the answer still comes within the route's objective. A request that would
be late takes a slot that is free anyway, or is turned away at once and told when to come back.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from cassiashore._internal.steering.placement import SPREAD_UTILISATION, Estimate, best_of

MIN_RETRY_SECONDS = 0.05  # a shorter pause is over before a slot is free
RETRY_SPREAD = 0.5  # of the advised pause, so that those turned away do not return together
MAX_RETRY_SECONDS = 2.0  # callers wait for a third of their time left at most
DEADLINE_RESERVE = 0.95  # of the time left: an answer must also travel back
IN_TIME_SHARE_BY_PRIORITY = (1.0, 0.95, 0.85)  # of the objective; the last is for all further ones


class Verdict(Enum):
    """What to do with a request."""

    SEND = "send"
    TURN_AWAY = "turn-away"


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict, why, and for a request turned away the seconds after which to come back."""

    verdict: Verdict
    reason: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Urgency:
    """The times of a request in seconds: what is left, and the route's objective and priority."""

    time_left: float
    objective: float
    priority: int

    @property
    def in_time_seconds(self) -> float:
        """Return within how many seconds an answer is worth a place in a queue."""
        rank = min(self.priority, len(IN_TIME_SHARE_BY_PRIORITY) - 1)
        return self.objective * IN_TIME_SHARE_BY_PRIORITY[rank]


def best_place(estimates: list[Estimate], urgency: Urgency) -> Estimate:
    """Return the estimate to go by.

    Where the object is kept, unless the answer would be late there after waiting in a queue and
    another target is idle: a late answer is worth more to the caller than a refusal. Of busier
    targets, those whose keys it is need the slots more.
    """
    best = best_of(estimates)
    if best.is_immediate or best.seconds <= urgency.in_time_seconds:
        return best
    idle = [estimate for estimate in estimates if estimate.utilisation < SPREAD_UTILISATION]
    return min(idle, key=lambda estimate: estimate.seconds, default=best)


def decide(best: Estimate, urgency: Urgency, rng: random.Random) -> Decision:
    """Decide what to do with a request whose best place is known."""
    if best.seconds > urgency.time_left * DEADLINE_RESERVE:
        if best.is_immediate:
            return Decision(Verdict.SEND, "free-slot")
        return Decision(Verdict.TURN_AWAY, "no-time", retry_after(best, rng))
    if best.seconds <= urgency.in_time_seconds:
        return Decision(Verdict.SEND, "in-time")
    if best.is_immediate:
        return Decision(Verdict.SEND, "free-slot")
    return Decision(Verdict.TURN_AWAY, "queue-too-long", retry_after(best, rng))


def retry_after(best: Estimate, rng: random.Random) -> float:
    """Return the pause after which a slot should be free, spread at random."""
    pause = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, best.waiting))
    return pause * (1 + RETRY_SPREAD * rng.random())
