"""A single attempt to send a request to a target and read its response."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.ingress.body import BodyError, RequestBody
from cassiashore._internal.ingress.header_names import HeaderNames
from cassiashore._internal.ingress.memory_budget import Account
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.net.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    request_head,
)
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.steering.registry import RegisteredTarget

logger = logging.getLogger(__name__)

# Responses up to this size are read completely before any of it is passed on.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
TIGHT_BUFFERED_RESPONSE_BYTES = 16 * 1024  # the same while memory is tight
MIN_CONNECT_SECONDS = 0.25  # well below 1 s, after which a lost SYN is retransmitted
ROUND_TRIPS_TO_CONNECT = 4  # connect timeout; allows for a target with a long accept queue
# Of the keep-alive timeout that a target announces; the rest is a margin for the travel time.
KEEP_ALIVE_SHARE = 0.8
# Non-idempotent requests use no connection that was idle for longer and may be half closed.
MAX_NON_IDEMPOTENT_IDLE_SECONDS = 4.0
MIN_IDLE_SECONDS = 0.5  # with less, a connection would be opened for each request
CLOSED_IDLE_SHARE = 0.5  # of the idle time after which a target had dropped a connection
_INCONCLUSIVE_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to a target, without the headers that differ between attempts.

    ``prefix`` is the buffered start of the body, which can be sent again.
    """

    method: str
    path: str
    headers: Headers
    request_id: bytes
    prefix: bytes
    body: RequestBody
    content_length: bytes | None
    is_idempotent: bool
    is_streamed: bool


@dataclass(slots=True)
class TargetResponse:
    """A response of a target.

    ``open_connection`` is set if more of the body has to be read from it. ``is_identified`` is set
    if the response names its request, or is the first one of its connection.
    """

    head: ResponseHead
    body: bytes
    open_connection: HttpConnection | None
    seconds: float
    is_unframed: bool
    is_identified: bool = True


