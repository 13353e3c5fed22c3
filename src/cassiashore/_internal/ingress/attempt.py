"""One send of a request to a registered target, and what became of it."""

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
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    request_head,
)
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.steering.registry import RegisteredTarget

logger = logging.getLogger(__name__)

WHOLE_ANSWER_BYTES = 256 * 1024  # answers up to this are read whole before any of it is passed on
MIN_CONNECT_SECONDS = 0.25  # the first retransmission of an opening packet comes after 1 s
ROUND_TRIPS_TO_CONNECT = 4  # a target with a long accept queue answers late
SHARE_OF_KEEP_ALIVE = 0.8  # of the idle time that a target promises; the rest is travel
FRESH_IDLE_SECONDS = 4.0  # for what must not be repeated: an idle connection may be half closed
MIN_IDLE_SECONDS = 0.5  # below it, connections would be opened for each request
SHARE_OF_FORGOTTEN = 0.5  # of the idle time after which a target had forgotten a connection
_PASSED_STATUSES_OF_REFUSAL = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Send:
    """What is sent: the request as it goes out, apart from headers that differ by attempt."""

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
class TargetAnswer:
    """An answer of a target. ``rest`` is the connection that still has to deliver more body."""

    head: ResponseHead
    body: bytes
    rest: HttpConnection | None
    seconds: float
    is_unframed: bool


class Proof(Enum):
    """What an answer proves about the run of a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    OTHER_TARGET = "other-target"
    UNPROVEN = "unproven"


def classify(head: ResponseHead, edge: HeaderNames) -> Proof:
    """Tell what the head of a target's answer proves."""
    if head.get(edge.not_run) is not None:
        return Proof.OTHER_TARGET if head.status == 421 else Proof.NOT_RUN
    if head.status == 421:
        return Proof.OTHER_TARGET
    if head.get(edge.stamp) is None and 200 <= head.status < 300:
        return Proof.UNPROVEN
    if head.status in _PASSED_STATUSES_OF_REFUSAL:
        return Proof.UNPROVEN
    return Proof.RAN


async def attempt(
    send: Send,
    target: RegisteredTarget,
    edge: HeaderNames,
    deadline: float,
    round_trip: float,
) -> Result[TargetAnswer, Failure]:
    """Send a request to a target and read its answer, until ``deadline`` (monotonic seconds).

    The failure's outcome is "not run" only if no byte of the request was written.
    """
    connection: HttpConnection | None = None
    pool = target.pool
    started = time.monotonic()
    answer: Result[TargetAnswer, Failure] | None = None
    try:
        connected = await _connect(send, pool, deadline, round_trip)
        if isinstance(connected, Err):
            return connected
        connection = connected.ok_value
        answer = await _exchange(send, connection, target, edge, deadline)
        if isinstance(answer, Ok):
            answer.ok_value.seconds = time.monotonic() - started
            _note_keep_alive(pool, answer.ok_value.head)
        return answer
    except (ConnectionLostError, BodyError) as error:
        if connection is not None:
            _note_forgotten(pool, connection, started)
        return Err(_lost(connection, str(error)))
    finally:
        if connection is not None:
            _hand_back(pool, connection, answer)


async def _connect(
    send: Send, pool: ConnectionPool, deadline: float, round_trip: float
) -> Result[HttpConnection, Failure]:
    left = deadline - time.monotonic()
    if left <= 0:
        return Err(Failure.not_run(Reason.DEADLINE, "the deadline passed before sending"))
    patience = min(left, max(MIN_CONNECT_SECONDS, ROUND_TRIPS_TO_CONNECT * round_trip))
    max_idle = None if send.is_idempotent else FRESH_IDLE_SECONDS
    acquired = await pool.acquire(max_idle, patience)
    if isinstance(acquired, Err):
        return Err(Failure.not_run(Reason.TARGET_UNREACHABLE, acquired.err_value))
    return Ok(acquired.ok_value)


