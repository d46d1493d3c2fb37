"""Real entry VMs that lose their links to all targets, while the other VMs keep theirs."""

from __future__ import annotations

import asyncio
import time

import pytest
from http_fakes import FakeTarget, ok

from harness.platform_fleet import ENTRY_PORT, Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

CONTACT_S = 4.0
"""Time from the beginning of a cut until the cut VMs serve as others do, in seconds."""

CUT_S = 3.0
"""Duration of the cut from then on, in seconds."""


def document() -> dict:
    """Return a configuration with a gather over four shards and routes to one service."""
    common = {"Host": "h", "TimeoutMs": 1500, "TargetLatencyMs": 300, "MaxAttempts": 2}
    gather = {
        **common,
        "Name": "all",
        "PathPrefix": "/all/",
        "Type": "idempotent",
        "Gather": list("abcd"),
        "TopK": 4,
        "MinCoverage": 0.7,
    }
    order = {
        **common,
        "Name": "order",
        "PathPrefix": "/order/",
        "Type": "non_idempotent",
        "Service": "o",
    }
    services = [{"Name": name, "MaxConnections": 40} for name in "abcdo"]
    return {"Version": 1, "Routes": [gather, order], "Services": services, "Limits": {}}


def record_target(service: str) -> FakeTarget:
    """Return a target that replies with one record, its service's name."""
    body = service.encode() * 16
    return FakeTarget(lambda request: ok(request, body))


class CutFleet:
    """A fleet with two targets for each service, whose entry VMs can be cut off from them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.fakes = {
            f"{service}{number}": record_target(service) for service in "abcdo" for number in "01"
        }
        for vm in fleet.entries:
            vm.partition_file = fleet.folder / f"{vm.name}.cut"

    @property
    def addresses(self) -> list[str]:
        return [f"127.0.0.1:{fake.port}" for fake in self.fakes.values()]

    async def report(self) -> None:
        """Report all targets to the voters in turn, as targets do."""
        for sequence in range(1, 1000):
            for name, fake in self.fakes.items():
                address, zone = f"127.0.0.1:{fake.port}", "xy"[int(name[1])]
                await self.fleet.report(name[0], f"t-{name}", address, sequence, zone)
            await asyncio.sleep(0.3)

    async def serves(self, vm: PlatformVm) -> bool:
        """Return whether a VM answers one request of each route in full."""
        gathered = await self.fleet.send("GET", "/all/q", None, vm.ip, ENTRY_PORT)
        ordered = await self.fleet.send("POST", "/order/x", {}, vm.ip, ENTRY_PORT)
        merged = b"\r\n\r\n" + b"".join(name * 16 for name in (b"d", b"c", b"b", b"a"))
        return gathered.endswith(merged) and b" 200 " in ordered[:20]

    async def served_share(self, vms: list[PlatformVm], seconds: float) -> float:
        """Return the share of pairs of requests that are served at some VMs."""
        end, results = time.monotonic() + seconds, []
        while time.monotonic() < end:
            results += await asyncio.gather(*map(self.serves, vms))
            await asyncio.sleep(0.05)
        return sum(results) / len(results)


def run(scenario, tmp_path, entries: int = 3) -> None:
    """Run a scenario with a fleet that serves."""

    async def body() -> None:
        fleet = Fleet(tmp_path, entries)
        cut = CutFleet(fleet)
        for fake in cut.fakes.values():
            await fake.start()
        reports = asyncio.create_task(cut.report())
        try:
            async with asyncio.timeout(60):
                for vm in [*fleet.voters, *fleet.entries]:
                    vm.start(bootstrap=True)
                await fleet.put_config(document())
                for vm in fleet.entries:
                    await wait_until(lambda vm=vm: cut.serves(vm), f"{vm.name} serves", 20)
                await scenario(cut)
        finally:
            reports.cancel()
            for fake in cut.fakes.values():
                fake.stop()
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())


@pytest.mark.parametrize("refuse", [False, True], ids=["silent", "refused"])
def test_vms_cut_off_from_all_targets_serve_like_the_others(tmp_path, refuse):
    """Guards against VMs that refuse what others could serve."""

    async def scenario(cut: CutFleet) -> None:
        cut_vms = cut.fleet.entries[:2]
        for vm in cut_vms:
            vm.cut(cut.addresses, refuse=refuse)
        await cut.served_share(cut.fleet.entries, CONTACT_S)
        assert await cut.served_share(cut_vms, CUT_S) == 1.0
        for vm in cut_vms:
            vm.end_cut()
        await asyncio.sleep(CONTACT_S)
        assert await cut.served_share(cut_vms, 1.0) == 1.0
        requests = [r for fake in cut.fakes.values() for r in fake.requests]
        assert all(b"bramleycrank" not in request.lower() for request in requests)

    run(scenario, tmp_path)
