"""Routes of requests to services, as one immutable version of the operators' configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """What may be repeated, and for downloads also that answers are large."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service and its part of a route's requests; parts count relative to their sum."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and under which limits.

    ``timeout`` and ``objective`` are seconds. ``priority`` 0 is the most important. An empty
    ``home_regions`` allows every region.
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

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is not RequestKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class UnreadableRoute:
    """A route that is in force but cannot be followed; its requests are refused as not run.

    Without a readable ``prefix`` it may concern every path of its host that no other route takes,
    and without a readable ``host`` every such request.
    """

    name: str
    host: str | None
    prefix: str | None


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """What holds for all targets of a service.

    ``cold_seconds`` is how long a target that starts stays cold, and ``cold_rate`` the requests a
    second that it tolerates meanwhile.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes, services and limits.

    ``faults`` says which parts could not be read. ``placeless`` is a route that may concern any
    host.
    """

    version: int
    route_by_prefix_by_host: Mapping[str, Mapping[str, Route | UnreadableRoute]]
    rule_by_service: Mapping[str, ServiceRule]
    limits: IngressLimits = field(default_factory=IngressLimits)
    placeless: UnreadableRoute | None = None
    faults: tuple[str, ...] = ()

    @classmethod
    def build(
        cls,
        version: int,
        routes: Iterable[Route | UnreadableRoute],
        rules: Iterable[ServiceRule],
        limits: IngressLimits,
        faults: Iterable[str] = (),
    ) -> RouteTable:
        """Index routes by host and prefix."""
        by_host: dict[str, dict[str, Route | UnreadableRoute]] = {}
        placeless: UnreadableRoute | None = None
        unreadable_last = sorted(routes, key=lambda r: isinstance(r, UnreadableRoute))
        for route in unreadable_last:
            if isinstance(route, Route):
                by_host.setdefault(route.host, {})[route.prefix] = route
            elif route.host is not None:
                by_host.setdefault(route.host, {}).setdefault(route.prefix or "/", route)
            else:
                placeless = route
        rule_by_service = {rule.name: rule for rule in rules}
        return cls(version, by_host, rule_by_service, limits, placeless, tuple(faults))

    def match(self, host: str, path: str) -> Route | UnreadableRoute | None:
        """Return the route of the host with the longest prefix that begins the path.

        Prefixes begin and end with a slash, so only the path's own cuts at slashes can match.

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
        return self.placeless

    def home_regions_of(self, host: str) -> frozenset[str]:
        """Return the regions in which every route of a host that has homes may run."""
        routes = self.route_by_prefix_by_host.get(host, {}).values()
        bound = [r.home_regions for r in routes if isinstance(r, Route) and r.home_regions]
        return frozenset.intersection(*bound) if bound else frozenset()


class SplitChooser:
    """Divides the requests of each route over its parts.

    Load pattern: a split of 90 to 10 with a few dozen requests a second. Drawing at random strays
    from the weights by several points over such samples, so parts take turns instead (smooth
    weighted round robin): after any number of requests each part is less than one request off.
    """

    def __init__(self) -> None:
        """Start with no route seen."""
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

    def forget_except(self, names: set[str]) -> None:
        """Drop the turns of routes that are gone."""
        for name in [n for n in self._credit_by_route if n not in names]:
            del self._credit_by_route[name]
