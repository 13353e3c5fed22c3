"""Messages between instances, encoded as msgpack arrays."""

from __future__ import annotations

import zlib
from typing import Any, TypeVar

import msgspec

from cassiashore._internal.catalogue.manifest import Manifest
from cassiashore._internal.store.client import ListedInstance
from cassiashore._internal.store.events import ChangeBatch, Snapshot

PROTOCOL_VERSION = 1  # changes with the meaning of a message


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages; the tag is the first element of the array."""


class Identity(_Message, frozen=True):
    """Names one run of an instance and where it can be reached."""

    instance: str
    incarnation: str
    failure_domain: str
    address: str
    peer_address: str


class Hello(_Message, frozen=True, tag=1):
    """Opens a stream: who is speaking, and a nonce that the other side must sign."""

    protocol: int
    identity: Identity
    nonce: bytes


class Proof(_Message, frozen=True, tag=2):
    """Signs the other side's nonce with the peer key."""

    mac: bytes


class ServiceLoad(_Message, frozen=True):
    """Slots of one service that an instance admits to: free, in all, and requests waiting."""

    service: str
    free: int
    total: int
    queued: int
    latency_ms: float


class Heartbeat(_Message, frozen=True, tag=3):
    """Tells that an instance is running, and its state.

    ``settled`` tells that every member that it knows has reported to it, so it may be given rights.
    ``key_slot`` is the current time slot of its request keys. ``holds_revision`` counts changes
    of the targets that it holds. ``loads`` is None when nothing changed since the last heartbeat.
    """

    sequence: int
    leaving: bool
    ready: bool
    synchronized: bool
    version: int
    key_slot: int
    rights_revision: int
    loads: list[ServiceLoad] | None


class RightsReport(_Message, frozen=True, tag=4):
    """Lists the targets whose admission right the sender holds, and those it claims."""

    revision: int
    held: list[str]
    claimed: list[str]


class ClaimRequest(_Message, frozen=True, tag=5):
    """Asks a member to agree that the sender takes the admission right of targets."""

    revision: int
    targets: list[str]


class ClaimReply(_Message, frozen=True, tag=6):
    """Lists the targets of a claim to which the sender agrees, at the claim's revision."""

    revision: int
    agreed: list[str]


class HandOver(_Message, frozen=True, tag=7):
    """Passes the admission right of targets to the receiver; the sender no longer holds them.

    ``receiver_revision`` is the newest revision of the receiver that the sender has seen;
    ``sender_revision`` is the sender's own after giving up.
    """

    receiver_revision: int
    sender_revision: int
    targets: list[str]


class Members(_Message, frozen=True, tag=8):
    """Lists members of the sender's failure domain that it knows to run."""

    identities: list[Identity]


class Gateway(_Message, frozen=True):
    """An instance that other failure domains may send requests to."""

    identity: Identity
    key_slot: int
    ready: bool
    leaving: bool


class DomainDigest(_Message, frozen=True, tag=9):
    """Sums up a failure domain for the others.

    ``version`` is the lowest catalogue version in force at its running instances.
    ``age_ms`` is the time since the digest was made, so that receivers need no common clock.
    """

    failure_domain: str
    version: int
    age_ms: int
    gateways: list[Gateway]
    loads: list[ServiceLoad]


class CatalogueRequest(_Message, frozen=True, tag=10):
    """Asks for the newest catalogue above a version, except parts that the sender has."""

    above: int
    have: list[str]


class CatalogueManifest(_Message, frozen=True, tag=11):
    """Announces the manifest of a version; its missing parts follow."""

    manifest: Manifest


class CataloguePart(_Message, frozen=True, tag=12):
    """Carries one part of a catalogue."""

    digest: str
    content: bytes


class CrashReport(_Message, frozen=True, tag=13):
    """Reports fingerprints of requests whose target connection was lost while they ran.

    ``origin`` is the incarnation that saw the crashes; its counts only grow.
    """

    origin: str
    count_by_fingerprint: dict[int, int]


