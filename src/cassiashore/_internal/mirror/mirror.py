"""A local copy of the keys of the store, whose position never decreases."""

from __future__ import annotations

import logging
from collections.abc import Callable

from cassiashore._internal.store.events import Change, ChangeBatch, Snapshot, StorePosition

logger = logging.getLogger(__name__)

MAX_REMOVED_KEYS = 4096  # removals are remembered so that a late snapshot cannot restore keys
REMOVAL_DELAY_SECONDS = 2.0  # keys that expired in an outage are written again within this time

Listener = Callable[[str, bytes | None], None]


class StoreMirror:
    """Keys with values and revisions, and listeners by key prefix.

    Changes come from watching the store or from another instance that does. Anything older than
    what is known has no effect, so both sources may be used side by side. All items belong to one
    era of the store; only a snapshot leads to a later one.

    For ``REMOVAL_DELAY_SECONDS`` after an outage or a restore, removals are deferred: keys whose
    lease expired during the outage, or that the restored copy lacks, are about to be written again.
    ``on_removal_deferred`` is called for each. Likewise, listeners are told later of keys that only
    the restored copy has: they had been removed, and their writers may have ended.
    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        """Create an empty mirror."""
        self.era = 0
        self.latest_era = 0  # of all that were reported, also by other calls and instances
        self.revision = 0
        self.item_by_key: dict[str, Change] = {}
        self.current_at = float("-inf")
        self.on_batch: Callable[[ChangeBatch], None] = lambda batch: None
        self.on_removal_deferred: Callable[[str], None] = lambda key: None
        self._monotonic = monotonic
        self._listener_by_prefix: dict[str, Listener] = {}
        self._removal_revision_by_key: dict[str, int] = {}
        self._deferred_keys: set[str] = set()
        self._returned_keys: set[str] = set()  # of which no listener has been told yet
        self._recovered_at = float("-inf")

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with each changed key under a prefix, and its value (None: removed)."""
        self._listener_by_prefix[prefix] = listener

    @property
    def is_filled(self) -> bool:
        """Whether the mirror has ever been filled."""
        return self.position > StorePosition(0, 0)

    @property
    def position(self) -> StorePosition:
        """Return the state of the store that the mirror has."""
        return StorePosition(self.era, self.revision)

    @property
    def is_in_latest_era(self) -> bool:
        """Whether revisions of the mirror belong to the latest era, as far as is known."""
        return self.era == self.latest_era

    def record_era(self, era: int) -> None:
        """Record that the store is in an era or a later one."""
        self.latest_era = max(self.latest_era, era)

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
        """Apply a batch; return False and change nothing if earlier changes are missing.

        A batch of an earlier era is ignored; before one of a later era, a snapshot is missing.
        """
        self.record_era(batch.era)
        if batch.era < self.era:
            return True
        if batch.era > self.era or batch.after > self.revision:
            return False
        if batch.revision <= self.revision:
            return True
        changes = [c for c in batch.changes if c.revision > self.revision]
        for change in changes:
            self._apply_change(change)
        new_changes = ChangeBatch(self.revision, batch.revision, changes, self.era)
        self.revision = batch.revision
        self.on_batch(new_changes)
        return True

    def replace(self, snapshot: Snapshot) -> None:
        """Replace all keys by those of a snapshot, unless the mirror is newer."""
        self.record_era(snapshot.era)
        if snapshot.position < self.position:
            return
        if snapshot.era > self.era:
            self._enter_era(snapshot)
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
        changes = [*changes, *removed]
        self.on_batch(ChangeBatch(previous_revision, snapshot.revision, changes, self.era))

    def _enter_era(self, snapshot: Snapshot) -> None:
        """Replace all keys, whatever their revisions, by those of the first snapshot of an era.

        Keys that return with the copy take effect when they are written again, or after the delay.

        Listeners are not called with values that they have: a report of a target that is applied
        again would keep it cold for longer. ``on_batch`` gets an empty batch of the new era.
        """
        was_filled = self.is_filled
        if was_filled:
            logger.warning(
                "the store was restored: era %d, revision %d, after era %d, revision %d",
                *snapshot.position,
                *self.position,
            )
            self.record_recovery()
        self._removal_revision_by_key.clear()
        present_keys = {item.key for item in snapshot.items}
        removed = [
            Change(key, snapshot.revision, None)
            for key in self.item_by_key
            if key not in present_keys
        ]
        for change in [*snapshot.items, *removed]:
            known = self.item_by_key.get(change.key)
            if known is not None and known.value == change.value:
                self.item_by_key[change.key] = change
            elif change.value is not None and was_filled and self._is_returned(change.key):
                self.item_by_key[change.key] = change
                self._returned_keys.add(change.key)
            else:
                self._apply_change(change)
        self.era, self.revision = snapshot.position
        self.on_batch(ChangeBatch(self.revision, self.revision, [], self.era))

    def snapshot(self) -> Snapshot:
        """Return a snapshot of all keys."""
        return Snapshot(self.revision, list(self.item_by_key.values()), self.era)

    def apply_deferred_changes(self) -> None:
        """Notify the listeners of deferred removals and of returned keys, after their delay."""
        if self._defers_removals():
            return
        returned, self._returned_keys = self._returned_keys, set()
        for key in returned:
            self._notify(key, self.item_by_key[key].value)
        if self._deferred_keys:
            deferred, self._deferred_keys = self._deferred_keys, set()
            for key in deferred:
                logger.info('key "%s" was not written again after the outage', key)
                self._notify(key, None)

    def _is_returned(self, key: str) -> bool:
        """Whether no listener has a key that is in the first snapshot of an era."""
        is_absent = key not in self.item_by_key and key not in self._deferred_keys
        return is_absent or key in self._returned_keys

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
            self._returned_keys.discard(change.key)
            self._notify(change.key, change.value)
            return
        if self.item_by_key.pop(change.key, None) is None:
            return
        self._removal_revision_by_key[change.key] = change.revision
        while len(self._removal_revision_by_key) > MAX_REMOVED_KEYS:
            del self._removal_revision_by_key[next(iter(self._removal_revision_by_key))]
        if change.key in self._returned_keys:
            self._returned_keys.discard(change.key)
        elif self._defers_removals():
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
