"""Messages between instances, encoded as msgpack arrays."""

from __future__ import annotations

import zlib
from typing import Any, TypeVar

import msgspec

from cassiashore._internal.catalogue.manifest import Manifest
from cassiashore._internal.requests.poison import RequestReport
from cassiashore._internal.store.client import ListedInstance
from cassiashore._internal.store.events import ChangeBatch, Snapshot

PROTOCOL_VERSION = 1  # incremented when the meaning of a message changes


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages; the tag is the first element of the array."""


class Identity(_Message, frozen=True):
    """Identifies one run of an instance and its addresses."""

    instance: str
    incarnation: str
    failure_domain: str
    address: str
    peer_address: str


class Hello(_Message, frozen=True, tag=1):
    """Opens a stream: the sender's identity, and a nonce that the receiver must sign."""

    protocol: int
    identity: Identity
    nonce: bytes


class Proof(_Message, frozen=True, tag=2):
    """Contains the receiver's nonce, signed with the peer key."""

    mac: bytes


class ServiceLoad(_Message, frozen=True):
    """Load of one service at an instance: free slots, all slots, and queued requests."""

    service: str
    free: int
    total: int
    queued: int
    latency_ms: float


class Heartbeat(_Message, frozen=True, tag=3):
    """Confirms that an instance is running, and publishes its state.

    ``synchronized`` means that every member that it knows has sent it a rights report, so that it
    may receive rights. ``key_slot`` is the current time slot of its request keys.
    ``rights_revision`` increases with each change of the rights that it holds. ``loads`` is None if
    they did not change since the last heartbeat.
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
    """Lists the targets whose admission rights the sender holds, and those it claims."""

    revision: int
    held: list[str]
    claimed: list[str]


class ClaimRequest(_Message, frozen=True, tag=5):
    """Asks a member to agree that the sender takes the admission rights of targets."""

    revision: int
    targets: list[str]


class ClaimReply(_Message, frozen=True, tag=6):
    """Lists the targets that the sender agrees to, with the revision of the claim request."""

    revision: int
    agreed: list[str]


class HandOver(_Message, frozen=True, tag=7):
    """Transfers admission rights to the receiver; the sender no longer holds them.

    ``receiver_revision`` is the newest revision of the receiver that the sender has seen;
    ``sender_revision`` is the sender's own revision after it released the rights.
    """

    receiver_revision: int
    sender_revision: int
    targets: list[str]


class Members(_Message, frozen=True, tag=8):
    """Lists the running members that the sender knows in its failure domain."""

    identities: list[Identity]


class Gateway(_Message, frozen=True):
    """An instance to which other failure domains may send requests."""

    identity: Identity
    key_slot: int
    ready: bool
    leaving: bool


class DomainDigest(_Message, frozen=True, tag=9):
    """Summarises a failure domain for the others.

    ``version`` is the lowest catalogue version in use at its running instances. ``age_ms`` is the
    time since the digest was created, so that receivers need no synchronised clock.
    """

    failure_domain: str
    version: int
    age_ms: int
    gateways: list[Gateway]
    loads: list[ServiceLoad]


class CatalogueRequest(_Message, frozen=True, tag=10):
    """Requests the newest catalogue above a version, without parts that the sender has."""

    newer_than: int
    known_parts: list[str]


class CatalogueManifest(_Message, frozen=True, tag=11):
    """Carries the manifest of a version; the parts that the receiver lacks follow."""

    manifest: Manifest


class CataloguePart(_Message, frozen=True, tag=12):
    """Carries one part of a catalogue."""

    digest: str
    content: bytes


class CrashReport(_Message, frozen=True, tag=13):
    """Reports the requests whose target connections were lost while they ran, by fingerprint.

    ``origin`` is the incarnation that lost them. ``count_by_fingerprint`` is always empty; earlier
    releases used it.
    """

    origin: str
    count_by_fingerprint: dict[int, int]
    report_by_fingerprint: dict[int, RequestReport] = {}


class InstanceList(_Message, frozen=True, tag=15):
    """Forwards the platform's instance list of one failure domain, as read from the store."""

    instances: list[ListedInstance]


