"""Identifiers that tell the runs (incarnations) of an instance apart."""

from __future__ import annotations

import secrets
import time

_TIME_HEX_DIGITS = 12
_RANDOM_BYTES = 6


def new_incarnation() -> str:
    """Return a new identifier for this run of an instance.

    It has 24 hexadecimal digits: milliseconds since the epoch, then random digits. No two runs
    share one, and that of a later run of an instance sorts after that of an earlier run.

    >>> len(new_incarnation())
    24
    """
    milliseconds = time.time_ns() // 1_000_000
    return f"{milliseconds:0{_TIME_HEX_DIGITS}x}{secrets.token_hex(_RANDOM_BYTES)}"
