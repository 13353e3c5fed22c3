"""The body of a request while it is being received."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from cassiashore._internal.ingress.memory_budget import Account

# Unread bytes above which the caller's connection is paused: a few round trips at 1 Gbit/s.
HIGH_WATER_BYTES = 256 * 1024
# The same while memory is tight: what a handler reads at least before it passes a body on.
TIGHT_HIGH_WATER_BYTES = 64 * 1024


class BodyFault(StrEnum):
    """Reason why a body remains incomplete."""

    CALLER_LEFT = "the caller closed the connection"
    TOO_LARGE = "the body is too large"
    WITHOUT_CONTENT = "the body goes on without content"
    STALLED = "the body stalled"
    NO_MEMORY = "the memory for bodies is in use"


class BodyError(Exception):
    """Raised when the rest of a body cannot be received."""

    def __init__(self, fault: BodyFault) -> None:
        """Create an error for a fault."""
        super().__init__(fault.value)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class BodyStart:
    """The start of a body; ``is_whole`` tells that nothing follows ``data``.

    ``RequestBody.is_complete`` does not tell that: the rest may have been received meanwhile.
    """

    data: bytes
    is_whole: bool


class RequestBody:
    """Received part of a body, with backpressure towards the caller's connection.

    First the start is read, then the remaining chunks, each of them once. ``fault`` is set when
    the rest cannot be received. ``account`` counts what the request holds, including the start
    after it was read, since its handler keeps that.
    """

    def __init__(
        self, pause: Callable[[], None], resume: Callable[[], None], account: Account
    ) -> None:
        """Create an empty body; ``pause`` and ``resume`` control reading from the caller."""
        self.is_complete = False
        self.size = 0
        self.is_streaming = False
        self._pause = pause
        self._resume = resume
        self.account = account
        self._is_start_read = False
        self._is_discarded = False
        # A single buffer, since a queue of tiny chunks would take many times their size.
        self._data = bytearray()
        self._is_paused = False
        self.fault: BodyFault | None = None
        self._waiter: asyncio.Future[None] | None = None

    def feed(self, data: bytes) -> None:
        """Append received data; drop it if nobody will read it."""
        self.size += len(data)
        if self._is_discarded or self.fault is not None:
            return
        self._data += data
        self.account.hold(len(data))
        is_tight = self.account.budget.is_tight
        high_water = TIGHT_HIGH_WATER_BYTES if is_tight else HIGH_WATER_BYTES
        if len(self._data) > high_water and not self._is_paused:
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
            if not self._is_start_read:
                self._drop_data()
            self._wake()

    @property
    def must_yield_memory(self) -> bool:
        """Tell whether the body must be refused for lack of memory, which no handler reads yet."""
        return not self._is_start_read and not self.account.budget.has_room_for_bulk

    def discard(self) -> None:
        """Drop what was received and all that follows, since the request has its response."""
        self._is_discarded = True
        self._drop_data()

    async def start(self, limit: int) -> BodyStart:
        """Return the complete body, or at least the first ``limit`` bytes of a longer one.

        Raise ``BodyError`` if it is cut off.
        """
        while not self.is_complete and len(self._data) < limit:
            await self._wait()
        self._is_start_read = True
        is_whole = self.is_complete
        return BodyStart(self._take_data(), is_whole)

    async def next_chunk(self) -> bytes | None:
        """Return the next data after the start, or None at the end.

        Raise ``BodyError`` if the body is cut off.
        """
        self.is_streaming = True
        self._is_start_read = True
        while not self._data:
            if self.is_complete:
                return None
            await self._wait()
        self.account.hold(-len(self._data))
        return self._take_data()

    def _drop_data(self) -> None:
        self.account.hold(-len(self._data))
        self._take_data()

    def _take_data(self) -> bytes:
        """Take what was received, and read on, which may feed or finish the body at once."""
        data = bytes(self._data)
        self._data.clear()
        if self._is_paused:
            self._is_paused = False
            self._resume()
        return data

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
