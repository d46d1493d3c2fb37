"""Real voters whose logs hold hundreds of large route tables, within the memory of their VMs."""

from __future__ import annotations

import asyncio
import json
import random
import re
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from test_process_replacement import CATCH_UP_S, MARGIN_S, REMOVED_AFTER_S
from test_process_upgrade import landed_build

from harness.platform_fleet import Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

TABLES = 300
ROUTES = 3_465
MEMORY_MB = 160
"""Memory of each voter, in MiB; the tables alone take 30 MiB of it, and a copy of them as much."""

DISK_MB = 128
FORMER_MEMORY_MB = 300
"""Memory of the voters that wrote the logs."""

WRITE_LOGS = """
import json, sys
from pathlib import Path
from bramleycrank.consensus import Persist
from bramleycrank.platform.documents import decode_routes
from bramleycrank.proto import log_pb2
from bramleycrank.routing.packing import pack_content
from bramleycrank.storage import LogStore

vms, tables, document = json.loads(sys.stdin.read())
stores = {name: LogStore.open(Path(folder), name) for name, folder, *_ in vms}
members = [
    log_pb2.Member(
        node_id=stores[name].node_id, host=ip, port=17740, domain=zone, voter=True
    )
    for name, _, ip, zone in vms
]
membership = log_pb2.Membership(cluster_id="c", members=members)
snapshot = log_pb2.LogSnapshot(index=1, term=1, membership=membership)
for store in stores.values():
    store.persist(Persist(log_pb2.HardState(term=1), 0, ()))
    store.save_snapshot(snapshot)
for version in range(1, tables + 1):
    body = document.replace("VERSION", str(version)).encode()
    table = decode_routes(body)
    packed = pack_content(table.SerializeToString(deterministic=True))
    change = log_pb2.Change(change_id=f"c{version}")
    change.put_routes.version, change.put_routes.packed = version, packed
    command = log_pb2.Command(change=change).SerializeToString()
    entry = log_pb2.Entry(index=version + 1, term=1, command=command, proposal_id=f"p{version}")
    for store in stores.values():
        store.persist(Persist(None, 0, (entry,)))
"""


def large_document(routes: int) -> str:
    """Return an operator's document with many routes and a placeholder for its version."""
    rng = random.Random(7)

    def word(length: int) -> str:
        return "".join(rng.choices("bcdfghjklmnpqrstvwxyz0123456789", k=length))

    common = {"Host": "h", "Type": "idempotent", "TimeoutMs": 1500, "Service": "p"}
    document = {
        "Version": 0,
        "Routes": [
            {**common, "Name": f"r-{word(7)}", "PathPrefix": f"/{word(4)}{number}/"}
            for number in range(routes)
        ],
        "Services": [{"Name": "p", "MaxConnections": 40}],
        "Limits": {},
    }
    return json.dumps(document).replace('"Version": 0', '"Version": VERSION', 1)


