"""``cassiashore explain``: what instances decided about one request."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from cassiashore._internal.cli.output import EXIT_USAGE, fail, say

BELIEF_EVENTS = frozenset({"target", "eject", "configuration", "evacuation", "balance"})
BELIEFS_SHOWN = 8  # of the latest about the targets and the configuration of the request
RECENT_BELIEFS = 4096  # lines about beliefs, of which the last before a request is wanted

_STEP_WORDS = {
    "in-time": "an answer within the objective was expected",
    "free-slot": "a slot was free, although the answer would be late",
    "queue-too-long": "the answer would be late and no slot was free",
    "no-time": "the time left would not be enough",
    "deadline": "its time ran out",
    "target-unreachable": "no connection could be opened",
    "target-failed": "the connection was lost before the whole answer came",
    "target-shed": "the target did not run it",
    "another-target": "another target has the address",
    "bad-answer": "the answer proved nothing",
    "repeat-budget": "the budget of repeats was used up",
    "unframed": "the answer ended with its connection",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decoded line of a log."""

    source: str
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Return what the line is about."""
        return str(self.fields.get("event", ""))


def run_explain(logs: list[str], request_id: str) -> None:
    """Print the decisions about a request; exit 2 when no log can be read."""
    found = False
    for log in logs:
        try:
            with Path(log).open(encoding="utf-8", errors="replace") as file:
                for text in explain(_decoded(log, file), request_id):
                    found = True
                    say(text)
        except OSError as error:
            fail(f"{log}: cannot be read: {error}", EXIT_USAGE)
    if not found:
        say(f'no log has a line about request "{request_id}"; lines beyond the rate are left out')


def explain(lines: Iterable[LogLine], request_id: str) -> Iterator[str]:
    """Return the story of a request as lines of text."""
    beliefs: deque[LogLine] = deque(maxlen=RECENT_BELIEFS)
    for line in lines:
        if line.event in BELIEF_EVENTS:
            beliefs.append(line)
        elif line.fields.get("id") == request_id:
            yield from _story(line, beliefs)


def _story(line: LogLine, beliefs: Iterable[LogLine]) -> Iterator[str]:
    fields = line.fields
    yield f"{line.source}: request {fields['id']}"
    if line.event == "refuse":
        yield f"  refused: {fields.get('reason')} ({fields.get('detail')})"
        yield f"  configuration version in force: {fields.get('version')}"
        return
    yield (
        f"  route {fields.get('route')}, service {fields.get('service')}, key {fields.get('key')},"
        f" configuration version {fields.get('version')}"
    )
    named = {str(fields.get("service"))}
    for number, step in enumerate(fields.get("steps", []), 1):
        named.add(str(step[0]))
        yield f"  {number}. {_step_text(step)}"
    yield (
        f"  result: {fields.get('result')}, status {fields.get('status')},"
        f" after {fields.get('seconds')} s, {fields.get('left_s')} s before the deadline"
    )
    about = [b for b in beliefs if b.event == "configuration" or b.fields.get("target") in named]
    for belief in about[-BELIEFS_SHOWN:]:
        age = float(fields.get("time", 0)) - float(belief.fields.get("time", 0))
        rest = {k: v for k, v in belief.fields.items() if k not in _COMMON_FIELDS}
        yield f"  known since {age:.2f} s: {belief.event} {rest}"


_COMMON_FIELDS = frozenset({"time", "level", "logger", "event"})


def _step_text(step: list[Any]) -> str:
    """Describe a step.

    >>> _step_text(["t-1", "in-time", 0.12, 0.1, 200])
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
            parts.append(_STEP_WORDS.get(str(item), str(item)))
    text = "; ".join(parts).replace("; (", " (")
    return f"{step[0]}: {text}" if text else str(step[0])


def _decoded(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Decode JSON lines; what stands before the first brace, as a collector puts it, is skipped."""
    unreadable = 0
    for line in lines:
        _, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            unreadable += 1
            continue
        if isinstance(fields, dict):
            yield LogLine(source, fields)
    if unreadable:
        say(f"{source}: {unreadable} lines could not be read")
