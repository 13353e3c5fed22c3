"""The signed header by which one instance forwards a request to another.

The signature binds the header to the receiver's incarnation, so callers cannot forge a hop and an
instance refuses one that was meant for an earlier run.
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

    ``EXECUTE``: run the request on a target admitted here, and do not forward it.
    ``PLACE``: run it in this failure domain, here or at a member that admits to a free target.
    ``OWN``: treat the request as if its caller had sent it here, since its key belongs here.
    """

    EXECUTE = "execute"
    PLACE = "place"
    OWN = "own"


@dataclass(frozen=True, slots=True)
class Hop:
    """Who forwards, why, and where the request's caller is at home."""

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
    """Check and read a hop; return None when it was not signed for this run.

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
