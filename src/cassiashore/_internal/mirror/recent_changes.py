"""The changes of the last seconds, for those who know all that was before.

Load pattern: instances change their sources whenever one of hundreds starts or ends, and then lack
a few changes. A whole copy of the store for each would be most of what a source sends.
"""

from __future__ import annotations

from collections import deque

from cassiashore._internal.store.events import ChangeBatch

MAX_CHANGES = 1000  # a fifth of the keys of the largest deployment; beyond it a copy is as good
MAX_BYTES = 4 << 20  # of values, which may have 1 MB each: a fiftieth of the smallest memory


class RecentChanges:
    """Batches of changes without a gap; each batch counts as a change beside its own.

    The last batch is kept whatever its size.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._batches: deque[ChangeBatch] = deque()
        self._count = 0
        self._bytes = 0

    def add(self, batch: ChangeBatch) -> None:
        """Take in the next batch."""
        if self._batches and self._batches[-1].revision != batch.after:
            self._batches.clear()
            self._count = self._bytes = 0
        self._batches.append(batch)
        self._count += 1 + len(batch.changes)
        self._bytes += _value_bytes(batch)
        while len(self._batches) > 1 and (self._count > MAX_CHANGES or self._bytes > MAX_BYTES):
            oldest = self._batches.popleft()
            self._count -= 1 + len(oldest.changes)
            self._bytes -= _value_bytes(oldest)

    def after(self, revision: int) -> ChangeBatch | None:
        """Return all changes after a revision; None when some of them are not kept.

        >>> recent = RecentChanges()
        >>> recent.add(ChangeBatch(5, 7, []))
        >>> recent.after(4), recent.after(6)
        (None, ChangeBatch(after=6, revision=7, changes=[]))
        """
        if not self._batches or revision < self._batches[0].after:
            return None
        changes = [
            change
            for batch in self._batches
            if batch.revision > revision
            for change in batch.changes
            if change.revision > revision
        ]
        return ChangeBatch(revision, self._batches[-1].revision, changes)


def _value_bytes(batch: ChangeBatch) -> int:
    return sum(len(change.value or b"") for change in batch.changes)
