"""One attempt to send a request to a target or to another instance."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    request_head,
)
from cassiashore._internal.net.pool import ConnectionPool
from cassiashore._internal.proxy import headers as header_names
from cassiashore._internal.proxy.exchange import Exchange

Finish = Callable[[bool], None]


@dataclass(slots=True)
class UpstreamResponse:
    """A response of a target or peer whose head was received and whose body is still to be read.

    ``finish`` must be called exactly once, with whether the body was read to its end.
    ``send_delay`` returns the seconds to wait before forwarding a number of bytes.
    """

    head: ResponseHead
    connection: HttpConnection
    finish: Finish
    served_by: str
    send_delay: Callable[[int], float] | None = None
    head_sent: bool = False


@dataclass(frozen=True, slots=True)
class AttemptReasons:
    """Reasons that a failed attempt reports, which differ between targets and peers."""

    unreachable: Reason
    failed: Reason


TARGET_REASONS = AttemptReasons(Reason.TARGET_UNREACHABLE, Reason.TARGET_FAILED)
PEER_REASONS = AttemptReasons(Reason.PEER_UNREACHABLE, Reason.PEER_FAILED)


def outgoing_headers(exchange: Exchange, host: bytes, extra_headers: Headers) -> Headers:
    """Build the headers of a forwarded request: the caller's, then those added by this instance."""
    remaining_ms = max(1, int((exchange.deadline - time.monotonic()) * 1000))
    result = [pair for pair in header_names.request_headers(exchange.headers) if pair[0] != b"host"]
    result.append((b"host", host))
    result.append((header_names.DEADLINE_MS, str(remaining_ms).encode()))
    result.append((header_names.FORWARDED_FOR, exchange.client.encode("latin-1")))
    result.extend(extra_headers)
    if exchange.body.complete:
        if exchange.body.prefix or exchange.content_length is not None:
            result.append((b"content-length", str(len(exchange.body.prefix)).encode()))
    elif exchange.content_length is not None:
        result.append((b"content-length", exchange.content_length))
    else:
        result.append((b"transfer-encoding", b"chunked"))
    return result


async def attempt(
    exchange: Exchange,
    pool: ConnectionPool,
    path: str,
    extra_headers: Headers,
    reasons: AttemptReasons,
    finish: Finish,
    served_by: str,
) -> Result[UpstreamResponse, Failure]:
    """Send the request and wait for the response head until the exchange's deadline.

    The outcome of a failure is "not run" only if no byte was written. ``finish`` is not called if
    this returns a failure.
    """
    remaining = exchange.deadline - time.monotonic()
    if remaining <= 0:
        return Err(Failure.not_run(Reason.DEADLINE, "the deadline passed before sending"))
    connection: HttpConnection | None = None
    try:
        async with asyncio.timeout(remaining):
            acquired = await pool.acquire()
            if isinstance(acquired, Err):
                return Err(Failure.not_run(reasons.unreachable, acquired.err_value))
            connection = acquired.ok_value
            outgoing = outgoing_headers(exchange, str(pool.address).encode(), extra_headers)
            head = await _request_response_head(exchange, connection, path, outgoing)
    except ConnectionLostError as error:
        return Err(_build_failure(connection, reasons.failed, str(error), pool))
    except TimeoutError:
        return Err(_build_failure(connection, Reason.DEADLINE, "the deadline passed", pool))
    except asyncio.CancelledError:
        if connection is not None:
            pool.discard(connection)
        raise
    return Ok(UpstreamResponse(head, connection, finish, served_by))


async def _request_response_head(
    exchange: Exchange, connection: HttpConnection, path: str, headers: Headers
) -> ResponseHead:
    head_bytes = request_head(exchange.method, path, headers)
    expects_body = exchange.method != "HEAD"
    if exchange.body.complete:
        connection.start_exchange(head_bytes + exchange.body.prefix, expects_body=expects_body)
        return await connection.response_head()
    connection.start_exchange(head_bytes, expects_body=expects_body)
    body_task = asyncio.create_task(_send_body(exchange, connection))
    try:
        head_task = asyncio.ensure_future(connection.response_head())
        await asyncio.wait({body_task, head_task}, return_when=asyncio.FIRST_COMPLETED)
        if body_task.done() and body_task.exception() is not None and not head_task.done():
            head_task.cancel()
            connection.close()
            raise ConnectionLostError(str(body_task.exception()))
        return await head_task
    finally:
        if not body_task.done():
            body_task.add_done_callback(_ignore_result)


def _ignore_result(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()


async def _send_body(exchange: Exchange, connection: HttpConnection) -> None:
    chunked = exchange.content_length is None
    chunk: bytes | None = exchange.body.prefix
    while chunk is not None:
        if chunk:
            connection.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
            await connection.drain()
        try:
            chunk = await exchange.body.next_chunk()
        except ConnectionLostError:
            connection.close()
            raise
    if chunked:
        connection.write(b"0\r\n\r\n")


def _build_failure(
    connection: HttpConnection | None, reason: Reason, detail: str, pool: ConnectionPool
) -> Failure:
    if connection is None:
        return Failure.not_run(reason, detail)
    sent = connection.bytes_sent > 0
    pool.discard(connection)
    return Failure(Outcome.UNKNOWN if sent else Outcome.NOT_RUN, reason, detail)
