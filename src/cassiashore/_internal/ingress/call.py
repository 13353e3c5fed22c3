"""One request on its way through the forwarder, and what is read from its headers."""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import unquote

from cassiashore._internal.ingress.attempt import TargetAnswer
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.models.outcome import Failure, Outcome
from cassiashore._internal.net.http_client import Headers, HttpConnection
from cassiashore._internal.steering.placement import RequestProfile
from cassiashore._internal.steering.registry import RegisteredTarget
from cassiashore._internal.steering.routes import Route


@dataclass(slots=True)
class Delivery:
    """What the caller gets: a target's answer, and who made it."""

    answer: TargetAnswer
    target: RegisteredTarget

    def take_rest(self) -> HttpConnection | None:
        """Return the connection that has the rest of the answer; the caller now hands it back."""
        rest, self.answer.rest = self.answer.rest, None
        return rest

    def discard(self) -> None:
        """Close the connection of an answer that nobody reads on."""
        rest = self.take_rest()
        if rest is not None:
            self.target.pool.discard(rest)


@dataclass(slots=True)
class Call:
    """One request on its way.

    ``deadline`` is when the caller gets a final answer, in seconds of the monotonic clock.
    ``may_have_run`` counts sends of which it is not certain that they did not run. ``deliveries``
    are all answers that targets gave, of which the caller gets one. ``has_object`` tells that the
    key is that of an object and not of this request alone.
    """

    request: IngressRequest
    route: Route
    service: str
    key: str
    deadline: float
    version: int
    has_object: bool = True
    fingerprint: int = 0
    sends: int = 0
    may_have_run: int = 0
    unreachable: int = 0
    tried: set[str] = field(default_factory=set)
    steps: list[list[object]] = field(default_factory=list)
    worst: Failure | None = None
    retry_after: float = 0.0
    deliveries: list[Delivery] = field(default_factory=list)
    is_finished: bool = False

    @property
    def profile(self) -> RequestProfile:
        """Return what the choice of a target goes by."""
        route = self.route
        return RequestProfile(
            self.service, route.name, self.key, route.objective, has_object=self.has_object
        )

    def failed(self, failure: Failure) -> None:
        """Keep the worst knowledge: once a send may have run, the request may have run."""
        if self.worst is None or self.worst.outcome is Outcome.NOT_RUN:
            self.worst = failure


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
