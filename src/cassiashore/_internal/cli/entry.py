"""``cassiashore entry``: runs an instance."""

from __future__ import annotations

import asyncio
import signal

import uvloop

from cassiashore._internal.cli.output import EXIT_USAGE, fail
from cassiashore._internal.entry.node import EntryNode
from cassiashore._internal.exceptions import InvalidFileError
from cassiashore._internal.observability.logs import LogPipeline
from cassiashore._internal.settings import EntrySettings
from cassiashore._internal.validation import load_model

EXIT_SOFTWARE = 70  # EX_SOFTWARE of sysexits.h


def run_entry(settings_file: str) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop it gracefully."""
    try:
        settings = load_model(settings_file, EntrySettings)
        logs = LogPipeline(settings.log.file, settings.log.level, settings.log.buffer_lines)
    except InvalidFileError as error:
        fail("\n".join(error.faults), EXIT_USAGE)
    except OSError as error:
        fail(f"{settings_file}: log.file: cannot be opened: {error}", EXIT_USAGE)
    logs.start()
    try:
        uvloop.run(_serve(settings, logs))
    except InvalidFileError as error:
        fail("\n".join(error.faults), EXIT_USAGE)
    except OSError as error:
        fail(f"instance {settings.instance} cannot listen: {error}", EXIT_USAGE)
    finally:
        logs.stop()


async def _serve(settings: EntrySettings, logs: LogPipeline) -> None:
    node = EntryNode(settings, logs)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.tasks.stop_requested.set)
    await node.start()
    await node.tasks.stop_requested.wait()
    if node.tasks.has_failed:
        raise SystemExit(EXIT_SOFTWARE)
    await node.stop()
