"""Supervision of the long-running tasks of a process: when one fails, the process must stop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class TaskSet:
    """Runs tasks that end only by cancellation, and requests a stop when one fails."""

    def __init__(self) -> None:
        """Create an empty set."""
        self.has_failed = False
        self.stop_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task that runs ``work``."""
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_done)
        self._tasks.append(task)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Request a stop of the process when a task fails, which is a broken invariant."""
        if not task.cancelled() and task.exception() is not None:
            logger.critical("a task failed", exc_info=task.exception())
            self.has_failed = True
            self.stop_requested.set()
