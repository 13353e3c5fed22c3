"""Workspaces: the customers of the operators, whose callers name them by keys."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok, Result


@dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace of a version of the configuration.

    ``rate`` is in requests per second over all instances and ``burst`` in requests; a rate of 0
    means no limit. ``priority`` replaces that of the route unless it is None. If ``home_regions``
    is empty, requests may run in every region.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class UnreadableWorkspace:
    """A workspace that cannot be decoded; requests with its keys are refused."""

    name: str


class KeyFault(Enum):
    """Why a key gives access to no workspace."""

    UNKNOWN = "unknown"
    SHARED = "shared"
    UNREADABLE_WORKSPACE = "unreadable-workspace"
    UNREADABLE_TABLE = "unreadable-table"


@dataclass(frozen=True, slots=True)
class KeyRefusal:
    """A key that gives access to no workspace, and the name of its workspace if that is known."""

    fault: KeyFault
    workspace_name: str | None = None


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A workspace with the digests of its keys."""

    workspace: Workspace | UnreadableWorkspace
    digests: frozenset[bytes]


@dataclass(frozen=True, slots=True)
class WorkspaceTable:
    """All workspaces of a version, by the digests of their keys.

    A key of several workspaces belongs to none of them and is in ``shared_digests`` instead. If
    ``is_readable`` is false, the table as a whole cannot be decoded, and no key can be checked.
    """

    holder_by_digest: Mapping[bytes, Workspace | UnreadableWorkspace] = field(repr=False)
    shared_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    faults: tuple[str, ...] = ()
    is_readable: bool = True

    @classmethod
    def build(cls, holders: Iterable[KeyHolder]) -> WorkspaceTable:
        """Index workspaces by the digests of their keys.

        >>> a, b = (KeyHolder(Workspace(n), frozenset({key_digest(b"1")})) for n in "ab")
        >>> table = WorkspaceTable.build([a, b])
        >>> table.faults
        ('workspaces "a" and "b" hold the same key, which is refused',)
        >>> table.find(key_digest(b"1")).err_value.fault
        <KeyFault.SHARED: 'shared'>
        """
        holder_by_digest: dict[bytes, Workspace | UnreadableWorkspace] = {}
        shared_digests: set[bytes] = set()
        faults: list[str] = []
        for holder in holders:
            name = holder.workspace.name
            for digest in holder.digests:
                other = holder_by_digest.setdefault(digest, holder.workspace)
                if other.name != name:
                    shared_digests.add(digest)
                    faults.append(
                        f'workspaces "{other.name}" and "{name}" hold the same key, '
                        "which is refused"
                    )
        for digest in shared_digests:
            del holder_by_digest[digest]
        return cls(holder_by_digest, frozenset(shared_digests), tuple(faults))

    @classmethod
    def unreadable(cls) -> WorkspaceTable:
        """Build a table in place of one that cannot be decoded; it gives access to nobody."""
        return cls({}, is_readable=False)

    def names(self) -> set[str]:
        """Return the names of the workspaces that have a key."""
        return {holder.name for holder in self.holder_by_digest.values()}

    def find(self, digest: bytes) -> Result[Workspace, KeyRefusal]:
        """Return the workspace of the key with a digest."""
        if not self.is_readable:
            return Err(KeyRefusal(KeyFault.UNREADABLE_TABLE))
        holder = self.holder_by_digest.get(digest)
        if isinstance(holder, Workspace):
            return Ok(holder)
        if holder is not None:
            return Err(KeyRefusal(KeyFault.UNREADABLE_WORKSPACE, holder.name))
        is_shared = digest in self.shared_digests
        return Err(KeyRefusal(KeyFault.SHARED if is_shared else KeyFault.UNKNOWN))


def key_digest(key: bytes) -> bytes:
    """Return the digest by which keys are stored and compared, so that no table holds a key."""
    return hashlib.sha256(key).digest()
