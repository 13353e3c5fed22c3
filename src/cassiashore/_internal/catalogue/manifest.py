"""The manifest of a catalogue version, apart from the models that check its content."""

from __future__ import annotations

import msgspec


class Change(msgspec.Struct, frozen=True):
    """One accepted change; ``at`` is in seconds since the epoch, by the publisher's clock."""

    version: int
    change_id: str
    author: str
    at: float


class Manifest(msgspec.Struct, frozen=True):
    """Names the parts of one catalogue version and the change that made it.

    ``changes`` lists the latest changes, newest first.
    """

    version: int
    change_id: str
    author: str
    parts: dict[str, str]
    changes: list[Change] = []


class Bundle(msgspec.Struct, frozen=True):
    """A manifest with the bytes of its parts, by digest."""

    manifest: Manifest
    part_by_digest: dict[str, bytes]
