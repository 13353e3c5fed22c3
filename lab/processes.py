"""Child processes of an experiment, which are ended by their process ids."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

STOP_SECONDS = 40.0


class ManagedProcess:
    """One cassiashore process."""

    def __init__(self, name: str, arguments: list[str], log_file: Path) -> None:
        """Start the process and write its output to a file."""
        self.name = name
        self.log_file = log_file
        self._arguments = arguments
        self._log = log_file.open("ab")
        command = [sys.executable, "-m", "cassiashore", *arguments]
        self._process = subprocess.Popen(command, stdout=self._log, stderr=self._log)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    def kill(self) -> None:
        """Kill the process."""
        if self.is_running:
            self._process.kill()
        self._process.wait()
        self._log.close()

    def pause(self) -> None:
        """Suspend the process."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop gracefully, without waiting."""
        if self.is_running:
            self._process.terminate()

    def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for the process and return its exit code; kill it after ``seconds``."""
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def resident_kilobytes(self) -> int:
        """Return the resident memory of the process."""
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def cpu_seconds(self) -> float:
        """Return the processor time used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")


def wait_until(condition: object, seconds: float, interval: float = 0.05) -> bool:
    """Call ``condition`` until it is true; return whether that was in time."""
    assert callable(condition)
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(interval)
    return bool(condition())
