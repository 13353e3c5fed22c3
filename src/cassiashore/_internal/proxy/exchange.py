"""A request that is being proxied, and its body."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from cassiashore._internal.catalogue.index import Service
from cassiashore._internal.exceptions import ConnectionLostError
from cassiashore._internal.models.outcome import Failure, Reason
from cassiashore._internal.net.http_client import Headers
from cassiashore._internal.proxy.hop import Hop

PREFIX_BYTES = 64 * 1024
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class BodySource:
    """The body of a request, whose first part is buffered.

    A body that fits into the buffer can be sent more than once; a longer one is streamed and can
    be sent only once.
    """

    def __init__(self, receive: Receive, max_bytes: int, idle_seconds: float) -> None:
        """Read nothing yet; ``idle_seconds`` limits the wait for each chunk."""
        self.prefix = b""
        self.complete = False
        self.streaming_started = False
        self._receive = receive
        self._max_bytes = max_bytes
        self._idle_seconds = idle_seconds
        self._received_bytes = 0

    async def read_prefix(self) -> Result[None, Failure]:
        """Fill the buffer, or read the whole body if it is shorter."""
        chunks = []
        while not self.complete and self._received_bytes < PREFIX_BYTES:
            chunk = await self._receive_chunk()
            if isinstance(chunk, Err):
                return chunk
            chunks.append(chunk.ok_value)
        self.prefix = b"".join(chunks)
        return Ok(None)

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk after the buffered prefix, or None at the end.

        Raise ``ConnectionLostError`` if the caller is too slow, disconnected, or sends too much.
        """
        self.streaming_started = True
        if self.complete:
            return None
        chunk = await self._receive_chunk()
        if isinstance(chunk, Err):
            raise ConnectionLostError(chunk.err_value.detail)
        return chunk.ok_value

    async def _receive_chunk(self) -> Result[bytes, Failure]:
        try:
            async with asyncio.timeout(self._idle_seconds):
                message = await self._receive()
        except TimeoutError:
            return Err(Failure.not_run(Reason.DEADLINE, "the body stalled"))
        if message["type"] == "http.disconnect":
            return Err(Failure.not_run(Reason.DEADLINE, "the caller went away"))
        data: bytes = message.get("body", b"")
        self._received_bytes += len(data)
        if self._received_bytes > self._max_bytes:
            detail = f"the body exceeds {self._max_bytes} bytes"
            return Err(Failure.not_run(Reason.BODY_TOO_LARGE, detail))
        self.complete = not message.get("more_body", False)
        return Ok(data)


@dataclass(slots=True)
class Exchange:
    """One request that is being proxied.

    ``deadline`` is in seconds of the monotonic clock. ``home_region`` is the region nearest to the
    caller; a request that runs outside its home may count against the shift cap.
    """

    service: Service
    method: str
    path: str
    headers: Headers
    body: BodySource
    content_length: bytes | None
    deadline: float
    client: str
    home_region: str
    home_domain: str
    hop: Hop | None = None
    fingerprint: int = 0

    @property
    def is_safe(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.method in SAFE_METHODS

    @property
    def can_resend(self) -> bool:
        """Tell whether the body can be sent again."""
        return self.body.complete or not self.body.streaming_started
