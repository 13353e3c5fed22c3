"""Checks that the binary runs as one process without children, and measures its start time."""

from __future__ import annotations

import argparse
import os
import subprocess
import tempfile
import time
from pathlib import Path

from lab.client import call
from lab.ports import LOOPBACK, free_ports
from lab.processes import wait_until

START_SECONDS = 60.0


def _is_responding(address: str) -> bool:
    try:
        return call(address, "GET", "/counts", seconds=1.0).status == 200
    except OSError:
        return False


def start_once(binary: Path, root: str) -> tuple[float, int]:
    """Start the binary; return the seconds until it responds and its number of children."""
    address = f"{LOOPBACK}:{free_ports(1)[0]}"
    started = time.monotonic()
    command = [str(binary), "standin", "store", "--listen", address]
    process = subprocess.Popen(command, env={**os.environ, "SHIV_ROOT": root})
    try:
        if not wait_until(lambda: _is_responding(address), START_SECONDS, 0.02):
            raise RuntimeError(f"{binary} did not answer at {address}")
        seconds = time.monotonic() - started
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        return seconds, len(children)
    finally:
        process.kill()
        process.wait()


def main() -> None:
    """Print size, start times and the number of children; exit with 1 if there is one."""
    parser = argparse.ArgumentParser(prog="python -m lab.check_binary", description=__doc__)
    parser.add_argument("binary", type=Path)
    binary = parser.parse_args().binary.absolute()
    with tempfile.TemporaryDirectory(prefix="shiv-") as root:
        first, children = start_once(binary, root)
        second, _ = start_once(binary, root)
    size = binary.stat().st_size / (1 << 20)
    print(f"{binary.name}: {size:.1f} MB, first start {first:.2f} s, next {second:.2f} s")
    print(f"children: {children}")
    raise SystemExit(1 if children else 0)


if __name__ == "__main__":
    main()
