"""Links to other instances: accepting, dialling, and passing on what they say."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.models.address import Address
from cassiashore._internal.peers import link as links
from cassiashore._internal.peers.link import PeerLink
from cassiashore._internal.peers.messages import Identity, Message

logger = logging.getLogger(__name__)

REDIAL_SECONDS = 0.5  # an instance that starts again listens after half a second
_LINK_ERRORS = (OSError, asyncio.IncompleteReadError, ProtocolViolationError, TimeoutError)


class MeshListener:
    """Receives the events of a mesh; override what is needed."""

    def link_up(self, link: PeerLink) -> None:
        """Take note of a new link."""

    def link_down(self, link: PeerLink) -> None:
        """Take note that a link ended and no other one replaced it."""

    def received(self, link: PeerLink, message: Message) -> None:
        """Take in a message."""

    def refused(self, address: Address, known: frozenset[str]) -> None:
        """Take note that nothing listens at an address.

        ``known`` is what ``known_incarnations`` gave before the address was dialled: a run that
        started since then may listen by now.
        """

    def known_incarnations(self) -> frozenset[str]:
        """Return the incarnations that are known now."""
        return frozenset()


class Mesh:
    """Holds at most one link to each incarnation of another instance."""

    def __init__(self, own: Identity, key: bytes, listener: MeshListener) -> None:
        """Create a mesh without links."""
        self.own = own
        self.link_by_incarnation: dict[str, PeerLink] = {}
        self.ended_bytes_out = 0
        self.ended_messages_out = 0
        self._key = key
        self._listener = listener
        self._server: asyncio.Server | None = None
        self._dialling: dict[Address, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept links at an address; raise ``OSError`` when it is taken."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    async def close(self) -> None:
        """End all links and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in [*self._dialling.values(), *self._tasks]:
            task.cancel()
        for link in self.link_by_incarnation.values():
            link.close()

    def linked_to(self, address: Address) -> bool:
        """Tell whether there is a link to the instance at an address."""
        text = str(address)
        return any(link.peer.peer_address == text for link in self.link_by_incarnation.values())

    def ensure_link(self, address: Address) -> None:
        """Dial an address unless that was done already."""
        if address in self._dialling or self.linked_to(address):
            return
        if str(address) == self.own.peer_address:
            return
        task = asyncio.create_task(self._dial(address))
        self._dialling[address] = task
        task.add_done_callback(lambda _: self._dialling.pop(address, None))

    def links_in_domain(self) -> list[PeerLink]:
        """Return the links to instances of the own failure domain."""
        domain = self.own.failure_domain
        return [x for x in self.link_by_incarnation.values() if x.peer.failure_domain == domain]

    def links_to_other_domains(self) -> list[PeerLink]:
        """Return the links to instances of other failure domains."""
        domain = self.own.failure_domain
        return [x for x in self.link_by_incarnation.values() if x.peer.failure_domain != domain]

    def send(self, incarnation: str, message: Message) -> bool:
        """Send a message if there is a link; tell whether there was one."""
        link = self.link_by_incarnation.get(incarnation)
        if link is None:
            return False
        link.send(message)
        return True

    def broadcast(self, targets: Iterable[PeerLink], message: Message) -> None:
        """Send a message over several links."""
        for link in targets:
            link.send(message)

    def bytes_out(self) -> int:
        """Return the bytes sent over all links so far."""
        live = sum(link.bytes_out for link in self.link_by_incarnation.values())
        return self.ended_bytes_out + live

    def messages_out(self) -> int:
        """Return the messages sent over all links so far."""
        live = sum(link.messages_out for link in self.link_by_incarnation.values())
        return self.ended_messages_out + live

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            link = await links.accept(reader, writer, self.own, self._key)
        except _LINK_ERRORS as error:
            logger.warning("a peer connection was refused: %s", error)
            return
        await self._serve(link)

    async def _dial(self, address: Address) -> None:
        known = self._listener.known_incarnations()
        try:
            link = await links.dial(address, self.own, self._key)
        except ConnectionRefusedError:
            self._listener.refused(address, known)
            await asyncio.sleep(REDIAL_SECONDS)
            return
        except _LINK_ERRORS as error:
            logger.info("dialling peer %s failed: %s", address, error)
            await asyncio.sleep(REDIAL_SECONDS)
            return
        task = asyncio.create_task(self._serve(link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: PeerLink) -> None:
        if not self._adopt(link):
            link.abort()
            return
        try:
            while True:
                self._listener.received(link, await link.receive())
        except _LINK_ERRORS as error:
            logger.info("the link to %s ended: %s", link.peer.instance, error)
        finally:
            self._drop(link)

    def _adopt(self, link: PeerLink) -> bool:
        """Keep the link unless a better one to the same incarnation exists.

        Both sides keep the link that the smaller incarnation dialled. A second link in the same
        direction means that the other side gave up the first one.
        """
        if link.peer.incarnation == self.own.incarnation:
            return False
        existing = self.link_by_incarnation.get(link.peer.incarnation)
        if existing is not None:
            preferred = self.own.incarnation < link.peer.incarnation
            if link.dialled is not existing.dialled and link.dialled is not preferred:
                return False
            self._retire(existing)
        self.link_by_incarnation[link.peer.incarnation] = link
        self._listener.link_up(link)
        return True

    def _drop(self, link: PeerLink) -> None:
        link.abort()
        if self.link_by_incarnation.get(link.peer.incarnation) is link:
            self._retire(link)
            self._listener.link_down(link)

    def _retire(self, link: PeerLink) -> None:
        del self.link_by_incarnation[link.peer.incarnation]
        self.ended_bytes_out += link.bytes_out
        self.ended_messages_out += link.messages_out
        link.close()
