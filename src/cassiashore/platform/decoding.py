"""Decodes the configuration and the target entries in the platform's store."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from cassiashore._internal.models.address import Address
from cassiashore._internal.models.decode_errors import DECODE_ERRORS
from cassiashore._internal.steering.registry import TargetReport
from cassiashore._internal.steering.routes import (
    IngressLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceRule,
    SplitPart,
    UnreadableRoute,
)
from cassiashore.platform.workspace_decoding import ABSENT, WorkspaceDecoder

_KIND_BY_WORD = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.NON_IDEMPOTENT,
    "download": RequestKind.DOWNLOAD,
}
_DRAINING_BY_WORD = {"ready": False, "draining": True}
MAX_VERSION_DIGITS = 16  # hexadecimal digits of a 64-bit counter
MAX_COUNTER = 2**63 - 1  # of a signed 64-bit integer
MAX_SLOTS = 1_000_000  # far more than one process serves at a time
MAX_COLD_SECONDS = 86_400.0  # a day; targets warm up within seconds or minutes
MAX_ID_LENGTH = 200  # of a key in the store
_TARGET_ID = re.compile(f"[!-~]{{1,{MAX_ID_LENGTH}}}")  # it is sent in a header


class _WireObject(msgspec.Struct, frozen=True, rename="kebab"):
    """A JSON object on the wire; unknown fields are ignored."""


class _Part(_WireObject, frozen=True):
    service: str
    weight: float


class _Route(_WireObject, frozen=True):
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    max_attempts: int
    # The route's latency objective: a response within this time has its full value.
    target_latency_s: float
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Part] = []
    session_affinity: bool = False
    home_regions: list[str] = []
    public: bool = False


class _Service(_WireObject, frozen=True):
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(_WireObject, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Manifest(_WireObject, frozen=True):
    """The whole document. Parts are decoded one by one, so that an invalid one affects no other."""

    version: str
    routes: dict[str, msgspec.Raw]
    services: dict[str, msgspec.Raw]
    limits: msgspec.Raw = msgspec.Raw(b"null")
    tenants: msgspec.Raw = ABSENT


class _Info(_WireObject, frozen=True):
    service: str
    zone: str
    slots: int


class _Status(_WireObject, frozen=True):
    state: str
    seq: int
    cold_left_s: float = 0.0


class _Entry(_WireObject, frozen=True):
    address: str
    info: _Info
    status: _Status
    # Start of this run of the target, in milliseconds since the epoch.
    born: int = 0


_manifest_decoder = msgspec.json.Decoder(_Manifest)
_route_decoder = msgspec.json.Decoder(_Route)
_service_decoder = msgspec.json.Decoder(_Service)
_limits_decoder = msgspec.json.Decoder(_Limits)
_entry_decoder = msgspec.json.Decoder(_Entry)
_REQUIRED_LIMITS = ("max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s")


@dataclass(frozen=True, slots=True)
class _DecodedRoute:
    """A route decoded from ``content``, with the error if any of it was invalid."""

    content: bytes
    route: Route | UnreadableRoute
    fault: str | None


class ConfigurationDecoder:
    """Decodes successive versions of the operators' configuration.

    Routes and workspaces whose bytes are the same as in the previous version are reused, so that a
    change to one of a thousand does not delay requests. A part that cannot be decoded is reported
    in the faults of the version and affects only what depends on it.
    """

    def __init__(self) -> None:
        """Create a decoder without a previous version."""
        self._decoded_routes: dict[str, _DecodedRoute] = {}
        self._workspace_decoder = WorkspaceDecoder()

    def decode(self, content: bytes, in_force: RouteTable | None = None) -> Result[RouteTable, str]:
        """Decode a version; return an error if the whole document must be rejected.

        Limits and workspaces that cannot be decoded are taken over from the version in force, and
        not from the one decoded last: that may be an older one, which was ignored.
        """
        try:
            manifest = _manifest_decoder.decode(content)
            version = int(manifest.version, 16)
        except DECODE_ERRORS as error:
            return Err(str(error))
        if len(manifest.version) > MAX_VERSION_DIGITS:
            return Err(f'version "{manifest.version}" is too long')
        faults: list[str] = []
        rules = _decode_rules(manifest.services, faults)
        self._decoded_routes = {
            name: self._decode_route(name, raw) for name, raw in manifest.routes.items()
        }
        faults += [
            decoded.fault for decoded in self._decoded_routes.values() if decoded.fault is not None
        ]
        routes = [
            _check_services(decoded.route, rules, faults)
            for decoded in self._decoded_routes.values()
        ]
        previous_limits = in_force.limits if in_force is not None else IngressLimits()
        limits = _decode_limits(manifest.limits, previous_limits, faults)
        previous_workspaces = in_force.workspaces if in_force is not None else None
        workspaces = self._workspace_decoder.decode(manifest.tenants, previous_workspaces, faults)
        return Ok(RouteTable.build(version, routes, rules.values(), limits, faults, workspaces))

    def _decode_route(self, name: str, raw: msgspec.Raw) -> _DecodedRoute:
        content = bytes(raw)
        decoded = self._decoded_routes.get(name)
        if decoded is not None and decoded.content == content:
            return decoded
        try:
            wire = _route_decoder.decode(content)
            route = _build_route(name, wire)
        except DECODE_ERRORS as error:
            return _DecodedRoute(
                content, _unreadable_route(name, content), f'route "{name}": {error}'
            )
        fault = None
        if wire.kind not in _KIND_BY_WORD:
            fault = f'route "{name}" has the unknown kind "{wire.kind}"; it runs at most once'
        return _DecodedRoute(content, route, fault)


def _decode_rules(services: dict[str, msgspec.Raw], faults: list[str]) -> dict[str, ServiceRule]:
    rules: dict[str, ServiceRule] = {}
    for name, raw in services.items():
        try:
            wire = _service_decoder.decode(raw)
        except DECODE_ERRORS as error:
            faults.append(f'service "{name}": {error}')
            continue
        rules[name] = ServiceRule(
            name, wire.health_path, wire.max_connections, wire.cold_start_s, wire.cold_per_s
        )
    return rules


def _decode_limits(raw: msgspec.Raw, previous: IngressLimits, faults: list[str]) -> IngressLimits:
    """Decode the limits; return the previous ones if they are invalid."""
    try:
        wire = _limits_decoder.decode(raw)
    except DECODE_ERRORS as error:
        faults.append(f"limits: {error}; the previous limits stay in force")
        return previous
    invalid = [name for name in _REQUIRED_LIMITS if getattr(wire, name) <= 0]
    if invalid:
        faults.append(
            f'limits: field "{invalid[0]}" is not positive; the previous limits stay in force'
        )
        return previous
    return IngressLimits(
        wire.max_header_bytes, wire.max_body_bytes, wire.header_timeout_s, wire.idle_timeout_s
    )


def _check_services(
    route: Route | UnreadableRoute, rules: dict[str, ServiceRule], faults: list[str]
) -> Route | UnreadableRoute:
    if isinstance(route, Route):
        for part in route.parts:
            if part.service not in rules:
                faults.append(
                    f'route "{route.name}" refers to the unknown service "{part.service}"'
                )
                return UnreadableRoute(route.name, route.host, route.prefix)
    return route


def _unreadable_route(name: str, content: bytes) -> UnreadableRoute:
    """Build a route that only rejects requests, from whichever of host and prefix are valid."""
    try:
        fields = msgspec.json.decode(content, type=dict[str, object])
    except DECODE_ERRORS:
        return UnreadableRoute(name, None, None)
    host, prefix = fields.get("host"), fields.get("path-prefix")
    return UnreadableRoute(
        name,
        host.lower() if isinstance(host, str) else None,
        prefix if isinstance(prefix, str) and _is_prefix(prefix) else None,
    )


def _is_prefix(text: str) -> bool:
    return text.startswith("/") and text.endswith("/")


def _build_route(name: str, wire: _Route) -> Route:
    parts = tuple(SplitPart(p.service, p.weight) for p in wire.traffic_split if p.weight > 0)
    if wire.service is not None and not parts:
        parts = (SplitPart(wire.service, 1.0),)
    if not parts:
        raise ValueError("it names no service")
    if not _is_prefix(wire.path_prefix):
        raise ValueError(f'path prefix "{wire.path_prefix}" does not begin and end with a slash')
    if wire.timeout_s <= 0 or wire.max_attempts < 1:
        raise ValueError("timeout and number of attempts must be positive")
    return Route(
        name=name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=_KIND_BY_WORD.get(wire.kind, RequestKind.NON_IDEMPOTENT),
        timeout=wire.timeout_s,
        objective=wire.target_latency_s if wire.target_latency_s > 0 else wire.timeout_s,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        parts=parts,
        uses_affinity=wire.session_affinity,
        home_regions=frozenset(wire.home_regions),
        is_public=wire.public,
    )


def _check_host(host: str) -> None:
    """Raise ``ValueError`` unless the host is an address of a single machine."""
    ip = ipaddress.ip_address(host)
    if ip.is_unspecified or ip.is_multicast or "%" in host:
        raise ValueError(f'field "address" names "{host}", which is no address of one machine')


def _check_numbers(entry: _Entry) -> None:
    """Raise ``ValueError`` if a number is out of its range."""
    numbers = (
        ("born", entry.born, 0, MAX_COUNTER),
        ("status.seq", entry.status.seq, 0, MAX_COUNTER),
        ("status.cold-left-s", max(0.0, entry.status.cold_left_s), 0, MAX_COLD_SECONDS),
        ("info.slots", entry.info.slots, 1, MAX_SLOTS),
    )
    for name, number, least, most in numbers:
        if not least <= number <= most:
            raise ValueError(f'field "{name}" is {number}, outside {least}..{most}')


def decode_target(
    target_id: str, content: bytes, region_by_zone: dict[str, str]
) -> Result[TargetReport, str]:
    """Decode the entry of a target; return an error if any part of it is invalid."""
    if _TARGET_ID.fullmatch(target_id) is None:
        return Err(f"the id is not of 1 to {MAX_ID_LENGTH} visible ASCII characters")
    try:
        entry = _entry_decoder.decode(content)
        address = Address.parse(entry.address)
        _check_host(address.host)
        _check_numbers(entry)
    except DECODE_ERRORS as error:
        return Err(str(error))
    if entry.status.state not in _DRAINING_BY_WORD:
        return Err(f'field "status.state" has the unknown value "{entry.status.state}"')
    if entry.info.zone not in region_by_zone:
        return Err(f'field "info.zone" has the unknown value "{entry.info.zone}"')
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
