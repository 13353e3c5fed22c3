"""Renewal of a lease by way of another instance.

Load pattern: a third of the instances are cut off from the store for twelve seconds, while callers
and the other instances can still reach them. If their leases expired, callers would be sent to
instances with less capacity that are not needed otherwise, and back again after the partition.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import RenewalReply, RenewalRequest

# Covers a call to the store and a round trip; two requests fit into the rest of the lease.
REPLY_TIMEOUT_SECONDS = 0.8

Renew = Callable[[RenewalRequest], Awaitable[bool]]


class PeerRenewals:
    """Requests renewals of the own lease from other instances, and renews their leases."""

    def __init__(self) -> None:
        """Create an instance without requests; ``renew`` is called to serve other instances."""
        self.renew: Renew | None = None
        self._reply_by_lease: dict[int, asyncio.Future[bool]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def request_renewal(self, request: RenewalRequest, links: Iterable[PeerLink]) -> bool:
        """Ask instances one after the other; return whether one of them renewed the lease."""
        lease_id = request.lease_id
        for link in list(links):
            reply = asyncio.get_running_loop().create_future()
            self._reply_by_lease[lease_id] = reply
            link.send(request)
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    if await reply:
                        return True
            except TimeoutError:
                continue
            finally:
                self._reply_by_lease.pop(lease_id, None)
        return False

    def handle_reply(self, message: RenewalReply) -> None:
        """Complete the request that waits for a reply; late replies are ignored."""
        reply = self._reply_by_lease.get(message.lease_id)
        if reply is not None and not reply.done():
            reply.set_result(message.is_renewed)

    def handle_request(self, link: PeerLink, message: RenewalRequest) -> None:
        """Renew the lease of another instance in the background, and send the result."""
        task = asyncio.create_task(self._renew_for(link, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _renew_for(self, link: PeerLink, request: RenewalRequest) -> None:
        is_renewed = self.renew is not None and await self.renew(request)
        link.send(RenewalReply(request.lease_id, is_renewed))
