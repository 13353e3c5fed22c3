"""Request keys, each bound to one incarnation (one run) of an instance."""

from __future__ import annotations

import re
import secrets
from dataclasses import dataclass

_INCARNATION_DIGITS = 24
_RANDOM_BYTES = 6
_PATTERN = re.compile(r"^([0-9a-f]{24})\.([0-9]{1,10})\.([0-9a-f]{12})\.([A-Za-z0-9_-]{1,64})$")


@dataclass(frozen=True, slots=True)
class RequestKey:
    """A request key, which only the instance run named by ``incarnation`` may dispatch.

    ``slot`` is a time slot of that incarnation's monotonic clock; it limits how long the key is
    remembered.
    """

    incarnation: str
    slot: int
    text: str

    @classmethod
    def parse(cls, text: str) -> RequestKey | None:
        """Parse a key; return None if it is malformed.

        >>> ticket = new_ticket("0" * 24, 7)
        >>> RequestKey.parse(ticket + ".1").slot
        7
        >>> RequestKey.parse("x") is None
        True
        """
        match = _PATTERN.match(text)
        if match is None:
            return None
        return cls(match[1], int(match[2]), text)


def new_ticket(incarnation: str, slot: int) -> str:
    """Return a new prefix for request keys; callers append a dot and a suffix of their own."""
    return f"{incarnation}.{slot}.{secrets.token_hex(_RANDOM_BYTES)}"