class InstanceList(_Message, frozen=True, tag=15):
    """Passes on the platform's list of one failure domain, read by the sender from the store."""

    instances: list[ListedInstance]


class Goodbye(_Message, frozen=True, tag=14):
    """Tells that the sender ends and holds nothing any more."""

    reason: str


class FeedRequest(_Message, frozen=True, tag=16):
    """Asks for what the receiver knows of the store, and for all that it learns from now on.

    The sender has everything up to ``revision``; 0 asks for a whole copy. On standby it asks for
    beats only, since another instance sends it the changes.
    """

    revision: int
    is_standby: bool


class FeedSnapshot(_Message, frozen=True, tag=17):
    """Carries a whole copy of the store's keys, packed by ``pack``."""

    packed: bytes


class FeedChanges(_Message, frozen=True, tag=18):
    """Carries changes of the store's keys, packed by ``pack``."""

    packed: bytes


class StoreContact(msgspec.Struct, frozen=True, array_like=True):
    """Which instance called the store, by its incarnation, and when by its monotonic clock."""

    observer: str
    at_ms: int


class FeedHeartbeat(_Message, frozen=True, tag=19):
    """Tells that the sender knows all changes up to a revision as of ``age_ms`` ago.

    ``is_direct`` tells that the sender reads the store itself and is answered. ``seen`` is the call
    to the store by which it is known, here or elsewhere, and ``is_away`` tells that the store did
    not answer that call. Earlier releases do not say which call; nothing follows from their beats.
    """

    revision: int
    age_ms: int
    is_direct: bool = False
    seen: StoreContact | None = None
    store_is_unreachable: bool = False


class LeaveNotice(_Message, frozen=True, tag=20):
    """Tells that an instance leaves and cannot say so in the store; receivers pass it on."""

    incarnation: str


class RenewalRequest(_Message, frozen=True, tag=21):
    """Asks to renew the lease of an instance that the store turns away.

    ``may_pass_on`` tells that the receiver may ask its own sources, which reach the store.
    """

    lease_id: int
    may_forward: bool = True


class RenewalReply(_Message, frozen=True, tag=22):
    """Answers a ``RenewalWanted``: whether the store renewed the lease."""

    lease_id: int
    is_renewed: bool


Message = (
    Hello
    | Proof
    | Heartbeat
    | RightsReport
    | ClaimRequest
    | ClaimReply
    | HandOver
    | Members
    | DomainDigest
    | CatalogueRequest
    | CatalogueManifest
    | CataloguePart
    | CrashReport
    | InstanceList
    | Goodbye
    | FeedRequest
    | FeedSnapshot
    | FeedChanges
    | FeedHeartbeat
    | LeaveNotice
    | RenewalRequest
    | RenewalReply
)

MAX_UNPACKED_BYTES = 64 << 20  # values of 1 MB and some ten thousand entries
PackedT = TypeVar("PackedT", Snapshot, ChangeBatch)


def pack(content: Snapshot | ChangeBatch) -> bytes:
    """Encode and compress keys of the store, whose values are much alike."""
    return zlib.compress(_encoder.encode(content), level=1)


def unpack(packed: bytes, kind: type[PackedT]) -> PackedT:
    """Undo ``pack``; raise ``msgspec.DecodeError`` for other bytes, or for too many.

    >>> unpack(pack(Snapshot(7, [])), Snapshot)
    Snapshot(revision=7, items=[])
    """
    unpacking = zlib.decompressobj()
    try:
        content = unpacking.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"packed bytes cannot be unpacked: {error}") from error
    if unpacking.unconsumed_tail:
        raise msgspec.DecodeError(f"packed bytes exceed {MAX_UNPACKED_BYTES} when unpacked")
    return msgspec.msgpack.decode(content, type=kind)


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Decode a message; raise ``msgspec.DecodeError`` when it is not one.

    >>> decode(encode(Goodbye("stop")))
    Goodbye(reason='stop')
    """
    message: Message = _decoder.decode(payload)
    return message
