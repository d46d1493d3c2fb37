"""Real processes as the platform runs them: three voters, two entry VMs, scripted targets."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys

import pytest
from http_fakes import FakeTarget, ok

from harness.platform_fleet import CONTROL_PORT, ENTRY_PORT, READY_PORT, Fleet, PlatformVm
from harness.processes import Process, wait_until

pytestmark = pytest.mark.process

EVACUATE_S = 5.0
"""Time within which an acknowledged evacuation is in force on all VMs, in seconds."""


def config(version: int, top: int) -> dict:
    """Return a configuration document with one route over two shards."""
    route = {
        "Name": "all",
        "Host": "h",
        "PathPrefix": "/all/",
        "Type": "idempotent",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 300,
        "Gather": ["a", "b"],
        "MaxAttempts": 2,
        "TopK": top,
        "MinCoverage": 1.0,
    }
    services = [{"Name": name, "MaxConnections": 40} for name in "ab"]
    return {"Version": version, "Routes": [route], "Services": services, "Limits": {}}


async def search(fleet: Fleet, entry: PlatformVm) -> bytes:
    return await fleet.send("GET", "/all/q", None, entry.ip, ENTRY_PORT)


async def send_reports(fleet: Fleet, name: str, port: int, zone: str = "x") -> None:
    """Send liveness reports of a target to the voters in turn, as targets do."""
    for sequence in range(1, 1000):
        await fleet.report(name, f"t-{name}-{zone}", f"127.0.0.1:{port}", sequence, zone)
        await asyncio.sleep(0.3)


async def scenario(fleet: Fleet) -> None:
    configured, without_seeds = fleet.entries
    for vm in [*fleet.voters, configured]:
        vm.start(bootstrap=True)
    without_seeds.start(bootstrap=True, seeds=[fleet.unused_ip])
    await fleet.put_config(config(1, 1))

    async def is_served(entry: PlatformVm, body: bytes) -> bool:
        reply = await search(fleet, entry)
        return b" 200 " in reply[:20] and reply.endswith(b"\r\n\r\n" + body)

    await wait_until(lambda: is_served(configured, b"b" * 16), f"{configured.name} serves", 20)
    assert b" 200 " not in (await search(fleet, without_seeds))[:20], "its seeds are unreachable"
    without_seeds.write_settings(fleet.seeds)  # without a signal
    await wait_until(
        lambda: is_served(without_seeds, b"b" * 16), f"{without_seeds.name} serves", 10
    )

    lost_voter = fleet.voters[0]
    lost_voter.process.signal(signal.SIGKILL)
    shutil.rmtree(lost_voter.data_dir)
    await fleet.put_config(config(2, 2))
    for entry in fleet.entries:
        both_parts = b"b" * 16 + b"a" * 16
        await wait_until(
            lambda e=entry, b=both_parts: is_served(e, b), f"{entry.name} has the change", 10
        )
    lost_voter.start()

    async def has_newest() -> bool:
        return await fleet.read_config(lost_voter) == config(2, 2)

    await wait_until(has_newest, "the voter with the new disk reads the newest configuration", 10)
    await asyncio.sleep(1.5)
    fleet.voters[1].process.signal(signal.SIGKILL)
    await fleet.put_config(config(3, 1))  # needs the vote of the repaired VM

    entry = fleet.entries[0]
    entry.process.signal(signal.SIGTERM)
    ready = await fleet.send("GET", "/-/ready", None, entry.ip, READY_PORT)
    assert b" 503 " in ready[:20]
    assert b" 200 " in (await search(fleet, entry))[:20], (
        "it serves until the platform sees that it is not ready"
    )
    await wait_until(lambda: entry.process.exit_code is not None, "the entry ends", 6)
    assert entry.process.exit_code == 0


def test_requests_are_served_after_a_lost_disk_a_killed_voter_and_a_planned_stop(tmp_path):
    async def body() -> None:
        fleet = Fleet(tmp_path)
        targets = {name: FakeTarget(lambda r, n=name: ok(r, n.encode() * 16)) for name in "ab"}
        reports = []
        try:
            async with asyncio.timeout(90):
                for name, target in targets.items():
                    await target.start()
                    reports.append(asyncio.ensure_future(send_reports(fleet, name, target.port)))
                await scenario(fleet)
        finally:
            for task in reports:
                task.cancel()
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())


def test_a_settings_file_that_cannot_be_read_ends_the_process_with_a_message(tmp_path):
    process = Process(
        [sys.executable, "-m", "bramleycrank.platform"],
        tmp_path / "err",
        {"BRAMLEYCRANK_NODE_FILE": str(tmp_path / "absent")},
    )

    async def body() -> None:
        await wait_until(lambda: process.exit_code is not None, "the process ends", 10)

    try:
        asyncio.run(body())
        assert process.exit_code == 2
        assert "InvalidSettings" in (tmp_path / "err").read_text()
    finally:
        process.reap()


def test_a_voter_with_a_damaged_log_recovers_without_an_operator(tmp_path):
    """Guards against a VM that exits at each start after its log was damaged."""

    async def body() -> None:
        fleet = Fleet(tmp_path)
        try:
            async with asyncio.timeout(60):
                for voter in fleet.voters:
                    voter.start(bootstrap=True)
                await fleet.put_config(config(1, 1))
                damaged = fleet.voters[2]
                damaged.process.signal(signal.SIGKILL)
                await wait_until(
                    lambda: damaged.process.exit_code is not None, "the VM is killed", 5
                )
                [path] = damaged.data_dir.glob("log-*")
                data = bytearray(path.read_bytes())
                data[12] ^= 0xFF
                path.write_bytes(data)
                damaged.start()
                await fleet.put_config(config(2, 2))

                async def has_newest() -> bool:
                    return await fleet.read_config(damaged) == config(2, 2)

                await wait_until(has_newest, "the damaged voter reads the newest configuration", 10)
        finally:
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())


async def evacuation_scenario(fleet: Fleet, targets: dict[str, FakeTarget]) -> None:
    for vm in [*fleet.voters, *fleet.entries]:
        vm.start(bootstrap=True)
    await fleet.put_config(config(1, 1))

    async def order(method: str, voter: PlatformVm) -> bool:
        reply = await fleet.send(method, "/-/evacuate/x", None, voter.ip, CONTROL_PORT)
        return b" 200 " in reply[:20]

    async def is_served(entry: PlatformVm) -> bool:
        return b" 200 " in (await search(fleet, entry))[:20]

    def requests(zone: str) -> int:
        return sum(len(t.requests) for name, t in targets.items() if name.endswith(zone))

    for entry in fleet.entries:
        await wait_until(lambda e=entry: is_served(e), f"{entry.name} serves", 20)
    await wait_until(lambda: order("POST", fleet.voters[0]), "the evacuation is accepted", 10)
    await asyncio.sleep(EVACUATE_S)
    before = requests("x")

    async def sends_only_to_the_other_zone() -> None:
        for entry in fleet.entries:
            for _ in range(5):
                assert await is_served(entry)
        assert requests("x") == before

    await sends_only_to_the_other_zone()
    unknown = await fleet.send(
        "POST", "/-/evacuate/nowhere", None, fleet.voters[1].ip, CONTROL_PORT
    )
    assert b" 404 " in unknown[:20]

    # All processes are killed at the same time; the order is in the log.
    for vm in [*fleet.voters, *fleet.entries]:
        vm.process.signal(signal.SIGKILL)
    for vm in [*fleet.voters, *fleet.entries]:
        await wait_until(lambda p=vm.process: p.exit_code is not None, "the VM is killed", 5)
    for vm in [*fleet.voters, *fleet.entries]:
        vm.start()
    for entry in fleet.entries:
        await wait_until(lambda e=entry: is_served(e), f"{entry.name} serves again", 20)
    await sends_only_to_the_other_zone()

    assert await order("POST", fleet.voters[1]), "a resend is acknowledged"
    await wait_until(lambda: order("DELETE", fleet.voters[2]), "the end is accepted", 10)
    late = await fleet.send("POST", "/-/evacuate/x", None, fleet.voters[1].ip, CONTROL_PORT)
    assert b" 503 " in late[:20], "it may be a resend of the first order"

    async def zone_is_used() -> bool:
        for entry in fleet.entries:
            await is_served(entry)
        return requests("x") > before

    await wait_until(zone_is_used, "the restored zone is used", 10)


def test_an_evacuation_is_kept_by_all_vms_through_a_loss_of_all_processes(tmp_path):
    async def body() -> None:
        fleet = Fleet(tmp_path)
        targets = {
            f"{name}-{zone}": FakeTarget(lambda r, n=name: ok(r, n.encode() * 16))
            for name in "ab"
            for zone in "xy"
        }
        reports = []
        try:
            async with asyncio.timeout(120):
                for name, target in targets.items():
                    await target.start()
                    coro = send_reports(fleet, name[0], target.port, name[-1])
                    reports.append(asyncio.ensure_future(coro))
                await evacuation_scenario(fleet, targets)
        finally:
            for task in reports:
                task.cancel()
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())
