"""Decoding of the header in which a target names its rate limit."""

from __future__ import annotations

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.net.http_client import ResponseHead

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")


@dataclass(frozen=True, slots=True)
class NamedRateLimit:
    """A rate limit in requests per second, and the header that named it."""

    rate: float
    header: str


def named_rate_limit(
    head: ResponseHead, header_names: HeaderNames
) -> Result[NamedRateLimit | None, str]:
    """Return the rate limit that a response names, or None if it names none.

    The lowest one counts if there are several. The error quotes a value that is no decimal number.
    """
    lowest: NamedRateLimit | None = None
    for name, value in head.headers:
        if name not in header_names.rate_limit:
            continue
        header = name.decode("latin-1")
        if _DECIMAL.fullmatch(value.strip()) is None:
            return Err(f"{header}: {value[:40]!r} is no decimal number")
        if lowest is None or float(value) < lowest.rate:
            lowest = NamedRateLimit(float(value), header)
    return Ok(lowest)
