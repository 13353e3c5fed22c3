"""Tells which registered runs of instances have ended, before their leases do.

Load pattern: all instances are killed and start again. Their earlier runs stay registered for
seconds, and some of them would be chosen as readers of the store. The instances that now run at
their addresses do not know of that choice, so that instances follow each other in a cycle while
none of them reads the store. Therefore an address has one current run: the one that proved its
identity there, or else the one that registered last.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from cassiashore._internal.peers.messages import Identity

MAX_ADDRESSES = 4096  # several times the number of instances of the largest deployment


class EndedRuns:
    """The runs that were met at each peer address, and the earlier ones that they replaced."""

    def __init__(self) -> None:
        """Create a table without any run."""
        self._met_by_address: OrderedDict[str, str] = OrderedDict()
        self._ended: set[str] = set()

    def record_met(self, met: Identity, registered: Iterable[Identity]) -> bool:
        """Record the run that proved its identity at an address; return whether that is news.

        All other runs that are registered at the address have ended.
        """
        others = {
            other.incarnation
            for other in registered
            if other.peer_address == met.peer_address and other.incarnation != met.incarnation
        }
        is_news = not others <= self._ended
        self._ended |= others
        self._met_by_address[met.peer_address] = met.incarnation
        self._met_by_address.move_to_end(met.peer_address)
        if len(self._met_by_address) > MAX_ADDRESSES:
            self._met_by_address.popitem(last=False)
        return is_news

    def forget(self, incarnation: str) -> None:
        """Forget a run that is no longer registered."""
        self._ended.discard(incarnation)

    def current(self, registered: Iterable[Identity]) -> set[str]:
        """Return the incarnations of the runs that may still be running.

        >>> first, second = (Identity("a", run, "d", "", "1.2.3.4:5") for run in ("01", "02"))
        >>> runs = EndedRuns()
        >>> runs.current([first]), runs.current([first, second])
        ({'01'}, {'02'})
        >>> runs.record_met(second, [first]), runs.current([first])
        (True, set())
        """
        latest_by_address: dict[str, str] = {}
        for identity in registered:
            incarnation, address = identity.incarnation, identity.peer_address
            met = self._met_by_address.get(address, "")
            if incarnation not in self._ended and incarnation >= met:
                known = latest_by_address.get(address, "")
                latest_by_address[address] = max(known, incarnation)
        return set(latest_by_address.values())
