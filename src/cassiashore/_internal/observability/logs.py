"""Logging of JSON lines that never blocks the event loop.

Records go into a bounded buffer, and a thread writes them. When the sink is too slow and the buffer
is full, new records are dropped and counted; requests never wait for the log.
"""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

DECISION_LOGGER = "cassiashore.decisions"
FIELDS_ATTRIBUTE = "fields"
WRITE_INTERVAL_SECONDS = 0.05  # compromise between delay and wake-ups of the thread
REQUEST_LINES_PER_SECOND = 300  # limit for one process: 90 KB/s at the usual line length


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the record's ``fields`` as members."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without a line break."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname,
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(getattr(record, FIELDS_ATTRIBUTE, {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class BufferHandler(logging.Handler):
    """Buffers records for the writing thread; drops and counts them when the buffer is full."""

    def __init__(self, capacity: int) -> None:
        """Create an empty buffer for ``capacity`` records."""
        super().__init__()
        self.dropped = 0
        self.records: deque[logging.LogRecord] = deque()
        self._capacity = capacity

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the record without waiting."""
        if len(self.records) >= self._capacity:
            self.dropped += 1
            return
        self.records.append(record)


def _open_sink(file: str) -> TextIO:
    if file == "-":
        return sys.stdout
    descriptor = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640)
    return os.fdopen(descriptor, "a", encoding="utf-8")


class LogPipeline:
    """The buffer and the writing thread of one process.

    The thread wakes up at intervals and not for each record, so that logging does not cause a
    thread switch in the event loop.
    """

    def __init__(self, file: str, level: str, buffer_lines: int) -> None:
        """Open the sink and install the handler on the root logger; ``-`` is standard output."""
        self._sink = _open_sink(file)
        self._formatter = JsonFormatter()
        self.handler = BufferHandler(buffer_lines)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log writer", daemon=True)
        root = logging.getLogger()
        root.handlers[:] = [self.handler]
        root.setLevel(level)
        for name in ("uvicorn.error", "uvicorn.access", "asyncio"):
            logging.getLogger(name).setLevel(logging.WARNING)

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the buffered records and end the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._stopping.wait(WRITE_INTERVAL_SECONDS):
            self._write_buffered()
        self._write_buffered()

    def _write_buffered(self) -> None:
        records = self.handler.records
        lines = [self._formatter.format(records.popleft()) for _ in range(len(records))]
        if lines:
            self._sink.write("\n".join(lines) + "\n")
            self._sink.flush()


class DecisionLog:
    """Writes one line for each routing or placement decision.

    Lines about single requests are rate-limited, and a line of its own reports how many were left
    out. Changes of state are always written.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        """Use the decision logger."""
        self.suppressed = 0
        self._logger = logging.getLogger(DECISION_LOGGER)
        self._monotonic = monotonic
        self._second = 0
        self._lines_this_second = 0
        self._suppressed_reported = 0

    def write_request(self, event: str, **fields: Any) -> None:
        """Queue one line about a request, unless the limit for this second is reached."""
        second = int(self._monotonic())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
            if self.suppressed > self._suppressed_reported:
                self.write("left-out", lines=self.suppressed - self._suppressed_reported)
                self._suppressed_reported = self.suppressed
        if self._lines_this_second >= REQUEST_LINES_PER_SECOND:
            self.suppressed += 1
            return
        self._lines_this_second += 1
        self.write(event, **fields)

    def write(self, event: str, **fields: Any) -> None:
        """Queue one line with the given members."""
        if not self._logger.isEnabledFor(logging.INFO):
            return
        record = logging.LogRecord(
            DECISION_LOGGER, logging.INFO, __file__, 0, event, None, None, None
        )
        record.__dict__[FIELDS_ATTRIBUTE] = fields
        self._logger.handle(record)