class LargeLogs:
    """Three voters with the logs that the landed build wrote, and the peaks of their memory."""

    def __init__(self, folder: Path, tables: int = TABLES, routes: int = ROUTES) -> None:
        self.old = landed_build(folder / "landed")
        self.fleet = Fleet(folder, entries=0)
        self.tables, self.routes = tables, routes
        self.peaks_mb: dict[int, float] = {}

    def write(self) -> None:
        """Write the logs with the landed build."""
        vms = [(vm.name, str(vm.data_dir), vm.ip, vm.zone) for vm in self.fleet.voters]
        subprocess.run(
            [sys.executable, "-c", WRITE_LOGS],
            input=json.dumps([vms, self.tables, large_document(self.routes)]),
            text=True,
            cwd=self.old,
            check=True,
        )

    def start(self, vm: PlatformVm, memory_mb: int = MEMORY_MB, tree: Path | None = None) -> None:
        vm.limits = {"MemoryMb": memory_mb, "DiskMb": DISK_MB}
        vm.start(tree=tree)

    async def watch(self) -> None:
        """Record the largest private memory of each process."""
        while True:
            for process in self.fleet.processes:
                if process.exit_code is None:
                    status = Path(f"/proc/{process.pid}/status").read_text()
                    found = re.search(r"RssAnon:\s+(\d+)", status)
                    memory_mb = int(found[1]) / 1024 if found else 0.0
                    peak = self.peaks_mb.get(process.pid, 0.0)
                    self.peaks_mb[process.pid] = max(memory_mb, peak)
            await asyncio.sleep(0.01)

    async def wait_version(self, version: int) -> None:
        """Wait until every voter reads a version back."""
        for vm in self.fleet.voters:

            async def is_read(vm: PlatformVm = vm) -> bool:
                return (await self.fleet.read_config(vm)).get("Version") == version

            await wait_until(is_read, f"{vm.name} reads version {version}", 30)

    async def replace(self, removed: PlatformVm, tree: Path | None = None) -> PlatformVm:
        """Start a successor with an empty disk, and stop a voter after it."""
        successor = PlatformVm(
            self.fleet, f"{removed.name}-next", next(self.fleet._new_ips), removed.zone, True
        )
        successor.limits = removed.limits
        successor.start(tree=tree)
        await asyncio.sleep(REMOVED_AFTER_S)
        await self.stop(removed)
        self.fleet.remove_voter(removed, successor)
        await asyncio.sleep(CATCH_UP_S + MARGIN_S - REMOVED_AFTER_S)
        return successor

    async def stop(self, vm: PlatformVm) -> None:
        vm.process.signal(signal.SIGTERM)
        await wait_until(lambda: vm.process.exit_code is not None, f"{vm.name} stops", 20)

    async def wipe(self, vm: PlatformVm) -> None:
        """Kill a voter, and start it with an empty disk."""
        vm.process.reap()
        shutil.rmtree(vm.data_dir)
        await asyncio.sleep(0.5)
        self.start(vm)

    def log_mb(self, vm: PlatformVm) -> float:
        """Return the size of all files of a voter, in MiB."""
        return sum(path.stat().st_size for path in vm.data_dir.iterdir()) / 1024**2


async def put(logs: LargeLogs, version: int) -> None:
    document = large_document(logs.routes).replace("VERSION", str(version))
    await logs.fleet.put_config(json.loads(document))


async def play(logs: LargeLogs) -> None:
    """Start on old disks, replace a voter, lose a disk, and roll back."""
    fleet = logs.fleet
    for vm in fleet.voters:
        assert logs.log_mb(vm) > 20
        logs.start(vm)
    await logs.wait_version(logs.tables)
    for vm in fleet.voters:
        await wait_until(lambda vm=vm: logs.log_mb(vm) < 15, f"the log of {vm.name} is small")
    successor = await logs.replace(fleet.voters[0])
    await put(logs, logs.tables + 1)
    await logs.wait_version(logs.tables + 1)
    await logs.wipe(fleet.voters[1])
    await put(logs, logs.tables + 2)
    await logs.wait_version(logs.tables + 2)
    within = {pid: round(peak) for pid, peak in logs.peaks_mb.items() if peak > MEMORY_MB}
    assert not within, f"voters exceeded their memory: {logs.peaks_mb}"
    # The rollback, beside this build and then alone.
    for vm in fleet.voters:
        await logs.stop(vm)
        logs.start(vm, FORMER_MEMORY_MB, logs.old)
        await logs.wait_version(logs.tables + 2)
    await put(logs, logs.tables + 3)
    await logs.wait_version(logs.tables + 3)
    assert successor.process.exit_code is None


def run(logs: LargeLogs) -> None:
    async def body() -> None:
        watch = asyncio.ensure_future(logs.watch())
        try:
            async with asyncio.timeout(150):
                await play(logs)
        finally:
            watch.cancel()

    try:
        logs.write()
        asyncio.run(body())
    finally:
        for process in logs.fleet.processes:
            process.reap()


def test_voters_with_large_logs_stay_within_their_memory(tmp_path):
    """Guards against leaders that exceed their memory one after the other for one member behind.

    The landed build wrote the logs, and reads at the end what this build made of them.
    """
    run(LargeLogs(tmp_path))
