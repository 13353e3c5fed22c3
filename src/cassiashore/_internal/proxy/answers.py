"""Answers to callers."""

from __future__ import annotations

import asyncio

import msgspec

from cassiashore._internal.exceptions import AnswerAbortedError, ConnectionLostError
from cassiashore._internal.models.outcome import Failure, Outcome, Reason
from cassiashore._internal.net.http_client import Headers
from cassiashore._internal.proxy import headers as names
from cassiashore._internal.proxy.attempt import LiveAnswer
from cassiashore._internal.proxy.exchange import Send
from cassiashore._internal.proxy.statuses import status_of
from cassiashore._internal.requests.ledger import MAX_STORED_RESPONSE_BYTES, StoredResponse

RETRY_AFTER_SECONDS = b"1"


class FailureReport(msgspec.Struct):
    """The body of an answer that reports a failure."""

    outcome: Outcome
    reason: Reason
    detail: str


async def send_failure(send: Send, failure: Failure, served_by: str) -> None:
    """Tell the caller what is known of its request."""
    status = status_of(failure.reason)
    body = msgspec.json.encode(FailureReport(failure.outcome, failure.reason, failure.detail))
    headers = [
        (b"content-type", b"application/json"),
        (names.OUTCOME, failure.outcome.encode()),
        (names.REASON, failure.reason.encode()),
        (names.SERVED_BY, served_by.encode()),
    ]
    if status in (429, 503):
        headers.append((names.RETRY_AFTER, RETRY_AFTER_SECONDS))
    await send_whole(send, status, headers, body)


async def send_whole(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send an answer whose body is at hand."""
    with_length = [*headers, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": with_length})
    await send({"type": "http.response.body", "body": body})


async def send_kept(send: Send, answer: StoredResponse, served_by: str) -> None:
    """Give a kept answer again."""
    headers = [
        *answer.headers,
        (names.OUTCOME, Outcome.RAN.encode()),
        (names.SERVED_BY, served_by.encode()),
        (names.REPLAYED, b"true"),
    ]
    await send_whole(send, answer.status, headers, answer.body)


async def relay(send: Send, live: LiveAnswer, *, keep: bool) -> StoredResponse | None:
    """Stream an answer to the caller; return it if ``keep`` and it is small enough.

    Raise ``AnswerAbortedError`` when the answer ends early: the caller's connection is then closed
    without the end of the body, so that a part is never taken for the whole.
    """
    kept_headers = names.response_headers(live.head.headers)
    headers = [
        *kept_headers,
        (names.OUTCOME, Outcome.RAN.encode()),
        (names.SERVED_BY, live.served_by.encode()),
    ]
    pieces: list[bytes] | None = [] if keep else None
    size = 0
    whole = False
    try:
        chunk = await live.connection.read_chunk()
        live.head_sent = True
        await send({"type": "http.response.start", "status": live.head.status, "headers": headers})
        while chunk is not None:
            size += len(chunk)
            if pieces is not None:
                pieces = _append_within(pieces, chunk, size)
            await _pace(live, len(chunk))
            if live.connection.fully_read:
                break
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
            chunk = await live.connection.read_chunk()
        whole = True
    except ConnectionLostError as error:
        raise AnswerAbortedError(f"the answer of {live.served_by} is incomplete") from error
    finally:
        live.finish(whole)
    await send({"type": "http.response.body", "body": chunk or b""})
    if pieces is None:
        return None
    content = [pair for pair in kept_headers if pair[0] != b"content-length"]
    return StoredResponse(live.head.status, content, b"".join(pieces))


def _append_within(pieces: list[bytes], chunk: bytes, size: int) -> list[bytes] | None:
    if size > MAX_STORED_RESPONSE_BYTES:
        return None
    pieces.append(chunk)
    return pieces


async def _pace(live: LiveAnswer, size: int) -> None:
    if live.pace is None:
        return
    delay = live.pace(size)
    if delay > 0:
        await asyncio.sleep(delay)
