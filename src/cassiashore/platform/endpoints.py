"""HTTP endpoints for the readiness check and for the directory of instances."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore.platform.wire import READY_PATH, RESOLVE_PATH

_JSON = [(b"content-type", b"application/json")]


class Addresses(msgspec.Struct, rename="kebab"):
    """The directory's response: where to connect, and for how many seconds it may be cached."""

    addresses: list[str]
    ttl_s: float


Resolve = Callable[[str, str, str], list[str]]


class Endpoints:
    """Handlers of the readiness and directory endpoints."""

    def __init__(self, is_ready: Callable[[], bool], resolve: Resolve, ttl_seconds: float) -> None:
        """Answer with the given callbacks; ``resolve`` takes host, region and failure domain."""
        self._is_ready = is_ready
        self._resolve = resolve
        self._ttl_seconds = ttl_seconds

    async def ready(self, request: IngressRequest, responder: Responder) -> None:
        """Respond whether this process is ready to serve callers."""
        if _path(request) != READY_PATH:
            responder.send_response(404, [], b"not found\n")
            return
        ready = self._is_ready()
        responder.send_response(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")

    async def directory(self, request: IngressRequest, responder: Responder) -> None:
        """Respond with the addresses to which a caller should connect."""
        if _path(request) != RESOLVE_PATH:
            responder.send_response(404, [], b"not found\n")
            return
        query = parse_qs(request.target.partition("?")[2])
        name, region, zone = (query.get(key, [""])[0] for key in ("name", "region", "zone"))
        addresses = self._resolve(name, region, zone)
        if not addresses:
            responder.send_response(503, [], b"no instance is known\n")
            return
        body = msgspec.json.encode(Addresses(addresses, self._ttl_seconds))
        responder.send_response(200, _JSON, body)


def _path(request: IngressRequest) -> str:
    return request.target.partition("?")[0]
