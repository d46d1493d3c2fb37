"""Real processes that all end just after the leave of a target was acknowledged."""

from __future__ import annotations

import asyncio
import shutil
import signal

import pytest
from http_fakes import FakeTarget, ok
from test_process_replacement import document

from harness.platform_fleet import CONTROL_PORT, ENTRY_PORT, READY_PORT, Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

BODY = b"done"


def body_of(port: int, state: str = "ready", sequence: int = 1, born: int = 5) -> dict:
    """Return a report of a target."""
    return {
        "Service": "p",
        "Address": f"127.0.0.1:{port}",
        "Zone": "x",
        "Slots": 4,
        "State": state,
        "Sequence": sequence,
        "born": born,
    }


async def call(vm: PlatformVm, method: str, target_id: str, body: dict) -> bool:
    """Return whether a voter acknowledges a call of a target."""
    path = f"/-/instances/{target_id}"
    return b" 200 " in (await vm.fleet.send(method, path, body, vm.ip, CONTROL_PORT))[:20]


async def is_served(vm: PlatformVm) -> bool:
    """Return whether an entry VM serves a request."""
    return b" 200 " in (await vm.fleet.send("GET", "/one/q", None, vm.ip, ENTRY_PORT))[:20]


async def end_all(fleet: Fleet, lose_disk_of: PlatformVm | None = None) -> None:
    """Kill all processes, lose a disk if wanted, and start them again."""
    vms = [*fleet.voters, *fleet.entries]
    for vm in vms:
        vm.process.signal(signal.SIGKILL)
    for vm in vms:
        vm.process.reap()
    if lose_disk_of is not None:
        shutil.rmtree(lose_disk_of.data_dir)
    for vm in vms:
        vm.start()
    for vm in fleet.entries:
        await wait_until(lambda vm=vm: is_ready(vm), f"{vm.name} is ready", 20)


async def is_ready(vm: PlatformVm) -> bool:
    """Return whether an entry VM is ready."""
    reply = await vm.fleet.send("GET", "/-/ready", None, vm.ip, READY_PORT)
    return b" 200 " in reply[:20]


async def scenario(fleet: Fleet, by_report: bool, lose_disk: bool) -> None:
    stays, leaves = (FakeTarget(lambda request: ok(request, BODY)) for _ in range(2))
    for target in (stays, leaves):
        await target.start()
    for vm in [*fleet.voters, *fleet.entries]:
        vm.start(bootstrap=True)
    await fleet.put_config(document(1))

    async def report() -> None:
        for sequence in range(1, 1000):
            await fleet.report("p", "stays", f"127.0.0.1:{stays.port}", sequence)
            await asyncio.sleep(0.2)

    reports = asyncio.create_task(report())
    [entry] = fleet.entries
    voter = fleet.voters[1]
    await wait_until(lambda: call(voter, "PUT", "leaves", body_of(leaves.port)), "a report", 10)
    await wait_until(lambda: is_served(entry), "a request is served", 10)
    if by_report:
        assert await call(voter, "PUT", "leaves", body_of(leaves.port, "draining", 3))
    else:
        assert await call(voter, "DELETE", "leaves", {"born": 5})
    await end_all(fleet, voter if lose_disk else None)
    served_before = len(leaves.requests)
    for sequence, vm in enumerate(fleet.voters, 1):  # late, one after another
        await wait_until(
            lambda vm=vm, number=sequence: call(
                vm, "PUT", "leaves", body_of(leaves.port, sequence=number)
            ),
            "a late report",
            10,
        )
    await wait_until(lambda: is_served(entry), "a request is served again", 10)
    for _ in range(40):
        assert await is_served(entry)
        await asyncio.sleep(0.02)
    assert len(leaves.requests) == served_before, "the target that left gets no requests"
    assert await call(fleet.voters[0], "PUT", "leaves", body_of(leaves.port, born=6))

    async def is_back() -> bool:
        return await is_served(entry) and len(leaves.requests) > served_before

    await wait_until(is_back, "its next incarnation is served", 5)
    reports.cancel()
    for target in (stays, leaves):
        target.stop()


@pytest.mark.parametrize(("by_report", "lose_disk"), [(False, False), (True, True)])
def test_an_acknowledged_leave_survives_the_end_of_all_processes(tmp_path, by_report, lose_disk):
    """Guards against a late report that brings a target back which has said that it leaves."""
    fleet = Fleet(tmp_path, entries=1)
    try:
        asyncio.run(asyncio.wait_for(scenario(fleet, by_report, lose_disk), 100))
    finally:
        for process in fleet.processes:
            process.reap()