class ExecutionStatus(Enum):
    """What a response proves about whether the target ran the request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    OTHER_TARGET = "other-target"
    UNPROVEN = "unproven"


def classify_response(
    head: ResponseHead, header_names: HeaderNames, *, is_identified: bool = True
) -> ExecutionStatus:
    """Return what the head of a response proves about whether the request ran.

    A refusal without a request id on a reused connection may be a repeated one of an earlier
    request, so it proves nothing.
    """
    is_refusal = head.get(header_names.not_run) is not None
    if is_refusal or head.status == 421:
        if not is_identified:
            return ExecutionStatus.UNPROVEN
        return ExecutionStatus.OTHER_TARGET if head.status == 421 else ExecutionStatus.NOT_RUN
    if head.get(header_names.stamp) is None and 200 <= head.status < 300:
        return ExecutionStatus.UNPROVEN
    if head.status in _INCONCLUSIVE_STATUSES:
        return ExecutionStatus.UNPROVEN
    return ExecutionStatus.RAN


async def attempt(
    outgoing: OutgoingRequest,
    target: RegisteredTarget,
    header_names: HeaderNames,
    deadline: float,
    round_trip: float,
    *,
    needs_new_connection: bool = False,
) -> Result[TargetResponse, Failure]:
    """Send a request to a target and read its response until ``deadline`` (monotonic clock).

    The outcome of a failure is "not run" only if no byte of the request was written.
    """
    connection: HttpConnection | None = None
    pool = target.pool
    started = time.monotonic()
    response: Result[TargetResponse, Failure] | None = None
    try:
        max_idle = 0.0 if needs_new_connection else _max_idle_seconds(outgoing)
        connected = await _connect(pool, deadline, round_trip, max_idle)
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
        response = await _exchange(outgoing, connection, target, header_names, deadline)
        if isinstance(response, Ok):
            response.ok_value.seconds = time.monotonic() - started
            _apply_keep_alive(pool, response.ok_value.head)
        return response
    except (ConnectionLostError, BodyError) as error:
        if connection is not None:
            _shorten_idle_time(pool, connection, started)
        return Err(_connection_failure(outgoing, connection, str(error)))
    finally:
        if connection is not None:
            _return_connection(pool, connection, response)


def _max_idle_seconds(outgoing: OutgoingRequest) -> float | None:
    return None if outgoing.is_idempotent else MAX_NON_IDEMPOTENT_IDLE_SECONDS


async def _connect(
    pool: ConnectionPool, deadline: float, round_trip: float, max_idle: float | None
) -> Result[HttpConnection, Failure]:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        return Err(Failure.not_run(Reason.DEADLINE, "the deadline passed before sending"))
    if pool.is_full:
        return Err(Failure.not_run(Reason.NO_CAPACITY, f"all {pool.limit} connections are in use"))
    connect_timeout = min(remaining, max(MIN_CONNECT_SECONDS, ROUND_TRIPS_TO_CONNECT * round_trip))
    acquired = await pool.acquire(max_idle, connect_timeout)
    if isinstance(acquired, Err):
        return Err(Failure.not_run(Reason.TARGET_UNREACHABLE, acquired.err_value))
    return Ok(acquired.ok_value)


async def _exchange(
    outgoing: OutgoingRequest,
    connection: HttpConnection,
    target: RegisteredTarget,
    header_names: HeaderNames,
    deadline: float,
) -> Result[TargetResponse, Failure]:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        return Err(Failure.not_run(Reason.DEADLINE, "the deadline passed before sending"))
    headers = _attempt_headers(outgoing, target, header_names, remaining)

    def is_for_this_request(head: ResponseHead) -> bool:
        echoed = head.get(header_names.request_id)
        return echoed is None or echoed == outgoing.request_id

    prefix = outgoing.prefix
    if outgoing.is_streamed and outgoing.content_length is None and prefix:
        prefix = b"%x\r\n%b\r\n" % (len(prefix), prefix)
    connection.start_exchange(
        request_head(outgoing.method, outgoing.path, headers) + prefix,
        expects_body=outgoing.method != "HEAD",
        allow_unframed=True,
        accept=is_for_this_request,
    )
    body_task = None
    if outgoing.is_streamed:
        body_task = asyncio.create_task(_stream_body(outgoing, connection))
    try:
        async with asyncio.timeout(remaining):
            head = await connection.response_head()
            body = await _read_start(connection, outgoing.body.account)
    except TimeoutError:
        return Err(Failure.unknown(Reason.DEADLINE, "the deadline passed"))
    finally:
        if body_task is not None and not body_task.done():
            connection.disable_reuse()
            body_task.cancel()
    open_connection = None if connection.fully_read or outgoing.method == "HEAD" else connection
    is_identified = connection.exchanges == 1 or head.get(header_names.request_id) is not None
    if not is_identified:
        connection.disable_reuse()
    return Ok(
        TargetResponse(head, body, open_connection, 0.0, connection.is_unframed, is_identified)
    )


async def _read_start(connection: HttpConnection, account: Account) -> bytes:
    """Read the part of a response that is buffered, and count it."""
    chunks: list[bytes] = []
    size = 0
    while size < (
        TIGHT_BUFFERED_RESPONSE_BYTES if account.budget.is_tight else MAX_BUFFERED_RESPONSE_BYTES
    ):
        chunk = await connection.read_chunk()
        if chunk is None:
            break
        account.hold(len(chunk))
        chunks.append(chunk)
        size += len(chunk)
    return b"".join(chunks)


async def _stream_body(outgoing: OutgoingRequest, connection: HttpConnection) -> None:
    """Stream the body after its prefix; close the connection if the body is cut off."""
    chunked = outgoing.content_length is None
    try:
        while (chunk := await outgoing.body.next_chunk()) is not None:
            connection.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
            await connection.drain()
        if chunked:
            connection.write(b"0\r\n\r\n")
    except BodyError as error:
        logger.info("request body was cut off: %s", error)
        connection.close()
    except ConnectionLostError as error:
        logger.debug("target stopped reading the request body: %s", error)


def _attempt_headers(
    outgoing: OutgoingRequest, target: RegisteredTarget, header_names: HeaderNames, remaining: float
) -> Headers:
    headers = [
        *outgoing.headers,
        (header_names.deadline_ms, b"%d" % max(1, int(remaining * 1000))),
        (header_names.expect_target, target.target_id.encode()),
    ]
    if not outgoing.is_streamed:
        if outgoing.prefix or outgoing.content_length is not None:
            headers.append((b"content-length", b"%d" % len(outgoing.prefix)))
    elif outgoing.content_length is not None:
        headers.append((b"content-length", outgoing.content_length))
    else:
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


def _connection_failure(
    outgoing: OutgoingRequest, connection: HttpConnection | None, detail: str
) -> Failure:
    if connection is None or connection.bytes_sent == 0:
        return Failure.not_run(Reason.TARGET_UNREACHABLE, detail)
    if outgoing.body.fault is not None:
        return Failure.unknown(Reason.BODY_CUT_OFF, outgoing.body.fault.value)
    return Failure.unknown(_loss_reason(connection), detail)


def _loss_reason(connection: HttpConnection) -> Reason:
    """Return why an exchange failed after the request was sent.

    A target may close a connection while it is idle, so the loss of a reused one does not show that
    the target failed.
    """
    if not connection.was_lost or connection.has_head:
        return Reason.BAD_ANSWER
    return Reason.CONNECTION_DROPPED if connection.was_idle else Reason.TARGET_FAILED


def _apply_keep_alive(pool: ConnectionPool, head: ResponseHead) -> None:
    value = head.get(b"keep-alive")
    if value is None:
        return
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            pool.idle_seconds = max(MIN_IDLE_SECONDS, int(number) * KEEP_ALIVE_SHARE)


def _shorten_idle_time(pool: ConnectionPool, connection: HttpConnection, started: float) -> None:
    """Reduce the idle limit after a reused connection was lost before a response began."""
    if connection.exchanges > 1 and not connection.has_head:
        idle = started - connection.idle_since
        pool.idle_seconds = max(MIN_IDLE_SECONDS, min(pool.idle_seconds, idle * CLOSED_IDLE_SHARE))


def _return_connection(
    pool: ConnectionPool,
    connection: HttpConnection,
    response: Result[TargetResponse, Failure] | None,
) -> None:
    """Return a connection to the pool, unless the rest of a response has to be read from it.

    Without a response the exchange is incomplete, so the connection is closed to make the target
    stop.
    """
    if not isinstance(response, Ok):
        pool.discard(connection)
    elif response.ok_value.open_connection is None:
        pool.release(connection)
