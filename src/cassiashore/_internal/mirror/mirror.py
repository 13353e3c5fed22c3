"""A local copy of the keys of the store, whose revision never decreases."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot

logger = logging.getLogger(__name__)

MAX_REMOVED_KEYS = 4096  # removals are remembered so that a late snapshot cannot restore keys
REMOVAL_DELAY_SECONDS = 2.0  # keys that expired in an outage are written again within this time

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
        self._removal_revision_by_key: dict[str, int] = {}
        self._deferred_keys: set[str] = set()
        self._recovered_at = float("-inf")

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with each changed key under a prefix, and its value (None: removed)."""
        self._listener_by_prefix[prefix] = listener

    @property
    def is_filled(self) -> bool:
        """Whether the mirror has ever been filled."""
        return self.revision > 0

    def items(self, prefix: str) -> list[Change]:
        """Return the items under a prefix."""
        return [item for key, item in self.item_by_key.items() if key.startswith(prefix)]

    def mark_current(self, now: float, age: float = 0.0) -> None:
        """Record that the mirror was current ``age`` seconds ago."""
        self.current_at = max(self.current_at, now - age)

    def record_recovery(self) -> None:
        """Record that the store is reachable again after an outage; defer removals from now on."""
        self._recovered_at = self._monotonic()

    def apply(self, batch: ChangeBatch) -> bool:
        """Apply a batch; return False and change nothing if earlier changes are missing."""
        if batch.after > self.revision:
            return False
        if batch.revision <= self.revision:
            return True
        changes = [c for c in batch.changes if c.revision > self.revision]
        for change in changes:
            self._apply_change(change)
        new_changes = ChangeBatch(self.revision, batch.revision, changes)
        self.revision = batch.revision
        self.on_batch(new_changes)
        return True

    def replace(self, snapshot: Snapshot) -> None:
        """Replace all keys by those of a snapshot, unless the mirror is newer."""
        if snapshot.revision < self.revision:
            return
        previous_revision = self.revision
        changes = [c for c in snapshot.items if self._is_newer(c)]
        present_keys = {item.key for item in snapshot.items}
        removed = [
            Change(key, snapshot.revision, None)
            for key, item in self.item_by_key.items()
            if key not in present_keys and item.revision <= snapshot.revision
        ]
        for change in [*changes, *removed]:
            self._apply_change(change)
        self.revision = snapshot.revision
        self.on_batch(ChangeBatch(previous_revision, snapshot.revision, [*changes, *removed]))

    def snapshot(self) -> Snapshot:
        """Return a snapshot of all keys."""
        return Snapshot(self.revision, list(self.item_by_key.values()))

    def apply_deferred_removals(self) -> None:
        """Notify the listeners of deferred removals whose delay has passed."""
        if self._deferred_keys and not self._defers_removals():
            deferred, self._deferred_keys = self._deferred_keys, set()
            for key in deferred:
                logger.info('key "%s" was not written again after the outage', key)
                self._notify(key, None)

    def _is_newer(self, change: Change) -> bool:
        existing = self.item_by_key.get(change.key)
        if existing is not None and existing.revision >= change.revision:
            return False
        return self._removal_revision_by_key.get(change.key, 0) < change.revision

    def _apply_change(self, change: Change) -> None:
        if change.value is not None:
            self.item_by_key[change.key] = change
            self._removal_revision_by_key.pop(change.key, None)
            self._deferred_keys.discard(change.key)
            self._notify(change.key, change.value)
            return
        if self.item_by_key.pop(change.key, None) is None:
            return
        self._removal_revision_by_key[change.key] = change.revision
        while len(self._removal_revision_by_key) > MAX_REMOVED_KEYS:
            del self._removal_revision_by_key[next(iter(self._removal_revision_by_key))]
        if self._defers_removals():
            self._deferred_keys.add(change.key)
            self.on_removal_deferred(change.key)
        else:
            self._notify(change.key, None)

    def _defers_removals(self) -> bool:
        return self._monotonic() - self._recovered_at < REMOVAL_DELAY_SECONDS

    def _notify(self, key: str, value: bytes | None) -> None:
        for prefix, listener in self._listener_by_prefix.items():
            if not key.startswith(prefix):
                continue
            try:
                listener(key.removeprefix(prefix), value)
            except Exception:
                # Ending the process would not help: it would read the same value after a restart.
                logger.exception('the value of key "%s" could not be applied', key)
