"""Detection of requests that crash targets (poison requests)."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import xxhash

CRASH_LIMIT = 2  # targets that one request may crash before it is refused
CRASH_RETENTION_SECONDS = 600.0  # callers no longer retry a request after that
MAX_FINGERPRINTS = 4096  # limits memory; each takes some hundred bytes


def fingerprint(service: str, method: str, path: str, body: bytes) -> int:
    """Return a 64-bit hash that identifies equal requests."""
    digest = xxhash.xxh64(f"{service}\n{method}\n{path}\n".encode())
    digest.update(body)
    return digest.intdigest()


@dataclass(slots=True)
class _CrashCounts:
    own: int = 0
    reported: dict[str, int] = field(default_factory=dict)
    targets: set[str] = field(default_factory=set)
    updated_at: float = 0.0

    @property
    def total(self) -> int:
        return self.own + sum(self.reported.values())


class PoisonRegistry:
    """Counts lost target connections by request fingerprint, own ones and those peers report."""

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, limit: int = CRASH_LIMIT
    ) -> None:
        """Create an empty registry that refuses a request after ``limit`` crashes."""
        self.on_crash: Callable[[], None] = lambda: None
        self._limit = limit
        self._monotonic = monotonic
        self._counts_by_fingerprint: OrderedDict[int, _CrashCounts] = OrderedDict()

    def record_crash(self, fingerprint: int, target_key: str) -> int:
        """Count a connection lost while the request ran; return how many targets crashed here."""
        counts = self._counts_for(fingerprint)
        counts.own += 1
        counts.targets.add(target_key)
        self.on_crash()
        return len(counts.targets)

    def merge_report(self, origin: str, count_by_fingerprint: dict[int, int]) -> bool:
        """Merge the counts of another instance, which only grow; return whether any was new."""
        is_new = False
        for value, count in count_by_fingerprint.items():
            reported = self._counts_for(value).reported
            if count > reported.get(origin, 0):
                reported[origin] = count
                is_new = True
        return is_new

    def is_poisonous(self, fingerprint: int) -> bool:
        """Return whether the request has reached the crash limit."""
        counts = self._counts_by_fingerprint.get(fingerprint)
        if counts is None:
            return False
        if self._monotonic() - counts.updated_at > CRASH_RETENTION_SECONDS:
            del self._counts_by_fingerprint[fingerprint]
            return False
        return counts.total >= self._limit

    def clear_crashes(self, fingerprint: int) -> bool:
        """Delete a request's counts after a complete response; return whether any were own ones."""
        counts = self._counts_by_fingerprint.pop(fingerprint, None)
        return counts is not None and counts.own > 0

    def discard_reports(self, origin: str) -> None:
        """Discard the counts reported by an instance that withdrew them or has ended."""
        for counts in self._counts_by_fingerprint.values():
            counts.reported.pop(origin, None)

    def own_crash_counts(self) -> dict[int, int]:
        """Return the crashes counted by this instance, to report them to peers."""
        return {value: s.own for value, s in self._counts_by_fingerprint.items() if s.own}

    def _counts_for(self, fingerprint: int) -> _CrashCounts:
        counts = self._counts_by_fingerprint.setdefault(fingerprint, _CrashCounts())
        counts.updated_at = self._monotonic()
        self._counts_by_fingerprint.move_to_end(fingerprint)
        while len(self._counts_by_fingerprint) > MAX_FINGERPRINTS:
            self._counts_by_fingerprint.popitem(last=False)
        return counts
