"""Runs an instance on the users' platform: ``python -m cassiashore.platform [METRICS_PORT]``."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

# Keeps libuv from using io_uring. libuv reads this when an event loop is created.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.observability.logs import LogPipeline
from cassiashore.platform.node import PlatformNode
from cassiashore.platform.settings import PlatformSettings, read_settings, settings_path

EXIT_USAGE = 2  # the usual exit status for a usage error
EXIT_SOFTWARE = 70  # EX_SOFTWARE of sysexits.h
LOG_BUFFER_LINES = 5_000  # 16 s of request lines at the maximum rate (REQUEST_LINES_PER_SECOND)


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
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.tasks.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: node.reload(signalled=True))
    await node.start()
    await node.tasks.stop_requested.wait()
    if node.tasks.has_failed:
        raise SystemExit(EXIT_SOFTWARE)
    await node.stop()


if __name__ == "__main__":
    main()
