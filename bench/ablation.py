"""Scores days of the users' benchmark with each mechanism disabled."""

from __future__ import annotations

import concurrent.futures
import json
import re
import subprocess
import tempfile
from collections.abc import Iterable
from pathlib import Path

import attrs

from bench.mechanisms import MECHANISMS, Mechanism

SCORE_PATTERN = re.compile(r"^worth (-?[\d.]+) = ", re.MULTILINE)
# Matches the lines in which the player reports a violated rule.
VIOLATION_PATTERN = re.compile(
    r"^.*\b(?:MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|RECOVER)\b.*$",
    re.MULTILINE,
)


@attrs.frozen
class Ablation:
    """An ablation run over several days.

    Parameters
    ----------
    player : Path
        Program of the users' benchmark that replays a day.
    checkout : Path
        Separate git worktree; its sources are edited during the run and restored afterwards.
    days : tuple of (Path, str)
        Site files and names of days.
    out : Path
        Result file; a later run adds the missing days to it.
    jobs : int
        Number of days that are replayed in parallel.
    """

    player: Path
    checkout: Path
    days: tuple[tuple[Path, str], ...]
    out: Path
    jobs: int

    def run(self, names: Iterable[str]) -> dict[str, dict[str, float]]:
        """Replay the days that the result file lacks and return all scores by mechanism and day."""
        results = json.loads(self.out.read_text()) if self.out.exists() else {}
        selected = set(names)
        for mechanism in MECHANISMS:
            if mechanism.name not in selected:
                continue
            scores = results.setdefault(mechanism.name, {})
            missing_days = [day for day in self.days if _day_label(day) not in scores]
            if missing_days:
                scores.update(self._replay_days(mechanism, missing_days))
                self.out.write_text(json.dumps(results, indent=1))
        return results

    def _replay_days(self, mechanism: Mechanism, days: list[tuple[Path, str]]) -> dict[str, float]:
        restore_command = ["git", "-C", str(self.checkout), "checkout", "-q", "--", "bramleycrank"]
        subprocess.run(restore_command, check=True)
        for edit in mechanism.edits:
            edit.apply(self.checkout)
        try:
            with concurrent.futures.ThreadPoolExecutor(self.jobs) as pool:
                day_scores = pool.map(lambda day: self._replay_day(mechanism, *day), days)
                return dict(zip(map(_day_label, days), day_scores, strict=True))
        finally:
            subprocess.run(restore_command, check=True)

    def _replay_day(self, mechanism: Mechanism, site: Path, day: str) -> float:
        reason = f"Ablation: without {mechanism.name}" if mechanism.edits else "Ablation: whole"
        command = [str(self.player), "run", str(site), day, "--no-cpu", "--why", reason]
        # A file instead of a pipe: an orphaned child of the player would keep the pipe open.
        with tempfile.TemporaryFile("w+") as out:
            subprocess.run(
                command, cwd=self.checkout, stdin=subprocess.DEVNULL, stdout=out, stderr=out
            )
            out.seek(0)
            output = out.read()
        match = SCORE_PATTERN.search(output)
        if match is None:
            raise RuntimeError(
                f"{day} without {mechanism.name}: no score in the output: {output[-300:]}"
            )
        for line in VIOLATION_PATTERN.findall(output):
            print(f"{day} without {mechanism.name}: {line}")
        return float(match[1])


def table(results: dict[str, dict[str, float]]) -> str:
    """Return a Markdown table of the change in score per disabled mechanism, in thousandths."""
    reference = results[MECHANISMS[0].name]
    days = list(reference)
    lines = [
        f"| left out | load | {' | '.join(days)} | mean |",
        "|---|---|" + "---|" * (len(days) + 1),
        f"| nothing | worth | {' | '.join(f'{reference[day]:.3f}' for day in days)} | "
        f"{sum(reference.values()) / len(days):.3f} |",
    ]
    for mechanism in MECHANISMS[1:]:
        day_scores = results.get(mechanism.name, {})
        if not all(day in day_scores for day in days):
            continue
        changes = [round(1000 * (day_scores[day] - reference[day])) for day in days]
        cells = " | ".join(f"{change:+d}" for change in changes)
        mean = sum(changes) / len(changes)
        lines.append(f"| {mechanism.name} | {mechanism.load} | {cells} | {mean:+.0f} |")
    return "\n".join(lines)


def _day_label(day: tuple[Path, str]) -> str:
    return f"{day[0].stem} {day[1]}"
