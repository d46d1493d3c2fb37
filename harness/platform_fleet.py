"""A fleet of real processes as the platform runs them, each at a loopback address of its own."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from harness.processes import Process, until

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
        """Write the settings file as the platform does."""
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
        """Start the process of the machine."""
        self.write_settings(seeds or self.fleet.seeds, bootstrap=bootstrap)
        self.process = Process(
            [sys.executable, "-m", "bramleycrank.platform"],
            self.fleet.folder / f"{self.name}.err",
            {"BRAMLEYCRANK_NODE_FILE": str(self.settings)},
            self.fleet.folder / f"{self.name}.log",
        )
        self.fleet.processes.append(self.process)


class Fleet:
    """Three machines for control and some for callers, in three zones.

    Parameters
    ----------
    folder : Path
        Where settings, data and logs are kept.
    entries : int, optional
        Number of machines for callers.
    """

    def __init__(self, folder: Path, entries: int = 2) -> None:
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
            for n, zone in enumerate(zones[:entries])
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

    async def report(
        self,
        service: str,
        target_id: str,
        address: str,
        sequence: int,
        zone: str = "x",
        born: int = 1,
    ) -> None:
        """Send a liveness report of a target to a voter, to each in turn."""
        body = {
            "Service": service,
            "Address": address,
            "Zone": zone,
            "Slots": 4,
            "State": "ready",
            "Sequence": sequence,
            "born": born,
        }
        voter = self.voters[sequence % len(self.voters)]
        await self.send("PUT", f"/-/instances/{target_id}", body, voter.ip, CONTROL_PORT)

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
