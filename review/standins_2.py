"""Stand-ins of the second review: the platform, operators, backends and consumers on loopback.

They speak what the users' pages say, with nothing but the standard library.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent

PASSED, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

CONTROL_PORT, EDGE_PORT, READY_PORT = 8224, 8226, 8227
INTERNAL_PORTS = (7740, 7755)

HEARTBEAT_S = 0.6
"""Interval between liveness reports of a backend, in seconds."""

CALL_TIMEOUT_S = 1.0
"""Time after which a caller of `control` asks another node, in seconds."""

SETTINGS = """\
NodeName={name}
Role={role}
MachineClass={machine_class}
Ip={ip}
Zone={zone}
Region={region}
{regions}
InternalPortRange={first_port},{last_port}
Seeds={seeds}
Bootstrap={bootstrap}
InFailureBudget={in_budget}
Limits.CpuShare=0.6
Limits.CpuCores=2
Limits.MemoryMb=300
Limits.MaxFds=4096
Limits.LinkMbps=1000.0
Limits.DiskMb=128
Discovery=registration
EntryMode=vip
HeartbeatMs={heartbeat_ms}
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
{listen}
"""


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to a file; times are in seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the case, in seconds."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Append one line with its time."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self._file.close()


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, platform: Platform, name: str, ip: str, zone: str, *, core: bool) -> None:
        self.platform, self.name, self.ip, self.zone, self.core = platform, name, ip, zone, core
        self.folder = platform.folder / name
        self.folder.mkdir()
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def log(self) -> Path:
        """File with the output of the process."""
        return self.folder / "log"

    def write_settings(self, *, bootstrap: bool) -> Path:
        """Write the settings file."""
        if self.core:
            listen = f"BindAddrs.Control={self.ip}:{CONTROL_PORT}\nDataDir={self.folder / 'data'}"
        else:
            listen = (
                f"BindAddrs.EdgeAddr={self.ip}:{EDGE_PORT}\n"
                f"BindAddrs.ReadinessAddr={self.ip}:{READY_PORT}"
            )
        regions = self.platform.regions
        path = self.folder / "node.conf"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                role="voter" if self.core else "entry",
                machine_class="core" if self.core else "edge",
                ip=self.ip,
                zone=self.zone,
                region=regions[self.zone],
                regions="\n".join(f"Zones.{zone}={region}" for zone, region in regions.items()),
                first_port=INTERNAL_PORTS[0],
                last_port=INTERNAL_PORTS[1],
                seeds=",".join(f"{item.ip}:{CONTROL_PORT}" for item in self.platform.cores[:3]),
                bootstrap=str(bootstrap).lower(),
                in_budget=str(self.core).lower(),
                heartbeat_ms=round(HEARTBEAT_S * 1000),
                listen=listen,
            )
            + self.platform.more_settings
        )
        return path

    def start(self, *, bootstrap: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        settings = self.write_settings(bootstrap=bootstrap)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BRAMLEYCRANK_NODE_FILE"] = str(settings)
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                ["python3", "-m", "bramleycrank.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_files if self.platform.file_bytes else None,
            )

    def _limit_files(self) -> None:
        size = self.platform.file_bytes
        resource.setrlimit(resource.RLIMIT_FSIZE, (size, size))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.alive:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._popen is not None:
            self.signal(signal.SIGKILL)
            self._popen.wait(10)


class Platform:
    """Starts the machines of a small deployment, each at its own loopback address.

    Parameters
    ----------
    regions : dict of str to str
        Region of each zone; each zone has one core machine.
    edges : iterable of str
        Zone of each edge machine.
    more_settings : str, optional
        Further lines of the settings files.
    file_bytes : int, optional
        Size that no file of a process may exceed, in bytes; 0 for any.
    """

    def __init__(
        self,
        regions: dict[str, str],
        edges: Iterable[str],
        more_settings: str = "",
        file_bytes: int = 0,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.regions = regions
        self.more_settings = more_settings
        self.file_bytes = file_bytes
        self._machines: list[Machine] = []
        prefix = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.backend_ip = f"{prefix}.200"
        self._ips = (f"{prefix}.{number}" for number in range(10, 200))
        self.cores: list[Machine] = []
        self.cores += [self._machine(f"core-{zone}-1", zone, core=True) for zone in regions]
        counts = itertools.count(1)
        self.edges = [self._machine(f"edge-{z}-{next(counts)}", z, core=False) for z in edges]

    def _machine(self, name: str, zone: str, *, core: bool) -> Machine:
        self._machines.append(Machine(self, name, next(self._ips), zone, core=core))
        return self._machines[-1]

    def add_core(self, zone: str) -> Machine:
        """Return a further core machine, with an empty disk; the caller starts it."""
        number = sum(machine.zone == zone for machine in self.cores) + 1
        self.cores.append(self._machine(f"core-{zone}-{number}", zone, core=True))
        return self.cores[-1]

    def start(self) -> None:
        """Start all machines as at the first start of the system."""
        for machine in [*self.cores, *self.edges]:
            machine.start(bootstrap=True)

    def stop(self) -> None:
        """End all processes and remove their folder."""
        for machine in self._machines:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all edge machines answer the readiness check with 200."""
        for machine in self.edges:

            async def is_ready(machine: Machine = machine) -> bool:
                reply = await call("GET", machine.ip, READY_PORT, "/-/ready")
                return reply is not None and reply[0] == 200

            await wait_until(is_ready, f"{machine.name} is ready", timeout_s)


