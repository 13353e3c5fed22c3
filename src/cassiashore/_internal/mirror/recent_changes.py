"""Buffer of recent changes, for subscribers that have all earlier ones.

Load pattern: instances change their sources whenever one of hundreds starts or ends, and then lack
a few changes. Snapshots would be most of the traffic of a source if each of them got one.
"""

from __future__ import annotations

from collections import deque

from cassiashore._internal.store.events import ChangeBatch

# A fifth of the keys of the largest deployment; with more changes a snapshot costs no more.
MAX_CHANGES = 1000
# Of values, each of which may have 1 MB. A fiftieth of the memory of the smallest machine.
MAX_BYTES = 4 << 20


class RecentChanges:
    """The last batches of changes, without a gap.

    A batch counts as one change more than it contains, which bounds the number of empty batches.
    The last batch is kept whatever its size.
    """

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._batches: deque[ChangeBatch] = deque()
        self._count = 0
        self._bytes = 0

    def add(self, batch: ChangeBatch) -> None:
        """Append a batch; drop the earlier ones if there is a gap, or the oldest ones if full.

        The first batch of an era follows a gap.
        """
        last = self._batches[-1] if self._batches else batch
        if last is not batch and (last.era, last.revision) != (batch.era, batch.after):
            self._batches.clear()
            self._count = self._bytes = 0
        self._batches.append(batch)
        self._count += 1 + len(batch.changes)
        self._bytes += _value_bytes(batch)
        while len(self._batches) > 1 and (self._count > MAX_CHANGES or self._bytes > MAX_BYTES):
            oldest = self._batches.popleft()
            self._count -= 1 + len(oldest.changes)
            self._bytes -= _value_bytes(oldest)

    def after(self, revision: int, era: int = 0) -> ChangeBatch | None:
        """Return all changes after a revision of an era, or None if some of them are not kept.

        >>> recent = RecentChanges()
        >>> recent.add(ChangeBatch(5, 7, []))
        >>> recent.after(4), recent.after(6)
        (None, ChangeBatch(after=6, revision=7, changes=[], era=0))
        """
        if not self._batches or revision < self._batches[0].after or era != self._batches[0].era:
            return None
        changes = [
            change
            for batch in self._batches
            if batch.revision > revision
            for change in batch.changes
            if change.revision > revision
        ]
        return ChangeBatch(revision, self._batches[-1].revision, changes, era)


def _value_bytes(batch: ChangeBatch) -> int:
    return sum(len(change.value or b"") for change in batch.changes)
