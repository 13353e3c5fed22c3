"""What callers get, and the log line and metrics of each request."""

from __future__ import annotations

import asyncio
import logging
import time

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.ingress.call import Call, Delivery
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.request import IngressRequest
from cassiashore._internal.ingress.responder import Responder
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import Headers
from cassiashore._internal.observability.logs import DecisionLog
from cassiashore._internal.observability.metrics import Metrics
from cassiashore._internal.proxy.headers import end_to_end
from cassiashore._internal.proxy.statuses import status_of

logger = logging.getLogger(__name__)


class ResponseSender:
    """Answers callers and tells what was decided about their requests."""

    def __init__(self, edge: HeaderNames, decisions: DecisionLog, metrics: Metrics) -> None:
        """Keep the parts."""
        self._edge = edge
        self._decisions = decisions
        self._metrics = metrics

    async def deliver(self, call: Call, responder: Responder, delivery: Delivery) -> None:
        """Pass on a target's answer; one that breaks off breaks the caller's connection.

        The target has until the deadline for the whole answer. What it sent by then is passed on,
        however slowly the caller reads.
        """
        answer = delivery.answer
        headers = [p for p in end_to_end(answer.head.headers) if p[0] != b"content-length"]
        connection = delivery.take_rest()
        if connection is None:
            self.finish(call, "answered", delivery)
            responder.send_response(answer.head.status, headers, answer.body)
            return
        whole = False
        try:
            await responder.turn()
            length = answer.head.get(b"content-length")
            responder.start(answer.head.status, headers, int(length) if length else None)
            piece: bytes | None = answer.body
            while piece is not None:
                await responder.write(piece)
                left = None if connection.has_whole else call.deadline - time.monotonic()
                if left is not None and left <= 0:
                    raise TimeoutError
                async with asyncio.timeout(left):
                    piece = await connection.read_chunk()
            whole = True
            responder.finish()
        except (ConnectionLostError, TimeoutError) as error:
            logger.info(
                "the answer to %s broke off: %s", call.key, str(error) or "the deadline passed"
            )
            responder.abort()
        finally:
            pool = delivery.target.pool
            pool.release(connection) if whole else pool.discard(connection)
            self.finish(call, "answered" if whole else "broken-off", delivery)

    def fail(self, responder: Responder, failure: Failure, retry_after: float) -> None:
        """Answer that there is no answer, with the status that says what is known."""
        status = status_of(failure.reason)
        if failure.outcome is Outcome.UNKNOWN and failure.reason is not Reason.DEADLINE:
            status = 502
        elif failure.outcome is Outcome.NOT_RUN and failure.reason is Reason.DEADLINE:
            status = 503
        headers: Headers = [(b"content-type", b"text/plain")]
        if status in (429, 503):
            headers.append((b"retry-after", f"{retry_after:.3f}".encode()))
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
    ) -> None:
        """Turn a request away before any target was chosen."""
        request_id = request.header(self._edge.request_id) or b""
        self._decisions.write_request(
            "refuse",
            id=request_id.decode("latin-1"),
            version=version,
            reason=failure.reason.value,
            detail=failure.detail,
        )
        self._metrics.count_request("none", failure.outcome.value, failure.reason.value)
        self.fail(responder, failure, retry_after)

    def finish(self, call: Call, result: str, delivery: Delivery | None) -> None:
        """Log the decision and count it."""
        call.is_finished = True
        request_id = call.request.header(self._edge.request_id) or b""
        seconds = time.monotonic() - call.request.received_at
        self._decisions.write_request(
            "route",
            id=request_id.decode("latin-1"),
            route=call.route.name,
            service=call.service,
            key=call.key,
            version=call.version,
            left_s=round(call.deadline - time.monotonic(), 3),
            steps=call.steps,
            result=result,
            status=delivery.answer.head.status if delivery is not None else None,
            seconds=round(seconds, 4),
        )
        outcome = Outcome.RAN.value if delivery is not None else Outcome.UNKNOWN.value
        if delivery is None and call.worst is not None:
            outcome = call.worst.outcome.value
        self._metrics.count_request(call.service, outcome, result)
        self._metrics.observe_latency(call.service, seconds)
