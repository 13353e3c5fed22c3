"""Responses to callers, with the decision log and metrics of each request."""

from __future__ import annotations

import asyncio
import logging
import time

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.ingress.attempt import TargetResponse
from cassiashore._internal.ingress.call import Call, Delivery
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import (
    MAX_BUFFERED_BYTES,
    READ_BYTES,
    Headers,
    HttpConnection,
)
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.proxy.headers import end_to_end
from cassiashore._internal.proxy.statuses import status_of

logger = logging.getLogger(__name__)


class ResponseSender:
    """Sends responses to callers, and logs and counts the result of each request."""

    def __init__(self, header_names: HeaderNames, decisions: DecisionLog, metrics: Metrics) -> None:
        """Create a sender."""
        self._header_names = header_names
        self._decisions = decisions
        self._metrics = metrics

    async def deliver(self, call: Call, responder: Responder, delivery: Delivery) -> None:
        """Pass a target's response on to the caller.

        If the response is cut off, the caller's connection is aborted. The target has to complete
        its response before the deadline; what has arrived by then is passed on regardless of how
        slowly the caller reads.
        """
        response = delivery.response
        headers = [p for p in end_to_end(response.head.headers) if p[0] != b"content-length"]
        connection = delivery.take_connection()
        if connection is None:
            self.record_result(call, "answered", delivery)
            responder.send_response(response.head.status, headers, response.body)
            return
        complete = False
        try:
            await responder.wait_for_turn()
            length = response.head.get(b"content-length")
            responder.start(response.head.status, headers, int(length) if length else None)
            await _write_start(response, responder)
            responder.account.hold(MAX_BUFFERED_BYTES)
            while (chunk := await _next_chunk(connection, call.deadline)) is not None:
                await responder.write(chunk)
            complete = True
            responder.finish()
        except (ConnectionLostError, TimeoutError) as error:
            logger.info(
                "response to request with key %s was cut off: %s",
                call.key,
                str(error) or "the deadline passed",
            )
            responder.abort()
        finally:
            pool = delivery.target.pool
            pool.release(connection) if complete else pool.discard(connection)
            self.record_result(call, "answered" if complete else "broken-off", delivery)

    def send_failure(self, responder: Responder, failure: Failure, retry_after: float) -> None:
        """Send an error response, whose status tells whether the request may have run."""
        status = status_of(failure.reason)
        if failure.outcome is Outcome.UNKNOWN and failure.reason is not Reason.DEADLINE:
            status = 502
        elif failure.outcome is Outcome.NOT_RUN and failure.reason is Reason.DEADLINE:
            status = 503
        headers: Headers = [(b"content-type", b"text/plain")]
        if status in (429, 503):
            headers.append((b"retry-after", f"{retry_after:.3f}".encode()))
        elif status == 401:
            headers.append((b"www-authenticate", b"Bearer"))
        responder.send_response(
            status, headers, failure.detail.encode("latin-1", "replace") + b"\n"
        )

    def refuse(
        self,
        request: IngressRequest,
        responder: Responder,
        failure: Failure,
        retry_after: float = 0.0,
        version: int = 0,
        workspace_name: str | None = None,
    ) -> None:
        """Refuse a request before a target was chosen."""
        request_id = request.header(self._header_names.request_id) or b""
        self._decisions.write_request(
            "refuse",
            id=request_id.decode("latin-1"),
            version=version,
            workspace=workspace_name,
            reason=failure.reason.value,
            detail=failure.detail,
        )
        self._metrics.count_request("none", failure.outcome.value, failure.reason.value)
        self.send_failure(responder, failure, retry_after)

    def record_result(self, call: Call, result: str, delivery: Delivery | None) -> None:
        """Log the result of a request and update the metrics."""
        call.is_finished = True
        request_id = call.request.header(self._header_names.request_id) or b""
        seconds = time.monotonic() - call.request.received_at
        self._decisions.write_request(
            "route",
            id=request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service,
            workspace=call.workspace.name if call.workspace is not None else None,
            key=call.key,
            version=call.version,
            left_s=round(call.deadline - time.monotonic(), 3),
            steps=call.steps,
            result=result,
            status=delivery.response.head.status if delivery is not None else None,
            seconds=round(seconds, 4),
        )
        outcome = Outcome.RAN.value if delivery is not None else Outcome.UNKNOWN.value
        if delivery is None and call.reported_failure is not None:
            outcome = call.reported_failure.outcome.value
        self._metrics.count_request(call.service, outcome, result)
        self._metrics.observe_latency(call.service, seconds)


async def _write_start(response: TargetResponse, responder: Responder) -> None:
    """Write the part of a body that was read before any of it was passed on, and release it."""
    body, response.body = response.body, b""
    for start in range(0, len(body), READ_BYTES):
        await responder.write(body[start : start + READ_BYTES])
    responder.account.hold(-len(body))


async def _next_chunk(connection: HttpConnection, deadline: float) -> bytes | None:
    """Return the next piece of a body, or None at its end.

    Raise ``TimeoutError`` at the deadline, unless the whole body has arrived.
    """
    remaining = None if connection.is_complete else deadline - time.monotonic()
    if remaining is not None and remaining <= 0:
        raise TimeoutError
    async with asyncio.timeout(remaining):
        return await connection.read_chunk()
