"""The manifest of a catalogue version, separate from the models that validate its content."""

from __future__ import annotations

import msgspec


class Change(msgspec.Struct, frozen=True):
    """One accepted change; ``at`` is the publisher's time in seconds since the epoch."""

    version: int
    change_id: str
    author: str
    at: float


class Manifest(msgspec.Struct, frozen=True):
    """Lists the parts of one catalogue version and the change that created it.

    ``parts`` maps part names to digests. ``changes`` lists the latest changes, newest first.
    """

    version: int
    change_id: str
    author: str
    parts: dict[str, str]
    changes: list[Change] = []


class Bundle(msgspec.Struct, frozen=True):
    """A manifest and the content of its parts, by digest."""

    manifest: Manifest
    part_by_digest: dict[str, bytes]
