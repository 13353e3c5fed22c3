"""Settings of an instance, validated with pydantic."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from cassiashore._internal.catalogue.schema import Name
from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.models.address import Address

MIN_KEY_BYTES = 16  # 128 bits, too many to guess
# A peer's latest heartbeat may be this many intervals older than the start of a pause.
HEARTBEATS_BEFORE_PAUSE = 2


class _Model(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


def _checked_address(value: str) -> str:
    return str(Address.parse(value))


class StoreSettings(_Model):
    """Address and time limits of the platform's key-value service."""

    address: str
    timeout_ms: Annotated[int, Field(ge=50, le=30_000)] = 1_000
    watch_seconds: Annotated[float, Field(ge=1, le=300)] = 20.0
    instance_list_seconds: Annotated[float, Field(ge=0.2, le=300)] = 2.0

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        return _checked_address(value)


class PeerSettings(_Model):
    """Timing of the peer protocol.

    An instance that was paused for longer than ``pause_ms`` gives up its rights itself. Another
    instance may take them over only after ``suspect_ms`` of silence. That time counts from the last
    heartbeat, which may have been sent up to two intervals before the pause.
    """

    heartbeat_ms: Annotated[int, Field(ge=50, le=60_000)] = 500
    pause_ms: Annotated[int, Field(ge=100, le=60_000)] = 2_500
    suspect_ms: Annotated[int, Field(ge=200, le=300_000)] = 4_000
    digest_ms: Annotated[int, Field(ge=100, le=60_000)] = 1_000

    @model_validator(mode="after")
    def _check_order(self) -> Self:
        least = self.pause_ms + HEARTBEATS_BEFORE_PAUSE * self.heartbeat_ms
        if self.suspect_ms < least:
            raise ValueError(
                f"suspect_ms must be at least pause_ms + {HEARTBEATS_BEFORE_PAUSE} heartbeat_ms"
                f" ({least})"
            )
        return self


class RequestSettings(_Model):
    """Limits on requests, on connections and on the table of request keys."""

    max_header_bytes: Annotated[int, Field(ge=1024, le=1 << 20)] = 16_384
    header_seconds: Annotated[float, Field(ge=0.1, le=300)] = 5.0
    body_idle_seconds: Annotated[float, Field(ge=0.1, le=300)] = 10.0
    key_slot_seconds: Annotated[float, Field(ge=1, le=3600)] = 60.0
    key_slots_kept: Annotated[int, Field(ge=2, le=1440)] = 5
    max_keys: Annotated[int, Field(ge=100, le=10_000_000)] = 50_000
    claims_per_second: Annotated[float, Field(ge=0, le=1000)] = 10.0
    max_connections: Annotated[int, Field(ge=1, le=1_000_000)] = 4_096


class LogSettings(_Model):
    """Settings of the log. The file ``-`` is standard output."""

    file: str = "-"
    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    buffer_lines: Annotated[int, Field(ge=100, le=1_000_000)] = 10_000


class EntrySettings(_Model):
    """Settings of ``cassiashore entry``."""

    instance: Name
    failure_domain: Name
    listen: str
    peer_listen: str
    dns_listen: str | None = None
    store: StoreSettings
    seeds: list[str] = Field(default_factory=list)
    peer_key_file: str
    operator_key_file: str
    peers: PeerSettings = PeerSettings()
    requests: RequestSettings = RequestSettings()
    log: LogSettings = LogSettings()

    @field_validator("listen", "peer_listen")
    @classmethod
    def _check_listen(cls, value: str) -> str:
        return _checked_address(value)

    @field_validator("dns_listen")
    @classmethod
    def _check_dns(cls, value: str | None) -> str | None:
        return None if value is None else _checked_address(value)

    @field_validator("seeds")
    @classmethod
    def _check_seeds(cls, value: list[str]) -> list[str]:
        return [_checked_address(seed) for seed in value]


def read_key(path: str, field: str) -> bytes:
    """Read a secret from a file; raise ``InvalidFileError`` when it is missing or too short."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise InvalidFileError([f"{path}: {field}: cannot be read: {error}"]) from error
    if len(key) < MIN_KEY_BYTES:
        raise InvalidFileError([f"{path}: {field}: has fewer than {MIN_KEY_BYTES} bytes"])
    return key
