"""Writes the report of a run: JSON, and a plot of request outcomes and faults."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import attrs

from soak.callers import Outcome
from soak.faults import Event

OBJECTIVE_S = 0.3
"""Latency objective of the routes."""

COLOURS = {
    "served": "tab:green",
    "partial": "tab:olive",
    "late": "tab:orange",
    "refused": "tab:blue",
    "failed": "tab:red",
    "over the allowance": "tab:purple",
    "unauthorized": "tab:brown",
}


def classify_outcome(outcome: Outcome) -> str:
    """Return the category of a request outcome."""
    if outcome.status == 503:
        return "refused"
    if outcome.status in (401, 429):
        return "unauthorized" if outcome.status == 401 else "over the allowance"
    if outcome.status != 200:
        return "failed"
    if outcome.ended - outcome.sent > OBJECTIVE_S:
        return "late"
    return "partial" if outcome.headers.get("x-missing-parts", "0") != "0" else "served"


def build(
    seed: int,
    started_at: float,
    outcomes: list[Outcome],
    events: list[Event],
    violations: list[str],
) -> dict[str, Any]:
    """Return the report of a run, with times in seconds from its start."""
    seconds: dict[int, Counter[str]] = {}
    for outcome in outcomes:
        seconds.setdefault(int(outcome.sent - started_at), Counter())[
            classify_outcome(outcome)
        ] += 1
    return {
        "seed": seed,
        "violations": violations,
        "requests": dict(Counter(map(classify_outcome, outcomes))),
        "by_second": {str(second): dict(seconds[second]) for second in sorted(seconds)},
        "faults": [
            {
                **attrs.asdict(event),
                "since": round(event.since - started_at, 2),
                "until": round(event.until - started_at, 2),
            }
            for event in events
        ],
    }


def write(report: dict[str, Any], folder: Path) -> None:
    """Write ``report.json`` and ``report.png``."""
    (folder / "report.json").write_text(json.dumps(report, indent=1) + "\n")
    _plot(report, folder / "report.png")


def _plot(report: dict[str, Any], path: Path) -> None:
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    seconds = [int(second) for second in report["by_second"]]
    rows = list(report["by_second"].values())
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(12, 8), sharex=True)
    counts = [[row.get(kind, 0) for row in rows] for kind in COLOURS]
    top.stackplot(seconds, counts, labels=COLOURS, colors=COLOURS.values(), step="post")
    top.set_ylabel("requests a second")
    top.legend(loc="upper right")
    for row_number, fault in enumerate(report["faults"]):
        bottom.plot([fault["since"], fault["until"]], [row_number, row_number], linewidth=3)
        label = f"{fault['where']}: {fault['what']}"
        bottom.annotate(label, (fault["since"], row_number), fontsize=6)
    bottom.set_xlabel("seconds")
    bottom.set_yticks([])
    figure.suptitle(f"seed {report['seed']}, {len(report['violations'])} violations")
    figure.savefig(path)
    plt.close(figure)
