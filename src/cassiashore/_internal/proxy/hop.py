"""The signed header with which one instance forwards a request to another.

The signature covers the receiver's incarnation, which is new each time an instance starts. So
callers cannot forge a hop, and an instance refuses one that was signed for an earlier incarnation.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass
from enum import StrEnum

_MAC_DIGITS = 32
_FIELDS = 6


class HopKind(StrEnum):
    """What the receiver is asked to do.

    ``EXECUTE``: run the request on a target that the receiver admits requests to; do not forward.
    ``PLACE``: run it in the receiver's failure domain, on itself or on a member with a free target.
    ``OWN``: handle it as if the caller had sent it directly, since the receiver owns its key.
    """

    EXECUTE = "execute"
    PLACE = "place"
    OWN = "own"


@dataclass(frozen=True, slots=True)
class Hop:
    """The forwarding instance, the kind of hop, and the caller with its home region and domain."""

    kind: HopKind
    origin: str
    home_region: str
    home_domain: str
    client: str


def sign_hop(hop: Hop, receiver_incarnation: str, key: bytes) -> bytes:
    """Format and sign a hop for one receiver."""
    text = f"{hop.kind};{hop.origin};{hop.home_region};{hop.home_domain};{hop.client}"
    return f"{text};{_mac(text, receiver_incarnation, key)}".encode()


def read_hop(value: bytes, own_incarnation: str, key: bytes) -> Hop | None:
    """Verify and parse a hop; return None if it was not signed for this incarnation.

    >>> hop = Hop(HopKind.EXECUTE, "a", "erie", "erie-a", "127.0.0.1")
    >>> read_hop(sign_hop(hop, "1", b"k"), "1", b"k") == hop
    True
    >>> read_hop(sign_hop(hop, "1", b"k"), "2", b"k") is None
    True
    """
    text, _, mac = value.decode("latin-1").rpartition(";")
    if not hmac.compare_digest(mac.encode("latin-1"), _mac(text, own_incarnation, key).encode()):
        return None
    parts = text.split(";")
    if len(parts) != _FIELDS - 1:
        return None
    return Hop(HopKind(parts[0]), *parts[1:])


def _mac(text: str, receiver: str, key: bytes) -> str:
    message = f"hop;{receiver};{text}".encode("latin-1")
    return hmac.new(key, message, hashlib.sha256).hexdigest()[:_MAC_DIGITS]
