"""Real processes as the platform runs them: three voters, two entries, scripted targets."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
from pathlib import Path

import pytest
from http_fakes import FakeTarget, ok

from harness.processes import Process, until

pytestmark = pytest.mark.process

NODE = """\
NodeName={name}
Ip={ip}
Zone={zone}
Region=r
InternalPortRange=17740,17755
Seeds={seeds}
Bootstrap={bootstrap}
HeartbeatMs=400
Bounds.GraceS=6
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetrySlack=50
{listen}
"""

CONTROL_PORT, ENTRY_PORT, READY_PORT = 18224, 18226, 18227


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


class Machine:
    """One machine at a loopback address of its own."""

    def __init__(self, fleet: Fleet, name: str, ip: str, zone: str, voter: bool) -> None:
        self.fleet, self.name, self.ip, self.zone, self.voter = fleet, name, ip, zone, voter
        self.data = fleet.folder / f"{name}-data"
        self.process: Process | None = None

    @property
    def settings(self) -> Path:
        """The settings file."""
        return self.fleet.folder / f"{self.name}.conf"

    def write_settings(self, seeds: list[str], *, bootstrap: bool = False) -> None:
        if self.voter:
            listen = f"BindAddrs.Control={self.ip}:{CONTROL_PORT}\nDataDir={self.data}"
        else:
            listen = (
                f"BindAddrs.EdgeAddr={self.ip}:{ENTRY_PORT}\n"
                f"BindAddrs.ReadinessAddr={self.ip}:{READY_PORT}"
            )
        self.settings.write_text(
            NODE.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=",".join(f"{ip}:{CONTROL_PORT}" for ip in seeds),
                bootstrap=str(bootstrap).lower(),
                listen=listen,
            )
        )

    def start(self, *, bootstrap: bool = False, seeds: list[str] | None = None) -> None:
        self.write_settings(seeds or self.fleet.seeds, bootstrap=bootstrap)
        self.process = Process(
            [sys.executable, "-m", "bramleycrank.platform"],
            self.fleet.folder / f"{self.name}.err",
            {"BRAMLEYCRANK_NODE_FILE": str(self.settings)},
        )
        self.fleet.processes.append(self.process)


class Fleet:
    """All machines of one test."""

    def __init__(self, folder) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        net = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}"
        self.seeds = [f"{net}.{number}" for number in (11, 12, 13)]
        self.unused_ip = f"{net}.99"
        zones = "xyz"
        self.voters = [
            Machine(self, f"core-{zone}", ip, zone, True)
            for zone, ip in zip(zones, self.seeds, strict=True)
        ]
        self.entries = [
            Machine(self, f"edge-{zone}", f"{net}.{21 + n}", zone, False)
            for n, zone in enumerate("xy")
        ]

    async def send(self, method: str, path: str, body: object, ip: str, port: int) -> bytes:
        """Return the response to one call, or b"" if there is none."""
        data = json.dumps(body).encode() if body is not None else b""
        raw = f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
        raw += f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
        reader, writer = None, None
        try:
            async with asyncio.timeout(4):
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(raw.encode() + data)
                return await reader.read()
        except (OSError, TimeoutError):
            return b""
        finally:
            if writer is not None:
                writer.close()

    async def put(self, document: dict) -> None:
        """Send a configuration to any voter until it is accepted."""

        async def accepted() -> bool:
            replies = [
                await self.send("PUT", "/-/config", document, voter.ip, CONTROL_PORT)
                for voter in self.voters
            ]
            return any(b" 200 " in reply[:20] for reply in replies)

        await until(accepted, "a configuration is accepted", 20)

    async def read(self, voter: Machine) -> dict:
        """Return the configuration that a voter says is the newest; empty if it is not sure."""
        reply = await self.send("GET", "/-/config", None, voter.ip, CONTROL_PORT)
        head, _, body = reply.partition(b"\r\n\r\n")
        return json.loads(body) if b" 200 " in head[:20] else {}

    async def search(self, entry: Machine) -> bytes:
        return await self.send("GET", "/all/q", None, entry.ip, ENTRY_PORT)


async def report(fleet: Fleet, name: str, port: int) -> None:
    """Send liveness reports of a target to any voter, as targets do."""
    for sequence in range(1, 1000):
        body = {
            "Service": name,
            "Address": f"127.0.0.1:{port}",
            "Zone": "x",
            "Slots": 4,
            "State": "ready",
            "Sequence": sequence,
            "born": 1,
        }
        voter = fleet.voters[sequence % len(fleet.voters)]
        await fleet.send("PUT", f"/-/instances/t-{name}", body, voter.ip, CONTROL_PORT)
        await asyncio.sleep(0.3)


async def scenario(fleet: Fleet) -> None:
    early, late = fleet.entries
    for machine in [*fleet.voters, early]:
        machine.start(bootstrap=True)
    late.start(bootstrap=True, seeds=[fleet.unused_ip])
    await fleet.put(config(1, 1))

    async def served(entry: Machine, body: bytes) -> bool:
        reply = await fleet.search(entry)
        return b" 200 " in reply[:20] and reply.endswith(b"\r\n\r\n" + body)

    await until(lambda: served(early, b"b" * 16), f"{early.name} serves", 20)
    assert b" 200 " not in (await fleet.search(late))[:20], "it knows no VM"
    late.write_settings(fleet.seeds)  # and no signal
    await until(lambda: served(late, b"b" * 16), f"{late.name} serves", 10)

    lost = fleet.voters[0]
    lost.process.signal(signal.SIGKILL)
    shutil.rmtree(lost.data)
    await fleet.put(config(2, 2))
    for entry in fleet.entries:
        both = b"b" * 16 + b"a" * 16
        await until(lambda e=entry, b=both: served(e, b), f"{entry.name} has the change", 10)
    lost.start()

    async def reads_newest() -> bool:
        return await fleet.read(lost) == config(2, 2)

    await until(reads_newest, "the VM with the new disk reads the newest table", 10)
    await asyncio.sleep(1.5)
    fleet.voters[1].process.signal(signal.SIGKILL)
    await fleet.put(config(3, 1))  # needs the repaired VM as a voter

    entry = fleet.entries[0]
    entry.process.signal(signal.SIGTERM)
    ready = await fleet.send("GET", "/-/ready", None, entry.ip, READY_PORT)
    assert b" 503 " in ready[:20]
    assert b" 200 " in (await fleet.search(entry))[:20], "it serves while the platform notices"
    await until(lambda: entry.process.exit_code is not None, "the entry ends", 6)
    assert entry.process.exit_code == 0


def test_the_whole_path_survives_a_lost_disk_a_killed_voter_and_a_planned_stop(tmp_path):
    async def body() -> None:
        fleet = Fleet(tmp_path)
        targets = {name: FakeTarget(lambda r, n=name: ok(r, n.encode() * 16)) for name in "ab"}
        reports = []
        try:
            async with asyncio.timeout(90):
                for name, target in targets.items():
                    await target.start()
                    reports.append(asyncio.ensure_future(report(fleet, name, target.port)))
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
        await until(lambda: process.exit_code is not None, "the process ends", 10)

    try:
        asyncio.run(body())
        assert process.exit_code == 2
        assert "InvalidSettings" in (tmp_path / "err").read_text()
    finally:
        process.reap()


def test_a_voter_with_a_damaged_log_comes_back_by_itself(tmp_path):
    """Guards against a VM that ends at each start, for good, after its disk was damaged."""

    async def body() -> None:
        fleet = Fleet(tmp_path)
        try:
            async with asyncio.timeout(60):
                for voter in fleet.voters:
                    voter.start(bootstrap=True)
                await fleet.put(config(1, 1))
                damaged = fleet.voters[2]
                damaged.process.signal(signal.SIGKILL)
                await until(lambda: damaged.process.exit_code is not None, "the VM is killed", 5)
                [path] = damaged.data.glob("log-*")
                data = bytearray(path.read_bytes())
                data[12] ^= 0xFF
                path.write_bytes(data)
                damaged.start()
                await fleet.put(config(2, 2))

                async def reads_newest() -> bool:
                    return await fleet.read(damaged) == config(2, 2)

                await until(reads_newest, "the damaged VM reads the newest table", 10)
        finally:
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())
