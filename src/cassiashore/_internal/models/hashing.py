"""Stable hashing: the same value on every instance and in every run."""

from __future__ import annotations

import xxhash

HASH_RANGE = float(1 << 64)


def hash64(text: str) -> int:
    """Return a 64-bit hash of a text (XXH64).

    >>> hash64("") == 0xEF46DB3751D8E999
    True
    """
    return xxhash.xxh64_intdigest(text.encode())
