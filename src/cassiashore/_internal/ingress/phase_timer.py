"""Time limit of the phase that a connection is in."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

MIN_DELAY_SECONDS = 0.01


class PhaseTimer:
    """Calls back when a phase has lasted longer than its limit.

    A timer that is already running is kept when a phase begins, since most phases are far shorter
    than their limits; it then runs again for the rest of the time.
    """

    def __init__(self, limit: Callable[[], float | None], on_timeout: Callable[[], None]) -> None:
        """Create a timer; ``limit`` returns the seconds of the current phase, or None."""
        self._limit = limit
        self._on_timeout = on_timeout
        self._phase_at = time.monotonic()
        self._handle: asyncio.TimerHandle | None = None
        self._ends_at = 0.0

    def restart(self) -> None:
        """Begin a phase."""
        self._phase_at = time.monotonic()
        if self._handle is None:
            self._start()

    def extend(self) -> None:
        """Let the current phase begin now, since it made progress."""
        self._phase_at = time.monotonic()

    def shorten(self) -> None:
        """Restart the timer if it was started for a phase with a longer limit."""
        limit = self._limit()
        if limit is None or self._handle is None:
            return
        if self._ends_at > self._phase_at + limit:
            self._handle.cancel()
            self._start()

    def cancel(self) -> None:
        """Stop the timer."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _start(self) -> None:
        limit = self._limit()
        if limit is None:
            return
        self._ends_at = self._phase_at + limit
        delay = max(MIN_DELAY_SECONDS, self._ends_at - time.monotonic())
        self._handle = asyncio.get_running_loop().call_later(delay, self._run)

    def _run(self) -> None:
        self._handle = None
        limit = self._limit()
        if limit is None:
            return
        if time.monotonic() < self._phase_at + limit:
            self._start()
        else:
            self._on_timeout()
