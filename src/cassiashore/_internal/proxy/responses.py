"""Sends responses to callers."""

from __future__ import annotations

import asyncio

import msgspec

from cassiashore._internal.exceptions import ConnectionLostError, ResponseAbortedError
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import Headers
from cassiashore._internal.proxy import headers as header_names
from cassiashore._internal.proxy.attempt import UpstreamResponse
from cassiashore._internal.proxy.exchange import Send
from cassiashore._internal.proxy.statuses import status_of
from cassiashore._internal.requests.ledger import MAX_STORED_RESPONSE_BYTES, StoredResponse

RETRY_AFTER_SECONDS = b"1"


class FailureReport(msgspec.Struct):
    """The body of a response that reports a failure."""

    outcome: Outcome
    reason: Reason
    detail: str


async def send_failure(send: Send, failure: Failure, served_by: str) -> None:
    """Send a failure and its outcome to the caller."""
    status = status_of(failure.reason)
    body = msgspec.json.encode(FailureReport(failure.outcome, failure.reason, failure.detail))
    headers = [
        (b"content-type", b"application/json"),
        (header_names.OUTCOME, failure.outcome.encode()),
        (header_names.REASON, failure.reason.encode()),
        (header_names.SERVED_BY, served_by.encode()),
    ]
    if status in (429, 503):
        headers.append((header_names.RETRY_AFTER, RETRY_AFTER_SECONDS))
    await send_response(send, status, headers, body)


async def send_response(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a response whose body is in memory."""
    with_length = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": with_length})
    await send({"type": "http.response.body", "body": body})


async def send_replayed_answer(send: Send, answer: StoredResponse, served_by: str) -> None:
    """Send a stored answer again to a repeated request."""
    headers = [
        *answer.headers,
        (header_names.OUTCOME, Outcome.RAN.encode()),
        (header_names.SERVED_BY, served_by.encode()),
        (header_names.REPLAYED, b"true"),
    ]
    await send_response(send, answer.status, headers, answer.body)


async def stream_response(
    send: Send, response: UpstreamResponse, *, keep: bool
) -> StoredResponse | None:
    """Stream a response to the caller; if ``keep``, return a copy unless it is too large.

    Raise ``ResponseAbortedError`` if the response ends early: the caller's connection is then
    closed before the end of the body, so that the caller does not take a partial body for a
    complete one.
    """
    kept_headers = header_names.response_headers(response.head.headers)
    headers = [
        *kept_headers,
        (header_names.OUTCOME, Outcome.RAN.encode()),
        (header_names.SERVED_BY, response.served_by.encode()),
    ]
    chunks: list[bytes] | None = [] if keep else None
    size = 0
    complete = False
    try:
        chunk = await response.connection.read_chunk()
        response.head_sent = True
        await send(
            {"type": "http.response.start", "status": response.head.status, "headers": headers}
        )
        while chunk is not None:
            size += len(chunk)
            if chunks is not None:
                chunks = _append_within_limit(chunks, chunk, size)
            await _apply_send_delay(response, len(chunk))
            if response.connection.fully_read:
                break
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            chunk = await response.connection.read_chunk()
        complete = True
    except ConnectionLostError as error:
        raise ResponseAbortedError(f"the answer of {response.served_by} is incomplete") from error
    finally:
        response.finish(complete)
    await send({"type": "http.response.body", "body": chunk or b""})
    if chunks is None:
        return None
    stored_headers = [pair for pair in kept_headers if pair[0] != b"content-length"]
    return StoredResponse(response.head.status, stored_headers, b"".join(chunks))


def _append_within_limit(chunks: list[bytes], chunk: bytes, size: int) -> list[bytes] | None:
    if size > MAX_STORED_RESPONSE_BYTES:
        return None
    chunks.append(chunk)
    return chunks


async def _apply_send_delay(response: UpstreamResponse, size: int) -> None:
    if response.send_delay is None:
        return
    delay = response.send_delay(size)
    if delay > 0:
        await asyncio.sleep(delay)
