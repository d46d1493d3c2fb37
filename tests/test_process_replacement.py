"""Real core VMs that are replaced as planned, and another one that loses its disk afterwards."""

from __future__ import annotations

import asyncio
import shutil
import signal
import time
from pathlib import Path

import pytest

from harness.platform_fleet import READY_PORT, Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

CATCH_UP_S = 4.0
"""Time after the start of a successor from which the removed VM no longer counts, in seconds."""

REMOVED_AFTER_S = 2.0
"""Longest time between the start of a successor and the end of the VM that it succeeds."""

MARGIN_S = 0.3
CHANGE_LIMIT_S = 6.0
DOWN_S = 1.0


def document(version: int) -> dict:
    """Return a configuration with one route."""
    route = {
        "Name": "one",
        "Host": "h",
        "PathPrefix": "/one/",
        "Type": "idempotent",
        "TimeoutMs": 1500,
        "Service": "p",
    }
    services = [{"Name": "p", "MaxConnections": 40}]
    return {"Version": version, "Routes": [route], "Services": services, "Limits": {}}


async def leader_of(fleet: Fleet) -> PlatformVm:
    """Return the voter that leads the log, by its own word."""
    for vm in fleet.voters:
        log = (fleet.folder / f"{vm.name}.log").read_text()
        roles = [line for line in log.splitlines() if "raft_runner" in line and " in term " in line]
        if roles and "consensus: leader" in roles[-1]:
            return vm
    raise AssertionError("no VM leads the log")


async def replace_voter(
    fleet: Fleet, removed: PlatformVm, number: signal.Signals, tree: Path | None = None
) -> float:
    """Start a successor, end the VM as late as is allowed; return the time of the start.

    The successor runs the build in `tree` if given.
    """
    successor = fleet.add_voter(removed, tree)
    started = time.monotonic()
    await asyncio.sleep(REMOVED_AFTER_S)
    removed.process.signal(number)
    fleet.remove_voter(removed, successor)
    return started


async def change(fleet: Fleet, version: int) -> None:
    async with asyncio.timeout(CHANGE_LIMIT_S):
        await fleet.put_config(document(version))


async def wipe_after_change(fleet: Fleet, wiped: PlatformVm, version: int) -> None:
    """Lose a VM's disk right after a change; the change must be readable, and a next one made."""
    await change(fleet, version)
    wiped.process.reap()
    shutil.rmtree(wiped.data_dir)
    await asyncio.sleep(DOWN_S)
    wiped.start()

    async def is_read() -> bool:
        return (await fleet.read_config(wiped)).get("Version") == version

    await wait_until(is_read, f"version {version} is read back", 15)
    await change(fleet, version + 1)


async def scenario(fleet: Fleet, number: signal.Signals, removes_leader: bool) -> None:
    for vm in [*fleet.voters, *fleet.entries]:
        vm.start(bootstrap=True)
    await change(fleet, 1)
    entry = fleet.entries[0]

    async def is_ready() -> bool:
        return b" 200 " in (await fleet.send("GET", "/-/ready", None, entry.ip, READY_PORT))[:20]

    await wait_until(is_ready, "the entry VM is ready", 15)
    await asyncio.sleep(2.5)
    version = 2
    # Twice, so that the second exchange begins with the members that the first one left.
    for _ in range(2):
        leader = await leader_of(fleet)
        removed = leader if removes_leader else next(vm for vm in fleet.voters if vm is not leader)
        wiped = next(vm for vm in fleet.voters if vm is not removed)
        started = await replace_voter(fleet, removed, number)
        await asyncio.sleep(started + CATCH_UP_S + MARGIN_S - time.monotonic())
        await wipe_after_change(fleet, wiped, version)
        version += 2
        await asyncio.sleep(CATCH_UP_S)


@pytest.mark.parametrize("removes_leader", [False, True], ids=["follower", "leader"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL], ids=["stopped", "killed"])
def test_a_disk_lost_after_a_planned_replacement_loses_no_change(tmp_path, number, removes_leader):
    """Guards against a quorum that still counts a removed VM when the next one may be lost."""
    fleet = Fleet(tmp_path, entries=1)
    try:
        asyncio.run(scenario(fleet, number, removes_leader))
    finally:
        for process in fleet.processes:
            process.reap()
