"""Writes an HTML page from journal entries: ``scripts/report --journal journal --output FILE``.

It shows the worth by round and day, the deduction for each price, the benefit by class and zone of
callers, a comparison with an earlier run, and the worth by second if the output of a day is given.
"""

from __future__ import annotations

import base64
import io
import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from html import escape
from pathlib import Path
from typing import Any

import fire
import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

MIN_PRICE_SHOWN = 0.0005  # as a share of the worth; smaller prices are left out
_SECOND_ROW = re.compile(r"^(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+(\d+)\s+\d+\s+([\d.]+)\s")
_STYLE = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
_CELL_STYLE = (
    "td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}"
    "td:first-child{text-align:left}"
)


@dataclass(frozen=True, slots=True)
class DayRun:
    """The result of one played day in a journal entry."""

    entry: str
    at: str
    why: str
    site: str
    day: str
    worth: float
    served: float
    refused: float
    failed: float
    broken: list[str]
    price_by_name: dict[str, float]
    by_class: list[float]
    by_zone: list[float]


def read_runs(folder: Path) -> list[DayRun]:
    """Read the played days of all finished entries, oldest first."""
    runs: list[DayRun] = []
    for file in sorted(folder.glob("*.json")):
        entry = json.loads(file.read_text())
        if entry.get("ok"):
            runs.extend(_parse_day(entry, day) for day in entry["days"])
    return runs


def _parse_day(entry: dict[str, Any], day: dict[str, Any]) -> DayRun:
    return DayRun(
        entry=entry["id"],
        at=entry["at"][0],
        why=entry["why"],
        site=entry["site"],
        day=day["name"],
        worth=day["G"],
        served=day["served"],
        refused=day["refused"],
        failed=day["failed"],
        broken=[*day["rules"], *([day["fault"]] if day["fault"] else [])],
        price_by_name={name: price for name, _, price in day["prices"] if price >= MIN_PRICE_SHOWN},
        by_class=[share for share in day["by_class"] if share is not None],
        by_zone=[share for share in day["by_zone"] if share is not None],
    )


def seconds_of(text: str) -> list[tuple[int, float]]:
    """Parse second and share of the worth from the printed output of a day.

    >>> seconds_of("2        1876    1265    551      12     48        0  0.721  481.9")
    [(2, 0.721)]
    """
    rows = (_SECOND_ROW.match(line) for line in text.splitlines())
    return [(int(row[1]), float(row[7])) for row in rows if row is not None]


def _table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    head = "".join(f"<th>{escape(cell)}</th>" for cell in header)
    body = "".join(
        "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _image(figure: Any) -> str:
    buffer = io.BytesIO()
    figure.tight_layout()
    figure.savefig(buffer, format="png", dpi=90)
    pyplot.close(figure)
    return f'<img src="data:image/png;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def _plot_rounds(site: str, runs: list[DayRun]) -> str:
    """Plot the worth of each day by round."""
    runs_by_day: dict[str, list[DayRun]] = {}
    for run in runs:
        runs_by_day.setdefault(run.day, []).append(run)
    figure, axis = pyplot.subplots(figsize=(9, 3.5))
    for day, day_runs in runs_by_day.items():
        if len(day_runs) > 1:
            axis.plot([r.at[5:16] for r in day_runs], [r.worth for r in day_runs], "o-", label=day)
    axis.set_title(f"{site}: worth by round, days played more than once")
    axis.tick_params(axis="x", rotation=60, labelsize=7)
    if axis.has_data():
        axis.legend(fontsize="x-small")
    return _image(figure)


def _latest_runs(runs: list[DayRun]) -> list[DayRun]:
    """Return the last run of each day that has a name without spaces."""
    run_by_day = {run.day: run for run in runs if " " not in run.day}
    return [run_by_day[day] for day in sorted(run_by_day)]


def _price_table(runs: list[DayRun]) -> str:
    names = sorted(
        {name for run in runs for name in run.price_by_name},
        key=lambda name: -max(run.price_by_name.get(name, 0.0) for run in runs),
    )
    rows = [[name, *(f"{run.price_by_name.get(name, 0.0):.4f}" for run in runs)] for name in names]
    return _table(["price, part of the worth", *(run.day for run in runs)], rows)


def _share_table(title: str, runs: list[DayRun], field: str) -> str:
    rows = [[run.day, *(f"{share:.3f}" for share in getattr(run, field))] for run in runs]
    width = max(len(row) for row in rows) - 1
    return _table([title, *(str(number + 1) for number in range(width))], rows)


def _comparison(runs: list[DayRun], earlier: str) -> str:
    """Compare the last run of each day with that of an earlier entry."""
    before = {run.day: run for run in runs if run.entry == earlier}
    rows = [
        [run.day, f"{before[run.day].worth:.3f}", f"{run.worth:.3f}", run.why]
        for run in _latest_runs(runs)
        if run.day in before and before[run.day] is not run
    ]
    return _table(["day", f"worth, {earlier}", "worth, last", "why"], rows) if rows else ""


def _section(site: str, runs: list[DayRun], earlier: str) -> str:
    last = _latest_runs(runs)
    overview = [
        [r.day, r.entry, f"{r.worth:.3f}", r.served, r.refused, r.failed, ", ".join(r.broken)]
        for r in last
    ]
    header = ["day", "entry", "worth", "served", "refused", "failed", "broken rules, faults"]
    parts = [f"<h2>{escape(site)}</h2>", _table(header, overview), _comparison(runs, earlier)]
    parts.extend([_plot_rounds(site, runs), _price_table(last)])
    parts.append(_share_table("benefit by kind of request", last, "by_class"))
    parts.append(_share_table("benefit by zone of callers", last, "by_zone"))
    return "".join(parts)


def _plot_seconds(file: Path) -> str:
    rows = seconds_of(file.read_text(errors="replace"))
    if not rows:
        raise SystemExit(f'no table by second in "{file}"')
    figure, axis = pyplot.subplots(figsize=(9, 3))
    axis.plot([second for second, _ in rows], [share for _, share in rows], "o-")
    axis.set_title(f"{file.name}: share of the worth by second")
    axis.set_ylim(0, 1)
    return _image(figure)


def report(
    journal: str = "journal", output: str = "results/report.html", against: str = "", days: str = ""
) -> None:
    """Write the report.

    Args:
        journal: Folder of journal entries.
        output: Path of the report.
        against: Id of an earlier entry with which to compare the latest runs.
        days: Files with the printed output of played days, separated by commas.
    """
    runs_by_site: dict[str, list[DayRun]] = {}
    for run in read_runs(Path(journal)):
        runs_by_site.setdefault(run.site, []).append(run)
    if not runs_by_site:
        raise SystemExit(f'no finished entry in "{journal}"')
    sections = [
        _section(site, runs, against)
        for site, runs in sorted(runs_by_site.items())
        if _latest_runs(runs)
    ]
    pictures = [_plot_seconds(Path(name)) for name in days.split(",") if name]
    page = "".join([f"<style>{_STYLE}{_CELL_STYLE}</style><h1>Rounds</h1>", *sections, *pictures])
    file = Path(output)
    file.parent.mkdir(parents=True, exist_ok=True)
    file.write_text(page)
    print(file)


if __name__ == "__main__":
    fire.Fire(report)
