"""What a registry shows about a run of a target."""

from __future__ import annotations

from enum import StrEnum


class Presence(StrEnum):
    """Whether a run of a target is registered."""

    REGISTERED = "registered"
    REMOVED = "removed"
    SUPERSEDED = "superseded"  # a later run has its id or its address
