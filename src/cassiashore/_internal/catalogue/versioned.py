"""The active catalogue version of one instance."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from cassiashore._internal.catalogue.bundle import BundleFault, decode_bundle
from cassiashore._internal.catalogue.index import Catalogue
from cassiashore._internal.catalogue.manifest import Bundle, Manifest

Listener = Callable[[Catalogue], None]


class VersionedCatalogue:
    """Holds the active version; activates only complete versions, and only newer ones."""

    def __init__(self) -> None:
        """Start without an active version."""
        self.bundle: Bundle | None = None
        self.catalogue: Catalogue | None = None
        self.rejected: BundleFault | None = None
        self._listeners: list[Listener] = []

    @property
    def version(self) -> int:
        """Return the active version, or 0 before the first activation."""
        return self.bundle.manifest.version if self.bundle else 0

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` during each activation, before any decision uses the new version."""
        self._listeners.append(listener)

    def part_digests(self) -> list[str]:
        """List the digests of the available parts, which need not be fetched again."""
        return sorted(self.bundle.part_by_digest) if self.bundle else []

    def missing_parts(self, manifest: Manifest) -> list[str]:
        """List the digests of a manifest's parts that are not available here."""
        available = self.bundle.part_by_digest if self.bundle else {}
        return sorted({digest for digest in manifest.parts.values() if digest not in available})

    def complete(self, manifest: Manifest, fetched: dict[str, bytes]) -> Bundle:
        """Build the bundle of a manifest from fetched parts and those available here."""
        available = self.bundle.part_by_digest if self.bundle else {}
        known = {**available, **fetched}
        digests = set(manifest.parts.values())
        return Bundle(manifest, {digest: known[digest] for digest in digests if digest in known})

    def activate(self, bundle: Bundle) -> Result[bool, BundleFault]:
        """Activate a version if it is newer than the active one; return whether it was.

        A version that fails validation is rejected as a whole, and the active one stays.
        """
        if bundle.manifest.version <= self.version:
            return Ok(False)
        opened = decode_bundle(bundle)
        if isinstance(opened, Err):
            self.rejected = opened.err_value
            return opened
        self.bundle = bundle
        self.catalogue = opened.ok_value
        for listener in self._listeners:
            listener(self.catalogue)
        return Ok(True)
