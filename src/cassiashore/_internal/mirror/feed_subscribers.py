"""Sends the changes of the store to the subscribers of this instance."""

from __future__ import annotations

from collections.abc import Iterable

from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.recent_changes import RecentChanges
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import FeedChanges, FeedRequest, FeedSnapshot, pack
from cassiashore._internal.store.events import ChangeBatch, StorePosition


class FeedSubscribers:
    """Active streams, which receive changes, and standby streams, which get heartbeats only."""

    def __init__(self, mirror: StoreMirror) -> None:
        """Create the set without streams, and publish each batch that the mirror applies."""
        self.active: set[PeerLink] = set()
        self.standby: set[PeerLink] = set()
        self._mirror = mirror
        self._recent = RecentChanges()
        self._published_era = 0
        self._cached_snapshot: tuple[StorePosition, bytes] = (StorePosition(0, 0), b"")
        mirror.on_batch = self._publish

    def all(self) -> set[PeerLink]:
        """Return the active and standby streams."""
        return self.active | self.standby

    def subscribe(self, link: PeerLink, request: FeedRequest) -> None:
        """Put a stream on standby, or send the changes that it lacks and then each new one."""
        if request.is_standby:
            self.active.discard(link)
            self.standby.add(link)
            return
        self._send_missing(link, StorePosition(request.era, request.revision))
        self.standby.discard(link)
        self.active.add(link)

    def drop(self, links: Iterable[PeerLink]) -> None:
        """Remove streams."""
        self.active.difference_update(links)
        self.standby.difference_update(links)

    def _send_missing(self, link: PeerLink, known: StorePosition) -> None:
        if not self._mirror.is_filled or known >= self._mirror.position:
            return
        missing = self._recent.after(known.revision, known.era)
        if missing is not None:
            link.send(FeedChanges(pack(missing)))
        else:
            link.send(FeedSnapshot(self._packed_snapshot()))

    def _packed_snapshot(self) -> bytes:
        """Return the packed snapshot, cached since many request it after a restart of all."""
        if self._cached_snapshot[0] != self._mirror.position:
            self._cached_snapshot = (self._mirror.position, pack(self._mirror.snapshot()))
        return self._cached_snapshot[1]

    def _publish(self, batch: ChangeBatch) -> None:
        """Send a batch, or the first snapshot of an era, to the active streams."""
        self._recent.add(batch)
        is_new_era, self._published_era = batch.era != self._published_era, batch.era
        if not self.active:
            return
        message: FeedSnapshot | FeedChanges = (
            FeedSnapshot(self._packed_snapshot()) if is_new_era else FeedChanges(pack(batch))
        )
        for link in self.active:
            link.send(message)
