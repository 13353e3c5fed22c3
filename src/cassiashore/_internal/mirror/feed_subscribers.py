"""The streams of those who have the store's changes from this instance."""

from __future__ import annotations

from collections.abc import Iterable

from cassiashore._internal.mirror.mirror import StoreMirror
from cassiashore._internal.mirror.recent_changes import RecentChanges
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import FeedChanges, FeedRequest, FeedSnapshot, pack
from cassiashore._internal.store.events import ChangeBatch


class FeedSubscribers:
    """Streams that get changes, and streams on standby, which get beats only."""

    def __init__(self, mirror: StoreMirror) -> None:
        """Start without streams and pass on what the mirror takes in."""
        self.active: set[PeerLink] = set()
        self.standby: set[PeerLink] = set()
        self._mirror = mirror
        self._recent = RecentChanges()
        self._packed: tuple[int, bytes] = (0, b"")
        mirror.on_batch = self._publish

    def all(self) -> set[PeerLink]:
        """Return all streams."""
        return self.active | self.standby

    def subscribe(self, link: PeerLink, wanted: FeedRequest) -> None:
        """Send what a stream lacks and then each change, or only beats."""
        if wanted.is_standby:
            self.active.discard(link)
            self.standby.add(link)
            return
        self._bring_up_to_date(link, wanted.revision)
        self.standby.discard(link)
        self.active.add(link)

    def drop(self, links: Iterable[PeerLink]) -> None:
        """Send nothing more to streams."""
        self.active.difference_update(links)
        self.standby.difference_update(links)

    def _bring_up_to_date(self, link: PeerLink, revision: int) -> None:
        if not self._mirror.is_filled or revision >= self._mirror.revision:
            return
        missing = self._recent.after(revision)
        if missing is not None:
            link.send(FeedChanges(pack(missing)))
        else:
            link.send(FeedSnapshot(self._packed_snapshot()))

    def _packed_snapshot(self) -> bytes:
        """Return the copy as it goes out; after a restart of all instances many ask for it."""
        if self._packed[0] != self._mirror.revision:
            self._packed = (self._mirror.revision, pack(self._mirror.snapshot()))
        return self._packed[1]

    def _publish(self, batch: ChangeBatch) -> None:
        self._recent.add(batch)
        if self.active:
            message = FeedChanges(pack(batch))
            for link in self.active:
                link.send(message)
