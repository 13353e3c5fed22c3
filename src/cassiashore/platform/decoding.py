"""Decodes what operators and targets write into the platform's store."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.steering.registry import TargetReport
from cassiashore._internal.steering.routes import (
    IngressLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceRule,
    SplitPart,
)

_KIND_BY_WORD = {"safe": RequestKind.IDEMPOTENT, "unsafe": RequestKind.NON_IDEMPOTENT}
_DRAINING_BY_WORD = {"ready": False, "draining": True}
VERSION_DIGITS = 16  # hexadecimal: more than any counter of 64 bits has


class _Wire(msgspec.Struct, frozen=True, rename="kebab"):
    """A table on the wire; fields that are not known are ignored."""


class _Part(_Wire, frozen=True):
    service: str
    weight: float


class _Route(_Wire, frozen=True):
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    max_attempts: int
    # The time within which an answer earns its full worth: the route's latency objective.
    target_latency_s: float
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Part] = []
    session_affinity: bool = False
    home_regions: list[str] = []


class _Service(_Wire, frozen=True):
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(_Wire, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Manifest(_Wire, frozen=True):
    version: str
    routes: dict[str, msgspec.Raw]
    services: dict[str, _Service]
    limits: _Limits


class _Info(_Wire, frozen=True):
    service: str
    zone: str
    slots: int


class _Status(_Wire, frozen=True):
    state: str
    seq: int
    cold_left_s: float = 0.0


class _Entry(_Wire, frozen=True):
    address: str
    info: _Info
    status: _Status
    # Milliseconds since the epoch at which this run of the target began.
    born: int = 0


_manifest_decoder = msgspec.json.Decoder(_Manifest)
_route_decoder = msgspec.json.Decoder(_Route)
_entry_decoder = msgspec.json.Decoder(_Entry)


class ConfigurationDecoder:
    """Decodes the operators' configuration, version after version.

    A version mostly repeats the routes of the one before; those with the same bytes are taken over,
    so that a change among a thousand routes does not hold up requests.
    """

    def __init__(self) -> None:
        """Start with no version seen."""
        self._known: dict[str, tuple[bytes, Route]] = {}

    def decode(self, content: bytes) -> Result[RouteTable, str]:
        """Decode a version; the error names the field that is wrong."""
        try:
            manifest = _manifest_decoder.decode(content)
            version = int(manifest.version, 16)
            if len(manifest.version) > VERSION_DIGITS:
                return Err(f'version "{manifest.version}" is too long')
            known = {name: self._route(name, raw) for name, raw in manifest.routes.items()}
            for name, (_, route) in known.items():
                _check_services(name, route, manifest)
        except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
            return Err(str(error))
        self._known = known
        rules = [
            ServiceRule(
                name, wire.health_path, wire.max_connections, wire.cold_start_s, wire.cold_per_s
            )
            for name, wire in manifest.services.items()
        ]
        wire_limits = manifest.limits
        limits = IngressLimits(
            wire_limits.max_header_bytes,
            wire_limits.max_body_bytes,
            wire_limits.header_timeout_s,
            wire_limits.idle_timeout_s,
        )
        routes = [route for _, route in known.values()]
        return Ok(RouteTable.build(version, routes, rules, limits))

    def _route(self, name: str, raw: msgspec.Raw) -> tuple[bytes, Route]:
        content = bytes(raw)
        known = self._known.get(name)
        if known is not None and known[0] == content:
            return known
        try:
            wire = _route_decoder.decode(content)
        except msgspec.DecodeError as error:
            raise ValueError(f'route "{name}": {error}') from error
        return content, _route(name, wire)


def _check_services(name: str, route: Route, manifest: _Manifest) -> None:
    for part in route.parts:
        if part.service not in manifest.services:
            raise ValueError(f'route "{name}" names the unknown service "{part.service}"')


def _route(name: str, wire: _Route) -> Route:
    if wire.kind not in _KIND_BY_WORD:
        raise ValueError(f'route "{name}" has the unknown kind "{wire.kind}"')
    parts = tuple(SplitPart(p.service, p.weight) for p in wire.traffic_split if p.weight > 0)
    if wire.service is not None and not parts:
        parts = (SplitPart(wire.service, 1.0),)
    if not parts:
        raise ValueError(f'route "{name}" names no service')
    if not (wire.path_prefix.startswith("/") and wire.path_prefix.endswith("/")):
        raise ValueError(f'route "{name}" has the prefix "{wire.path_prefix}" without slashes')
    if wire.timeout_s <= 0 or wire.max_attempts < 1:
        raise ValueError(f'route "{name}" has no positive timeout or number of attempts')
    return Route(
        name=name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=_KIND_BY_WORD[wire.kind],
        timeout=wire.timeout_s,
        objective=wire.target_latency_s if wire.target_latency_s > 0 else wire.timeout_s,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        parts=parts,
        uses_affinity=wire.session_affinity,
        home_regions=frozenset(wire.home_regions),
    )


def decode_target(
    target_id: str, content: bytes, zones: dict[str, str]
) -> Result[TargetReport, str]:
    """Decode the entry of a target; the error says why it names no target to use."""
    try:
        entry = _entry_decoder.decode(content)
        address = Address.parse(entry.address)
    except (msgspec.DecodeError, ValueError, UnicodeDecodeError) as error:
        return Err(str(error))
    if entry.status.state not in _DRAINING_BY_WORD:
        return Err(f'field "status.state" has the unknown value "{entry.status.state}"')
    if entry.info.zone not in zones:
        return Err(f'field "info.zone" has the unknown value "{entry.info.zone}"')
    if entry.info.slots < 1:
        return Err(f'field "info.slots" is {entry.info.slots}; at least 1 is needed')
    return Ok(
        TargetReport(
            target_id=target_id,
            started_ms=entry.born,
            sequence=entry.status.seq,
            service=entry.info.service,
            address=address,
            failure_domain=entry.info.zone,
            slots=entry.info.slots,
            is_draining=_DRAINING_BY_WORD[entry.status.state],
            cold_seconds=max(0.0, entry.status.cold_left_s),
        )
    )
