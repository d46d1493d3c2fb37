"""Stand-ins of the third review: a platform, an operator, backends and consumers on loopback.

They speak what `PROTOCOL.md` and `DEPLOY.md` of the users' system say, and need only Python.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]

PROGRAM = ["python3", "-m", "bramleycrank.platform"]
"""Command of both roles in `deploy/system.toml`."""

CONTROL_PORT, EDGE_PORT, READY_PORT, METRICS_PORT = 8224, 8226, 8227, 9464
INTERNAL_PORTS = (7740, 7755)

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
"""Exit codes of a case."""

RUN_LIMIT_S = 112.0
"""Time after which a case gives up, in seconds."""

BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 4000,
    "AckTimeoutMs": 5000,
    "CatchUpS": 4,
    "DrainTimeoutMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "SkewMaxMs": 12000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 58,
    "RecoveryS": 12,
}
"""Bounds of Battaglio's small deployment."""

SETTINGS = """\
NodeName={name}
Role={role}
MachineClass={role_class}
Serves={serves}
Ip={ip}
Zone={zone}
Region={region}
{zones}
{listen}
InternalPortRange={first_port},{last_port}
Seeds={seeds}
Bootstrap={bootstrap}
InFailureBudget={counted}
Limits.CpuShare=0.6
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
{bounds}
config_mode=highest
"""


class CannotRun(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        parts = [f"{time.monotonic() - self._began:8.3f}", event]
        parts += [f"{name}={value}" for name, value in fields.items()]
        self._file.write(" ".join(parts) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Vm:
    """A machine of the system with its process, at its own loopback address.

    Parameters
    ----------
    fleet : Fleet
        The fleet that the machine belongs to.
    name, ip, zone : str
        Its name, address and zone.
    core : bool
        Whether it is a `core` machine with a disk.
    """

    def __init__(self, fleet: Fleet, name: str, ip: str, zone: str, *, core: bool) -> None:
        self.fleet, self.name, self.ip, self.zone, self.core = fleet, name, ip, zone, core
        self.data_dir = fleet.folder / f"{name}-data"
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def settings(self) -> Path:
        """Path of the settings file."""
        return self.fleet.folder / f"{self.name}.conf"

    def write_settings(self, *, bootstrap: bool = False) -> None:
        """Write the settings file as the platform does."""
        if self.core:
            listen = f"BindAddrs.Control={self.ip}:{CONTROL_PORT}\nDataDir={self.data_dir}"
        else:
            listen = (
                f"BindAddrs.EdgeAddr={self.ip}:{EDGE_PORT}\n"
                f"BindAddrs.ReadinessAddr={self.ip}:{READY_PORT}"
            )
        fleet = self.fleet
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                role="voter" if self.core else "entry",
                role_class="core" if self.core else "edge",
                serves="control" if self.core else "edge",
                ip=self.ip,
                zone=self.zone,
                region=fleet.zones[self.zone],
                zones="\n".join(f"Zones.{name}={region}" for name, region in fleet.zones.items()),
                listen=listen,
                first_port=INTERNAL_PORTS[0],
                last_port=INTERNAL_PORTS[1],
                seeds=",".join(f"{seed.ip}:{CONTROL_PORT}" for seed in fleet.seeds),
                bootstrap=str(bootstrap).lower(),
                counted=str(self.core).lower(),
                disk_mb=128 if self.core else 0,
                bounds="\n".join(f"Bounds.{name}={value}" for name, value in fleet.bounds.items()),
            )
        )

    def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings and start the process."""
        self.write_settings(bootstrap=bootstrap)
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        } | {
            "BRAMLEYCRANK_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self._popen = subprocess.Popen(
                PROGRAM, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.fleet.started.append(self._popen)

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, negative for a signal; None while it runs."""
        return self._popen.poll() if self._popen is not None else None

    @property
    def memory_bytes(self) -> int:
        """Private resident memory of the process in bytes; 0 if it does not run."""
        if self._popen is None or self._popen.poll() is not None:
            return 0
        try:
            fields = Path(f"/proc/{self._popen.pid}/statm").read_text().split()
        except OSError:
            return 0
        return (int(fields[1]) - int(fields[2])) * os.sysconf("SC_PAGE_SIZE")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait(10)


