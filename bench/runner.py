"""Runs scenarios with the baseline policy and the adaptive policy in turn."""

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

# The search for the sustainable rate starts at twice the calm rate and goes upwards.
RATE_STEP_FACTOR = 1.12
RATE_SEARCH_DURATION_S = 6.0
MIN_GOOD_SHARE = 0.99


def request_mix(shape: Shape) -> list[dict[str, Any]]:
    """Return the request types of a deployment with their weights."""
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
class ScenarioRunner:
    """Runs scenarios for one deployment with common settings.

    Parameters
    ----------
    shape : Shape
        VMs and services of the deployment.
    calm_rate : float
        Request rate of the calm scenario, in requests/s.
    seconds : float
        Duration of the recorded load of each scenario, in s.
    seed : int
        Random seed of the load generator and of the targets.
    """

    shape: Shape
    calm_rate: float
    seconds: float
    seed: int

    async def run_scenario(self, scenario: Scenario, policy: str, rate: float) -> dict[str, Any]:
        """Run one scenario on a new fleet and return its results."""
        with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
            fleet = BenchFleet(self.shape, policy, Path(name), self.seed)
            try:
                await fleet.start()
                await scenario.before(fleet, self.seconds)
                return await self._run_on_fleet(fleet, scenario, rate)
            finally:
                fleet.close()

    async def _run_on_fleet(
        self, fleet: BenchFleet, scenario: Scenario, rate: float
    ) -> dict[str, Any]:
        seconds = scenario.seconds or self.seconds
        load = asyncio.create_task(self.run_load(fleet, rate, seconds))
        await asyncio.sleep(WARMUP_S)
        before = fleet.processor_s()
        await scenario.during(fleet, seconds)
        result = await load
        after = fleet.processor_s()
        processor_s = [after[name] - before[name] for name in after if after[name] >= before[name]]
        result["vm_processor_share"] = sum(processor_s) / len(processor_s) / seconds
        result["offered_per_s"] = rate
        return result

    async def run_load(
        self,
        fleet: BenchFleet,
        rate: float,
        seconds: float,
        requests: list[dict[str, Any]] | None = None,
    ) -> dict[str, Any]:
        """Run the load generator in a separate process and return its summary."""
        spec_path, result_path = fleet.folder / "load.json", fleet.folder / "result.json"
        spec = {
            "urls": [vm.url for vm in fleet.vms],
            "rate": rate,
            "seconds": seconds,
            "warmup_s": WARMUP_S,
            "seed": self.seed,
            "mix": requests or request_mix(self.shape),
        }
        spec_path.write_text(json.dumps(spec))
        result_path.unlink(missing_ok=True)
        command = [sys.executable, "-m", "bench.load", str(spec_path), str(result_path)]
        process = Process(command, fleet.folder / "load.log")
        try:
            timeout_s = WARMUP_S + seconds + 60
            await wait_until(
                lambda: process.exit_code is not None, "the load generator exits", timeout_s, 0.1
            )
            assert process.exit_code == 0, process.log_tail()
        finally:
            process.reap()
        return json.loads(result_path.read_text())

    async def sustainable_rate(self, policy: str) -> float:
        """Return the highest tested rate at which 99% of the requests are complete in time."""
        with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
            fleet = BenchFleet(self.shape, policy, Path(name), self.seed)
            try:
                await fleet.start()
                rate = best = 2 * self.calm_rate
                while True:
                    result = (await self.run_load(fleet, rate, RATE_SEARCH_DURATION_S))["all"]
                    log.warning(
                        "bench: rate %.0f/s: %.3f complete in time", rate, result["good_share"]
                    )
                    if result["good_share"] < MIN_GOOD_SHARE:
                        return best
                    best, rate = rate, rate * RATE_STEP_FACTOR
            finally:
                fleet.close()


async def run_all(runner: ScenarioRunner, scenario_names: list[str]) -> dict[str, Any]:
    """Run scenarios with both policies in turn and return all results."""
    scenarios = [SCENARIOS[name] for name in scenario_names]
    sustainable = 0.0
    if any(item.load_factor == 0 for item in scenarios):
        sustainable = await runner.sustainable_rate("adaptive")
    results: dict[str, Any] = {"sustainable_per_s": sustainable, "scenarios": {}}
    for scenario in scenarios:
        rate = runner.calm_rate * scenario.load_factor or 2 * sustainable
        results["scenarios"][scenario.name] = {}
        for policy in POLICIES:
            measured = await runner.run_scenario(scenario, policy, rate)
            results["scenarios"][scenario.name][policy] = measured
            log.warning("bench: %s %s: %s", scenario.name, policy, format_summary(measured))
    return results


def format_summary(measured: dict[str, Any]) -> str:
    """Return the main results of one run in one line."""
    labels = measured["labels"]
    search, total = labels["search"], measured["all"]
    return (
        f"search p50 {search['p50_ms']:.0f} p99 {search['p99_ms']:.0f} ms, "
        f"urgent p99 {labels['urgent']['p99_ms']:.0f} ms, goodput {total['goodput_per_s']:.0f}/s, "
        f"coverage {total['coverage']:.4f}, refused {total['refused_share']:.3f}, "
        f"failed {total['failed_share']:.3f}, cut {total['cut']}, "
        f"load x{total['load_factor']:.3f}, untrue {total['untrue_answers']}, {total['errors']}"
    )
