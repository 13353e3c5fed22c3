"""Links to other instances: accepts and dials them, and dispatches received messages."""

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

REDIAL_SECONDS = 0.5  # a restarted instance listens after half a second
_LINK_ERRORS = (OSError, asyncio.IncompleteReadError, ProtocolViolationError, TimeoutError)


class MeshListener:
    """Callbacks for the events of a mesh; subclasses override what they need."""

    def link_up(self, link: PeerLink) -> None:
        """Handle a new link."""

    def link_down(self, link: PeerLink) -> None:
        """Handle the end of a link that was not replaced by another one."""

    def received(self, link: PeerLink, message: Message) -> None:
        """Handle a message."""

    def connection_refused(self, address: Address, known: frozenset[str]) -> None:
        """Handle a refused connection: nothing listens at an address.

        ``known`` is the result of ``known_incarnations`` before the address was dialled. It
        excludes incarnations that started since then and may be listening now.
        """

    def known_incarnations(self) -> frozenset[str]:
        """Return the incarnations that are currently known."""
        return frozenset()


class Mesh:
    """Holds at most one link to each incarnation of another instance."""

    def __init__(self, own: Identity, key: bytes, listener: MeshListener) -> None:
        """Create a mesh without links."""
        self.own = own
        self.link_by_incarnation: dict[str, PeerLink] = {}
        self.closed_bytes_out = 0
        self.closed_messages_out = 0
        self._key = key
        self._listener = listener
        self._server: asyncio.Server | None = None
        self._dialling: dict[Address, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept links at an address; raise ``OSError`` if it is in use."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    async def close(self) -> None:
        """Close all links and stop listening."""
        if self._server is not None:
            self._server.close()
        for task in [*self._dialling.values(), *self._tasks]:
            task.cancel()
        for link in self.link_by_incarnation.values():
            link.close()

    def linked_to(self, address: Address) -> bool:
        """Return whether there is a link to the instance at an address."""
        text = str(address)
        return any(link.peer.peer_address == text for link in self.link_by_incarnation.values())

    def ensure_link(self, address: Address) -> None:
        """Dial an address unless it is linked or being dialled already."""
        if address in self._dialling or self.linked_to(address):
            return
        if str(address) == self.own.peer_address:
            return
        task = asyncio.create_task(self._dial(address))
        self._dialling[address] = task
        task.add_done_callback(lambda _: self._dialling.pop(address, None))

    def links_in_domain(self) -> list[PeerLink]:
        """Return the links to instances of this failure domain."""
        domain = self.own.failure_domain
        return [x for x in self.link_by_incarnation.values() if x.peer.failure_domain == domain]

    def links_to_other_domains(self) -> list[PeerLink]:
        """Return the links to instances of other failure domains."""
        domain = self.own.failure_domain
        return [x for x in self.link_by_incarnation.values() if x.peer.failure_domain != domain]

    def send(self, incarnation: str, message: Message) -> bool:
        """Send a message if there is a link; return whether there was one."""
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
        return self.closed_bytes_out + live

    def messages_out(self) -> int:
        """Return the messages sent over all links so far."""
        live = sum(link.messages_out for link in self.link_by_incarnation.values())
        return self.closed_messages_out + live

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            link = await links.accept(reader, writer, self.own, self._key)
        except _LINK_ERRORS as error:
            logger.warning("rejected an incoming peer connection: %s", error)
            return
        await self._serve(link)

    async def _dial(self, address: Address) -> None:
        known = self._listener.known_incarnations()
        try:
            link = await links.dial(address, self.own, self._key)
        except ConnectionRefusedError:
            self._listener.connection_refused(address, known)
            await asyncio.sleep(REDIAL_SECONDS)
            return
        except _LINK_ERRORS as error:
            logger.info("could not connect to peer %s: %s", address, error)
            await asyncio.sleep(REDIAL_SECONDS)
            return
        task = asyncio.create_task(self._serve(link))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: PeerLink) -> None:
        if not self._register(link):
            link.abort()
            return
        try:
            while True:
                self._listener.received(link, await link.receive())
        except _LINK_ERRORS as error:
            logger.info("the link to %s was closed: %s", link.peer.instance, error)
        finally:
            self._remove(link)

    def _register(self, link: PeerLink) -> bool:
        """Register the link unless a preferred one to the same incarnation exists.

        Of two links, both sides keep the one that the smaller incarnation dialled. A second link in
        the same direction replaces the first, which the other side has given up.
        """
        if link.peer.incarnation == self.own.incarnation:
            return False
        existing = self.link_by_incarnation.get(link.peer.incarnation)
        if existing is not None:
            preferred = self.own.incarnation < link.peer.incarnation
            if link.dialled is not existing.dialled and link.dialled is not preferred:
                return False
            self._unregister(existing)
        self.link_by_incarnation[link.peer.incarnation] = link
        self._listener.link_up(link)
        return True

    def _remove(self, link: PeerLink) -> None:
        link.abort()
        if self.link_by_incarnation.get(link.peer.incarnation) is link:
            self._unregister(link)
            self._listener.link_down(link)

    def _unregister(self, link: PeerLink) -> None:
        del self.link_by_incarnation[link.peer.incarnation]
        self.closed_bytes_out += link.bytes_out
        self.closed_messages_out += link.messages_out
        link.close()
