"""Runs an instance on the users' platform: ``python -m cassiashore.platform [METRICS_PORT]``."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

# libuv may use io_uring, which this system does not; an event loop reads this when it is created.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.observability.logs import LogPipeline
from cassiashore.platform.node import PlatformNode
from cassiashore.platform.settings import PlatformSettings, read_settings, settings_path

EXIT_USAGE = 2  # as shells and getopt have it
EXIT_BROKEN = 70  # EX_SOFTWARE of sysexits.h
LOG_BUFFER_LINES = 5_000  # 16 s at the most lines a second of requests


def main() -> None:
    """Run until SIGTERM or SIGINT, then stop gracefully."""
    try:
        path = settings_path()
        settings = read_settings(path)
        metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else None
    except (InvalidFileError, ValueError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from error
    logs = LogPipeline("-", "INFO", LOG_BUFFER_LINES)
    logs.start()
    try:
        uvloop.run(_serve(settings, path, metrics_port, logs))
    finally:
        logs.stop()


async def _serve(
    settings: PlatformSettings, path: str, metrics_port: int | None, logs: LogPipeline
) -> None:
    node = PlatformNode(settings, path, metrics_port, logs)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.tasks.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: node.reload(signalled=True))
    await node.start()
    await node.tasks.stop_requested.wait()
    if node.tasks.is_broken:
        raise SystemExit(EXIT_BROKEN)
    await node.stop()


if __name__ == "__main__":
    main()
