"""Detects that this process was suspended, for example by SIGSTOP or a paused virtual machine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

CHECKS_PER_PAUSE_THRESHOLD = 10


class PauseGuard:
    """Detects pauses of this process longer than ``pause_seconds``.

    A task records the time at short intervals. If a check finds the last recorded time more than
    ``pause_seconds`` ago, all state from before the pause is stale: the listener is called, and can
    reset that state, before any decision relies on it.
    """

    def __init__(
        self, pause_seconds: float, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        """Create a guard whose last recorded time is now."""
        self._pause_seconds = pause_seconds
        self._monotonic = monotonic
        self._last_check_at = monotonic()
        self._on_pause: Callable[[float], None] = lambda seconds: None

    def on_pause(self, listener: Callable[[float], None]) -> None:
        """Set the function that is called with the length of each pause in seconds."""
        self._on_pause = listener

    def check(self) -> None:
        """Call the listener if the last recorded time is more than ``pause_seconds`` ago.

        Must be called immediately before a decision that relies on rights or measurements.
        """
        now = self._monotonic()
        elapsed = now - self._last_check_at
        if elapsed > self._pause_seconds:
            self._last_check_at = now
            self._on_pause(elapsed)

    async def run(self) -> None:
        """Check for pauses and record the time until cancelled."""
        interval = self._pause_seconds / CHECKS_PER_PAUSE_THRESHOLD
        while True:
            self.check()
            self._last_check_at = self._monotonic()
            await asyncio.sleep(interval)
