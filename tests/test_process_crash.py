"""Real VMs whose targets all end at once while they run equal requests of many callers."""

from __future__ import annotations

import asyncio
import time

import pytest
from http_fakes import ok
from test_entry_quarantine import CrashingTarget

from harness.platform_fleet import ENTRY_PORT, Fleet
from harness.processes import wait_until

pytestmark = pytest.mark.process

TARGETS = 6
WORK_S = 0.17
REQUESTS_PER_S = 60.0
DOWN_S = 3.0
RECOVERY_S = 4.0
"""Time after the return of the targets from which requests are checked, in seconds; callers
expect answers within 12 s."""

DOCUMENT = {
    "Version": 1,
    "Routes": [
        {
            "Name": "record",
            "Host": "h",
            "PathPrefix": "/record/",
            "Type": "idempotent",
            "Service": "o",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 600,
            "MaxAttempts": 2,
        }
    ],
    "Services": [{"Name": "o", "MaxConnections": 40}],
    "Limits": {},
}


class Service:
    """Targets of one service that all end and return as new incarnations."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._incarnation = 0
        self._sequence = 0
        self.targets: list[CrashingTarget] = []

    async def start(self) -> None:
        """Start all targets anew."""
        targets = [CrashingTarget(ok) for _ in range(TARGETS)]
        for target in targets:
            target.delay_s = WORK_S
            await target.start()
        self._incarnation += 1
        self.targets = targets

    def crash(self) -> None:
        """End all targets together with the requests that they run."""
        targets, self.targets = self.targets, []
        for target in targets:
            target.crash()

    async def report(self) -> None:
        """Report the targets that run, until cancelled."""
        while True:
            self._sequence += 1
            for number, target in enumerate(self.targets):
                await self._fleet.report(
                    "o",
                    f"o-{number}",
                    f"127.0.0.1:{target.port}",
                    self._sequence,
                    "xy"[number % 2],
                    self._incarnation,
                )
            await asyncio.sleep(0.3)


async def served(fleet: Fleet, seconds: float) -> float:
    """Return the share of equal requests that is served, at a constant rate over all entries."""

    async def is_served(number: int) -> bool:
        entry = fleet.entries[number % len(fleet.entries)]
        answer = await fleet.send("GET", "/record/latest", None, entry.ip, ENTRY_PORT)
        return b" 200 " in answer[:20]

    tasks = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(is_served(len(tasks))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    results = await asyncio.gather(*tasks)
    return sum(results) / len(results)


def test_a_popular_question_is_served_again_after_all_targets_ended_once(tmp_path):
    """Guards against RECOVER: equal requests were refused by all VMs while anybody sent them."""

    async def scenario() -> None:
        fleet = Fleet(tmp_path, 3)
        service = Service(fleet)
        await service.start()
        reports = asyncio.create_task(service.report())
        try:
            async with asyncio.timeout(60):
                for vm in [*fleet.voters, *fleet.entries]:
                    vm.start(bootstrap=True)
                await fleet.put_config(DOCUMENT)
                await wait_until(lambda: all_serve(fleet), "all entries serve", 20)
                assert await served(fleet, 2.0) > 0.9
                during = asyncio.create_task(served(fleet, DOWN_S + 1.0))
                await asyncio.sleep(1.0)
                service.crash()
                await during
                await service.start()
                await served(fleet, RECOVERY_S)
                assert await served(fleet, 3.0) > 0.9
        finally:
            reports.cancel()
            service.crash()
            for process in fleet.processes:
                process.reap()

    async def all_serve(fleet: Fleet) -> bool:
        return await served(fleet, 0.3) == 1.0

    asyncio.run(scenario())
