"""An authenticated stream between two instances.

A frame is a 4-byte big-endian length followed by one msgpack message. Before any other message is
read, each side proves that it knows the peer key by signing the other's nonce (HMAC-SHA-256).
"""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
import socket
import struct

import msgspec

from cassiashore._internal.exceptions import ProtocolViolationError
from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.peers import messages
from cassiashore._internal.peers.messages import Hello, Identity, Message, Proof

MAX_FRAME_BYTES = 16 << 20  # for a store snapshot of some thousand entries and values of 1 MB
# An identity takes some hundred bytes; limits what an unauthenticated peer can make this side read.
MAX_HANDSHAKE_FRAME_BYTES = 2048
HANDSHAKE_SECONDS = 2.0  # several times the longest round trip
SEND_BUFFER_BYTES = 32 << 20  # two frames of the maximum size
# TCP closes a link whose data is not acknowledged for this long. It exceeds the time that followers
# wait for a message. By default the kernel retransmits to a machine without power for minutes.
UNACKNOWLEDGED_MS = 5000
NONCE_BYTES = 16  # 128 bits, infeasible to guess
_LENGTH = struct.Struct(">I")


class PeerLink:
    """One stream to one incarnation of another instance."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: Identity,
        *,
        dialled: bool,
    ) -> None:
        """Wrap a stream after its handshake; ``dialled`` is true if this side opened it."""
        self.peer = peer
        self.dialled = dialled
        self.bytes_out = 0
        self.messages_out = 0
        self._reader = reader
        self._writer = writer

    def send(self, message: Message) -> None:
        """Queue a message; abort the link if the peer reads too slowly and the buffer is full."""
        payload = messages.encode(message)
        self.bytes_out += len(payload) + _LENGTH.size
        self.messages_out += 1
        if self._writer.is_closing():
            return
        self._writer.write(_LENGTH.pack(len(payload)) + payload)
        if self._writer.transport.get_write_buffer_size() > SEND_BUFFER_BYTES:
            self._writer.transport.abort()

    async def receive(self) -> Message:
        """Wait for the next message.

        Raise ``ProtocolViolationError`` for an invalid message, ``OSError`` or
        ``asyncio.IncompleteReadError`` when the stream ends.
        """
        return await _read_frame(self._reader, MAX_FRAME_BYTES)

    def close(self) -> None:
        """Close the stream after sending the queued messages."""
        self._writer.close()

    def abort(self) -> None:
        """Close the stream immediately."""
        self._writer.transport.abort()


async def dial(address: Address, own: Identity, key: bytes) -> PeerLink:
    """Open a link; raise ``OSError``, ``TimeoutError`` or ``ProtocolViolationError``."""
    async with asyncio.timeout(HANDSHAKE_SECONDS):
        reader, writer = await asyncio.open_connection(address.host, address.port)
    return await _handshake(reader, writer, own, key, dialled=True)


async def accept(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own: Identity, key: bytes
) -> PeerLink:
    """Complete a link that another instance opened; raise the same errors as ``dial``."""
    return await _handshake(reader, writer, own, key, dialled=False)


async def _handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    own: Identity,
    key: bytes,
    *,
    dialled: bool,
) -> PeerLink:
    nonce = secrets.token_bytes(NONCE_BYTES)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            _write_frame(writer, Hello(messages.PROTOCOL_VERSION, own, nonce))
            hello = await _read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
            if not isinstance(hello, Hello) or hello.protocol != messages.PROTOCOL_VERSION:
                raise ProtocolViolationError(
                    "the first message was not a hello of a supported protocol version"
                )
            _write_frame(writer, Proof(_sign(key, hello.nonce, own)))
            proof = await _read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
            if not isinstance(proof, Proof):
                raise ProtocolViolationError(
                    "the peer did not send a proof that it has the peer key"
                )
            if not hmac.compare_digest(proof.mac, _sign(key, nonce, hello.identity)):
                raise ProtocolViolationError("the peer used a different peer key")
    except BaseException:
        writer.transport.abort()
        raise
    return PeerLink(reader, writer, hello.identity, dialled=dialled)


def _sign(key: bytes, nonce: bytes, signer: Identity) -> bytes:
    identity = msgspec.msgpack.encode(signer)
    return hmac.new(key, nonce + identity, hashlib.sha256).digest()


def _write_frame(writer: asyncio.StreamWriter, message: Message) -> None:
    payload = messages.encode(message)
    writer.write(_LENGTH.pack(len(payload)) + payload)


async def _read_frame(reader: asyncio.StreamReader, limit: int) -> Message:
    prefix = await reader.readexactly(_LENGTH.size)
    (length,) = _LENGTH.unpack(prefix)
    if length > limit:
        raise ProtocolViolationError(
            f"a frame of {length} bytes exceeds the limit of {limit} bytes"
        )
    payload = await reader.readexactly(length)
    try:
        return messages.decode(payload)
    except DECODE_ERRORS as error:
        raise ProtocolViolationError(f"a frame contains no valid message: {error}") from error
