"""HTTP API for look-ups, status and operators, built with blacksheep."""

from __future__ import annotations

import hmac
from typing import Any, Protocol

import msgspec
from blacksheep import Application, Content, Request, Response
from prometheus_client import generate_latest
from pydantic import ValidationError
from result import Err, Result

from cassiashore._internal.catalogue.manifest import Bundle, Manifest
from cassiashore._internal.catalogue.publisher import PublishFault, Verdict
from cassiashore._internal.catalogue.schema import CatalogueSpec
from cassiashore._internal.routing.lookup import LookupAnswer
from cassiashore._internal.store.client import StoreFault
from cassiashore._internal.validation import format_validation_errors

MAX_CATALOGUE_BYTES = 8 << 20  # eight parts of 1 MB, the largest value in the store
_JSON = b"application/json"
_METRICS = b"text/plain; version=0.0.4"

_STATUS_BY_VERDICT = {
    Verdict.ACCEPTED: 200,
    Verdict.CONFLICT: 409,
    Verdict.REJECTED: 503,
    Verdict.UNKNOWN: 504,
}


class ChangeReport(msgspec.Struct):
    """The result of an operator's change."""

    verdict: Verdict
    version: int
    change_id: str
    detail: str


class Backend(Protocol):
    """What the API needs from an instance."""

    def look_up(self, service: str, client: str) -> LookupAnswer | None:
        """Answer a look-up."""

    def is_ready(self) -> bool:
        """Tell whether the instance serves look-ups and requests."""

    def status(self) -> dict[str, Any]:
        """Describe the instance and what it knows of the others."""

    def bundle(self) -> Bundle | None:
        """Return the catalogue in force."""

    def metrics_registry(self) -> Any:
        """Update the metrics and return their registry."""

    async def publish(
        self, spec: CatalogueSpec, base: int, change_id: str, author: str
    ) -> Result[Manifest, PublishFault]:
        """Publish a change."""

    async def history(self) -> Result[Manifest | None, StoreFault]:
        """Read the current manifest from the store."""


def build_api(backend: Backend, operator_key: bytes) -> Application:
    """Build the API as an ASGI application."""
    app = Application()
    _add_caller_routes(app, backend)
    _add_operator_routes(app, backend, operator_key)
    return app


def _add_caller_routes(app: Application, backend: Backend) -> None:
    @app.router.get("/v1/lookup/:service")
    async def lookup(request: Request, service: str) -> Response:
        client = _query_parameter(request, "client") or request.client_ip
        if not backend.is_ready():
            return _json_response(503, {"error": "no catalogue is in force here yet"})
        try:
            answer = backend.look_up(service, client)
        except ValueError:
            return _json_response(400, {"error": f'client "{client}" is not an IP address'})
        if answer is None:
            return _json_response(404, {"error": f'no service is named "{service}"'})
        ttl = answer.ttl_seconds if answer.instances else 1
        status = 200 if answer.instances else 503
        headers = [(b"cache-control", f"private, max-age={ttl}".encode())]
        return Response(status, headers, Content(_JSON, msgspec.json.encode(answer)))

    @app.router.get("/healthz")
    async def healthz(request: Request) -> Response:
        return _json_response(200, {"status": "running"})

    @app.router.get("/readyz")
    async def readyz(request: Request) -> Response:
        ready = backend.is_ready()
        return _json_response(200 if ready else 503, {"ready": ready})

    @app.router.get("/metrics")
    async def metrics(request: Request) -> Response:
        text = generate_latest(backend.metrics_registry())
        return Response(200, None, Content(_METRICS, text))


def _add_operator_routes(app: Application, backend: Backend, operator_key: bytes) -> None:
    def unauthorized_response(request: Request) -> Response | None:
        actual_header = request.get_first_header(b"authorization") or b""
        if hmac.compare_digest(actual_header, b"Bearer " + operator_key):
            return None
        return _json_response(401, {"error": "this call needs the operator key"})

    @app.router.get("/v1/status")
    async def status(request: Request) -> Response:
        return unauthorized_response(request) or _json_response(200, backend.status())

    @app.router.get("/v1/catalogue")
    async def show(request: Request) -> Response:
        return unauthorized_response(request) or _json_response(200, backend.bundle())

    @app.router.get("/v1/catalogue/history")
    async def history(request: Request) -> Response:
        unauthorized = unauthorized_response(request)
        if unauthorized is not None:
            return unauthorized
        read = await backend.history()
        if isinstance(read, Err):
            return _json_response(503, {"error": read.err_value.detail})
        return _json_response(200, read.ok_value)

    @app.router.put("/v1/catalogue")
    async def publish(request: Request) -> Response:
        unauthorized = unauthorized_response(request)
        if unauthorized is not None:
            return unauthorized
        return await _publish(backend, request)


async def _publish(backend: Backend, request: Request) -> Response:
    base_text = _query_parameter(request, "base") or ""
    change_id = _query_parameter(request, "change") or ""
    author = _query_parameter(request, "author") or ""
    if not base_text.isdigit() or not change_id or not author:
        return _json_response(400, {"error": "base (a version), change and author must be given"})
    body = await request.read() or b""
    if len(body) > MAX_CATALOGUE_BYTES:
        return _json_response(413, {"error": f"the catalogue exceeds {MAX_CATALOGUE_BYTES} bytes"})
    try:
        spec = CatalogueSpec.model_validate_json(body)
    except ValidationError as error:
        faults = "\n".join(format_validation_errors("catalogue", error))
        return _json_response(422, ChangeReport(Verdict.REJECTED, 0, change_id, faults))
    published = await backend.publish(spec, int(base_text), change_id, author)
    if isinstance(published, Err):
        fault = published.err_value
        report = ChangeReport(fault.verdict, 0, change_id, fault.detail)
        return _json_response(_STATUS_BY_VERDICT[fault.verdict], report)
    version = published.ok_value.version
    return _json_response(200, ChangeReport(Verdict.ACCEPTED, version, change_id, "in force"))


def _query_parameter(request: Request, name: str) -> str | None:
    values = request.query.get(name)
    return values[0] if values else None


def _json_response(status: int, value: object) -> Response:
    return Response(status, None, Content(_JSON, msgspec.json.encode(value)))
