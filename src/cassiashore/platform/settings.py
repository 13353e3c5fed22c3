"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from cassiashore._internal.exceptions import InvalidFileError

SETTINGS_VARIABLE = "CASSIASHORE_BOOT"


class _Table(msgspec.Struct, frozen=True, rename="kebab"):
    """A table of the file; fields that are not known are ignored."""


class MachineLimits(_Table, frozen=True):
    """What the machine gives to a process. ``cpu_share`` counts per core."""

    cpu_share: float = 1.0
    cores: float = 1
    memory_mb: int = 0
    max_fds: int = 1024
    link_mbps: float = 0.0


class Machine(_Table, frozen=True):
    """The machine and the role of the process on it."""

    node_name: str
    zone: str
    region: str
    serves: list[str] = []
    limits: MachineLimits = MachineLimits()


class Listen(_Table, frozen=True):
    """Addresses to listen at, for what the role serves."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None
    directory: str | None = None


class Network(_Table, frozen=True):
    """Addresses of this process and of others; ``zones`` maps each zone to its region.

    ``internal_ports`` are the first and last port that are free for streams between instances.
    """

    listen: Listen
    zones: dict[str, str]
    seeds: list[str] = []
    internal_ports: tuple[int, int] = (7620, 7635)


class StoreAccess(_Table, frozen=True):
    """The platform's store; rates are calls a second of all machines together."""

    address: str
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    ttl_min_s: float = 1.0
    value_bytes: int = 1 << 20


class PlatformTable(_Table, frozen=True):
    """The platform. ``platform`` in it is the store, whatever its name says."""

    platform: StoreAccess
    heartbeat_s: float = 1.5


class Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    """Figures that the rules give, in seconds unless the name says otherwise.

    ``stable_window_s``: time without trouble after which a machine must keep the rules again.
    ``retry_budget_*``: repeated sends allowed in a window, as a ratio and a number of requests.
    ``cold_*``: factor and number of requests a second on top of a cold target's rate.
    ``max_shift``: share of a region's requests that may move between two windows.
    """

    stable_window_s: float = 3.0
    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 20.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    # The platform spells this one field with underscores.
    ttl_max_s: float = msgspec.field(default=5.0, name="ttl_max_s")
    max_shift: float = 1.0


class Terms(_Table, frozen=True):
    """What was agreed for this deployment."""

    bounds: Bounds = Bounds()
    contracts: list[str] = []


class PlatformSettings(_Table, frozen=True):
    """The whole file. ``machine`` stands under ``self`` there."""

    machine: Machine = msgspec.field(name="self")
    network: Network
    platform: PlatformTable
    terms: Terms = Terms()


_decoder = msgspec.json.Decoder(PlatformSettings)


def decode_settings(content: bytes, where: str) -> PlatformSettings:
    """Decode the file; raise ``InvalidFileError`` naming the field that is wrong."""
    try:
        return _decoder.decode(content)
    except msgspec.DecodeError as error:
        raise InvalidFileError([f"{where}: {error}"]) from error


def settings_path() -> str:
    """Return the path of the file; raise ``InvalidFileError`` when none is given."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidFileError([f"environment: {SETTINGS_VARIABLE}: is not set"])
    return path


def read_settings(path: str) -> PlatformSettings:
    """Read the file; raise ``InvalidFileError`` when it cannot be read or is wrong."""
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise InvalidFileError([f"{path}: document: cannot be read: {error}"]) from error
    return decode_settings(content, path)
