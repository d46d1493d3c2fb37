"""Writes docs/measurements.md from the result files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

PAGE_PATH = Path(__file__).parent.parent / "docs" / "measurements.md"
NOTES_PATH = Path(__file__).parent / "notes.md"

COLUMNS = (
    ("search p50 ms", "search", "p50_ms", "{:.0f}"),
    ("p99", "search", "p99_ms", "{:.0f}"),
    ("p99.9", "search", "p99_9_ms", "{:.0f}"),
    ("urgent p99 ms", "urgent", "p99_ms", "{:.0f}"),
    ("requests", "all", "requests", "{}"),
    ("complete in time /s", "all", "goodput_per_s", "{:.1f}"),
    ("coverage", "all", "coverage", "{:.4f}"),
    ("refused", "all", "refused_share", "{:.2%}"),
    ("failed", "all", "failed_share", "{:.2%}"),
    ("cut", "all", "cut", "{}"),
    ("sent / needed", "all", "load_factor", "{:.3f}"),
    ("untrue", "all", "untrue_answers", "{}"),
)


def write(folder: Path) -> None:
    """Write the page from the notes and the result files of a folder."""
    parts = [NOTES_PATH.read_text().rstrip()]
    policy = _load_json(folder / "policy.json")
    if policy:
        parts.append(policy_section(policy))
    control = _load_json(folder / "control.json")
    if control:
        parts.append(control_section(control))
    PAGE_PATH.write_text("\n\n".join(parts) + "\n")


def _load_json(path: Path) -> dict[str, Any] | None:
    return json.loads(path.read_text()) if path.exists() else None


def policy_section(results: dict[str, Any]) -> str:
    """Return the section with the scenario tables and the comparison with the goals."""
    about = ", ".join(f"{key} {value}" for key, value in sorted(results["about"].items()))
    parts = [f"## Policy against the baseline\n\n`python -m bench run` ({about})."]
    for name, shape in results["shapes"].items():
        parts += [
            f"### {name}",
            _sustainable_rate(shape),
            _scenario_table(shape),
            _goals_table(shape),
        ]
    return "\n\n".join(parts)


def _sustainable_rate(shape: dict[str, Any]) -> str:
    rate = shape["sustainable_per_s"]
    return f"Sustainable rate found: {rate:.0f} requests/s." if rate else ""


def _scenario_table(shape: dict[str, Any]) -> str:
    headers = ["scenario", "policy", *(column[0] for column in COLUMNS)]
    rows = [
        [scenario, policy, *(_format_cell(results, column) for column in COLUMNS)]
        for scenario, policies in shape["scenarios"].items()
        for policy, results in policies.items()
    ]
    return markdown_table(headers, rows)


def _format_cell(results: dict[str, Any], column: tuple[str, str, str, str]) -> str:
    _, label, key, number_format = column
    summary = results["all"] if label == "all" else results["labels"].get(label, {})
    return number_format.format(summary[key]) if key in summary else "-"


def _goals_table(shape: dict[str, Any]) -> str:
    scenarios = shape["scenarios"]
    rows = []
    if {"calm", "stragglers"} <= scenarios.keys():
        rows += _straggler_goals(scenarios)
    if "overload" in scenarios:
        rows += _overload_goals(shape)
    rows.append(["untrue answers, product", "0", _sum_over_scenarios(scenarios, "untrue_answers")])
    rows.append(["requests cut, product, rolling restart", "0", _cut_requests(scenarios)])
    return markdown_table(["goal", "wanted", "measured"], rows)


def _straggler_goals(scenarios: dict[str, Any]) -> list[list[str]]:
    product = scenarios["stragglers"]["adaptive"]
    p99 = product["labels"]["search"]["p99_ms"]
    calm = scenarios["calm"]["adaptive"]["labels"]["search"]["p99_ms"]
    plain = scenarios["stragglers"]["plain"]["labels"]["search"]["p99_ms"]
    extra = product["all"]["load_factor"] - 1
    return [
        ["stragglers: p99 over calm p99", "at most 1.5", f"{p99 / calm:.2f}"],
        ["stragglers: p99 over the baseline's", "at most 0.33", f"{p99 / plain:.2f}"],
        ["stragglers: extra load", "at most 5%", f"{extra:.1%}"],
    ]


def _overload_goals(shape: dict[str, Any]) -> list[list[str]]:
    results = shape["scenarios"]["overload"]["adaptive"]
    share = results["all"]["goodput_per_s"] / shape["sustainable_per_s"]
    urgent = results["labels"]["urgent"]["p99_ms"]
    return [
        ["overload: goodput over the sustainable rate", "at least 90%", f"{share:.0%}"],
        ["overload: urgent p99", "at most 500 ms", f"{urgent:.0f} ms"],
    ]


def _sum_over_scenarios(scenarios: dict[str, Any], key: str) -> str:
    return str(sum(policies["adaptive"]["all"][key] for policies in scenarios.values()))


def _cut_requests(scenarios: dict[str, Any]) -> str:
    policies = scenarios.get("rolling_restart")
    return str(policies["adaptive"]["all"]["cut"]) if policies else "not run"


def control_section(results: dict[str, Any]) -> str:
    """Return the section with the measurements of the control plane."""
    about = ", ".join(f"{key} {value}" for key, value in sorted(results["about"].items()))
    rows = [
        ["change accepted", *_format_quantiles(results["in_force"]["accepted_s"])],
        [
            "accepted until in force on all VMs",
            *_format_quantiles(results["in_force"]["everywhere_s"]),
        ],
        [
            "leader killed until a change is accepted",
            *_format_quantiles(_recovery_quantiles(results)),
        ],
    ]
    table = markdown_table(["time in s", "min", "p50", "p99", "max"], rows)
    idle = results["idle"]
    note = (
        f"Idle VM: {idle['processor_share_mean']:.1%} of a core on average, "
        f"{idle['processor_share_max']:.1%} at most; {idle['resident_mb_max']:.0f} MB resident."
    )
    return f"## Control plane\n\n`python -m bench control` ({about}).\n\n{table}\n\n{note}"


def _recovery_quantiles(results: dict[str, Any]) -> dict[str, float]:
    return results["recovery"]["accepted_again_s"]


def _format_quantiles(values: dict[str, float]) -> list[str]:
    return [f"{values[key]:.3f}" for key in ("min", "p50", "p99", "max")]


def markdown_table(headers: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [headers, ["---"] * len(headers), *rows]
    return "\n".join("| " + " | ".join(map(str, cells)) + " |" for cells in lines)
