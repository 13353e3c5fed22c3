"""Checks of request heads that prevent request smuggling."""

from __future__ import annotations

from cassiashore._internal.net.http_client import Headers

_MAX_LENGTH_DIGITS = 15
_HTTP_VERSIONS = frozenset({"1.0", "1.1"})


def find_head_error(version: str, headers: Headers) -> str | None:
    """Return why a request head must be refused, or None. Header names must be in lower case.

    >>> find_head_error("1.1", [(b"host", b"a")])
    >>> find_head_error("1.1", [])
    'exactly one Host header is required'
    >>> find_head_error("1.1", [(b"host", b"a"), (b"transfer-encoding", b"xchunked")])
    'the length of the body is ambiguous'
    """
    if version not in _HTTP_VERSIONS:
        return "the HTTP version is not supported"
    hosts = sum(1 for name, _ in headers if name == b"host")
    if hosts > 1 or (hosts == 0 and version == "1.1"):
        return "exactly one Host header is required"
    if _length_is_ambiguous(headers):
        return "the length of the body is ambiguous"
    return None


def _length_is_ambiguous(headers: Headers) -> bool:
    lengths = [value for name, value in headers if name == b"content-length"]
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) > 1 or len(encodings) > 1 or (lengths and encodings):
        return True
    if encodings and encodings[0].lower() != b"chunked":
        return True
    return bool(lengths) and not (lengths[0].isdigit() and len(lengths[0]) < _MAX_LENGTH_DIGITS)
