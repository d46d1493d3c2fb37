"""Runs scenarios with the baseline and the product in turn."""

from __future__ import annotations

import asyncio
import json
import logging
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs

from bench.fleet import BenchFleet
from bench.scenarios import SCENARIOS, Scenario
from bench.shapes import Shape
from harness.processes import Process, wait_until

log = logging.getLogger(__name__)

POLICIES = ("plain", "adaptive")
WARMUP_S = 3.0
DEADLINE_MS = 1000
URGENT_DEADLINE_MS = 500

# The sustainable rate is searched upwards from twice the calm rate.
SEARCH_STEP = 1.12
SEARCH_SECONDS = 6.0
SUSTAINABLE_SHARE = 0.99


def mix(shape: Shape) -> list[dict[str, Any]]:
    """Return the requests of one user with their weights."""
    search = {
        "service": shape.search.name,
        "kind": "search",
        "deadline_ms": DEADLINE_MS,
        "limit": 10,
    }
    fetch = {"service": shape.records.name, "kind": "fetch", "key": "k1"}
    order = {"service": shape.search.name, "kind": shape.order_kind, "payload": "x"}
    urgent = {**search, "class": "urgent", "deadline_ms": URGENT_DEADLINE_MS}
    return [
        {"label": "search", "weight": 67, "body": search},
        {"label": "urgent", "weight": 10, "body": urgent},
        {
            "label": "checked",
            "weight": 3,
            "body": {**search, "limit": 200},
            "exhaustive": True,
        },
        {"label": "fetch", "weight": 18, "body": {**fetch, "deadline_ms": DEADLINE_MS}},
        {
            "label": "order",
            "weight": 2,
            "body": {**order, "deadline_ms": 2 * DEADLINE_MS},
            "keyed": True,
        },
    ]


@attrs.frozen
class Measurement:
    """Settings of one run of the command.

    Parameters
    ----------
    shape : Shape
        The user.
    calm_rate : float
        Requests a second in the calm scenario.
    seconds : float
        Recorded length of each scenario.
    seed : int
        Seed of the load and of the targets.
    """

    shape: Shape
    calm_rate: float
    seconds: float
    seed: int

    async def scenario(self, scenario: Scenario, policy: str, rate: float) -> dict[str, Any]:
        """Run one scenario with a fleet of its own and return its figures."""
        with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
            fleet = BenchFleet(self.shape, policy, Path(name), self.seed)
            try:
                await fleet.start()
                await scenario.before(fleet, self.seconds)
                return await self._measure(fleet, scenario, rate)
            finally:
                fleet.close()

    async def _measure(self, fleet: BenchFleet, scenario: Scenario, rate: float) -> dict[str, Any]:
        seconds = scenario.seconds or self.seconds
        load = asyncio.create_task(self.load(fleet, rate, seconds))
        await asyncio.sleep(WARMUP_S)
        before = fleet.processor_s()
        await scenario.during(fleet, seconds)
        result = await load
        after = fleet.processor_s()
        used = [after[name] - before[name] for name in after if after[name] >= before[name]]
        result["vm_processor_share"] = sum(used) / len(used) / seconds
        result["offered_per_s"] = rate
        return result

    async def load(
        self,
        fleet: BenchFleet,
        rate: float,
        seconds: float,
        requests: list[dict[str, Any]] | None = None,
    ) -> dict[str, Any]:
        """Run the load generator as a process of its own."""
        spec_path, result_path = fleet.folder / "load.json", fleet.folder / "result.json"
        spec = {
            "urls": [vm.url for vm in fleet.vms],
            "rate": rate,
            "seconds": seconds,
            "warmup_s": WARMUP_S,
            "seed": self.seed,
            "mix": requests or mix(self.shape),
        }
        spec_path.write_text(json.dumps(spec))
        result_path.unlink(missing_ok=True)
        command = [sys.executable, "-m", "bench.load", str(spec_path), str(result_path)]
        process = Process(command, fleet.folder / "load.log")
        try:
            limit_s = WARMUP_S + seconds + 60
            await wait_until(lambda: process.exit_code is not None, "the load ends", limit_s, 0.1)
            assert process.exit_code == 0, process.log_tail()
        finally:
            process.reap()
        return json.loads(result_path.read_text())

    async def sustainable_rate(self, policy: str) -> float:
        """Return the highest rate at which 99% of the requests are complete in time."""
        with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
            fleet = BenchFleet(self.shape, policy, Path(name), self.seed)
            try:
                await fleet.start()
                rate = best = 2 * self.calm_rate
                while True:
                    result = (await self.load(fleet, rate, SEARCH_SECONDS))["all"]
                    log.warning("bench: rate %.0f: good %.3f", rate, result["good_share"])
                    if result["good_share"] < SUSTAINABLE_SHARE:
                        return best
                    best, rate = rate, rate * SEARCH_STEP
            finally:
                fleet.close()


async def run_all(measurement: Measurement, names: list[str]) -> dict[str, Any]:
    """Run scenarios with both policies in turn and return all figures."""
    scenarios = [SCENARIOS[name] for name in names]
    sustainable = 0.0
    if any(item.load_factor == 0 for item in scenarios):
        sustainable = await measurement.sustainable_rate("adaptive")
    results: dict[str, Any] = {"sustainable_per_s": sustainable, "scenarios": {}}
    for scenario in scenarios:
        rate = measurement.calm_rate * scenario.load_factor or 2 * sustainable
        results["scenarios"][scenario.name] = {}
        for policy in POLICIES:
            figures = await measurement.scenario(scenario, policy, rate)
            results["scenarios"][scenario.name][policy] = figures
            log.warning("bench: %s %s: %s", scenario.name, policy, headline(figures))
    return results


def headline(figures: dict[str, Any]) -> str:
    """Return the main figures of one run in one line."""
    labels = figures["labels"]
    search, total = labels["search"], figures["all"]
    return (
        f"search p50 {search['p50_ms']:.0f} p99 {search['p99_ms']:.0f} ms, "
        f"urgent p99 {labels['urgent']['p99_ms']:.0f} ms, good {total['goodput_per_s']:.0f}/s, "
        f"coverage {total['coverage']:.4f}, refused {total['refused_share']:.3f}, "
        f"failed {total['failed_share']:.3f}, cut {total['cut']}, "
        f"load x{total['load_factor']:.3f}, untrue {total['untrue_answers']}, {total['errors']}"
    )
