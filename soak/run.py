"""One run of the soak: start the fleet, apply load and faults, check the guarantees."""

from __future__ import annotations

import asyncio
import functools
import itertools
import random
import time
from pathlib import Path
from typing import Any

from harness.platform_fleet import Fleet
from harness.processes import wait_until
from soak import checks, report
from soak.callers import Caller, Outcome
from soak.customers import Customers, has_customers
from soak.faults import Injector
from soak.targets import SoakTarget, TargetObservations

ENTRY_VMS = 3
CALLERS_PER_ENTRY = 4
"""Callers of each entry VM."""

START_TIMEOUT_S = 20.0
"""Time limit until the fleet serves all requests after its start."""

RECOVERY_TIMEOUT_S = 12.0
"""Time limit until all requests are served again after the last fault."""

STABLE_PERIOD_S = 2.0
"""Time during which all requests have to be served for the fleet to count as recovered."""

MEAN_CHANGE_INTERVAL_S = 1.5
"""Mean time between two changes of the routes."""

FLOOD_CALLERS_PER_ENTRY, FLOOD_THINK_TIME_S = 2, 0.01
"""Callers at each entry VM that send during a flood, and the mean time between their requests."""

FIRST_SEED_WITH_LEAVES = 1_210_001
"""In runs of older seeds no target leaves, so that they still lead to the same faults."""

ZONES = "xyz"


class SoakRun:
    """One run of the soak with a seed.

    Parameters
    ----------
    seed : int
        Determines faults, load and changes; the timing of the processes still varies.
    seconds : float
        Time during which new faults start.
    folder : Path
        Folder for logs and reports.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._rng = random.Random(seed)
        self._fleet = Fleet(folder, ENTRY_VMS)
        for vm in self._fleet.entries:
            vm.partition_file = folder / f"{vm.name}.cut"
        self._observations = TargetObservations()
        self._outcomes: list[Outcome] = []
        self._violations: list[str] = []
        self._top_ks: set[int] = set()
        self._acknowledged_version = 0
        self._change_lock = asyncio.Lock()
        self._customers: Customers | None = None
        self._targets = [
            SoakTarget(
                service, f"{service}-{zone}", zone, self._observations, random.Random(seed + n)
            )
            for n, (service, zone) in enumerate(
                itertools.product((*checks.SHARDS, checks.SINGLE), ZONES)
            )
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def execute(self) -> dict[str, Any]:
        """Execute the run, write the report and return it."""
        started_at = asyncio.get_running_loop().time()
        wide_rng = random.Random(self._seed + 2)
        leave_rng = random.Random(self._seed + 3) if self._seed >= FIRST_SEED_WITH_LEAVES else None
        injector = Injector(self._fleet, self._targets, self._rng, wide_rng, leave_rng)
        if has_customers(self._seed):
            self._customers = Customers(self._seed, self._try_change_routes, injector.events)
        try:
            await self._start()
            await asyncio.gather(injector.run(self._seconds), self._run_customer_faults())
            await self._recover()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for process in self._fleet.processes:
                process.reap()
            for target in self._targets:
                await target.stop()
        evidence = checks.Evidence(
            self._outcomes,
            self._observations,
            injector.events,
            self._top_ks,
            self._customers.tables if self._customers is not None else [],
        )
        violations = [*self._violations, *injector.problems, *checks.violations(evidence)]
        result = report.build(self._seed, started_at, self._outcomes, injector.events, violations)
        report.write(result, self._folder)
        return result

    async def _start(self) -> None:
        for target in self._targets:
            await target.start()
            self._start_task(target.report(self._fleet))
        for vm in [*self._fleet.voters, *self._fleet.entries]:
            vm.start(bootstrap=True)
        await self._change_routes()
        for number, entry in enumerate(self._fleet.entries * CALLERS_PER_ENTRY):
            rng = random.Random(self._seed * 1000 + number)
            choose_key = None
            if self._customers is not None:
                key_rng = random.Random(self._seed * 1000 + 900 + number)
                choose_key = functools.partial(
                    self._customers.choose_key, number // ENTRY_VMS, key_rng
                )
            caller = Caller(f"c{number}", entry, self._outcomes, rng, choose_key)
            self._start_task(caller.run())
        if self._customers is not None:
            self._start_flood_callers(self._customers)
        await wait_until(lambda: self._all_served_for(0.5), "the fleet serves", START_TIMEOUT_S)
        self._start_task(self._change_routes_repeatedly())
        self._start_task(self._check_reads_repeatedly())

    def _start_flood_callers(self, customers: Customers) -> None:
        for number, entry in enumerate(self._fleet.entries * FLOOD_CALLERS_PER_ENTRY):
            rng = random.Random(self._seed * 1000 + 500 + number)
            caller = Caller(
                f"f{number}", entry, self._outcomes, rng, customers.flood_key, FLOOD_THINK_TIME_S
            )
            self._start_task(caller.run())

    async def _run_customer_faults(self) -> None:
        if self._customers is not None:
            await self._customers.run_faults(self._seconds)

    def _start_task(self, coro: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coro))

    async def _recover(self) -> None:
        """Wait until all requests are served, and record a violation after the time limit."""
        try:
            await wait_until(
                lambda: self._all_served_for(STABLE_PERIOD_S),
                "all requests are served",
                RECOVERY_TIMEOUT_S + STABLE_PERIOD_S,
            )
        except AssertionError:
            unserved = [
                o for o in self._recent_outcomes(STABLE_PERIOD_S) if not self._is_as_expected(o)
            ]
            self._violations.append(
                f"{RECOVERY_TIMEOUT_S} s after the last fault some requests are not served: "
                f"{[(o.request_id, o.path, o.entry, o.status) for o in unserved[:5]]}"
            )

    def _recent_outcomes(self, seconds: float) -> list[Outcome]:
        since = asyncio.get_running_loop().time() - seconds
        return [outcome for outcome in self._outcomes if outcome.ended > since]

    def _all_served_for(self, seconds: float) -> bool:
        recent = self._recent_outcomes(seconds)
        entries = {outcome.entry for outcome in recent}
        return len(entries) == ENTRY_VMS and all(map(self._is_as_expected, recent))

    def _is_as_expected(self, outcome: Outcome) -> bool:
        """Return whether a request was served, or needn't be because of its key."""
        owed = self._customers is None or self._customers.expects_service(outcome)
        return outcome.status == 200 or not owed

    async def _change_routes(self) -> None:
        async with self._change_lock:
            version = self._acknowledged_version + 1
            top = self._rng.randint(3, 9)
            self._top_ks.add(top)  # the change may be in force before it is acknowledged
            document = routes(version, top)
            if self._customers is not None:
                document["Tenants"] = self._customers.document()
            await self._fleet.put_config(document)
            self._acknowledged_version = version
            if self._customers is not None:
                self._customers.on_acknowledged()

    async def _try_change_routes(self) -> None:
        """Change the routes, and record a violation after the time limit."""
        try:
            await self._change_routes()
        except AssertionError as exc:
            self._violations.append(str(exc))

    async def _change_routes_repeatedly(self) -> None:
        rng = random.Random(self._seed + 1)
        while True:
            await asyncio.sleep(rng.expovariate(1 / MEAN_CHANGE_INTERVAL_S))
            await self._try_change_routes()

    async def _check_reads_repeatedly(self) -> None:
        """Check that no voter returns a version older than an acknowledged one."""
        for number in itertools.count():
            await asyncio.sleep(0.2)
            voter = self._fleet.voters[number % len(self._fleet.voters)]
            least_version = self._acknowledged_version
            version = (await self._fleet.read_config(voter)).get("Version", least_version)
            if version < least_version:
                self._violations.append(
                    f"{voter.name} read version {version} after {least_version}"
                )


