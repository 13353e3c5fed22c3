"""JSON lines logging that never blocks the event loop.

Records are put into a bounded queue and written by a thread. When the sink is slower than the
records come, new lines are dropped and counted; requests do not wait for the log.
"""

from __future__ import annotations

import logging
import logging.handlers
import os
import queue
import sys
import time
from typing import Any, TextIO

import msgspec

DECISION_LOGGER = "cassiashore.decisions"
FIELDS_ATTRIBUTE = "fields"


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object; the record's ``fields`` become members of it."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its end."""
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


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queue records for the writing thread; drop and count them when the queue is full."""

    def __init__(self, records: queue.Queue[logging.LogRecord]) -> None:
        """Keep the queue."""
        super().__init__(records)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave formatting to the writing thread."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Put the record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


def _open_sink(file: str) -> TextIO:
    if file == "-":
        return sys.stdout
    descriptor = os.open(file, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o640)
    return os.fdopen(descriptor, "a", encoding="utf-8")


class LogPipeline:
    """The queue and the writing thread of one process."""

    def __init__(self, file: str, level: str, buffer_lines: int) -> None:
        """Open the sink and install the handler on the root logger; ``-`` is standard output."""
        self._sink = _open_sink(file)
        records: queue.Queue[logging.LogRecord] = queue.Queue(buffer_lines)
        writer = logging.StreamHandler(self._sink)
        writer.setFormatter(JsonFormatter())
        self.handler = BoundedQueueHandler(records)
        self._listener = logging.handlers.QueueListener(records, writer)
        root = logging.getLogger()
        root.handlers[:] = [self.handler]
        root.setLevel(level)
        for name in ("uvicorn.error", "uvicorn.access", "asyncio"):
            logging.getLogger(name).setLevel(logging.WARNING)

    def start(self) -> None:
        """Start the writing thread."""
        self._listener.start()

    def stop(self) -> None:
        """Write what is queued and end the thread."""
        self._listener.stop()
        self._sink.flush()


class DecisionLog:
    """Writes one line for each routing or placement decision."""

    def __init__(self) -> None:
        """Use the decision logger."""
        self._logger = logging.getLogger(DECISION_LOGGER)

    def write(self, event: str, **fields: Any) -> None:
        """Queue one line with the given members."""
        if not self._logger.isEnabledFor(logging.INFO):
            return
        record = logging.LogRecord(
            DECISION_LOGGER, logging.INFO, __file__, 0, event, None, None, None
        )
        record.__dict__[FIELDS_ATTRIBUTE] = fields
        self._logger.handle(record)


def seconds_since(start: float) -> float:
    """Return the seconds since a monotonic time, rounded to microseconds for a log line."""
    return round(time.monotonic() - start, 6)
