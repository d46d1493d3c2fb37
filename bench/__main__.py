"""Command line of the benchmarks: ``python -m bench``."""

from __future__ import annotations

import asyncio
import json
import logging
import platform
import time
from pathlib import Path

import fire

from bench import ablation, control, even_load_ways, report, slopes
from bench.mechanisms import MECHANISMS
from bench.runner import ScenarioRunner, run_all
from bench.scenarios import SCENARIOS
from bench.shapes import SHAPES

RESULTS_DIR = Path(__file__).parent / "results"


class Bench:
    """Benchmarks with real daemons and stand-in targets."""

    def run(
        self,
        shapes: str = "battaglio,hangang",
        scenarios: str = ",".join(SCENARIOS),
        seconds: float = 12.0,
        rate: float = 90.0,
        seed: int = 1,
        out: str = "policy",
    ) -> None:
        """Run the scenarios with the baseline policy and the adaptive policy in turn.

        Parameters
        ----------
        shapes, scenarios : str
            Names, separated by commas.
        seconds : float
            Duration of the recorded load of each scenario, in s.
        rate : float
            Request rate of the calm scenario, in requests/s.
        seed : int
            Random seed of the load generator and of the targets.
        out : str
            Name of the result file.
        """
        logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(message)s")
        results = {"about": describe_run(seconds=seconds, rate=rate, seed=seed), "shapes": {}}
        for name in split_list(shapes):
            runner = ScenarioRunner(SHAPES[name], rate, seconds, seed)
            results["shapes"][name] = asyncio.run(run_all(runner, split_list(scenarios)))
            write_results(out, results)

    def ablate(
        self,
        player: str,
        checkout: str,
        *days: str,
        out: str = "ablation",
        mechanisms: str = "",
        jobs: int = 3,
    ) -> None:
        """Replay days of the users' benchmark with each mechanism disabled and print the scores.

        Parameters
        ----------
        player : str
            Program of the users' benchmark that replays a day.
        checkout : str
            Separate git worktree; its sources are edited during the run and restored afterwards.
        days : str
            Site file and name of each day to replay, as ``SITE:DAY``.
        out : str
            Name of the result file; days that it already contains are skipped.
        mechanisms : str
            Names of mechanisms, separated by commas; all by default.
        jobs : int
            Number of days that are replayed in parallel.
        """
        site_days = [day.rpartition(":") for day in days]
        plan = ablation.Ablation(
            Path(player),
            Path(checkout),
            tuple((Path(site), day) for site, _, day in site_days),
            RESULTS_DIR / f"{out}.json",
            jobs,
        )
        names = split_list(mechanisms) if mechanisms else [m.name for m in MECHANISMS]
        print(ablation.table(plan.run(names)))

    def control(self, changes: int = 100, recoveries: int = 10, out: str = "control") -> None:
        """Measure how fast changes come into force and how fast a failed leader is replaced.

        Parameters
        ----------
        changes : int
            Number of configuration changes.
        recoveries : int
            Number of leader failures.
        out : str
            Name of the result file.
        """
        logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(message)s")
        measured = asyncio.run(control.measure(SHAPES["battaglio"], changes, recoveries))
        write_results(
            out, {"about": describe_run(changes=changes, recoveries=recoveries), **measured}
        )

    def slopes(self, parts: str = ",".join(slopes.PARTS), out: str = "slopes") -> None:
        """Measure how cost grows with size and update these parts of the result file.

        Parameters
        ----------
        parts : str
            Names of parts, separated by commas. The idle parts count all bytes sent over
            loopback, so they need a machine without other traffic.
        out : str
            Name of the result file.
        """
        logging.basicConfig(level=logging.WARNING, format="%(asctime)s %(message)s")
        path = RESULTS_DIR / f"{out}.json"
        results = json.loads(path.read_text()) if path.exists() else {}
        for part in split_list(parts):
            results |= {"about": describe_run(), part: slopes.PARTS[part]()}
            write_results(out, results)

    def even_load(
        self, vms: str = "10,66,80,200,300", ages: str = "0,1,2", seconds: float = 30.0
    ) -> None:
        """Print how each way of choosing spreads load over targets that many VMs share.

        Parameters
        ----------
        vms : str
            Numbers of VMs, separated by commas.
        ages : str
            Additional ages of load reports in seconds, separated by commas.
        seconds : float
            Simulated time of each replay, in seconds.
        """
        counts, delays = map(int, split_list(vms)), map(float, split_list(ages))
        print(even_load_ways.table(list(counts), list(delays), seconds))

    def report(self) -> None:
        """Write docs/measurements.md from the result files."""
        report.write(RESULTS_DIR)


def split_list(value: object) -> list[str]:
    """Return the items of a list option; fire parses words separated by commas as a tuple."""
    return [str(item) for item in value] if isinstance(value, tuple) else str(value).split(",")


def describe_run(**parameters: float) -> dict[str, object]:
    """Return the date, the Python version and the parameters of a run."""
    return {
        "date": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "python": platform.python_version(),
        **parameters,
    }


def write_results(name: str, results: dict[str, object]) -> None:
    """Write results as a JSON file to the results folder."""
    RESULTS_DIR.mkdir(exist_ok=True)
    (RESULTS_DIR / f"{name}.json").write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    fire.Fire(Bench)
