"""Command line of the measurements: ``python -m bench``."""

from __future__ import annotations

import asyncio
import json
import logging
import platform
import time
from pathlib import Path

import fire

from bench import ablation, control, report, slopes
from bench.mechanisms import MECHANISMS
from bench.runner import Measurement, run_all
from bench.scenarios import SCENARIOS
from bench.shapes import SHAPES

RESULTS = Path(__file__).parent / "results"


class Bench:
    """Measurements with real daemons and stand-in targets."""

    def run(
        self,
        shapes: str = "battaglio,hangang",
        scenarios: str = ",".join(SCENARIOS),
        seconds: float = 12.0,
        rate: float = 90.0,
        seed: int = 1,
        out: str = "policy",
    ) -> None:
        """Run the scenarios with the baseline and the product in turn.

        Parameters
        ----------
        shapes, scenarios : str
            Names, separated by commas.
        seconds : float
            Recorded length of each scenario, in s.
        rate : float
            Calm load in requests a second.
        seed : int
            Seed of load and targets.
        out : str
            Name of the result file.
        """
        logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(message)s")
        results = {"about": about(seconds=seconds, rate=rate, seed=seed), "shapes": {}}
        for name in words(shapes):
            measurement = Measurement(SHAPES[name], rate, seconds, seed)
            results["shapes"][name] = asyncio.run(run_all(measurement, words(scenarios)))
            write(out, results)

    def ablate(
        self,
        player: str,
        checkout: str,
        *days: str,
        out: str = "ablation",
        mechanisms: str = "",
        jobs: int = 3,
    ) -> None:
        """Play days with each mechanism left out and print what it is worth.

        Parameters
        ----------
        player : str
            Program of the users' bench.
        checkout : str
            A worktree of its own, whose sources are changed meanwhile.
        days : str
            Site file and name of each day, as ``SITE:DAY``.
        out : str
            Name of the result file; days that it has are not played again.
        mechanisms : str
            Names, separated by commas; all by default.
        jobs : int
            Days that are played at a time.
        """
        split = [day.rpartition(":") for day in days]
        plan = ablation.Ablation(
            Path(player),
            Path(checkout),
            tuple((Path(site), day) for site, _, day in split),
            RESULTS / f"{out}.json",
            jobs,
        )
        names = words(mechanisms) if mechanisms else [m.name for m in MECHANISMS]
        print(ablation.table(plan.run(names)))

    def control(self, changes: int = 100, recoveries: int = 10, out: str = "control") -> None:
        """Measure how soon changes are in force and how soon a lost leader is replaced."""
        logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(message)s")
        figures = asyncio.run(control.measure(SHAPES["battaglio"], changes, recoveries))
        write(out, {"about": about(changes=changes, recoveries=recoveries), **figures})

    def slopes(self, parts: str = ",".join(slopes.PARTS), out: str = "slopes") -> None:
        """Measure the slopes that the capacity page rests on; other parts of the file stay.

        Parameters
        ----------
        parts : str
            Names, separated by commas. The idle parts count all bytes on loopback, so they need
            a machine without other traffic.
        out : str
            Name of the result file.
        """
        logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(message)s")
        path = RESULTS / f"{out}.json"
        results = json.loads(path.read_text()) if path.exists() else {}
        for part in words(parts):
            results |= {"about": about(), part: slopes.PARTS[part]()}
            write(out, results)

    def report(self) -> None:
        """Write docs/measurements.md from the result files."""
        report.write(RESULTS)


def words(value: object) -> list[str]:
    """Return the parts of a list option; fire turns plain words with commas into a tuple."""
    return value.split(",") if isinstance(value, str) else [str(item) for item in value]


def about(**parameters: float) -> dict[str, object]:
    """Return when and where a result was measured."""
    return {
        "date": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "python": platform.python_version(),
        **parameters,
    }


def write(name: str, results: dict[str, object]) -> None:
    """Write one result file."""
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / f"{name}.json").write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    fire.Fire(Bench)
