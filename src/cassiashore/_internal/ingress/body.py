"""The body of a request while it is being received."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum

# Unread bytes above which the caller's connection is paused: a few round trips at 1 Gbit/s.
HIGH_WATER_BYTES = 256 * 1024


class BodyFault(StrEnum):
    """Reason why a body remains incomplete."""

    CALLER_LEFT = "the caller closed the connection"
    TOO_LARGE = "the body is too large"
    WITHOUT_CONTENT = "the body goes on without content"
    STALLED = "the body stalled"


class BodyError(Exception):
    """Raised when the rest of a body cannot be received."""

    def __init__(self, fault: BodyFault) -> None:
        """Create an error for a fault."""
        super().__init__(fault.value)
        self.fault = fault


class RequestBody:
    """Chunks of a body, with backpressure towards the caller's connection.

    First the prefix is read, then the remaining chunks, each of them once. ``fault`` is set when
    the rest cannot be received.
    """

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        """Create an empty body; ``pause`` and ``resume`` control reading from the caller."""
        self.is_complete = False
        self.size = 0
        self.is_streaming = False
        self._pause = pause
        self._resume = resume
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._is_paused = False
        self.fault: BodyFault | None = None
        self._waiter: asyncio.Future[None] | None = None

    def feed(self, data: bytes) -> None:
        """Append received data."""
        self.size += len(data)
        self._buffered += len(data)
        self._chunks.append(data)
        if self._buffered > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._pause()
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self._wake()

    def fail(self, fault: BodyFault) -> None:
        """Mark the body as failed unless it is complete."""
        if not self.is_complete and self.fault is None:
            self.fault = fault
            self._wake()

    async def prefix(self, limit: int) -> bytes:
        """Return the complete body, or at least the first ``limit`` bytes of a longer one.

        Raise ``BodyError`` if it is cut off.
        """
        while not self.is_complete and self._buffered < limit:
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._mark_consumed()
        return data

    async def next_chunk(self) -> bytes | None:
        """Return the next data after the prefix, or None at the end.

        Raise ``BodyError`` if the body is cut off.
        """
        self.is_streaming = True
        while not self._chunks:
            if self.is_complete:
                return None
            await self._wait()
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._mark_consumed()
        return data

    def _mark_consumed(self) -> None:
        self._buffered = 0
        if self._is_paused:
            self._is_paused = False
            self._resume()

    async def _wait(self) -> None:
        if self.fault is not None:
            raise BodyError(self.fault)
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter
        if self.fault is not None and not self.is_complete:
            raise BodyError(self.fault)

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
