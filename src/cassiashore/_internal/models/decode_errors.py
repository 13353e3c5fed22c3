"""Errors of decoding bytes that another process wrote."""

from __future__ import annotations

# msgspec derives its errors from ValueError, and raises RecursionError for deeply nested values.
DECODE_ERRORS = (ValueError, RecursionError)