async def wait_until(condition: Callable[[], Awaitable[Any]], what: str, timeout_s: float) -> None:
    """Wait until a condition holds.

    Raises
    ------
    CaseError
        It does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise CaseError(f"timed out: {what}")
        await asyncio.sleep(0.1)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[bytes, dict[str, str], bytes] | None:
    """Return start line, headers by their names in lower case and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head[:-4].split(b"\r\n")
        pairs = (line.decode("latin-1").partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif headers.get("content-length", "0") != "0":
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return start, headers, body


def status_of(start: bytes) -> int:
    """Return the status of a response."""
    return int(start.split(b" ", 2)[1])


async def call(
    method: str, ip: str, port: int, path: str, body: bytes = b"", timeout_s: float = CALL_TIMEOUT_S
) -> tuple[int, dict[str, str], bytes] | None:
    """Make one call on a new connection; return status, headers and body, or None without one."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nContent-Length: {len(body)}\r\n"
    if body:
        head += "Content-Type: application/json\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head.encode() + b"\r\n" + body)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return None if message is None else (status_of(message[0]), message[1], message[2])


class Operator:
    """Sends manifests to nodes that serve `control`, and reads the one in force."""

    def __init__(self, platform: Platform, record: Record) -> None:
        self._platform = platform
        self._record = record

    async def put(self, manifest: dict[str, Any], timeout_s: float = 20.0) -> None:
        """Send a manifest until it is acknowledged.

        Raises
        ------
        CaseError
            It is refused, or not acknowledged in time.
        """
        body = json.dumps(manifest).encode()
        deadline = time.monotonic() + timeout_s
        for core in itertools.cycle(self._platform.cores):
            reply = await call("PUT", core.ip, CONTROL_PORT, "/-/config", body, 2.0)
            status = reply[0] if reply else None
            self._record.write(f"operator PUT version {manifest['Version']} {core.name}: {status}")
            if status == 200:
                return
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                raise CaseError(f"version {manifest['Version']} is refused: {reply[2][:200]!r}")
            if time.monotonic() > deadline:
                raise CaseError(f"version {manifest['Version']} is not acknowledged")
            await asyncio.sleep(0.2)


Handler = Callable[["Backend", "BackendRequest"], Awaitable[None]]


class BackendRequest:
    """A request at a backend, with the connection on which it is answered."""

    def __init__(
        self,
        start: bytes,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method, self.target, _ = start.decode("latin-1").split(" ", 2)
        self.headers, self.body, self.reader, self.writer = headers, body, reader, writer
        self.id = headers.get("x-request-id", "")

    def respond(self, status: str, headers: Iterable[str] = (), body: bytes = b"") -> None:
        """Write a complete response that echoes the id of the request."""
        lines = [f"HTTP/1.1 {status}", f"X-Request-Id: {self.id}", *headers]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Backend:
    """One backend: serves one request at a time on each connection and reports its liveness.

    Parameters
    ----------
    platform, record : Platform, Record
        The deployment and the record.
    service, zone : str
        What it serves, and where.
    instance : str
        Its id.
    port : int
        Port at which it listens.
    slots : int
        Requests that it runs at once.
    handler : callable
        Answers a request.
    reported_port : int, optional
        Port that it reports, if a proxy stands before it.
    """

    def __init__(
        self,
        platform: Platform,
        record: Record,
        service: str,
        zone: str,
        instance: str,
        port: int,
        slots: int,
        handler: Handler,
        reported_port: int | None = None,
    ) -> None:
        self.platform, self.record = platform, record
        self.service, self.zone, self.instance = service, zone, instance
        self.port, self.slots = port, slots
        self.running = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self._reported_port = reported_port or port
        self._handler = handler
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen and begin to report."""
        ip = self.platform.backend_ip
        self._server = await asyncio.start_server(self._serve, ip, self.port)
        self._spawn(self._report())

    def stop(self) -> None:
        """Stop listening and reporting, as in a crash."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coro: Any) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def load(self) -> str:
        """Return the header with the load."""
        running = min(self.running, self.slots)
        return f"X-Backend-Load: {running},{max(0, self.running - self.slots)},{self.slots}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                req = BackendRequest(*message, reader, writer)
                expected = req.headers.get("x-expect-instance", self.instance)
                if expected != self.instance:
                    req.respond("421 Misdirected Request", [f"X-Instance-Id: {self.instance}"])
                else:
                    await self._handler(self, req)
                await writer.drain()
        writer.close()
        self._tasks.discard(asyncio.current_task())

    async def _report(self) -> None:
        address = ""
        while True:
            self._sequence += 1
            body = {
                "Service": self.service,
                "Address": f"{self.platform.backend_ip}:{self._reported_port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Sequence": self._sequence,
                "born": self.born,
            }
            address = await self._send_report(address, json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_report(self, address: str, body: bytes) -> str:
        """Send a report to the named address or to some node; return the address for the next."""
        nodes = [f"{core.ip}:{CONTROL_PORT}" for core in self.platform.cores]
        random.shuffle(nodes)
        for node in [address, *nodes] if address else nodes:
            ip, _, port = node.rpartition(":")
            reply = await call("PUT", ip, int(port), f"/-/instances/{self.instance}", body)
            if reply is not None and 200 <= reply[0] < 300:
                return json.loads(reply[2]).get("HeartbeatAddr", "")
        return ""


class Consumer:
    """One connection of a consumer, kept for many requests."""

    def __init__(self, ip: str, port: int = EDGE_PORT) -> None:
        self._address = (ip, port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        host: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: Iterable[str] = (),
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Send a request; return status, headers and body, or None without a complete answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}"]
        lines += [f"X-Deadline-Ms: {deadline_ms}", *headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        message = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(*self._address)
                self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                message = await read_message(self._reader)
        except (OSError, TimeoutError):
            pass
        if message is None or message[1].get("connection", "").lower() == "close":
            self.close()
        return None if message is None else (status_of(message[0]), message[1], message[2])

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def free_port(ip: str) -> int:
    """Return a free port of an address, below the range of the kernel's own ports."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((ip, port))
            return port


def new_id() -> str:
    """Return a new id of a consumer attempt."""
    return f"{random.getrandbits(64):016x}"


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[int]]) -> int:
    """Run a case and return its exit code; `TROUBLE=0` leaves the disruption out."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(case(record, trouble))
    except CaseError as exc:
        record.write(f"the case could not run: {exc}")
        code = NOT_RUN
    record.write(f"exit {code}")
    record.close()
    return code
