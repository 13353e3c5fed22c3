"""Publishes changes of the catalogue.

The only linearisation point is a compare-and-swap of the manifest. Each manifest lists the latest
changes, so a publisher that lost the store's response can read the manifest to find out whether its
change was accepted.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.catalogue.bundle import (
    HISTORY_KEY_PREFIX,
    MANIFEST_KEY,
    MAX_PART_BYTES,
    PART_KEY_PREFIX,
    make_bundle,
)
from cassiashore._internal.catalogue.manifest import Bundle, Change, Manifest
from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.store.client import Conflict, Entry, StoreClient, StoreFault

PUBLISH_ATTEMPTS = 5
MAX_LISTED_CHANGES = 64


class Verdict(StrEnum):
    """Outcome of a change. ``UNKNOWN`` means that the store must be read again to find out."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PublishFault:
    """Why a change was not published, or is not known to be."""

    verdict: Verdict
    detail: str


async def read_manifest(
    store: StoreClient,
) -> Result[tuple[Manifest | None, int], StoreFault]:
    """Read the manifest and its revision; the manifest is None before the first change."""
    got = await store.get(MANIFEST_KEY)
    if isinstance(got, Err):
        return got
    return _decode_entry(got.ok_value)


async def publish(
    store: StoreClient, spec: CatalogueSpec, base_version: int, change_id: str, author: str
) -> Result[Manifest, PublishFault]:
    """Publish ``spec`` as the version after ``base_version``."""
    read = await read_manifest(store)
    if isinstance(read, Err):
        return Err(PublishFault(Verdict.REJECTED, f"nothing was changed: {read.err_value.detail}"))
    current, revision = read.ok_value
    outcome_found = _find_outcome(current, change_id, base_version)
    if outcome_found is not None:
        return outcome_found
    bundle = _next_bundle(spec, current, base_version, change_id, author)
    stored = await _store_parts(store, bundle)
    if isinstance(stored, Err):
        return stored
    return await _replace_manifest(store, bundle.manifest, revision, base_version)


def _next_bundle(
    spec: CatalogueSpec, current: Manifest | None, base: int, change_id: str, author: str
) -> Bundle:
    bundle = make_bundle(spec, base + 1, change_id, author)
    earlier = current.changes if current else []
    change = Change(base + 1, change_id, author, time.time())
    manifest = msgspec.structs.replace(
        bundle.manifest, changes=[change, *earlier][:MAX_LISTED_CHANGES]
    )
    return Bundle(manifest, bundle.part_by_digest)


async def _store_parts(store: StoreClient, bundle: Bundle) -> Result[None, PublishFault]:
    for digest, content in bundle.part_by_digest.items():
        if len(content) > MAX_PART_BYTES:
            detail = f"part {digest} has {len(content)} bytes, over {MAX_PART_BYTES}"
            return Err(PublishFault(Verdict.REJECTED, detail))
        outcome = await _put_if_absent(store, PART_KEY_PREFIX + digest, content)
        if isinstance(outcome, Err):
            detail = f"nothing was changed: {outcome.err_value.detail}"
            return Err(PublishFault(Verdict.REJECTED, detail))
    return Ok(None)


async def _put_if_absent(store: StoreClient, key: str, content: bytes) -> Result[None, StoreFault]:
    """Write content under a key that never holds any other content, if the key is absent."""
    fault = StoreFault("not tried", sent=False)
    for _ in range(PUBLISH_ATTEMPTS):
        written = await store.put_if(key, content, 0)
        if isinstance(written, Ok) or isinstance(written.err_value, Conflict):
            return Ok(None)
        fault = written.err_value
    return Err(fault)


async def _replace_manifest(
    store: StoreClient, manifest: Manifest, revision: int, base_version: int
) -> Result[Manifest, PublishFault]:
    value = msgspec.json.encode(manifest)
    sent = False
    detail = ""
    for _ in range(PUBLISH_ATTEMPTS):
        written = await store.put_if(MANIFEST_KEY, value, revision)
        if isinstance(written, Ok):
            await _put_if_absent(store, f"{HISTORY_KEY_PREFIX}{manifest.version:010d}", value)
            return Ok(manifest)
        fault = written.err_value
        if isinstance(fault, Conflict):
            decoded = _decode_entry(fault.current)
            if isinstance(decoded, Err):
                return Err(PublishFault(Verdict.REJECTED, decoded.err_value.detail))
            current, _ = decoded.ok_value
            outcome_found = _find_outcome(current, manifest.change_id, base_version)
            assert outcome_found is not None
            return outcome_found
        sent = sent or fault.sent
        detail = fault.detail
    if not sent:
        return Err(PublishFault(Verdict.REJECTED, f"nothing was changed: {detail}"))
    hint = f'look for change "{manifest.change_id}" in the history when the store answers'
    return Err(PublishFault(Verdict.UNKNOWN, f"{detail}; {hint}"))


def _find_outcome(
    current: Manifest | None, change_id: str, base_version: int
) -> Result[Manifest, PublishFault] | None:
    """Return the outcome of a change according to the current manifest, or None if it may be tried.

    A change that the manifest lists was accepted; a change from another version is a conflict.
    """
    version = current.version if current else 0
    if current is not None and any(change.change_id == change_id for change in current.changes):
        return Ok(current)
    if version != base_version:
        author = current.author if current else "nobody"
        detail = f"version {version} by {author} stands, the change was made from {base_version}"
        return Err(PublishFault(Verdict.CONFLICT, detail))
    return None


def _decode_entry(entry: Entry) -> Result[tuple[Manifest | None, int], StoreFault]:
    if entry.revision == 0:
        return Ok((None, 0))
    try:
        manifest = msgspec.json.decode(entry.value, type=Manifest)
    except DECODE_ERRORS as error:
        return Err(StoreFault(f'key "{MANIFEST_KEY}" has no valid manifest: {error}', sent=True))
    return Ok((manifest, entry.revision))
