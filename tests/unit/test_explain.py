"""``cassiashore explain``, and the rate limit on log lines about requests."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cassiashore._internal.cli.explain import run_explain
from cassiashore._internal.observability.logs import REQUEST_LINES_PER_SECOND, DecisionLog
from tests.lib.steering_builders import Clock


def line(**fields: object) -> str:
    return json.dumps({"time": 100.0, **fields})


def test_explain_prints_the_steps_of_a_request_and_related_state_changes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "a.log"
    lines = [
        "not json",
        line(event="configuration", version=7),
        line(event="target", what="draining", target="elsewhere"),
        line(event="target", what="added", target="t-1"),
        line(
            event="route",
            id="x",
            service="s",
            version=7,
            result="answered",
            status=200,
            steps=[
                ["t-1", "in-time", 0.1, 0.2, "target-shed"],
                ["t-2", "free-slot", 0.3, 0.4, 200],
            ],
        ),
        "collector 12.5 " + line(event="refuse", id="y", reason="unknown-route", detail="none"),
    ]
    log.write_text("\n".join(lines))
    run_explain([str(log)], "x")
    output = capsys.readouterr().out
    assert "1. t-1" in output and "the target did not run it" in output and "status 200" in output
    assert "'what': 'added'" in output and "elsewhere" not in output
    run_explain([str(log)], "y")
    assert "unknown-route" in capsys.readouterr().out
    run_explain([str(log)], "z")
    assert "no log has a line" in capsys.readouterr().out


def test_request_lines_are_rate_limited_and_suppressed_lines_are_counted() -> None:
    clock = Clock()
    log = DecisionLog(clock)
    written: list[str] = []
    log.write = lambda event, **fields: written.append(f"{event} {fields}")  # type: ignore[method-assign]
    for _ in range(REQUEST_LINES_PER_SECOND + 5):
        log.write_request("route")
    assert len(written) == REQUEST_LINES_PER_SECOND
    clock.now += 1
    log.write_request("route")
    assert written[-2:] == ["left-out {'lines': 5}", "route {}"]
