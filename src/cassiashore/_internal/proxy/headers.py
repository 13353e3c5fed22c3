"""Header names, and which headers are forwarded."""

from __future__ import annotations

from cassiashore._internal.net.http_client import Headers

REQUEST_KEY = b"cassiashore-request-key"
IDEMPOTENCY_KEY = b"idempotency-key"
DEADLINE_MS = b"cassiashore-deadline-ms"
HOP = b"cassiashore-hop"
OUTCOME = b"cassiashore-outcome"
REASON = b"cassiashore-reason"
SERVED_BY = b"cassiashore-served-by"
REPLAYED = b"cassiashore-replayed"
RETRY_AFTER = b"retry-after"
FORWARDED_FOR = b"x-forwarded-for"

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
_OWN_REQUEST_HEADERS = frozenset({HOP, DEADLINE_MS, FORWARDED_FOR, b"content-length"})
_OWN_RESPONSE_HEADERS = frozenset({OUTCOME, REASON, SERVED_BY, REPLAYED})


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers) -> Headers:
    """Drop hop-by-hop headers, including those that ``Connection`` names (RFC 9110, 7.6.1)."""
    named: set[bytes] = set()
    for key, value in headers:
        if key == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [(key, value) for key, value in headers if key not in _HOP_BY_HOP and key not in named]


def request_headers(headers: Headers) -> Headers:
    """Return the headers of a caller that are forwarded."""
    return [pair for pair in end_to_end(headers) if pair[0] not in _OWN_REQUEST_HEADERS]


def response_headers(headers: Headers) -> Headers:
    """Return the headers of a target that are sent back; a target cannot set the proxy's own."""
    return [pair for pair in end_to_end(headers) if pair[0] not in _OWN_RESPONSE_HEADERS]
