"""Requests whose run crashes targets."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

CRASH_LIMIT = 2  # targets that one request may take down
FORGET_SECONDS = 600.0  # callers have long given up by then
MAX_FINGERPRINTS = 4096  # each some hundred bytes


def fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash of what makes a request the same as another."""
    digest = xxhash.xxh64(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return digest.intdigest()


@dataclass(slots=True)
class _Suspect:
    own: int = 0
    reported: dict[str, int] = field(default_factory=dict)
    targets: set[str] = field(default_factory=set)
    seen_at: float = 0.0

    @property
    def total(self) -> int:
        return self.own + sum(self.reported.values())


class PoisonRegistry:
    """Counts lost target connections by request fingerprint, here and as peers report."""

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, limit: int = CRASH_LIMIT
    ) -> None:
        """Create an empty registry that turns a request down after ``limit`` crashes."""
        self.on_crash: Callable[[], None] = lambda: None
        self._limit = limit
        self._monotonic = monotonic
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def record_crash(self, fingerprint: int, target_key: str) -> int:
        """Count a connection lost while the request ran; return how many targets it hit here."""
        suspect = self._touch(fingerprint)
        suspect.own += 1
        suspect.targets.add(target_key)
        self.on_crash()
        return len(suspect.targets)

    def merge_report(self, origin: str, count_by_fingerprint: dict[int, int]) -> bool:
        """Take in the counts of another instance, which only grow; tell whether any was news."""
        news = False
        for value, count in count_by_fingerprint.items():
            reported = self._touch(value).reported
            if count > reported.get(origin, 0):
                reported[origin] = count
                news = True
        return news

    def is_poisonous(self, fingerprint: int) -> bool:
        """Tell whether the request has crashed targets as often as is allowed."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if self._monotonic() - suspect.seen_at > FORGET_SECONDS:
            del self._suspects[fingerprint]
            return False
        return suspect.total >= self._limit

    def clear_crashes(self, fingerprint: int) -> bool:
        """Drop a suspicion after a whole answer; tell whether there was one of this instance."""
        suspect = self._suspects.pop(fingerprint, None)
        return suspect is not None and suspect.own > 0

    def discard_reports(self, origin: str) -> None:
        """Drop what an instance reported that takes it back or is gone."""
        for suspect in self._suspects.values():
            suspect.reported.pop(origin, None)

    def own_crash_counts(self) -> dict[int, int]:
        """Return the crashes seen here, for a report to peers."""
        return {value: s.own for value, s in self._suspects.items() if s.own}

    def _touch(self, fingerprint: int) -> _Suspect:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.seen_at = self._monotonic()
        self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_FINGERPRINTS:
            self._suspects.popitem(last=False)
        return suspect
