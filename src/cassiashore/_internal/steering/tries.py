"""Which callers have been turned away before, and whether to favour them.

Load pattern: demand a little above the slots, or above those of one region, and callers that come
back once after they were turned away. If those who return are treated like all others, a part of
them is turned away again and gets nothing, while a first try that takes their place could have come
back itself. But when many return, favouring them makes every answer late: those who come in time
find the queues full, return as well, and are favoured in turn. So they are favoured while they are
few.

A caller's attempts bear different ids, but each says how much time its caller has left. All callers
of a route begin with the same time; one with less has been here before.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

LATER_SHARE = 0.985  # of the longest time on a route; below it the caller has tried before
FADING = 0.999  # of the longest time at each request, so that a single long one is forgotten
MAX_FAVOURED_SHARE = 0.15  # of a route's requests: with more later tries, none is favoured
SHARE_WEIGHT = 0.02  # of one request in that share: it follows within some fifty requests
MAX_ROUTES = 4096  # several times the routes of the largest deployment


@dataclass(slots=True)
class _RouteTries:
    """The longest time left lately, and the share of later tries."""

    longest: float = 0.0
    later_share: float = 0.0


class TryMemory:
    """What is known of the tries on each route."""

    def __init__(self) -> None:
        """Start with no request seen."""
        self._tries_by_route: OrderedDict[str, _RouteTries] = OrderedDict()

    def is_favoured(self, route: str, seconds_left: float) -> bool:
        """Take in a request by the time that its caller has left; tell whether to favour it.

        >>> memory = TryMemory()
        >>> [memory.is_favoured("r", seconds) for seconds in (2.5, 2.5, 1.9)]
        [False, False, True]
        """
        tries = self._tries_by_route.pop(route, None) or _RouteTries()
        self._tries_by_route[route] = tries
        if len(self._tries_by_route) > MAX_ROUTES:
            self._tries_by_route.popitem(last=False)
        tries.longest = max(seconds_left, tries.longest * FADING)
        is_later = seconds_left < tries.longest * LATER_SHARE
        tries.later_share += SHARE_WEIGHT * (is_later - tries.later_share)
        return is_later and tries.later_share <= MAX_FAVOURED_SHARE
