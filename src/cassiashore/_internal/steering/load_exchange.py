"""What the instances of a region tell each other about the load of targets.

Load pattern: a burst over targets to which each instance sends a few requests a second. A report of
load comes with an answer, so one instance alone knows of a load that is seconds old, sends to
targets that others have filled, and turns away what another target could have taken. The region's
reader of the store passes on what each instance heard, a few times a second.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping

from cassiashore._internal.models.hashing import hash64

TARGET_HASH_BITS = 32  # a third of the size of an id; two targets with one hash are harmless here


def target_hash(target_id: str) -> int:
    """Return what stands for a target in messages about load."""
    return hash64(target_id) >> (64 - TARGET_HASH_BITS)


class LoadExchange:
    """Reports that have not been passed on yet: requests running and waiting, by target hash."""

    def __init__(self) -> None:
        """Start without reports."""
        self._busy_by_target: dict[int, int] = {}
        self._origin_by_target: dict[int, Hashable] = {}

    def heard(self, target_id: str, busy: int, origin: Hashable = None) -> None:
        """Take in what a target told this instance itself."""
        self.received({target_hash(target_id): busy}, origin)

    def received(self, busy_by_target: Mapping[int, int], origin: Hashable) -> None:
        """Take in what ``origin`` heard; the last report of a target counts."""
        for target, busy in busy_by_target.items():
            self._busy_by_target[target] = busy
            self._origin_by_target[target] = origin

    def news_for(self, peer: Hashable) -> dict[int, int]:
        """Return the reports that a peer did not bring itself.

        >>> exchange = LoadExchange()
        >>> exchange.received({7: 2}, "a")
        >>> exchange.news_for("a"), exchange.news_for("b")
        ({}, {7: 2})
        """
        origins = self._origin_by_target
        return {t: busy for t, busy in self._busy_by_target.items() if origins[t] != peer}

    def clear(self) -> None:
        """Forget the reports, which were passed on."""
        self._busy_by_target.clear()
        self._origin_by_target.clear()
