"""Renewal of a lease through another instance.

Load pattern: a third of the instances are cut off from the store for twelve seconds, while callers
and the other instances reach them. If their leases run out, callers are sent to instances with less
room, which are not needed otherwise, and come back when the cut is over.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import RenewalReply, RenewalRequest

ANSWER_SECONDS = 0.8  # a call to the store and a round trip; the rest of the lease allows two

Renew = Callable[[RenewalRequest], Awaitable[bool]]


class PeerRenewals:
    """Asks other instances to renew the own lease, and renews theirs."""

    def __init__(self) -> None:
        """Start without requests; ``renew`` calls the store for other instances."""
        self.renew: Renew | None = None
        self._answer_by_lease: dict[int, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def ask(self, wanted: RenewalRequest, links: Iterable[PeerLink]) -> bool:
        """Ask instances one after the other; tell whether one of them renewed the lease."""
        lease_id = wanted.lease_id
        for link in list(links):
            answer = asyncio.get_running_loop().create_future()
            self._answer_by_lease[lease_id] = answer
            link.send(wanted)
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    if await answer:
                        return True
            except TimeoutError:
                continue
            finally:
                self._answer_by_lease.pop(lease_id, None)
        return False

    def answered(self, message: RenewalReply) -> None:
        """Take in an answer; a late one has no effect."""
        answer = self._answer_by_lease.get(message.lease_id)
        if answer is not None and not answer.done():
            answer.set_result(message.is_renewed)

    def wanted(self, link: PeerLink, message: RenewalRequest) -> None:
        """Renew the lease of another instance."""
        task = asyncio.create_task(self._serve(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: PeerLink, wanted: RenewalRequest) -> None:
        is_renewed = self.renew is not None and await self.renew(wanted)
        link.send(RenewalReply(wanted.lease_id, is_renewed))
