"""Decodes the workspaces in the operators' configuration, which calls them tenants.

No message contains a key: keys are named by their position in the list of their workspace.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from cassiashore._internal.ingress.authorization import is_sendable_key
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.steering.workspaces import (
    KeyHolder,
    UnreadableWorkspace,
    Workspace,
    WorkspaceTable,
    key_digest,
)

DIGEST_BYTES = len(key_digest(b""))
ABSENT = msgspec.Raw()  # of a configuration without a table of workspaces


class HashedKey(msgspec.Struct, frozen=True):
    """The digest of a key, in the form in which instances pass the configuration on.

    Unknown fields are ignored, since the message of an error would name them.
    """

    sha256: bytes


class TenantEntry(msgspec.Struct, frozen=True, rename="kebab"):
    """One entry of the table; keys are decoded one by one, so that an invalid one stays alone."""

    api_keys: list[msgspec.Raw]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    home_regions: list[str] = []


class _KeyList(msgspec.Struct, frozen=True, rename="kebab"):
    """Only the keys of an entry whose other fields may be invalid."""

    api_keys: list[msgspec.Raw] = []


_table_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_tenant_decoder = msgspec.json.Decoder(TenantEntry)
_key_list_decoder = msgspec.json.Decoder(_KeyList)
_key_decoder = msgspec.json.Decoder(str | HashedKey)


@dataclass(frozen=True, slots=True)
class _DecodedWorkspace:
    """A workspace decoded from ``content``, with the errors in any part of it."""

    content: bytes
    holder: KeyHolder
    faults: tuple[str, ...]


class WorkspaceDecoder:
    """Decodes the tables of successive versions; entries with unchanged bytes are reused."""

    def __init__(self) -> None:
        """Create a decoder that has decoded nothing yet."""
        self._content = b""
        self._table = WorkspaceTable.unreadable()
        self._faults: tuple[str, ...] = ()
        self._decoded_by_name: dict[str, _DecodedWorkspace] = {}

    def decode(
        self, raw: msgspec.Raw, in_force: WorkspaceTable | None, faults: list[str]
    ) -> WorkspaceTable | None:
        """Decode a table; return None if the configuration has none.

        If it cannot be decoded, return the table in force. Without one, return a table that refuses
        every key, because serving requests without a check could give access to anybody.
        """
        content = bytes(raw)
        if not content:
            return None
        if content != self._content:
            try:
                raw_by_name = _table_decoder.decode(content)
            except DECODE_ERRORS as error:
                faults.append(f"tenants: {error}; the previous table stays in force, if any")
                return in_force if in_force is not None else WorkspaceTable.unreadable()
            self._replace(content, raw_by_name)
        faults.extend(self._faults)
        return self._table

    def _replace(self, content: bytes, raw_by_name: dict[str, msgspec.Raw]) -> None:
        decoded_by_name = {name: self._decode(name, raw) for name, raw in raw_by_name.items()}
        table = WorkspaceTable.build(decoded.holder for decoded in decoded_by_name.values())
        faults = [fault for decoded in decoded_by_name.values() for fault in decoded.faults]
        self._content, self._table, self._decoded_by_name = content, table, decoded_by_name
        self._faults = (*faults, *table.faults)

    def _decode(self, name: str, raw: msgspec.Raw) -> _DecodedWorkspace:
        content = bytes(raw)
        previous = self._decoded_by_name.get(name)
        if previous is not None and previous.content == content:
            return previous
        faults: list[str] = []
        workspace: Workspace | UnreadableWorkspace
        try:
            workspace = _build_workspace(name, _tenant_decoder.decode(content))
        except DECODE_ERRORS as error:
            faults.append(f'tenant "{name}": {error}')
            workspace = UnreadableWorkspace(name)
        digests = _decode_keys(name, content, faults)
        return _DecodedWorkspace(content, KeyHolder(workspace, digests), tuple(faults))


def _build_workspace(name: str, wire: TenantEntry) -> Workspace:
    if not _is_header_value(name):
        raise ValueError("the name cannot be sent in a header")
    if wire.priority is not None and wire.priority < 0:
        raise ValueError(f'field "priority" is {wire.priority}, which is negative')
    for field, number in (("rate-per-s", wire.rate_per_s), ("burst", wire.burst)):
        if not math.isfinite(number) or number < 0:
            raise ValueError(f'field "{field}" is {number}, which is no limit')
    return Workspace(
        name=name,
        priority=wire.priority,
        rate=wire.rate_per_s,
        burst=wire.burst,
        home_regions=frozenset(wire.home_regions),
    )


def _is_header_value(text: str) -> bool:
    return bool(text) and text == text.strip() and text.isprintable()


def _decode_keys(name: str, content: bytes, faults: list[str]) -> frozenset[bytes]:
    """Return the digests of all keys of an entry that can be decoded."""
    try:
        raw_keys = _key_list_decoder.decode(content).api_keys
    except DECODE_ERRORS:
        return frozenset()  # The whole entry was reported as invalid.
    digests: set[bytes] = set()
    for number, raw in enumerate(raw_keys, 1):
        try:
            digests.add(decode_key(raw))
        except DECODE_ERRORS as error:
            faults.append(f'tenant "{name}": key {number}: {error}')
    return frozenset(digests)


def decode_key(raw: msgspec.Raw) -> bytes:
    """Return the digest of a key that is a string or already hashed."""
    key = _key_decoder.decode(raw)
    if isinstance(key, HashedKey):
        if len(key.sha256) != DIGEST_BYTES:
            raise ValueError("its digest has the wrong length")
        return key.sha256
    encoded = key.encode()
    if not is_sendable_key(encoded):
        raise ValueError("it is empty or has characters that cannot be sent in a header")
    return key_digest(encoded)