async def _exchange(
    send: Send,
    connection: HttpConnection,
    target: RegisteredTarget,
    edge: HeaderNames,
    deadline: float,
) -> Result[TargetAnswer, Failure]:
    left = deadline - time.monotonic()
    if left <= 0:
        return Err(Failure.not_run(Reason.DEADLINE, "the deadline passed before sending"))
    headers = _attempt_headers(send, target, edge, left)

    def answers_this(head: ResponseHead) -> bool:
        echoed = head.get(edge.request_id)
        return echoed is None or echoed == send.request_id

    prefix = send.prefix
    if send.is_streamed and send.content_length is None and prefix:
        prefix = b"%x\r\n%b\r\n" % (len(prefix), prefix)
    connection.start_exchange(
        request_head(send.method, send.path, headers) + prefix,
        expects_body=send.method != "HEAD",
        takes_unframed=True,
        accept=answers_this,
    )
    sender = None
    if send.is_streamed:
        sender = asyncio.create_task(_send_rest(send, connection))
    try:
        async with asyncio.timeout(left):
            head = await connection.response_head()
            body = await _read_up_to(connection, WHOLE_ANSWER_BYTES)
    except TimeoutError:
        return Err(Failure.unknown(Reason.DEADLINE, "the deadline passed"))
    finally:
        if sender is not None and not sender.done():
            connection.abandon_reuse()
            sender.cancel()
    rest = None if connection.fully_read or send.method == "HEAD" else connection
    return Ok(TargetAnswer(head, body, rest, 0.0, connection.is_unframed))


async def _read_up_to(connection: HttpConnection, limit: int) -> bytes:
    pieces: list[bytes] = []
    size = 0
    while size < limit:
        piece = await connection.read_chunk()
        if piece is None:
            break
        pieces.append(piece)
        size += len(piece)
    return b"".join(pieces)


async def _send_rest(send: Send, connection: HttpConnection) -> None:
    """Stream what follows the prefix of a long body; close the connection if it breaks off."""
    chunked = send.content_length is None
    try:
        while (piece := await send.body.next_piece()) is not None:
            connection.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await connection.drain()
        if chunked:
            connection.write(b"0\r\n\r\n")
    except BodyError as error:
        logger.info("a request's body broke off: %s", error)
        connection.close()
    except ConnectionLostError as error:
        logger.debug("the target took no more of a body: %s", error)


def _attempt_headers(
    send: Send, target: RegisteredTarget, edge: HeaderNames, left: float
) -> Headers:
    headers = [
        *send.headers,
        (edge.deadline_ms, b"%d" % max(1, int(left * 1000))),
        (edge.expect_target, target.target_id.encode()),
    ]
    if not send.is_streamed:
        if send.prefix or send.content_length is not None:
            headers.append((b"content-length", b"%d" % len(send.prefix)))
    elif send.content_length is not None:
        headers.append((b"content-length", send.content_length))
    else:
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


def _lost(connection: HttpConnection | None, detail: str) -> Failure:
    if connection is None or connection.bytes_sent == 0:
        return Failure.not_run(Reason.TARGET_UNREACHABLE, detail)
    return Failure(Outcome.UNKNOWN, Reason.TARGET_FAILED, detail)


def _note_keep_alive(pool: ConnectionPool, head: ResponseHead) -> None:
    value = head.get(b"keep-alive")
    if value is None:
        return
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            pool.idle_seconds = max(MIN_IDLE_SECONDS, int(number) * SHARE_OF_KEEP_ALIVE)


def _note_forgotten(pool: ConnectionPool, connection: HttpConnection, started: float) -> None:
    """Keep connections idle for less long after one was lost before any of an answer came."""
    if connection.exchanges > 1 and not connection.has_head:
        idle = started - connection.idle_since
        pool.idle_seconds = max(MIN_IDLE_SECONDS, min(pool.idle_seconds, idle * SHARE_OF_FORGOTTEN))


def _hand_back(
    pool: ConnectionPool,
    connection: HttpConnection,
    answer: Result[TargetAnswer, Failure] | None,
) -> None:
    """Return a connection to the pool, unless the rest of an answer is still to be read from it.

    Without an answer the exchange is open, and the target must not go on with it.
    """
    if not isinstance(answer, Ok):
        pool.discard(connection)
    elif answer.ok_value.rest is None:
        pool.release(connection)
