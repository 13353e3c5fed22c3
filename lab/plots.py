"""Plots of experiments."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

PANELS = [("served_weight", "served weight"), ("p99_ms", "p99 ms"), ("most_moved", "most moved")]


def plot_policies(rows: list[dict[str, Any]], file: Path) -> None:
    """Draw one row of bar charts per firm, grouped by scenario and coloured by policy."""
    firms = sorted({row["firm"] for row in rows})
    policies = sorted({row["policy"] for row in rows})
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    figure, axes = pyplot.subplots(
        len(firms), len(PANELS), figsize=(16, 4.5 * len(firms)), squeeze=False
    )
    width = 0.8 / len(policies)
    for row_index, firm in enumerate(firms):
        for column, (field, title) in enumerate(PANELS):
            axis = axes[row_index][column]
            for number, policy in enumerate(policies):
                values = [_value(rows, firm, policy, scenario, field) for scenario in scenarios]
                positions = [index + number * width for index in range(len(scenarios))]
                axis.bar(positions, values, width, label=policy)
            axis.set_title(f"{firm}: {title}")
            axis.set_xticks([index + 0.4 - width / 2 for index in range(len(scenarios))])
            axis.set_xticklabels(scenarios, rotation=12)
    axes[0][0].legend(loc="lower left", fontsize="small")
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)


def _value(rows: list[dict[str, Any]], firm: str, policy: str, scenario: str, field: str) -> float:
    for row in rows:
        if (row["firm"], row["policy"], row["scenario"]) == (firm, policy, scenario):
            return float(row[field])
    return 0.0
