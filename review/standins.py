"""Stand-ins for consumers, back ends, the operator and the platform, and a small fleet.

All addresses are loopback addresses: each machine and each back end has its own one. The processes
of the project are started with the commands of `deploy/system.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CONTROL_PORT, EDGE_PORT, READY_PORT, BACKEND_PORT = 8224, 8226, 8227, 8281
INTERNAL_PORTS = (7740, 7755)
METRICS_PORT = 9464
HEARTBEAT_S = 1.2
ACK_TIMEOUT_S = 1.0
"""Time after which a caller of `control` asks another machine, in seconds."""

SETTINGS = """\
NodeName={name}
Role={role}
MachineClass={machine_class}
Serves={serves}
Ip={ip}
Zone={zone}
Region=sicilia
Zones.catania=sicilia
Zones.palermo=sicilia
Zones.siracusa=sicilia
{addresses}
InternalPortRange=7740,7755
Seeds={seeds}
Bootstrap={bootstrap}
InFailureBudget={counted}
Limits.CpuShare=0.537
Limits.CpuCores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb={disk_mb}
Discovery=registration
EntryMode=vip
HeartbeatMs=1200
Policies=base,drain,config,cost,retry,recover,scatter
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.ContactMs=4000
Bounds.AckTimeoutMs=5000
Bounds.CatchUpS=4
Bounds.DrainTimeoutMs=3000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=3000
Bounds.RollbackSlackMs=250
Bounds.SkewMaxMs=12000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.RetrySlack=58
Bounds.RecoveryS=12
config_mode=highest
"""
"""Settings of a machine, with the figures of the example in `DEPLOY.md`."""

ZONES = ("catania", "palermo", "siracusa")


class Broken(Exception):
    """A rule was broken."""


class Record:
    """Writes what was sent, answered and run to `record.txt`.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def line(self, what: str, **fields: object) -> None:
        """Write one line with the time since the start, in seconds."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started:9.3f} {what} {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Reply:
    """A response as a caller read it; status 0 stands for no complete response."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read one response with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Reply(int(head[0].split()[1]), headers, body)


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = ACK_TIMEOUT_S,
) -> Reply:
    """Send one request on a new connection; status 0 stands for no response in time."""
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": "tile33.example", **(headers or {})}
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_reply(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Reply()
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One machine with one process of the project."""

    def __init__(self, fleet: Fleet, name: str, ip: str, zone: str, *, core: bool) -> None:
        self.fleet, self.name, self.ip, self.zone, self.core = fleet, name, ip, zone, core
        self.data_dir = fleet.folder / f"{name}-data"
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings file and start the process."""
        if self.core:
            addresses = f"BindAddrs.Control={self.ip}:{CONTROL_PORT}\nDataDir={self.data_dir}"
        else:
            addresses = (
                f"BindAddrs.EdgeAddr={self.ip}:{EDGE_PORT}\n"
                f"BindAddrs.ReadinessAddr={self.ip}:{READY_PORT}"
            )
        path = self.fleet.folder / f"{self.name}.conf"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                role="voter" if self.core else "entry",
                machine_class="core" if self.core else "edge",
                serves="control" if self.core else "edge",
                ip=self.ip,
                zone=self.zone,
                addresses=addresses,
                seeds=",".join(f"{core.ip}:{CONTROL_PORT}" for core in self.fleet.cores[:3]),
                bootstrap=str(bootstrap).lower(),
                counted=str(self.core).lower(),
                disk_mb=128 if self.core else 0,
            )
        )
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {
            "BRAMLEYCRANK_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        role = "voter" if self.core else "entry"
        command = self.fleet.commands[role].split()
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(command, stdout=log, stderr=log, env=env, cwd=ROOT)
        self.fleet.record.line("start", machine=self.name, pid=self.popen.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.fleet.record.line("signal", machine=self.name, signal=number.name)
        self.popen.send_signal(number)

    def reap(self) -> None:
        """End the process and wait for it."""
        if self.popen is not None:
            with contextlib.suppress(ProcessLookupError):
                self.popen.kill()
            self.popen.wait(10)

    async def is_ready(self) -> bool:
        """Return whether the machine reports itself ready."""
        return (await call(self.ip, READY_PORT, "GET", "/-/ready")).status == 200


class Backend:
    """A back end that reports itself and answers requests.

    Parameters
    ----------
    fleet : Fleet
        The fleet that it reports to.
    service : str
        Its service.
    zone : str
        Its zone.
    handle : callable, optional
        Gets the back end, the request's id, method, path, headers and body, and returns status,
        headers and body of the response, or None for none. The default is a success.
    """

    _ids = itertools.count(1)

    def __init__(self, fleet: Fleet, service: str, zone: str, handle: Handle | None = None) -> None:
        number = next(self._ids)
        self.fleet, self.service, self.zone = fleet, service, zone
        self.handle = handle or default_handle
        self.id = f"i-{number:04x}{random.randrange(16**6):06x}"
        self.ip = fleet.ip(100 + number)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.slots = 4
        self._sequence = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._stamps = itertools.count(1)
        self._reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and report."""
        self._server = await asyncio.start_server(self._serve, self.ip, BACKEND_PORT, backlog=256)
        if self._reporting is None:
            self._reporting = asyncio.create_task(self._report())

    def crash(self) -> None:
        """Close all sockets as a crashed process does; say nothing any more."""
        self.fleet.record.line("crash", backend=self.id, service=self.service)
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._reporting.cancel()

    def stop(self) -> None:
        """End quietly at the end of a case."""
        self._server.close()
        self._reporting.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def stamp(self) -> str:
        """Return a new receipt."""
        return f"{self.id}.{next(self._stamps)}"

    async def _report(self) -> None:
        address = ""
        while True:
            body = {
                "Service": self.service,
                "Address": f"{self.ip}:{BACKEND_PORT}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Sequence": next(self._sequence),
                "born": self.born,
            }
            ip = address.rpartition(":")[0] or random.choice(self.fleet.cores).ip
            path = f"/-/instances/{self.id}"
            data = json.dumps(body).encode()
            reply = await call(ip, CONTROL_PORT, "PUT", path, body=data)
            if 200 <= reply.status < 300:
                address = json.loads(reply.body or b"{}").get("HeartbeatAddr") or ""
                await asyncio.sleep(HEARTBEAT_S)
            else:
                address = ""
                await asyncio.sleep(0.1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ")
        pairs = (line.partition(":") for line in head[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers.get("x-request-id", "")
        self.fleet.record.line(
            "arrives", backend=self.id, service=self.service, id=request_id, at=f"{method} {path}"
        )
        if headers.get("x-expect-instance", self.id) != self.id:
            reply: Handled = (421, {"X-Not-Executed": "1"}, b"")
        else:
            reply = await self.handle(self, request_id, method, path, headers, body)
        if reply is None:
            writer.transport.abort()
            return False
        status, extra, answer = reply
        fields = {"X-Request-Id": request_id, "Content-Length": str(len(answer)), **extra}
        lines = [f"HTTP/1.1 {status} Any", *(f"{key}: {value}" for key, value in fields.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + answer)
        await writer.drain()
        return True


Handled = tuple[int, dict[str, str], bytes] | None
Handle = Callable[[Backend, str, str, str, dict[str, str], bytes], Awaitable[Handled]]


async def default_handle(
    backend: Backend, request_id: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> Handled:
    """Run a request at once, and answer with the request's id."""
    backend.fleet.ran(backend, request_id, method, path, body)
    return 200, {"X-Server-Stamp": backend.stamp()}, request_id.encode()


@dataclasses.dataclass
class Run:
    """A request that a back end began to work on."""

    backend: str
    service: str
    request_id: str
    method: str
    path: str
    body: bytes
    at: float


class Fleet:
    """Three core machines and some edge machines, one in each zone in turn.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    edges : int, optional
        Number of edge machines.
    """

    def __init__(self, folder: Path, edges: int = 3) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self._prefix = _free_prefix()
        self.cores = [
            Machine(self, f"core-{zone}-1", self.ip(11 + n), zone, core=True)
            for n, zone in enumerate(ZONES)
        ]
        self.edges = [
            Machine(
                self, f"edge-{ZONES[n % 3]}-{n // 3 + 1}", self.ip(31 + n), ZONES[n % 3], core=False
            )
            for n in range(edges)
        ]
        self.backends: list[Backend] = []
        self.runs: list[Run] = []

    def ip(self, number: int) -> str:
        """Return a loopback address of this fleet."""
        return f"{self._prefix}.{number}"

    def ran(self, backend: Backend, request_id: str, method: str, path: str, body: bytes) -> None:
        """Record that a back end begins to work on a request."""
        now = time.monotonic()
        self.runs.append(Run(backend.id, backend.service, request_id, method, path, body, now))
        self.record.line("runs", backend=backend.id, id=request_id, body_bytes=len(body))

    async def start(self, manifest: dict[str, object]) -> None:
        """Start all machines and back ends, and wait until the manifest is in force."""
        for machine in [*self.cores, *self.edges]:
            machine.start(bootstrap=True)
        for backend in self.backends:
            await backend.start()
        await self.put_manifest(manifest, 30.0)
        await wait_for(self._all_ready, 30.0, "all edge machines are ready")
        await asyncio.sleep(2.0)

    async def _all_ready(self) -> bool:
        return all([await machine.is_ready() for machine in self.edges])

    async def put_manifest(self, manifest: dict[str, object], limit_s: float) -> None:
        """Send a manifest to one core machine after the other until it is acknowledged."""
        machines = itertools.cycle(self.cores)

        async def is_acknowledged() -> bool:
            machine = next(machines)
            data = json.dumps(manifest).encode()
            reply = await call(machine.ip, CONTROL_PORT, "PUT", "/-/config", body=data)
            version = manifest["Version"]
            self.record.line("manifest", version=version, to=machine.name, status=reply.status)
            return reply.status == 200

        await wait_for(is_acknowledged, limit_s, "a manifest is acknowledged")

    async def ask(
        self,
        machine: Machine,
        request_id: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2500,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send one request of a consumer and return the answer; status 0 if there was none."""
        fields = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), **(headers or {})}
        self.record.line("sent", id=request_id, to=machine.name, request=f"{method} {path}")
        reply = await call(
            machine.ip,
            EDGE_PORT,
            method,
            path,
            headers=fields,
            body=body,
            timeout_s=deadline_ms / 1000,
        )
        self.record.line("answered", id=request_id, status=reply.status, bytes=len(reply.body))
        return reply

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for backend in self.backends:
            backend.stop()
        for machine in [*self.cores, *self.edges]:
            machine.reap()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def wait_for(condition: Callable[[], Awaitable[bool]], limit_s: float, what: str) -> None:
    """Wait for a condition; raise `TimeoutError` if it does not hold in time."""
    end = time.monotonic() + limit_s
    while not await condition():
        if time.monotonic() > end:
            raise TimeoutError(f"not within {limit_s:.0f} s: {what}")
        await asyncio.sleep(0.1)


def service(name: str, connections: int = 110) -> dict[str, object]:
    """Return an entry of the manifest's services."""
    return {"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1"}


def manifest(version: int, routes: list[dict[str, object]], names: list[str]) -> dict[str, object]:
    """Return a manifest; each route gets the host of the stand-in consumers."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 262144,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": version,
        "Routes": [{"Host": "tile33.example", **route} for route in routes],
        "Services": [service(name) for name in names],
        "Limits": limits,
    }


def _free_prefix() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    while True:
        prefix = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (CONTROL_PORT, EDGE_PORT, READY_PORT, METRICS_PORT, INTERNAL_PORTS[0]):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.11", port))
        except OSError:
            continue
        return prefix


def main(folder: Path, scenario: Callable[[Path, bool], Awaitable[None]]) -> None:
    """Run a case: exit with 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> None:
        async with asyncio.timeout(110):
            await scenario(folder, trouble)

    try:
        asyncio.run(limited())
    except Broken as exc:
        print(f"broken: {exc}")
        sys.exit(1)
    except Exception as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    print("held")
    sys.exit(0)
