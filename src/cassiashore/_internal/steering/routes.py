"""Routes from hosts and paths to services, as an immutable version of the configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from cassiashore._internal.steering.workspaces import WorkspaceTable


class RequestKind(Enum):
    """Kind of a route's requests: whether they may be retried, or are downloads.

    Downloads may be retried as well, and have large responses.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service and its weight among the parts of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and limits of the requests of one host and path prefix.

    ``timeout`` and the latency ``objective`` are in seconds. ``priority`` 0 is the highest. If
    ``home_regions`` is empty, requests may run in every region. A public route serves requests
    without a key of a workspace.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int
    max_attempts: int
    parts: tuple[SplitPart, ...]
    uses_affinity: bool = False
    home_regions: frozenset[str] = frozenset()
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class UnreadableRoute:
    """A route of the current configuration that cannot be decoded; its requests are refused.

    If ``prefix`` is None it applies to all paths of the host that match no other route, and if
    ``host`` is None to all requests that match no other route.
    """

    name: str
    host: str | None
    prefix: str | None


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Settings of all targets of a service.

    ``cold_seconds`` is how long a target is cold after it started, and ``cold_rate`` how many
    requests per second it can handle during that time.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """Limits on the size and duration of requests, and on idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes, services, limits and workspaces.

    ``hostless`` is an unreadable route without a host. ``faults`` describes the parts of the
    configuration that could not be decoded. ``workspaces`` is None if the configuration has no
    table of workspaces; then no request needs a key.
    """

    version: int
    route_by_prefix_by_host: Mapping[str, Mapping[str, Route | UnreadableRoute]]
    rule_by_service: Mapping[str, ServiceRule]
    limits: IngressLimits = field(default_factory=IngressLimits)
    hostless: UnreadableRoute | None = None
    faults: tuple[str, ...] = ()
    workspaces: WorkspaceTable | None = None

    @classmethod
    def build(
        cls,
        version: int,
        routes: Iterable[Route | UnreadableRoute],
        rules: Iterable[ServiceRule],
        limits: IngressLimits,
        faults: Iterable[str] = (),
        workspaces: WorkspaceTable | None = None,
    ) -> RouteTable:
        """Index routes by host and prefix."""
        by_host: dict[str, dict[str, Route | UnreadableRoute]] = {}
        hostless: UnreadableRoute | None = None
        unreadable_last = sorted(routes, key=lambda r: isinstance(r, UnreadableRoute))
        for route in unreadable_last:
            if isinstance(route, Route):
                by_host.setdefault(route.host, {})[route.prefix] = route
            elif route.host is not None:
                by_host.setdefault(route.host, {}).setdefault(route.prefix or "/", route)
            else:
                hostless = route
        rule_by_service = {rule.name: rule for rule in rules}
        return cls(version, by_host, rule_by_service, limits, hostless, tuple(faults), workspaces)

    def match(self, host: str, path: str) -> Route | UnreadableRoute | None:
        """Return the route of the host with the longest matching prefix.

        Prefixes begin and end with a slash, so it suffices to look up the path up to each slash.

        >>> part = (SplitPart("stock", 1),)
        >>> kind = RequestKind.IDEMPOTENT
        >>> routes = [Route(p, "h", p, kind, 1, 1, 0, 1, part) for p in ("/a/", "/a/b/")]
        >>> table = RouteTable.build(1, routes, [], IngressLimits())
        >>> [getattr(table.match("h", p), "name", None) for p in ("/a/b/c", "/a/bc", "/a")]
        ['/a/b/', '/a/', None]
        """
        route_by_prefix = self.route_by_prefix_by_host.get(host, {})
        cut = path.rfind("/")
        while cut >= 0:
            route = route_by_prefix.get(path[: cut + 1])
            if route is not None:
                return route
            cut = path.rfind("/", 0, cut)
        return self.hostless

    def home_regions_of(self, host: str) -> frozenset[str]:
        """Return the home regions that all routes of a host with home regions have in common."""
        routes = self.route_by_prefix_by_host.get(host, {}).values()
        constrained = [r.home_regions for r in routes if isinstance(r, Route) and r.home_regions]
        return frozenset.intersection(*constrained) if constrained else frozenset()


class SplitChooser:
    """Distributes the requests of each route over its parts by smooth weighted round robin.

    With a few dozen requests per second and weights of 90 to 10, a random choice would deviate from
    the weights by several percentage points. With round robin each part is less than one request
    off after any number of requests.
    """

    def __init__(self) -> None:
        """Create a chooser without state for any route."""
        self._credit_by_route: dict[str, tuple[tuple[SplitPart, ...], list[float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route.

        >>> parts = (SplitPart("a", 3), SplitPart("b", 1))
        >>> route = Route("r", "h", "/", RequestKind.IDEMPOTENT, 1, 1, 0, 1, parts)
        >>> chooser = SplitChooser()
        >>> "".join(chooser.choose(route) for _ in range(8))
        'aabaaaba'
        """
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        known = self._credit_by_route.get(route.name)
        if known is None or known[0] != parts:
            known = (parts, [0.0] * len(parts))
            self._credit_by_route[route.name] = known
        credits = known[1]
        total = 0.0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def discard_except(self, names: set[str]) -> None:
        """Remove the state of all routes except the named ones."""
        for name in [n for n in self._credit_by_route if n not in names]:
            del self._credit_by_route[name]
