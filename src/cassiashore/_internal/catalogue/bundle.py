"""Storage form of a catalogue version: a manifest and content-addressed parts.

The manifest is the only key that changes. It refers to each part by the SHA-256 digest of its
content, so a version becomes visible as a whole. Parts contain canonical JSON.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from pydantic import ValidationError
from result import Err, Ok, Result

from cassiashore._internal.catalogue.index import Catalogue, build_catalogue
from cassiashore._internal.catalogue.manifest import Bundle, Manifest
from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.validation import format_validation_errors

MANIFEST_KEY = "catalogue/manifest"
PART_KEY_PREFIX = "catalogue/parts/"
HISTORY_KEY_PREFIX = "catalogue/history/"
MAX_PART_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class BundleFault:
    """Why a bundle is invalid and must not be activated."""

    version: int
    faults: list[str]


def digest_of(content: bytes) -> str:
    """Return the SHA-256 digest of a part in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def make_bundle(spec: CatalogueSpec, version: int, change_id: str, author: str) -> Bundle:
    """Split a catalogue into parts: one per service, one for networks, one for the rest."""
    document = spec.model_dump(mode="json", by_alias=True)
    services = document.pop("services")
    networks = document.pop("networks")
    content_by_part = {"base": _canonical_json(document), "networks": _canonical_json(networks)}
    for service in services:
        content_by_part[f"service/{service['name']}"] = _canonical_json(service)
    parts = {name: digest_of(content) for name, content in content_by_part.items()}
    part_by_digest = {parts[name]: content for name, content in content_by_part.items()}
    return Bundle(Manifest(version, change_id, author, parts), part_by_digest)


def decode_spec(bundle: Bundle) -> Result[CatalogueSpec, BundleFault]:
    """Verify every part of a bundle against its digest, and validate the whole by the schema."""
    manifest = bundle.manifest
    document: dict[str, object] = {}
    services: list[object] = []
    for name, digest in sorted(manifest.parts.items()):
        content = bundle.part_by_digest.get(digest)
        if content is None:
            return Err(BundleFault(manifest.version, [f'part "{name}" ({digest}) is missing']))
        if digest_of(content) != digest:
            return Err(BundleFault(manifest.version, [f'part "{name}" does not match {digest}']))
        try:
            value = json.loads(content)
        except DECODE_ERRORS as error:
            return Err(BundleFault(manifest.version, [f'part "{name}": {error}']))
        if name == "base" and not isinstance(value, dict):
            return Err(BundleFault(manifest.version, ['part "base" is not an object']))
        if name == "base":
            document.update(value)
        elif name == "networks":
            document["networks"] = value
        else:
            services.append(value)
    document["services"] = services
    try:
        return Ok(CatalogueSpec.model_validate(document))
    except ValidationError as error:
        return Err(BundleFault(manifest.version, format_validation_errors("catalogue", error)))


def decode_bundle(bundle: Bundle) -> Result[Catalogue, BundleFault]:
    """Validate a bundle and build the indexes of its catalogue."""
    return decode_spec(bundle).map(lambda spec: build_catalogue(spec, bundle.manifest.version))


def _canonical_json(value: object) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
