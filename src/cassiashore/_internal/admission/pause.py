"""Detection of pauses of the own process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

TICKS_PER_PAUSE = 10


class PauseGuard:
    """Tells whether this process has been running without a long pause.

    A task ticks often. When a tick is late by more than ``pause_seconds``, whatever was known
    before is too old: the listener is called before anything else relies on it.
    """

    def __init__(
        self, pause_seconds: float, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        """Create a guard that counts from now."""
        self._pause_seconds = pause_seconds
        self._monotonic = monotonic
        self._last_tick = monotonic()
        self._on_pause: Callable[[float], None] = lambda seconds: None

    def on_pause(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` with the length of each pause in seconds."""
        self._on_pause = listener

    def check(self) -> None:
        """Compare the clock with the last tick; call the listener after a pause.

        Call this immediately before a decision that relies on rights or measurements.
        """
        now = self._monotonic()
        elapsed = now - self._last_tick
        if elapsed > self._pause_seconds:
            self._last_tick = now
            self._on_pause(elapsed)

    async def run(self) -> None:
        """Tick until cancelled."""
        interval = self._pause_seconds / TICKS_PER_PAUSE
        while True:
            self.check()
            self._last_tick = self._monotonic()
            await asyncio.sleep(interval)
