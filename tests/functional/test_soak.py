"""A short soak test with fixed seeds; only longer runs check invariants with a time limit."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from lab.soak.environment import Instance, SoakEnvironment
from lab.soak.faults import fault_by_name
from lab.soak.invariants import Attempt, InvariantChecker, check_end
from lab.soak.target import Run, expected_body

SECONDS = 5.0


def new_checker(folder: Path) -> InvariantChecker:
    return InvariantChecker(SoakEnvironment(folder, random.Random(1), 1), timed=False)


def attempt(status: int, content: bytes = b"", *, unsafe: bool = True) -> Attempt:
    instance = Instance("one", "erie-a", {}, Path(), None)  # type: ignore[arg-type]
    path = "/b/1" if unsafe else "/a/1"
    return Attempt("id", path, b"", unsafe, instance, 10.0, 10.1, status, True, "id", content)


def run_of(service: str = "orders", path: str = "/b/1") -> Run:
    return Run("id", service, "i-1", "erie-a", path, 10.0)


@pytest.mark.parametrize(
    ("runs", "status", "content", "invariant"),
    [
        ([run_of(), run_of()], 502, b"", "TWICE"),
        ([run_of()], 503, b"", "REFUSED"),
        ([run_of()], 200, b"another's", "MIXED"),
        ([run_of("stock")], 502, b"", "ROUTE"),
        ([run_of(path="/b/2")], 502, b"", "UNASKED"),
    ],
)
def test_the_soak_detects_a_violation(
    tmp_path: Path, runs: list[Run], status: int, content: bytes, invariant: str
) -> None:
    checker = new_checker(tmp_path)
    for run in runs:
        checker.environment.ledger.record(run)
    checker.check_attempt(attempt(status, content))
    assert [violation.split(":")[0] for violation in checker.violations] == [invariant]


@pytest.mark.parametrize(("denied", "invariants"), [(5, []), (6, ["DENIED"])])
def test_the_soak_detects_denied_requests(
    tmp_path: Path, denied: int, invariants: list[str]
) -> None:
    """Orders that targets which lost answers had run were refused for good, and no check saw it."""
    checker = new_checker(tmp_path)
    for _ in range(denied):
        refused = replace(attempt(422), has_stamp=False)
        checker.check_attempt(refused)
    checker.check_attempt(attempt(422))
    checker.violations.clear()
    check_end(checker, float("-inf"))
    found = [violation.split(":")[0] for violation in checker.violations]
    assert [name for name in found if name != "RECOVER"] == invariants


def test_the_soak_accepts_allowed_outcomes(tmp_path: Path) -> None:
    checker = new_checker(tmp_path)
    checker.environment.ledger.record(run_of())
    checker.check_attempt(attempt(200, expected_body("id", "/b/1", b"")))
    checker.check_attempt(attempt(502))
    assert checker.violations == []


@pytest.mark.parametrize("seed", [1, 4])
def test_no_invariant_is_violated_in_a_short_soak(seed: int, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "lab.soak", "one", str(seed), f"--seconds={SECONDS}"]
    command.extend(["--timed=False", f"--logs={tmp_path}", "--instances=1", "--callers=8"])
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    result = json.loads(done.stdout)
    assert result["attempts"] > 0 and len(result["faults"]) == 2
    assert set(result["faults"]) <= set(fault_by_name)
