"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.models.decode_errors import DECODE_ERRORS

SETTINGS_VARIABLE = "CASSIASHORE_BOOT"


class _Section(msgspec.Struct, frozen=True, rename="kebab"):
    """A section of the file; unknown fields are ignored."""


class MachineLimits(_Section, frozen=True):
    """Resources of the machine for this process. ``cpu_share`` is a share of each core."""

    cpu_share: float = 1.0
    cores: float = 1
    memory_mb: int = 0
    max_fds: int = 1024
    link_mbps: float = 0.0


class Machine(_Section, frozen=True):
    """The machine and the role of the process on it."""

    node_name: str
    zone: str
    region: str
    serves: list[str] = []
    limits: MachineLimits = MachineLimits()


class Listen(_Section, frozen=True):
    """Addresses to listen on; only those that the role serves are set."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None
    directory: str | None = None


class Network(_Section, frozen=True):
    """Addresses of this process and of others; ``zones`` maps each zone to its region.

    ``internal_ports`` are the first and last of the ports for connections between instances.
    """

    listen: Listen
    zones: dict[str, str]
    seeds: list[str] = []
    internal_ports: tuple[int, int] = (7620, 7635)


class StoreAccess(_Section, frozen=True):
    """The platform's store. The rates are calls per second of all machines together."""

    address: str
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    ttl_min_s: float = 1.0
    value_bytes: int = 1 << 20


class PlatformSection(_Section, frozen=True):
    """The platform. Despite its name, the inner ``platform`` describes the store."""

    platform: StoreAccess
    heartbeat_s: float = 1.5


class Bounds(msgspec.Struct, frozen=True, rename="kebab"):
    """Limits agreed for the deployment, in seconds unless the name says otherwise.

    ``stable_window_s``: time without faults after which a machine must meet all limits again.
    ``retry_budget_*``: retries allowed in ``budget_window_s``, as a ratio of the requests plus a
    fixed number.
    ``cold_*``: factor, and requests per second on top, by which a cold target's rate may be
    exceeded.
    ``max_shift``: share of a region's requests that may move between two consecutive windows.
    ``quota_*``: window in which the requests of a workspace are counted, and the ratio and fixed
    number by which they may exceed its limit.
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
    # The platform spells only this field with underscores.
    ttl_max_s: float = msgspec.field(default=5.0, name="ttl_max_s")
    max_shift: float = 1.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


class Terms(_Section, frozen=True):
    """The terms agreed for this deployment."""

    bounds: Bounds = Bounds()
    contracts: list[str] = []


class PlatformSettings(_Section, frozen=True):
    """The whole file. ``machine`` is called ``self`` there."""

    machine: Machine = msgspec.field(name="self")
    network: Network
    platform: PlatformSection
    terms: Terms = Terms()


_decoder = msgspec.json.Decoder(PlatformSettings)


def decode_settings(content: bytes, where: str) -> PlatformSettings:
    """Decode the file; raise ``InvalidFileError`` naming the invalid field."""
    try:
        return _decoder.decode(content)
    except DECODE_ERRORS as error:
        raise InvalidFileError([f"{where}: {error}"]) from error


def settings_path() -> str:
    """Return the path of the file; raise ``InvalidFileError`` when it is not set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidFileError([f"environment: {SETTINGS_VARIABLE}: is not set"])
    return path


def read_settings(path: str) -> PlatformSettings:
    """Read the file; raise ``InvalidFileError`` when it is unreadable or invalid."""
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise InvalidFileError([f"{path}: document: cannot be read: {error}"]) from error
    return decode_settings(content, path)