def routes(version: int, top: int) -> dict[str, Any]:
    """Return a configuration document."""
    common = {"Host": "h", "TimeoutMs": 2000, "TargetLatencyMs": int(report.OBJECTIVE_S * 1000)}
    single = {
        "MaxAttempts": checks.MAX_ATTEMPTS,
        "Split": [{"Service": checks.SINGLE, "Weight": 1}],
    }
    gather = {
        "Name": "all",
        "PathPrefix": "/all/",
        "Type": "idempotent",
        "Gather": list(checks.SHARDS),
        "MaxAttempts": checks.MAX_ATTEMPTS,
        "TopK": top,
        "MinCoverage": checks.MIN_COVERAGE,
    }
    one = {"Name": "one", "PathPrefix": "/one/", "Type": "idempotent", **single}
    order = {"Name": "order", "PathPrefix": "/order/", "Type": "non_idempotent", **single}
    services = [{"Name": name, "MaxConnections": 40} for name in (*checks.SHARDS, checks.SINGLE)]
    return {
        "Version": version,
        "Routes": [{**common, **route} for route in (gather, one, order)],
        "Services": services,
        "Limits": {},
    }


def run_seed(seed: int, seconds: float, folder: Path) -> dict[str, Any]:
    """Run one seed and return its report.

    Raises
    ------
    AssertionError
        The fleet did not serve all requests in time after its start.
    """
    folder.mkdir(parents=True, exist_ok=True)
    started = time.monotonic()
    result = asyncio.run(SoakRun(seed, seconds, folder).execute())
    result["played_s"] = round(time.monotonic() - started, 1)
    return result
