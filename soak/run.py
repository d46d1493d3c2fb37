"""One run of the soak: start the processes, load and disturb them, check what was promised."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from pathlib import Path
from typing import Any

from harness.platform_fleet import Fleet
from harness.processes import until
from soak import checks, report
from soak.callers import Caller, Outcome
from soak.faults import Injector
from soak.targets import Ledger, SoakTarget

ENTRIES = 3
CALLERS = 4
"""Callers of each machine for callers."""

START_S = 20.0
"""Time in which the fleet has to serve for the first time, in seconds."""

RECOVERY_S = 12.0
"""Time after the last fault in which everything has to be served again, in seconds."""

CALM_S = 2.0
"""How long it has to stay so, in seconds."""

CHANGE_S = 1.5
"""Mean time between two changes of the routes, in seconds."""

ZONES = "xyz"


class Run:
    """One seeded run.

    Parameters
    ----------
    seed : int
        Decides faults, loads and changes; what the processes make of them varies.
    seconds : float
        How long faults begin.
    folder : Path
        Where logs and reports are kept.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._rng = random.Random(seed)
        self._fleet = Fleet(folder, ENTRIES)
        self._ledger = Ledger()
        self._outcomes: list[Outcome] = []
        self._found: list[str] = []
        self._tops: set[int] = set()
        self._acknowledged = 0
        self._targets = [
            SoakTarget(service, f"{service}-{zone}", zone, self._ledger, random.Random(seed + n))
            for n, (service, zone) in enumerate(
                itertools.product((*checks.SHARDS, checks.SINGLE), ZONES)
            )
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> dict[str, Any]:
        """Run everything and return the report, which is also written."""
        began = asyncio.get_running_loop().time()
        injector = Injector(self._fleet, self._targets, self._rng)
        try:
            await self._start()
            await injector.run(self._seconds)
            await self._recover()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            for process in self._fleet.processes:
                process.reap()
            for target in self._targets:
                await target.stop()
        evidence = checks.Evidence(self._outcomes, self._ledger, injector.events, self._tops)
        found = [*self._found, *injector.problems, *checks.violations(evidence)]
        result = report.build(self._seed, began, self._outcomes, injector.events, found)
        report.write(result, self._folder)
        return result

    async def _start(self) -> None:
        for target in self._targets:
            await target.start()
            self._spawn(target.report(self._fleet))
        for machine in [*self._fleet.voters, *self._fleet.entries]:
            machine.start(bootstrap=True)
        await self._change()
        for number, entry in enumerate(self._fleet.entries * CALLERS):
            rng = random.Random(self._seed * 1000 + number)
            caller = Caller(f"c{number}", entry, self._outcomes, rng)
            self._spawn(caller.run())
        await until(lambda: self._served_since(0.5), "the fleet serves", START_S)
        self._spawn(self._change_often())
        self._spawn(self._read_often())

    def _spawn(self, coro: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coro))

    async def _recover(self) -> None:
        """Wait until all is served, at most for the time that is promised."""
        try:
            await until(lambda: self._served_since(CALM_S), "all is served", RECOVERY_S + CALM_S)
        except AssertionError:
            late = [o for o in self._recent(CALM_S) if o.status != 200]
            self._found.append(
                f"{RECOVERY_S} s after the last fault not all is served: "
                f"{[(o.request_id, o.path, o.entry, o.status) for o in late[:5]]}"
            )

    def _recent(self, seconds: float) -> list[Outcome]:
        since = asyncio.get_running_loop().time() - seconds
        return [outcome for outcome in self._outcomes if outcome.ended > since]

    def _served_since(self, seconds: float) -> bool:
        recent = self._recent(seconds)
        entries = {outcome.entry for outcome in recent}
        return len(entries) == ENTRIES and all(outcome.status == 200 for outcome in recent)

    # Routes.

    async def _change(self) -> None:
        version = self._acknowledged + 1
        top = self._rng.randint(3, 9)
        self._tops.add(top)  # it may be in force before its acknowledgement
        await self._fleet.put(routes(version, top))
        self._acknowledged = version

    async def _change_often(self) -> None:
        rng = random.Random(self._seed + 1)
        while True:
            await asyncio.sleep(rng.expovariate(1 / CHANGE_S))
            try:
                await self._change()
            except AssertionError as exc:
                self._found.append(str(exc))

    async def _read_often(self) -> None:
        """Read the routes from any voter: an acknowledged version is never lost or older."""
        for voter in itertools.cycle(self._fleet.voters):
            await asyncio.sleep(0.2)
            least = self._acknowledged
            version = (await self._fleet.read(voter)).get("Version", least)
            if version < least:
                self._found.append(f"{voter.name} read version {version} after {least}")


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


def play(seed: int, seconds: float, folder: Path) -> dict[str, Any]:
    """Play one seed and return its report.

    Raises
    ------
    AssertionError
        The fleet did not serve at the start.
    """
    folder.mkdir(parents=True, exist_ok=True)
    started = time.monotonic()
    result = asyncio.run(Run(seed, seconds, folder).play())
    result["played_s"] = round(time.monotonic() - started, 1)
    return result
