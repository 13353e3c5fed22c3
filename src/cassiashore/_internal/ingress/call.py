"""State of a request while it is being forwarded, and parsing of its headers."""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import unquote

from cassiashore._internal.ingress.attempt import TargetResponse
from cassiashore._internal.ingress.authorization import Authorization, Credential
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.models.outcome import Failure, Outcome
from cassiashore._internal.net.http_client import Headers, HttpConnection
from cassiashore._internal.steering.placement import Estimate, RequestProfile
from cassiashore._internal.steering.registry import RegisteredTarget
from cassiashore._internal.steering.routes import Route
from cassiashore._internal.steering.workspaces import Workspace


@dataclass(slots=True)
class Delivery:
    """A response for the caller, and the target that sent it."""

    response: TargetResponse
    target: RegisteredTarget

    def take_connection(self) -> HttpConnection | None:
        """Hand over the connection with the rest of the response, which has to be returned."""
        open_connection, self.response.open_connection = self.response.open_connection, None
        return open_connection

    def discard(self) -> None:
        """Close the connection of a response that will not be read further."""
        open_connection = self.take_connection()
        if open_connection is not None:
            self.target.pool.discard(open_connection)


@dataclass(slots=True)
class Call:
    """State of a request that is being forwarded.

    ``deadline`` is the time of the final response to the caller, by the monotonic clock.
    ``may_have_run`` counts the sends that may have run the request. ``lost_idle_connection`` is set
    if an attempt lost a connection that had been idle; other idle ones may be closed as well.
    ``deliveries`` are the responses of all targets, one of which is passed to the caller.
    ``has_object`` is set if ``key`` identifies an object, and not just this request.
    ``authorization`` is that of the last attempt, or of the arrival of the request.
    """

    request: IngressRequest
    route: Route
    service: str
    key: str
    deadline: float
    version: int
    credential: Credential
    authorization: Authorization
    has_object: bool = True
    fingerprint: int = 0
    sends: int = 0
    may_have_run: int = 0
    unreachable: int = 0
    lost_idle_connection: bool = False
    tried_target_ids: set[str] = field(default_factory=set)
    steps: list[list[object]] = field(default_factory=list)
    reported_failure: Failure | None = None
    retry_after: float = 0.0
    deliveries: list[Delivery] = field(default_factory=list)
    is_finished: bool = False
    first_estimate: Estimate | None = None

    @property
    def workspace(self) -> Workspace | None:
        """Return the workspace of the caller's key, if any."""
        return self.authorization.workspace

    @property
    def profile(self) -> RequestProfile:
        """Return the properties that determine the target."""
        route = self.route
        return RequestProfile(
            self.service, route.name, self.key, route.objective, has_object=self.has_object
        )

    def objective_left(self, now: float) -> float:
        """Return how many seconds are left of the route's latency objective."""
        return self.request.received_at + self.route.objective - now

    def record_failure(self, failure: Failure) -> None:
        """Keep the failure to report: the first one whose send may have run, else the last."""
        if self.reported_failure is None or self.reported_failure.outcome is Outcome.NOT_RUN:
            self.reported_failure = failure


def host_of(request: IngressRequest) -> str:
    host = (request.header(b"host") or b"").decode("latin-1").lower()
    name, separator, port = host.rpartition(":")
    return name if separator and port.isdigit() else host


def cookie_of(headers: Headers, wanted: bytes) -> str | None:
    """Return the value of a cookie, or None.

    >>> cookie_of([(b"cookie", b"a=1; Key=17")], b"key")
    '17'
    """
    for name, value in headers:
        if name != b"cookie":
            continue
        for part in value.split(b";"):
            cookie, separator, content = part.strip().partition(b"=")
            if separator and cookie.lower() == wanted:
                return unquote(content.decode("latin-1"))
    return None
