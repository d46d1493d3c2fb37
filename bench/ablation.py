"""Plays days of the users' bench with each mechanism left out, and tells what it is worth."""

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

WORTH = re.compile(r"^worth (-?[\d.]+) = ", re.MULTILINE)
BROKEN = re.compile(
    r"^.*\b(?:MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|RECOVER)\b.*$",
    re.MULTILINE,
)


@attrs.frozen
class Ablation:
    """What to play and where.

    Parameters
    ----------
    player : Path
        Program of the users' bench.
    checkout : Path
        A worktree of its own; its sources are changed and restored.
    days : tuple of (Path, str)
        Site files and names of days.
    out : Path
        File of results, which a later run goes on with.
    jobs : int
        Days that are played at a time.
    """

    player: Path
    checkout: Path
    days: tuple[tuple[Path, str], ...]
    out: Path
    jobs: int

    def run(self, names: Iterable[str]) -> dict[str, dict[str, float]]:
        """Play what the file of results lacks; return worth by mechanism and day."""
        results = json.loads(self.out.read_text()) if self.out.exists() else {}
        wanted = set(names)
        for mechanism in MECHANISMS:
            if mechanism.name not in wanted:
                continue
            known = results.setdefault(mechanism.name, {})
            left = [day for day in self.days if _label(day) not in known]
            if left:
                known.update(self._play(mechanism, left))
                self.out.write_text(json.dumps(results, indent=1))
        return results

    def _play(self, mechanism: Mechanism, days: list[tuple[Path, str]]) -> dict[str, float]:
        restore = ["git", "-C", str(self.checkout), "checkout", "-q", "--", "bramleycrank"]
        subprocess.run(restore, check=True)
        for edit in mechanism.edits:
            edit.apply(self.checkout)
        try:
            with concurrent.futures.ThreadPoolExecutor(self.jobs) as pool:
                worths = pool.map(lambda day: self._play_day(mechanism, *day), days)
                return dict(zip(map(_label, days), worths, strict=True))
        finally:
            subprocess.run(restore, check=True)

    def _play_day(self, mechanism: Mechanism, site: Path, day: str) -> float:
        why = f"Ablation: without {mechanism.name}" if mechanism.edits else "Ablation: whole"
        command = [str(self.player), "run", str(site), day, "--no-cpu", "--why", why]
        # A file, not a pipe: a process that the player leaves behind would keep a pipe open.
        with tempfile.TemporaryFile("w+") as out:
            subprocess.run(
                command, cwd=self.checkout, stdin=subprocess.DEVNULL, stdout=out, stderr=out
            )
            out.seek(0)
            report = out.read()
        found = WORTH.search(report)
        if found is None:
            raise RuntimeError(f"{day} without {mechanism.name}: {report[-300:]}")
        for line in BROKEN.findall(report):
            print(f"{day} without {mechanism.name}: {line}")
        return float(found[1])


def table(results: dict[str, dict[str, float]]) -> str:
    """Return the table of what each mechanism is worth by day, in thousandths."""
    whole = results[MECHANISMS[0].name]
    days = list(whole)
    lines = [
        f"| left out | load | {' | '.join(days)} | mean |",
        "|---|---|" + "---|" * (len(days) + 1),
        f"| nothing | worth | {' | '.join(f'{whole[day]:.3f}' for day in days)} | "
        f"{sum(whole.values()) / len(days):.3f} |",
    ]
    for mechanism in MECHANISMS[1:]:
        worths = results.get(mechanism.name, {})
        if not all(day in worths for day in days):
            continue
        changes = [round(1000 * (worths[day] - whole[day])) for day in days]
        cells = " | ".join(f"{change:+d}" for change in changes)
        mean = sum(changes) / len(changes)
        lines.append(f"| {mechanism.name} | {mechanism.load} | {cells} | {mean:+.0f} |")
    return "\n".join(lines)


def _label(day: tuple[Path, str]) -> str:
    return f"{day[0].stem} {day[1]}"
