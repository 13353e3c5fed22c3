"""Replaces the keys in a configuration by their digests, as soon as it is read from the store.

Instances keep the configuration and pass it on to each other. With digests in place of keys, no key
leaves the instance that read it, and none can get into a log or an error message later.
"""

from __future__ import annotations

import hashlib
import logging

import msgspec

from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore.platform.workspace_decoding import HashedKey, TenantEntry, decode_key

logger = logging.getLogger(__name__)

_TABLE = "tenants"
_KEYS = "api-keys"
_KNOWN_FIELDS = frozenset(field.encode_name for field in msgspec.structs.fields(TenantEntry))
_object_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_list_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_NULL = msgspec.Raw(b"null")
# In place of a value of an unexpected type, which may contain a key: an empty value of that type,
# for the error message. Objects become null, since an empty table would be valid.
_EMPTY_BY_FIRST_BYTE = {
    ord('"'): msgspec.Raw(b'""'),
    ord("["): msgspec.Raw(b"[]"),
    ord("t"): msgspec.Raw(b"true"),
    ord("f"): msgspec.Raw(b"false"),
} | {byte: msgspec.Raw(b"0") for byte in b"-0123456789"}


class KeyRedactor:
    """Redacts successive versions; entries that did not change are not hashed again."""

    def __init__(self) -> None:
        """Create a redactor that has redacted nothing yet."""
        # Each entry is remembered by its digest, because its bytes contain keys.
        self._redacted_by_name: dict[str, tuple[bytes, msgspec.Raw]] = {}

    def redact(self, content: bytes) -> bytes:
        """Return a configuration with digests in place of keys; without keys it is not changed.

        A document that cannot be decoded becomes an empty one, since it may contain keys.
        """
        try:
            fields = _object_decoder.decode(content)
        except DECODE_ERRORS as error:
            logger.error("configuration cannot be decoded: %s", error)
            return b"{}"
        if _TABLE not in fields:
            return content
        fields[_TABLE] = self._redact_table(fields[_TABLE])
        return msgspec.json.encode(fields)

    def _redact_table(self, raw: msgspec.Raw) -> msgspec.Raw:
        try:
            entries = _object_decoder.decode(raw)
        except DECODE_ERRORS:
            return _empty_value(raw)
        self._redacted_by_name = {
            name: self._redact_if_changed(name, entry) for name, entry in entries.items()
        }
        return _encode({name: pair[1] for name, pair in self._redacted_by_name.items()})

    def _redact_if_changed(self, name: str, raw: msgspec.Raw) -> tuple[bytes, msgspec.Raw]:
        digest = hashlib.sha256(raw).digest()
        previous = self._redacted_by_name.get(name)
        if previous is not None and previous[0] == digest:
            return previous
        return digest, _redact_entry(raw)


def _redact_entry(raw: msgspec.Raw) -> msgspec.Raw:
    """Redact one workspace; unknown fields are left out, since they may contain keys."""
    try:
        fields = _object_decoder.decode(raw)
    except DECODE_ERRORS:
        return _empty_value(raw)
    known = {name: value for name, value in fields.items() if name in _KNOWN_FIELDS}
    if _KEYS in known:
        known[_KEYS] = _redact_list(known[_KEYS])
    return _encode(known)


def _redact_list(raw: msgspec.Raw) -> msgspec.Raw:
    try:
        keys = _list_decoder.decode(raw)
    except DECODE_ERRORS:
        return _empty_value(raw)
    return _encode([_redact_key(key) for key in keys])


def _redact_key(raw: msgspec.Raw) -> msgspec.Raw:
    try:
        return _encode(HashedKey(decode_key(raw)))
    except DECODE_ERRORS:
        return _empty_value(raw)


def _empty_value(raw: msgspec.Raw) -> msgspec.Raw:
    return _EMPTY_BY_FIRST_BYTE.get(bytes(raw).lstrip()[0], _NULL)


def _encode(value: object) -> msgspec.Raw:
    return msgspec.Raw(msgspec.json.encode(value))
