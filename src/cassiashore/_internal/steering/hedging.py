"""Decides when a request is sent to a second target because the first one is slow.

Load pattern: targets share their machines with other programs, so that at any moment some of them
take several times as long as usual, for less time than it takes to learn of it. A request that is
slower than likely still meets its latency objective if it is sent to a second target in time. This
holds only while the second target has a free slot: with queues, a second run delays other requests.

Only targets that report the pace of their machines are hedged early. Elsewhere a slow response is
mostly a cache miss, which a second target would not answer sooner.
"""

from __future__ import annotations

from cassiashore._internal.steering.placement import Estimate

HEDGE_DELAY_OBJECTIVES = 2.0  # delay before a second target is used, in latency objectives
MIN_HEDGE_DELAY_SECONDS = 0.3  # longer than a round trip between regions plus a short queue
# Time by which the response should arrive before the objective: it travels on to the caller.
RETURN_SECONDS = 0.05
SLOWER_THAN_LIKELY = 1.3  # ratio to the estimate from which a response counts as slow
# Utilisation of the second target up to which it is used. One slot of three stays free.
MAX_SECOND_UTILISATION = 0.5


def late_hedge_delay(objective: float) -> float:
    """Return the seconds without a response after which a second target is used in any case.

    >>> late_hedge_delay(0.1), late_hedge_delay(0.4)
    (0.3, 0.8)
    """
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_DELAY_OBJECTIVES * objective)


def early_hedge_delay(first: Estimate, objective_left: float) -> float | None:
    """Return the seconds after which a second target is used, if it can meet the objective.

    ``objective_left`` is what is left of the latency objective in seconds. None means that a second
    target would be no faster, or that the target does not report the pace of its machine.
    """
    if not first.target.load.reports_pace or not first.expects_cached:
        return None
    earliest = SLOWER_THAN_LIKELY * first.usual_seconds
    latest = objective_left - RETURN_SECONDS - first.usual_seconds
    return earliest if earliest <= latest else None


def suits_early_hedge(second: Estimate) -> bool:
    """Return whether a target may run a second copy without delaying other requests."""
    return second.has_free_slot and second.utilisation <= MAX_SECOND_UTILISATION
