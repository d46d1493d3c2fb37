"""Runs a fleet of platform processes, each at its own loopback address."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path

from harness.processes import Process, wait_until

SETTINGS_TEMPLATE = """\
NodeName={name}
Ip={ip}
Zone={zone}
Region=r
Zones.x=r
Zones.y=r
Zones.z=r
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

REPORT_TIMEOUT_S = 1.0
"""Time after which a target sends its report to the next voter, in seconds."""


class PlatformVm:
    """A VM of the platform at its own loopback address."""

    def __init__(self, fleet: Fleet, name: str, ip: str, zone: str, voter: bool) -> None:
        self.fleet, self.name, self.ip, self.zone, self.voter = fleet, name, ip, zone, voter
        self.data_dir = fleet.folder / f"{name}-data"
        self.process: Process | None = None
        self.partition_file: Path | None = None
        self.limits: dict[str, int] = {}
        """Entries of the section ``Limits`` of the settings file."""

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.fleet.folder / f"{self.name}.conf"

    def write_settings(self, seeds: list[str], *, bootstrap: bool = False) -> None:
        """Write the settings file as the platform does."""
        if self.voter:
            listen = f"BindAddrs.Control={self.ip}:{CONTROL_PORT}\nDataDir={self.data_dir}"
        else:
            listen = (
                f"BindAddrs.EdgeAddr={self.ip}:{ENTRY_PORT}\n"
                f"BindAddrs.ReadinessAddr={self.ip}:{READY_PORT}"
            )
        listen += "".join(f"\nLimits.{name}={value}" for name, value in self.limits.items())
        self.settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=",".join(f"{ip}:{CONTROL_PORT}" for ip in seeds),
                bootstrap=str(bootstrap).lower(),
                listen=listen,
            )
        )

    def start(
        self,
        *,
        bootstrap: bool = False,
        seeds: list[str] | None = None,
        tree: Path | None = None,
    ) -> None:
        """Write the settings file and start the process, of the build in `tree` if given."""
        self.write_settings(seeds or self.fleet.seeds, bootstrap=bootstrap)
        program, env = ["bramleycrank.platform"], {"BRAMLEYCRANK_NODE_FILE": str(self.settings)}
        if self.partition_file is not None and tree is None:  # other builds may lack the harness
            program = ["harness.partitioned", "bramleycrank.platform.__main__"]
            env["BRAMLEYCRANK_CUT"] = str(self.partition_file)
        self.process = Process(
            [sys.executable, "-m", *program],
            self.fleet.folder / f"{self.name}.err",
            env,
            self.fleet.folder / f"{self.name}.log",
            tree,
        )
        self.fleet.processes.append(self.process)

    def cut(self, addresses: Iterable[str], *, refuse: bool = False) -> None:
        """Cut the links to addresses, or refuse only new connections to them.

        The process must have been started with a `partition_file`.
        """
        prefix = "refuse " if refuse else ""
        self.partition_file.write_text("".join(f"{prefix}{item}\n" for item in addresses))
        self.process.signal(signal.SIGUSR1)

    def end_cut(self) -> None:
        """End the cut of this VM's links."""
        self.process.signal(signal.SIGUSR2)


class Fleet:
    """Three voters and some entry VMs, in three zones.

    Parameters
    ----------
    folder : Path
        Folder for settings, data and logs.
    entries : int, optional
        Number of entry VMs.
    """

    def __init__(self, folder: Path, entries: int = 2) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        ip_prefix = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}"
        self.seeds = [f"{ip_prefix}.{number}" for number in (11, 12, 13)]
        self.unused_ip = f"{ip_prefix}.99"
        self._new_ips = (f"{ip_prefix}.{number}" for number in range(31, 99))
        zones = "xyz"
        self.voters = [
            PlatformVm(self, f"core-{zone}", ip, zone, True)
            for zone, ip in zip(zones, self.seeds, strict=True)
        ]
        self.entries = [
            PlatformVm(self, f"edge-{zone}", f"{ip_prefix}.{21 + n}", zone, False)
            for n, zone in enumerate(zones[:entries])
        ]

    def add_voter(self, replaced: PlatformVm, tree: Path | None = None) -> PlatformVm:
        """Start a voter at a new address that shall replace another one."""
        ip = next(self._new_ips)
        name = f"core-{replaced.zone}-{ip.rpartition('.')[2]}"
        vm = PlatformVm(self, name, ip, replaced.zone, True)
        vm.start(tree=tree)
        return vm

    def remove_voter(self, removed: PlatformVm, successor: PlatformVm) -> None:
        """Put the successor of a voter in its place, also among the seeds of VMs that start."""
        self.voters[self.voters.index(removed)] = successor
        self.seeds = [vm.ip for vm in self.voters]

    async def send(
        self,
        method: str,
        path: str,
        body: object,
        ip: str,
        port: int,
        headers: str = "",
        timeout_s: float = 4.0,
    ) -> bytes:
        """Send one HTTP request and return the raw response, or b"" if there is none."""
        data = json.dumps(body).encode() if body is not None else b""
        request = f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
        request += f"{headers}Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
        reader, writer = None, None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(request.encode() + data)
                return await reader.read()
        except (OSError, TimeoutError):
            return b""
        finally:
            if writer is not None:
                writer.close()

    async def report(
        self,
        service: str,
        target_id: str,
        address: str,
        sequence: int,
        zone: str = "x",
        incarnation: int = 1,
    ) -> None:
        """Send a liveness report of a target, to one voter after another until one takes it.

        The sequence number selects the first one.
        """
        body = {
            "Service": service,
            "Address": address,
            "Zone": zone,
            "Slots": 4,
            "State": "ready",
            "Sequence": sequence,
            "born": incarnation,
        }
        voters = list(self.voters)
        path = f"/-/instances/{target_id}"
        for number in range(len(voters)):
            ip = voters[(sequence + number) % len(voters)].ip
            reply = await self.send("PUT", path, body, ip, CONTROL_PORT, timeout_s=REPORT_TIMEOUT_S)
            if b" 200 " in reply[:20]:
                return

    async def put_config(self, document: dict) -> None:
        """Send a configuration to all voters until one of them accepts it."""

        async def is_accepted() -> bool:
            replies = [
                await self.send("PUT", "/-/config", document, voter.ip, CONTROL_PORT)
                for voter in self.voters
            ]
            return any(b" 200 " in reply[:20] for reply in replies)

        await wait_until(is_accepted, "a configuration is accepted", 20)

    async def read_config(self, voter: PlatformVm) -> dict:
        """Return the newest configuration that a voter confirms; empty if it cannot."""
        reply = await self.send("GET", "/-/config", None, voter.ip, CONTROL_PORT)
        head, _, body = reply.partition(b"\r\n\r\n")
        return json.loads(body) if b" 200 " in head[:20] else {}