class Goodbye(_Message, frozen=True, tag=14):
    """Announces that the sender stops and has released all rights."""

    reason: str


class FeedRequest(_Message, frozen=True, tag=16):
    """Subscribes to the receiver's feed of store changes.

    The sender has all changes up to ``revision`` of an era; 0 requests a snapshot. A standby
    subscription gets heartbeats only, since another instance sends the changes. In this and other
    messages the era of the store is 0 if the sender is of an earlier release.
    """

    revision: int
    is_standby: bool
    era: int = 0


class FeedSnapshot(_Message, frozen=True, tag=17):
    """Carries a snapshot of the store's keys, encoded by ``pack``."""

    packed: bytes


class FeedChanges(_Message, frozen=True, tag=18):
    """Carries changes of the store's keys, encoded by ``pack``."""

    packed: bytes


class StoreContact(msgspec.Struct, frozen=True, array_like=True):
    """A call to the store: the incarnation that made it, and when by its monotonic clock."""

    observer: str
    at_ms: int


class FeedHeartbeat(_Message, frozen=True, tag=19):
    """Confirms that the sender had all changes up to a revision ``age_ms`` ago.

    ``is_direct`` means that the sender itself reads the store and gets responses. ``seen`` is the
    store call, by the sender or another instance, that this is based on; ``store_is_unreachable``
    means that the call got no response. Heartbeats of earlier releases do not name the call, and
    nothing is concluded from them. ``is_fallback`` means that the sender reads the store only until
    an instance does that is meant to. ``offered_configuration`` is the version that the sender has
    in force if the store lacks it, 0 if it does not, and None in earlier releases, which cannot
    decode the messages about configurations.
    """

    revision: int
    age_ms: int
    is_direct: bool = False
    seen: StoreContact | None = None
    store_is_unreachable: bool = False
    is_fallback: bool = False
    era: int = 0
    offered_configuration: int | None = None


class LeaveNotice(_Message, frozen=True, tag=20):
    """Announces that an instance leaves while it cannot write to the store; forwarded."""

    incarnation: str


class RenewalRequest(_Message, frozen=True, tag=21):
    """Asks the receiver to renew the lease of an instance that the store refuses.

    ``may_forward`` means that the receiver may in turn ask its own sources, which reach the store.
    ``era`` is the one in which the lease was granted, or None from an earlier release.
    """

    lease_id: int
    may_forward: bool = True
    era: int | None = None


class RenewalReply(_Message, frozen=True, tag=22):
    """Answers a ``RenewalRequest``: whether the store renewed the lease."""

    lease_id: int
    is_renewed: bool


class ConfigurationOffer(_Message, frozen=True, tag=23):
    """Tells a source that the sender has a version of the configuration that the store lacks."""

    version: int


class ConfigurationRequest(_Message, frozen=True, tag=24):
    """Requests the receiver's configuration if it is newer than ``version``."""

    version: int


class ConfigurationContent(_Message, frozen=True, tag=25):
    """Carries a configuration as operators wrote it, answering a ``ConfigurationRequest``."""

    value: bytes


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
    | ConfigurationOffer
    | ConfigurationRequest
    | ConfigurationContent
)

MAX_UNPACKED_BYTES = 64 << 20  # for values of 1 MB and some ten thousand entries
PackedT = TypeVar("PackedT", Snapshot, ChangeBatch)


def pack(content: Snapshot | ChangeBatch) -> bytes:
    """Encode and compress store keys; their values are similar and compress well."""
    return zlib.compress(_encoder.encode(content), level=1)


def unpack(packed: bytes, kind: type[PackedT]) -> PackedT:
    """Reverse ``pack``; raise ``msgspec.DecodeError`` if the bytes are invalid or too many.

    >>> unpack(pack(Snapshot(7, [])), Snapshot)
    Snapshot(revision=7, items=[], era=0)
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"packed bytes cannot be unpacked: {error}") from error
    if decompressor.unconsumed_tail:
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
