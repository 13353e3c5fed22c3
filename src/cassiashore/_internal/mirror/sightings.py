"""Tells new reports on the store from those that come back to the instances that forwarded them.

Load pattern: most instances lose power at once, and the others follow each other by lists that
differ. If A considers its mirror current because B reports so, and B has that report from A, both
consider it current as long as they run, and miss all changes. Therefore each report names the
instance that called the store and the time of the call, and counts only once.
"""

from __future__ import annotations

from collections import OrderedDict

from cassiashore._internal.peers.messages import StoreContact

MAX_OBSERVERS = 1024  # several times the number of instances that read the store within a lease


class LatestContacts:
    """The time of the latest reported call of each instance that called the store."""

    def __init__(self, own_incarnation: str) -> None:
        """Create a table without calls; calls of ``own_incarnation`` never count as new."""
        self._own = own_incarnation
        self._latest_ms_by_observer: OrderedDict[str, int] = OrderedDict()

    def record_if_newer(self, seen: StoreContact) -> bool:
        """Record a call if it is later than all known ones of its observer; return whether it is.

        >>> contacts = LatestContacts("a")
        >>> [contacts.record_if_newer(StoreContact("b", ms)) for ms in (5, 5, 4, 6)]
        [True, False, False, True]
        >>> contacts.record_if_newer(StoreContact("a", 7))
        False
        """
        if seen.observer == self._own or seen.at_ms <= self._latest_ms_by_observer.get(
            seen.observer, -1
        ):
            return False
        self._latest_ms_by_observer[seen.observer] = seen.at_ms
        self._latest_ms_by_observer.move_to_end(seen.observer)
        if len(self._latest_ms_by_observer) > MAX_OBSERVERS:
            self._latest_ms_by_observer.popitem(last=False)
        return True
