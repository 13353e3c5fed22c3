"""Which reports on the store are news, and which ones come back to those who passed them on.

Load pattern: most instances lose power at once, and the others follow each other by lists that
differ. If A takes it as confirmed that its copy is current because B says so, who has it from A,
both believe it for as long as they run, and changes pass them by. So each report names the instance
that called the store and when, and counts only once.
"""

from __future__ import annotations

from collections import OrderedDict

from cassiashore._internal.peers.messages import StoreContact

MAX_OBSERVERS = 1024  # several times the instances that read the store within a lease


class Sightings:
    """The last report of each instance that called the store."""

    def __init__(self, own_incarnation: str) -> None:
        """Start with none; own reports are no news."""
        self._own = own_incarnation
        self._ms_by_observer: OrderedDict[str, int] = OrderedDict()

    def is_news(self, seen: StoreContact) -> bool:
        """Take in a report; tell whether its observer made no later one that is known.

        >>> sightings = Sightings("a")
        >>> [sightings.is_news(StoreContact("b", ms)) for ms in (5, 5, 4, 6)]
        [True, False, False, True]
        >>> sightings.is_news(StoreContact("a", 7))
        False
        """
        if seen.observer == self._own or seen.at_ms <= self._ms_by_observer.get(seen.observer, -1):
            return False
        self._ms_by_observer[seen.observer] = seen.at_ms
        self._ms_by_observer.move_to_end(seen.observer)
        if len(self._ms_by_observer) > MAX_OBSERVERS:
            self._ms_by_observer.popitem(last=False)
        return True
