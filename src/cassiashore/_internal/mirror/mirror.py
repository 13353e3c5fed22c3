"""A local copy of the store's keys that only moves forward."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot

logger = logging.getLogger(__name__)

MAX_REMOVED_KEYS = 4096  # removals remembered, so that a late copy does not bring keys back
REMOVAL_DELAY_SECONDS = 2.0  # entries that lapsed in an outage are written again within this time

Listener = Callable[[str, bytes | None], None]


class StoreMirror:
    """Keys with values and revisions, and listeners by key prefix.

    Changes come from watching the store or from another instance that does. Anything older than
    what is known has no effect, so both sources may be used side by side.

    For ``REMOVAL_DELAY_SECONDS`` after an outage, removals are deferred: keys whose lease expired
    during the outage are about to be written again. ``on_removal_deferred`` is called for each.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Create an empty mirror."""
        self.revision = 0
        self.item_by_key: dict[str, Change] = {}
        self.current_at = float("-inf")
        self.on_batch: Callable[[ChangeBatch], None] = lambda batch: None
        self.on_removal_deferred: Callable[[str], None] = lambda key: None
        self._monotonic = monotonic
        self._listener_by_prefix: dict[str, Listener] = {}
        self._removed_at: dict[str, int] = {}
        self._held_removals: set[str] = set()
        self._returned_at = float("-inf")

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with each change of keys under a prefix; None means removed."""
        self._listener_by_prefix[prefix] = listener

    @property
    def is_filled(self) -> bool:
        """Tell whether the mirror has ever been filled."""
        return self.revision > 0

    def items(self, prefix: str) -> list[Change]:
        """Return the items under a prefix."""
        return [item for key, item in self.item_by_key.items() if key.startswith(prefix)]

    def mark_current(self, now: float, age: float = 0.0) -> None:
        """Take in that the mirror was current ``age`` seconds ago."""
        self.current_at = max(self.current_at, now - age)

    def record_recovery(self) -> None:
        """Take in that the store answers again after an outage."""
        self._returned_at = self._monotonic()

    def apply(self, batch: ChangeBatch) -> bool:
        """Apply a batch; return False, changing nothing, if changes before it are missing."""
        if batch.after > self.revision:
            return False
        if batch.revision <= self.revision:
            return True
        changes = [c for c in batch.changes if c.revision > self.revision]
        for change in changes:
            self._take(change)
        news = ChangeBatch(self.revision, batch.revision, changes)
        self.revision = batch.revision
        self.on_batch(news)
        return True

    def replace(self, snapshot: Snapshot) -> None:
        """Take over a whole copy, unless a later one is known."""
        if snapshot.revision < self.revision:
            return
        before = self.revision
        changes = [c for c in snapshot.items if self._is_news(c)]
        present = {item.key for item in snapshot.items}
        removed = [
            Change(key, snapshot.revision, None)
            for key, item in self.item_by_key.items()
            if key not in present and item.revision <= snapshot.revision
        ]
        for change in [*changes, *removed]:
            self._take(change)
        self.revision = snapshot.revision
        self.on_batch(ChangeBatch(before, snapshot.revision, [*changes, *removed]))

    def snapshot(self) -> Snapshot:
        """Return a whole copy."""
        return Snapshot(self.revision, list(self.item_by_key.values()))

    def apply_deferred_removals(self) -> None:
        """Carry out removals that were held back long enough."""
        if self._held_removals and not self._holds_back():
            held, self._held_removals = self._held_removals, set()
            for key in held:
                logger.info('key "%s" did not come back after the outage', key)
                self._tell(key, None)

    def _is_news(self, change: Change) -> bool:
        known = self.item_by_key.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        return self._removed_at.get(change.key, 0) < change.revision

    def _take(self, change: Change) -> None:
        if change.value is not None:
            self.item_by_key[change.key] = change
            self._removed_at.pop(change.key, None)
            self._held_removals.discard(change.key)
            self._tell(change.key, change.value)
            return
        if self.item_by_key.pop(change.key, None) is None:
            return
        self._removed_at[change.key] = change.revision
        while len(self._removed_at) > MAX_REMOVED_KEYS:
            del self._removed_at[next(iter(self._removed_at))]
        if self._holds_back():
            self._held_removals.add(change.key)
            self.on_removal_deferred(change.key)
        else:
            self._tell(change.key, None)

    def _holds_back(self) -> bool:
        return self._monotonic() - self._returned_at < REMOVAL_DELAY_SECONDS

    def _tell(self, key: str, value: bytes | None) -> None:
        for prefix, listener in self._listener_by_prefix.items():
            if not key.startswith(prefix):
                continue
            try:
                listener(key.removeprefix(prefix), value)
            except Exception:
                # Each restart would read the same value again and fail on it again.
                logger.exception('the value of key "%s" could not be applied', key)
