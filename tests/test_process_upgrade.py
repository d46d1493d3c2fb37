"""Processes of the landed build and of this one side by side: an upgrade and a rollback."""

from __future__ import annotations

import asyncio
import io
import signal
import subprocess
import tarfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from http_fakes import FakeTarget, header, ok
from test_entry_quarantine import CrashingTarget
from test_process_leaves import body_of
from test_process_replacement import (
    CATCH_UP_S,
    MARGIN_S,
    change,
    replace_voter,
    wipe_after_change,
)

from harness.platform_fleet import CONTROL_PORT, ENTRY_PORT, READY_PORT, Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

ROOT = Path(__file__).parent.parent


BEFORE_CUSTOMERS = "b15910c7f9bed7defbc6d1057ac61d86812c8fd6"
"""The last landed build that knew no customers, from which a deployment may still be upgraded."""


def landed_build(folder: Path, commit: str = "") -> Path:
    """Return a folder with the sources of a build, by default of the one in production."""
    commit = commit or tomllib.loads((ROOT / "deploy/system.toml").read_text())["production"]
    archive = subprocess.run(
        ["git", "archive", commit, "bramleycrank"], cwd=ROOT, check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as sources:
        sources.extractall(folder, filter="data")
    return folder


def document(version: int, top: int) -> dict:
    """Return a configuration with a gather over two shards and a route to one service."""
    common = {"Host": "h", "Type": "idempotent", "TimeoutMs": 1500, "MaxAttempts": 2}
    gather = {
        **common,
        "Name": "all",
        "PathPrefix": "/all/",
        "Gather": ["a", "b"],
        "TopK": top,
        "MinCoverage": 1.0,
    }
    single = {**common, "Name": "one", "PathPrefix": "/one/", "Service": "p"}
    services = [{"Name": name, "MaxConnections": 40} for name in "abp"]
    return {"Version": version, "Routes": [gather, single], "Services": services, "Limits": {}}


class Upgrade:
    """A fleet whose VMs run one of two builds."""

    def __init__(self, fleet: Fleet, old: Path) -> None:
        self.fleet, self.old = fleet, old
        self.vms = [*fleet.voters, *fleet.entries]
        self.records = {"a": b"b" * 16 + b"a" * 16, "b": b"c" * 16}
        self.fakes = {
            name: FakeTarget(lambda request, body=body: ok(request, body, Server_Limit=b"500"))
            for name, body in self.records.items()
        }
        self.more_fakes: list[FakeTarget] = []
        self.cut_vm: PlatformVm | None = None
        self.deadly = CrashingTarget(self._crash)

    def _crash(self, request: bytes) -> None:
        self.deadly.crash()

    async def report(self) -> None:
        """Report all targets to the voters in turn, as targets do."""
        targets = {**self.fakes, "p": self.deadly}
        for sequence in range(1, 1000):
            for name, fake in targets.items():
                address = f"127.0.0.1:{fake.port}"
                await self.fleet.report(name, f"t-{name}", address, sequence)
            await asyncio.sleep(0.3)

    async def serves(self, vm: PlatformVm, top: int) -> bool:
        """Return whether a VM answers the gather with `top` records."""
        reply = await self.fleet.send("GET", "/all/q", None, vm.ip, ENTRY_PORT)
        merged = sorted((b"a" * 16, b"b" * 16, b"c" * 16), reverse=True)[:top]
        return b" 200 " in reply[:20] and reply.endswith(b"\r\n\r\n" + b"".join(merged))

    async def all_serve(self, top: int) -> None:
        """Wait until all entry VMs answer by the route table with `top`."""
        for vm in self.fleet.entries:
            await wait_until(lambda vm=vm: self.serves(vm, top), f"{vm.name} serves {top} records")

    async def replace(self, vm: PlatformVm, tree: Path | None) -> None:
        """Stop a VM and start the build in `tree`, while the other entry VMs go on serving."""
        vm.process.signal(signal.SIGTERM)
        await wait_until(lambda: vm.process.exit_code is not None, f"{vm.name} stops", 20)
        for other in self.fleet.entries:
            if other not in (vm, self.cut_vm):
                await wait_until(lambda other=other: self.served(other), "the others serve", 5)
        vm.start(tree=tree)
        if vm.voter:
            await wait_until(lambda: self.fleet.read_config(vm), f"{vm.name} is back", 20)
        else:
            await wait_until(lambda: self.is_ready(vm), f"{vm.name} is ready", 20)

    async def served(self, vm: PlatformVm) -> bool:
        reply = await self.fleet.send("GET", "/all/q", None, vm.ip, ENTRY_PORT)
        return b" 200 " in reply[:20]

    async def is_refused_at_once(self, vm: PlatformVm) -> bool:
        started = time.monotonic()
        reply = await self.fleet.send("GET", "/all/q", None, vm.ip, ENTRY_PORT)
        return b" 503 " in reply[:20] and time.monotonic() - started < 0.3

    async def cut(self, vm: PlatformVm) -> None:
        """Cut a VM of this build off from all targets; have it notice by a request."""
        self.cut_vm = vm
        targets = [*self.fakes.values(), self.deadly]
        vm.cut(f"127.0.0.1:{fake.port}" for fake in targets)
        await self.served(vm)

    async def is_ready(self, vm: PlatformVm) -> bool:
        reply = await self.fleet.send("GET", "/-/ready", None, vm.ip, READY_PORT)
        return b" 200 " in reply[:20]


async def scenario(upgrade: Upgrade) -> None:
    fleet = upgrade.fleet
    for vm in upgrade.vms:
        vm.start(bootstrap=True, tree=upgrade.old)
    await fleet.put_config(document(1, 1))
    await upgrade.all_serve(1)
    entry_x, entry_y = fleet.entries
    for vm in (entry_x, fleet.voters[0]):
        await upgrade.replace(vm, None)
    # Old and new processes: a change, and a suspicion that old ones do not know.
    await fleet.put_config(document(2, 2))
    await upgrade.all_serve(2)
    await fleet.send("GET", "/one/dead", None, entry_x.ip, ENTRY_PORT)
    log = fleet.folder / f"{entry_x.name}.err"
    output = fleet.folder / f"{entry_x.name}.log"
    await wait_until(
        lambda: "suspected to crash" in log.read_text() + output.read_text(), "a suspicion"
    )
    await wait_until(
        lambda: (
            "suspected to crash" in (fleet.folder / "core-x.log").read_text()
            or "suspected to crash" in (fleet.folder / "core-x.err").read_text()
        ),
        "the new voter knows it",
    )
    await asyncio.sleep(1.5)
    await upgrade.all_serve(2)
    # An old VM takes the requests of a new one that is cut off, and answers its checks. While it is
    # frozen it gets no requests.
    await upgrade.cut(entry_x)
    await wait_until(lambda: upgrade.served(entry_x), "the old VM serves", 5)
    entry_y.process.signal(signal.SIGSTOP)
    await wait_until(lambda: upgrade.is_refused_at_once(entry_x), "the frozen VM is not asked", 5)
    entry_y.process.signal(signal.SIGCONT)
    await wait_until(lambda: upgrade.served(entry_x), "the old VM serves again", 5)
    assert await upgrade.served(entry_y)
    await upgrade.replace(entry_y, None)
    await wait_until(lambda: upgrade.served(entry_x), "the other new VM serves", 5)
    entry_x.end_cut()
    upgrade.cut_vm = None
    await upgrade.replace(entry_y, upgrade.old)
    await upgrade.all_serve(2)
    # The rollback, with the data that the new build wrote.
    for vm in (fleet.voters[0], entry_x):
        await upgrade.replace(vm, upgrade.old)
    await fleet.put_config(document(3, 3))
    await upgrade.all_serve(3)
    assert (await fleet.read_config(fleet.voters[0]))["Version"] == 3
    assert entry_y.process.exit_code is None
    for vm in upgrade.vms:
        text = (fleet.folder / f"{vm.name}.err").read_text()
        assert "Traceback" not in text + (fleet.folder / f"{vm.name}.log").read_text(), vm.name


async def exchange_voters(fleet: Fleet, old: Path) -> None:
    """Replace voters of both builds by voters of the other one, and lose a disk after each."""
    voter_x, voter_y, voter_z = fleet.voters
    for vm in [voter_x, voter_y, voter_z, *fleet.entries]:
        vm.start(bootstrap=True, tree=old if vm is voter_z else None)
    await change(fleet, 1)
    await asyncio.sleep(4.0)
    for version, (removed, wiped, tree) in enumerate(
        ((voter_z, voter_y, None), (voter_x, voter_y, old)), 1
    ):
        started = await replace_voter(fleet, removed, signal.SIGTERM, tree)
        await asyncio.sleep(started + CATCH_UP_S + MARGIN_S - time.monotonic())
        await wipe_after_change(fleet, wiped, 2 * version)
        await asyncio.sleep(CATCH_UP_S)
    # The rollback: all voters run the landed build with the logs that the exchanges left.
    for vm in fleet.voters:
        vm.process.signal(signal.SIGTERM)
        await wait_until(lambda vm=vm: vm.process.exit_code is not None, f"{vm.name} stops", 20)
        vm.start(tree=old)
        await wait_until(lambda vm=vm: fleet.read_config(vm), f"{vm.name} is back", 20)
    await change(fleet, 6)


def test_voters_of_both_builds_exchange_their_votes(tmp_path):
    """Guards against members in the log that the landed build cannot read."""
    fleet = Fleet(tmp_path, entries=1)
    try:
        asyncio.run(exchange_voters(fleet, landed_build(tmp_path / "landed")))
        for vm in fleet.voters:
            text = (fleet.folder / f"{vm.name}.err").read_text()
            assert "Traceback" not in text + (fleet.folder / f"{vm.name}.log").read_text()
    finally:
        for process in fleet.processes:
            process.reap()


KEY = "key-of-acme"


class Customers(Upgrade):
    """A fleet of both builds whose configuration has customers."""

    async def put(self, vm: PlatformVm, version: int, *keys: str, gathered: int = 1) -> dict:
        """Put a configuration with a customer at one voter, and return it."""
        customers = [{"Name": "acme", "ApiKeys": [*keys]}]
        config = {**document(version, gathered), "Tenants": customers}
        send = self.fleet.send

        async def is_accepted() -> bool:
            return b" 200 " in (await send("PUT", "/-/config", config, vm.ip, CONTROL_PORT))[:20]

        await wait_until(is_accepted, f"{vm.name} accepts version {version}", 20)
        return config

    async def identifies(self, vm: PlatformVm, key: str) -> bool:
        """Return whether a VM knows a key and no other one, and targets see only the customer."""
        replies = [
            await self.fleet.send(
                "GET", "/all/q", None, vm.ip, ENTRY_PORT, f"Authorization: Token {item}\r\n"
            )
            for item in (key, "no-key")
        ]
        if [reply[9:12] for reply in replies] != [b"200", b"401"]:
            return False
        requests = [fake.requests[-1] for fake in self.fakes.values()]
        return all(
            header(request, b"X-Tenant") == b"acme" and key.encode() not in request
            for request in requests
        )

    async def wait_identifies(self, vm: PlatformVm, key: str) -> None:
        await wait_until(lambda: self.identifies(vm, key), f"{vm.name} knows {key} only", 20)

    async def restart(self, vm: PlatformVm, tree: Path | None = None) -> None:
        """Restart a VM with the build in `tree`."""
        vm.process.signal(signal.SIGTERM)
        await wait_until(lambda: vm.process.exit_code is not None, f"{vm.name} stops", 20)
        vm.start(tree=tree)


async def customers_scenario(upgrade: Customers) -> None:
    fleet = upgrade.fleet
    (entry_x, entry_y), voters = fleet.entries, fleet.voters
    for vm in upgrade.vms:
        vm.start(bootstrap=True, tree=None if vm is entry_x else upgrade.old)
    # Decoded by the old build, which does not know the customers.
    config = await upgrade.put(voters[0], 1, KEY)
    await upgrade.wait_identifies(entry_x, KEY)
    # An old VM serves for a new one that is cut off.
    await upgrade.cut(entry_x)
    await upgrade.wait_identifies(entry_x, KEY)
    entry_x.end_cut()
    for voter in voters[:2]:
        await upgrade.restart(voter)
        await wait_until(lambda v=voter: fleet.read_config(v), f"{voter.name} is back", 20)
    assert await upgrade.put(voters[0], 1, KEY) == config, "a resend is accepted"
    # Decoded by the new build, passed on and stored by both.
    await upgrade.put(voters[1], 2, "key-2")
    await upgrade.wait_identifies(entry_x, "key-2")
    # The rollback of all voters, from which a new entry VM reads the table.
    for voter in voters[:2]:
        await upgrade.restart(voter, upgrade.old)
        await wait_until(lambda v=voter: fleet.read_config(v), f"{voter.name} is back", 20)
    assert (await fleet.read_config(voters[2]))["Tenants"][0]["ApiKeys"] == ["key-2"]
    await upgrade.restart(entry_x)
    await upgrade.wait_identifies(entry_x, "key-2")
    await upgrade.put(voters[0], 3, "key-3")
    await upgrade.wait_identifies(entry_x, "key-3")
    assert await upgrade.serves(entry_y, 1), "a VM of the old build serves without keys"
    logs = [path.read_text() for path in (*fleet.folder.glob("*.log"), *fleet.folder.glob("*.err"))]
    assert not any(key in text for key in (KEY, "key-2", "key-3", "Traceback") for text in logs)


async def differences_scenario(upgrade: Customers) -> None:
    """Change the key at voters and entry VMs of both builds."""
    fleet = upgrade.fleet
    (entry_x, entry_y), voters = fleet.entries, fleet.voters
    for vm in upgrade.vms:
        vm.start(bootstrap=True, tree=upgrade.old if vm in (entry_y, voters[2]) else None)
    for version in range(1, 9):
        await upgrade.put(voters[version % 3], version, f"key-{version}", gathered=1 + version % 2)
        await upgrade.wait_identifies(entry_x, f"key-{version}")
        await wait_until(lambda v=version: upgrade.serves(entry_y, 1 + v % 2), "the old VM follows")
    logs = {
        path.stem + path.suffix: path.read_text()
        for path in (*fleet.folder.glob("*.log"), *fleet.folder.glob("*.err"))
    }
    assert "restored a route table from a difference" in logs["edge-x.log"] + logs["edge-x.err"]
    for text in logs.values():
        assert "whole route table is needed" not in text
        assert "Traceback" not in text
        assert "key-" not in text


LEFT_BORN = 5
"""Incarnation of the targets that leave during the upgrade."""


async def leave(upgrade: Upgrade, target_id: str, voter: PlatformVm) -> None:
    """Have a target of service `a` report to a voter, and leave until that is acknowledged."""
    assert await report_late(upgrade, target_id, voter)

    async def is_acknowledged() -> bool:
        body = {"born": LEFT_BORN}
        reply = await upgrade.fleet.send(
            "DELETE", f"/-/instances/{target_id}", body, voter.ip, CONTROL_PORT
        )
        return b" 200 " in reply[:20]

    await wait_until(is_acknowledged, f"the leave of {target_id} is acknowledged", 10)


async def report_late(upgrade: Upgrade, target_id: str, voter: PlatformVm) -> bool:
    """Deliver a report of a target that leaves; return whether the voter took the call."""
    body = body_of(upgrade.left.port, born=LEFT_BORN) | {"Service": "a"}
    reply = await upgrade.fleet.send(
        "PUT", f"/-/instances/{target_id}", body, voter.ip, CONTROL_PORT
    )
    return b" 200 " in reply[:20]


async def end_all(upgrade: Upgrade, trees: dict[str, Path | None]) -> None:
    """Kill all processes at once, and start them with the given builds."""
    for vm in upgrade.vms:
        vm.process.signal(signal.SIGKILL)
    for vm in upgrade.vms:
        vm.process.reap()
        vm.start(tree=trees[vm.name])
    await upgrade.all_serve(1)


async def another_leads(fleet: Fleet, restarted: PlatformVm) -> bool:
    """Return whether a voter other than one that was killed leads the log."""
    for vm in fleet.voters:
        log = (fleet.folder / f"{vm.name}.log").read_text()
        roles = [line for line in log.splitlines() if "raft_runner" in line and " in term " in line]
        if vm is not restarted and roles and "consensus: leader" in roles[-1]:
            return True
    return False


async def leaves_scenario(upgrade: Leaves) -> None:
    """Have targets leave before, during and after an upgrade, with a leader of each build."""
    fleet, old = upgrade.fleet, upgrade.old
    trees: dict[str, Path | None] = dict.fromkeys((vm.name for vm in upgrade.vms), old)
    for vm in upgrade.vms:
        vm.start(bootstrap=True, tree=old)
    await fleet.put_config(document(1, 1))
    await upgrade.all_serve(1)
    await leave(upgrade, "left-before", fleet.voters[0])
    for number, voter in enumerate(fleet.voters):
        voter.process.signal(signal.SIGKILL)
        voter.process.reap()
        # A leader of the landed build, of either one, and of this build.
        await wait_until(lambda v=voter: another_leads(fleet, v), "another voter leads", 10)
        voter.start(tree=None)
        trees[voter.name] = None
        await wait_until(lambda v=voter: fleet.read_config(v), f"{voter.name} is back", 20)
        await leave(upgrade, f"left-{number}", voter)
        if not number:  # kept in memory only, by VMs of both builds
            await upgrade.stays_out("left-before", fleet.voters[0])
            await upgrade.stays_out("left-before", fleet.voters[2])
        await end_all(upgrade, trees)
        for vm in fleet.voters:  # a late report at each voter, also of the landed build
            await upgrade.stays_out(f"left-{number}", vm)
    # The rollback, with the logs and images of this build, and back again.
    for tree in (old, None):
        await end_all(upgrade, dict.fromkeys(trees, tree))
        await fleet.put_config(document(2 if tree else 3, 1))
        await leave(upgrade, f"left-{tree is None}", fleet.voters[1])
    await end_all(upgrade, dict.fromkeys(trees))
    for target_id in ("left-0", "left-1", "left-2", "left-True"):
        await upgrade.stays_out(target_id, fleet.voters[0])
    for vm in upgrade.vms:
        text = (fleet.folder / f"{vm.name}.err").read_text()
        assert "Traceback" not in text + (fleet.folder / f"{vm.name}.log").read_text(), vm.name


class Leaves(Upgrade):
    """A fleet of both builds from which targets of service `a` leave."""

    def __init__(self, fleet: Fleet, old: Path) -> None:
        super().__init__(fleet, old)
        body = self.records["a"]
        self.left = FakeTarget(lambda request: ok(request, body))
        self.more_fakes.append(self.left)

    async def stays_out(self, target_id: str, voter: PlatformVm) -> None:
        """Deliver a late report; check that its target gets no requests after a moment.

        A VM of the landed build may take the report. The others correct it.
        """
        await wait_until(lambda: report_late(self, target_id, voter), "a late report", 20)
        await asyncio.sleep(CORRECTED_WITHIN_S)
        requests = len(self.left.requests)
        for _ in range(6):
            assert all([await self.served(vm) for vm in self.fleet.entries])
        assert len(self.left.requests) == requests, (target_id, voter.name)


CORRECTED_WITHIN_S = 1.0


def run_upgrade(
    tmp_path: Path,
    kind: type[Upgrade],
    steps: Callable[[Upgrade], Awaitable],
    commit: str = "",
) -> None:
    """Run the steps of an upgrade with real processes and scripted targets."""

    async def body() -> None:
        fleet = Fleet(tmp_path, entries=2)
        upgrade = kind(fleet, landed_build(tmp_path / "landed", commit))
        fleet.entries[0].partition_file = tmp_path / "x.cut"
        fakes = [*upgrade.fakes.values(), upgrade.deadly, *upgrade.more_fakes]
        for fake in fakes:
            await fake.start()
        reports = asyncio.create_task(upgrade.report())
        try:
            async with asyncio.timeout(150):
                await steps(upgrade)
        finally:
            reports.cancel()
            for fake in fakes:
                fake.stop()
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())


def test_old_and_new_builds_serve_side_by_side_and_after_a_rollback(tmp_path):
    """Guards against a message or file of this build that the landed one does not bear."""
    run_upgrade(tmp_path, Upgrade, scenario)


def test_leaves_are_kept_beside_the_landed_build_and_after_a_rollback(tmp_path):
    """Guards against a log entry or an image with leaves that the landed build does not bear."""
    run_upgrade(tmp_path, Leaves, leaves_scenario)


def test_a_table_keeps_its_customers_at_vms_of_the_landed_build(tmp_path):
    """Guards against customers that are lost when an old VM accepts, passes on or stores them."""
    run_upgrade(tmp_path, Customers, customers_scenario, BEFORE_CUSTOMERS)


def test_changed_keys_reach_vms_of_both_builds(tmp_path):
    """Guards against a difference to a VM of the landed build, and a whole table to others."""
    run_upgrade(tmp_path, Customers, differences_scenario, BEFORE_CUSTOMERS)
