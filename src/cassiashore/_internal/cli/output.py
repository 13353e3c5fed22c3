"""Output and exit codes of the commands."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

EXIT_REFUSED = 1  # the change was refused
EXIT_USAGE = 2  # the usual exit status for a usage error
EXIT_UNKNOWN = 3  # the outcome is not known


def print_line(text: str) -> None:
    """Print a line of results to standard output."""
    print(text)


def print_progress(text: str) -> None:
    """Print the progress of a long command to standard error."""
    print(text, file=sys.stderr)


def fail(text: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Print an error message and exit."""
    print(text, file=sys.stderr)
    raise SystemExit(code)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format rows in aligned columns.

    >>> print(format_table(["a", "bb"], [[1, 2]]))
    a  bb
    1  2
    """
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in texts
    ]
    return "\n".join(lines)
