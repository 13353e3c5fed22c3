"""``cassiashore explain``: prints what instances decided about one request."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from cassiashore._internal.cli.output import EXIT_USAGE, fail, print_line

STATE_EVENTS = frozenset(
    {"target", "target-limit", "eject", "configuration", "evacuation", "balance"}
)
MAX_STATE_LINES_SHOWN = 8  # latest changes of the request's targets and configuration
MAX_STATE_LINES_KEPT = 4096  # bounds the memory for state changes before the request

_STEP_DESCRIPTIONS = {
    "in-time": "an answer within the objective was expected",
    "free-slot": "a slot was free, although the answer would be late",
    "queue-too-long": "the answer would be late and no slot was free",
    "no-time": "the time left would not be enough",
    "deadline": "its time ran out",
    "no-capacity": "all connections that this instance may open were in use",
    "target-unreachable": "no connection could be opened",
    "target-failed": "the connection was lost before the answer began",
    "connection-dropped": "a connection from an earlier request was lost before the answer began",
    "body-cut-off": "the caller did not send the rest of the body",
    "target-shed": "the target did not run it",
    "another-target": "another target has the address",
    "bad-answer": "the answer was cut off, malformed, or did not show whether the request ran",
    "rate-limit": "the rate that these targets accept from this instance was used up",
    "repeat-budget": "the budget of repeats was used up",
    "api-key-revoked": "the key belonged to no workspace any more",
    "api-key-unknown": "the key belongs to no workspace",
    "api-key-missing": "a version that requires keys came into force, and the request had none",
    "api-key-malformed": "a version that requires keys came into force, and this one is malformed",
    "api-key-shared": "several workspaces hold the key",
    "unreadable-workspace": "the workspace cannot be decoded in the version in force",
    "no-home-region": "route and workspace have no home region in common",
    "unframed": "the answer ended with its connection",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decoded line of a log."""

    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the logged event."""
        return str(self.fields.get("event", ""))


def run_explain(logs: list[str], request_id: str) -> None:
    """Print the decisions about a request; exit with 2 when a log cannot be read."""
    found = False
    for log in logs:
        try:
            with Path(log).open(encoding="utf-8", errors="replace") as file:
                for text in explain(_decode_lines(log, file), request_id):
                    found = True
                    print_line(text)
        except OSError as error:
            fail(f"{log}: cannot be read: {error}", EXIT_USAGE)
    if not found:
        print_line(
            f'no log has a line about request "{request_id}";'
            " lines beyond the rate limit are left out"
        )


def explain(lines: Iterable[LogLine], request_id: str) -> Iterator[str]:
    """Describe what happened to a request, as lines of text."""
    state_lines: deque[LogLine] = deque(maxlen=MAX_STATE_LINES_KEPT)
    for line in lines:
        if line.event in STATE_EVENTS:
            state_lines.append(line)
        elif line.fields.get("id") == request_id:
            yield from _describe_request(line, state_lines)


def _describe_request(line: LogLine, state_lines: Iterable[LogLine]) -> Iterator[str]:
    fields = line.fields
    yield f"{line.source}: request {fields['id']}"
    if line.event == "refuse":
        yield f"  refused: {fields.get('reason')} ({fields.get('detail')})"
        yield f"  configuration version in force: {fields.get('version')}{_workspace_text(fields)}"
        return
    yield (
        f"  route {fields.get('route')}, service {fields.get('service')}, key {fields.get('key')},"
        f" configuration version {fields.get('version')}{_workspace_text(fields)}"
    )
    related_names = {str(fields.get("service"))}
    for number, step in enumerate(fields.get("steps", []), 1):
        related_names.add(str(step[0]))
        yield f"  {number}. {_describe_step(step)}"
    yield (
        f"  result: {fields.get('result')}, status {fields.get('status')},"
        f" after {fields.get('seconds')} s, {fields.get('left_s')} s before the deadline"
    )
    related = [
        change
        for change in state_lines
        if change.event == "configuration" or change.fields.get("target") in related_names
    ]
    for state_line in related[-MAX_STATE_LINES_SHOWN:]:
        age = float(fields.get("time", 0)) - float(state_line.fields.get("time", 0))
        state_fields = {k: v for k, v in state_line.fields.items() if k not in _COMMON_FIELDS}
        yield f"  known for {age:.2f} s: {state_line.event} {state_fields}"


def _workspace_text(fields: dict[str, Any]) -> str:
    name = fields.get("workspace")
    return "" if name is None else f", workspace {name}"


_COMMON_FIELDS = frozenset({"time", "level", "logger", "event"})


def _describe_step(step: list[Any]) -> str:
    """Describe one step of a request's path.

    >>> _describe_step(["t-1", "in-time", 0.12, 0.1, 200])
    't-1: an answer within the objective was expected (0.12 s); took 0.1 s; status 200'
    """
    parts = []
    numbers = ["({} s)", "took {} s"]
    for item in step[1:]:
        if isinstance(item, float) and numbers:
            parts.append(numbers.pop(0).format(item))
        elif isinstance(item, int):
            parts.append(f"status {item}")
        else:
            parts.append(_STEP_DESCRIPTIONS.get(str(item), str(item)))
    text = "; ".join(parts).replace("; (", " (")
    return f"{step[0]}: {text}" if text else str(step[0])


def _decode_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Decode JSON lines; skip any prefix that a log collector put before the first brace."""
    unreadable = 0
    for line in lines:
        _, brace, json_text = line.partition("{")
        if not brace:
            continue
        try:
            fields = msgspec.json.decode(brace + json_text)
        except msgspec.DecodeError:
            unreadable += 1
            continue
        if isinstance(fields, dict):
            yield LogLine(source, fields)
    if unreadable:
        print_line(f"{source}: {unreadable} lines could not be decoded")
