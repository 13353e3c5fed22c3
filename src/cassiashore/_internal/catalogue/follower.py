"""Keeps an instance's catalogue up to date with the store.

Only a few instances of a failure domain watch the store; the others receive new versions from their
peers. An instance without an active version reads the store itself.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.catalogue.bundle import MANIFEST_KEY, PART_KEY_PREFIX
from cassiashore._internal.catalogue.manifest import Bundle, Manifest
from cassiashore._internal.catalogue.versioned import VersionedCatalogue
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.store.client import Entry, StoreClient, StoreFault

logger = logging.getLogger(__name__)

RECHECK_SECONDS = 0.5
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0


class CatalogueFollower:
    """Reads new versions from the store and activates them."""

    def __init__(
        self,
        store: StoreClient,
        versioned_catalogue: VersionedCatalogue,
        watch_seconds: float,
        should_watch: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Do nothing until ``run``; ``should_watch`` tells whether this instance is a watcher."""
        self._store = store
        self._versioned_catalogue = versioned_catalogue
        self._watch_seconds = watch_seconds
        self._should_watch = should_watch
        self._rng = rng
        self._revision = 0

    async def run(self) -> None:
        """Watch the store until cancelled; back off with jitter while it is unreachable."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            if self._versioned_catalogue.version > 0 and not self._should_watch():
                await asyncio.sleep(RECHECK_SECONDS)
                continue
            followed = await self._follow_once()
            if isinstance(followed, Ok):
                backoff = FIRST_BACKOFF_SECONDS
                continue
            logger.warning(
                "cannot update the catalogue from the store, will retry: %s", followed.err_value
            )
            await asyncio.sleep(backoff * (0.5 + self._rng.random()))
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    async def _follow_once(self) -> Result[None, str]:
        watched = await self._store.watch(MANIFEST_KEY, self._revision, self._watch_seconds)
        if isinstance(watched, Err):
            return Err(watched.err_value.detail)
        entry = watched.ok_value
        if entry.revision <= self._revision:
            return Ok(None)
        outcome = await self._apply(entry)
        if isinstance(outcome, Ok):
            self._revision = entry.revision
        return outcome

    async def _apply(self, entry: Entry) -> Result[None, str]:
        try:
            manifest = msgspec.json.decode(entry.value, type=Manifest)
        except DECODE_ERRORS as error:
            return Err(f"the manifest is malformed: {error}")
        if manifest.version <= self._versioned_catalogue.version:
            return Ok(None)
        fetched = await fetch_parts(self._store, self._versioned_catalogue.missing_parts(manifest))
        if isinstance(fetched, Err):
            return Err(fetched.err_value.detail)
        bundle = self._versioned_catalogue.complete(manifest, fetched.ok_value)
        activated = self._versioned_catalogue.activate(bundle)
        if isinstance(activated, Err):
            return Err("; ".join(activated.err_value.faults))
        return Ok(None)


async def fetch_parts(
    store: StoreClient, digests: list[str]
) -> Result[dict[str, bytes], StoreFault]:
    """Read parts by their digests; parts that do not exist are left out."""
    content_by_digest: dict[str, bytes] = {}
    for digest in digests:
        got = await store.get(PART_KEY_PREFIX + digest)
        if isinstance(got, Err):
            return got
        if got.ok_value.revision:
            content_by_digest[digest] = got.ok_value.value
    return Ok(content_by_digest)


async def fetch_bundle(store: StoreClient, manifest: Manifest) -> Result[Bundle, StoreFault]:
    """Read all parts of a manifest."""
    fetched = await fetch_parts(store, sorted(set(manifest.parts.values())))
    return fetched.map(lambda parts: Bundle(manifest, parts))