class Fleet:
    """The machines of a small deployment.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings, disks and logs.
    cores, edges : int
        Number of machines of each class, spread over the zones.
    zones : dict of str to str, optional
        Region of each zone.
    bounds : dict, optional
        Bounds that differ from `BOUNDS`.
    """

    def __init__(
        self,
        folder: Path,
        cores: int = 3,
        edges: int = 3,
        zones: dict[str, str] | None = None,
        bounds: dict[str, object] | None = None,
    ) -> None:
        self.folder = folder
        self.zones = zones or {"catania": "sicilia", "palermo": "sicilia", "siracusa": "sicilia"}
        self.bounds = BOUNDS | (bounds or {})
        self.started: list[subprocess.Popen[bytes]] = []
        self._prefix = _free_prefix()
        self._numbers = itertools.count(11)
        names = list(self.zones)
        self.cores = [self.new_vm(names[n % len(names)], core=True) for n in range(cores)]
        self.edges = [self.new_vm(names[n % len(names)], core=False) for n in range(edges)]
        self.seeds = self.cores[:3]

    def new_vm(self, zone: str, *, core: bool) -> Vm:
        """Return a machine at a new address; it is not started."""
        number = next(self._numbers)
        kind = "core" if core else "edge"
        return Vm(self, f"{kind}-{zone}-{number}", f"{self._prefix}.{number}", zone, core=core)

    def start(self) -> None:
        """Start all machines for the first time."""
        for vm in [*self.cores, *self.edges]:
            vm.start(bootstrap=True)

    def stop(self) -> None:
        """Kill all processes that were started."""
        for popen in self.started:
            if popen.poll() is None:
                with contextlib.suppress(OSError):
                    popen.send_signal(signal.SIGCONT)
                    popen.kill()
        for popen in self.started:
            popen.wait(10)

    async def control(self, method: str, path: str, body: object = None) -> Answer | None:
        """Send one call to a core machine, as operators and backends do; None without an answer."""
        vm = random.choice(self.cores)
        return await send(vm.ip, CONTROL_PORT, method, path, body=_json(body), timeout_s=1.0)

    async def put_manifest(self, manifest: dict[str, Any], limit_s: float = 25.0) -> bool:
        """Send a manifest until it is acknowledged; return whether it was."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            answer = await self.control("PUT", "/-/config", manifest)
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def configure(self, manifest: dict[str, Any]) -> None:
        """Send a manifest until it is acknowledged, and wait until all edge machines are ready.

        Raises
        ------
        CannotRun
            One of the two does not come true in time.
        """
        if not await self.put_manifest(manifest):
            raise CannotRun("no manifest is acknowledged")
        await self.wait_ready()

    async def wait_ready(self, limit_s: float = 25.0) -> None:
        """Wait until all edge machines are ready."""
        for vm in self.edges:
            await wait_until(lambda vm=vm: self.is_ready(vm), f"{vm.name} is ready", limit_s)

    async def is_ready(self, vm: Vm) -> bool:
        """Return whether an edge machine answers the readiness check with 200."""
        answer = await send(vm.ip, READY_PORT, "GET", "/-/ready", timeout_s=1.0)
        return answer is not None and answer.status == 200


class Request:
    """A request that a backend has read.

    Parameters
    ----------
    method, path : str
        Method, and path with its query.
    headers : dict
        Values by name in lower case.
    body : bytes
        The body.
    """

    def __init__(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.path, self.headers, self.body = method, path, headers, body

    @property
    def request_id(self) -> str:
        """Value of `X-Request-Id`."""
        return self.headers.get("x-request-id", "")


class Answer:
    """An answer that was read.

    Parameters
    ----------
    status : int
        Its status.
    headers : dict
        Values by name in lower case.
    body : bytes
        The body.
    """

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


class Backend:
    """A backend that registers itself and runs requests.

    Parameters
    ----------
    fleet : Fleet
        The system that it registers with.
    record : Record
        Receives what is run.
    service, zone : str
        Its service and its zone.
    work_s : float, optional
        Time for which a request runs, in seconds.
    """

    _ids = itertools.count(1)

    def __init__(
        self, fleet: Fleet, record: Record, service: str, zone: str, work_s: float = 0.01
    ) -> None:
        self.id = f"i-{service}-{next(Backend._ids)}"
        self.fleet, self.record, self.service, self.zone = fleet, record, service, zone
        self.work_s = work_s
        self.slots = 4
        self.port = 0
        self.runs: list[tuple[float, str]] = []
        self.warmup_left_ms = 0
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._stamps = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None
        self._running = 0

    async def start(self) -> None:
        """Listen and begin to send liveness reports."""
        await self.listen()
        self._beats = asyncio.create_task(self._beat())

    async def listen(self) -> None:
        """Listen, again at the same port if it has one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_reports(self) -> None:
        """Send no more liveness reports."""
        if self._beats is not None:
            self._beats.cancel()

    @property
    def born(self) -> int:
        """Start of the backend in Unix milliseconds."""
        return self._born

    def crash(self) -> None:
        """End: refuse and reset all connections, and send no reports."""
        self._server.close()
        if self._beats is not None:
            self._beats.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self) -> None:
        """Start again under the same id, at the same address."""
        self._born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        await self.start()

    def report(self) -> dict[str, object]:
        """Return the next liveness report."""
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "WarmupLeftMs": self.warmup_left_ms,
            "Sequence": next(self._sequence),
            "born": self._born,
        }

    async def _beat(self) -> None:
        while True:
            for _ in range(3):
                answer = await self.fleet.control("PUT", f"/-/instances/{self.id}", self.report())
                if answer is not None and answer.status == 200:
                    break
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.respond(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has left, or the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request and write the answer."""
        if request.path == "/health":
            writer.write(self.encode(request, 200, b""))
        elif request.headers.get("x-expect-instance", self.id) != self.id:
            writer.write(self.encode(request, 421, b"", run=False))
        else:
            self.note_run(request)
            self._running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
            writer.write(self.answer(request))

    def note_run(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.runs.append((time.monotonic(), request.request_id))
        self.record.note("run", backend=self.id, id=request.request_id, path=request.path)

    def answer(self, request: Request) -> bytes:
        """Return the answer to a request that has run."""
        return self.encode(request, 200, b"done " + request.request_id.encode())

    def encode(self, request: Request, status: int, body: bytes, *, run: bool = True) -> bytes:
        """Return the bytes of an answer."""
        lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {request.request_id}"]
        lines.append(
            f"X-Server-Stamp: {self.id}.{next(self._stamps)}" if run else "X-Not-Executed: 1"
        )
        lines.append(f"X-Backend-Load: {self._running},0,{self.slots}")
        lines.append(f"X-Instance-Id: {self.id}")
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, headers = _split_head(head)
    method, path, _ = start.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


async def send(
    ip: str,
    port: int,
    method: str,
    path: str,
    *,
    host: str = "h",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = 4.0,
) -> Answer | None:
    """Send one request on a new connection; return its answer, or None if there is none."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body is not None:
        lines += [f"Content-Length: {len(body)}", "Content-Type: application/json"]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Return the next answer of a connection; the system states the length of each body."""
    start, headers = _split_head(await reader.readuntil(b"\r\n\r\n"))
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(start.split(" ", 2)[1]), headers, body)


def _split_head(head: bytes) -> tuple[str, dict[str, str]]:
    start, *lines = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def wait_until(
    condition: Callable[[], Awaitable[bool]], description: str, limit_s: float = 20.0
) -> None:
    """Wait for a condition; raises `CannotRun` if it does not come true in time."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"timed out after {limit_s} s: {description}")


def manifest(
    version: int, routes: list[dict[str, Any]], services: list[str], **fields: object
) -> dict[str, Any]:
    """Return a manifest."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, "HealthPath": "/health", "MaxConnections": 110} for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        **fields,
    }


def route(name: str, prefix: str, **fields: object) -> dict[str, Any]:
    """Return a route of a manifest; it is idempotent unless the fields say otherwise."""
    return {
        "Name": name,
        "Host": "h",
        "PathPrefix": prefix,
        "Type": "idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "MaxAttempts": 2,
        **fields,
    }


def request_ids() -> Iterator[str]:
    """Yield ids for the attempts of consumers."""
    prefix = f"{random.SystemRandom().getrandbits(32):08x}"
    return (f"{prefix}{number:08x}" for number in itertools.count(1))


def with_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(scenario: Callable[[Path, Record], Awaitable[bool]], case_file: str) -> None:
    """Run a case and exit with its code.

    Parameters
    ----------
    scenario : callable
        Called with a temporary folder and the record; returns whether the rule held.
    case_file : str
        Path of the case's program, beside which `record.txt` is written.
    """
    record = Record(Path(case_file).resolve().parent / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))  # ends the processes as well
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            held = asyncio.run(asyncio.wait_for(scenario(Path(folder), record), RUN_LIMIT_S))
        code = HELD if held else BROKEN
    except Exception as exc:
        record.note("cannot run", reason=repr(exc))
        traceback.print_exc()
        code = CANNOT_RUN
    record.note("exit", code=code)
    record.close()
    sys.exit(code)


def _json(body: object) -> bytes | None:
    return None if body is None else json.dumps(body).encode()


def _free_prefix() -> str:
    """Return the first three numbers of loopback addresses at which the ports are free."""
    rng = random.SystemRandom()
    ports = (CONTROL_PORT, EDGE_PORT, READY_PORT, METRICS_PORT, *INTERNAL_PORTS)
    for _ in range(50):
        prefix = f"127.{rng.randrange(16, 120)}.{rng.randrange(1, 250)}"
        with contextlib.ExitStack() as sockets, contextlib.suppress(OSError):
            for port in ports:
                probe = sockets.enter_context(socket.socket())
                probe.bind((f"{prefix}.11", port))
            return prefix
    raise CannotRun("no loopback addresses with free ports were found")
