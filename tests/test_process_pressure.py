"""Real processes under callers that press on memory and descriptors.

Each test starts its own fleet with lowered limits, plays one crowd, and checks that the process
lives, that its memory and descriptors stay within its limits, and that it serves afterwards.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import socket
from collections.abc import Awaitable, Callable, Iterable

import attrs
import pytest
from http_fakes import FakeTarget, ok

from bramleycrank.daemon.document_limits import document_room
from bramleycrank.platform.fields import decoded_bytes
from bramleycrank.platform.node_file import METRICS_PORT
from harness.platform_fleet import CONTROL_PORT, ENTRY_PORT, READY_PORT, Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

MEMORY_MB = 80
"""Memory limit of the VM under test; the process uses half of it before any request."""

MAX_FDS = 400
"""Descriptor limit of the VM under test."""

MAX_BODY_BYTES = 262_144
LONG_ANSWER_BYTES = 4 * 1024 * 1024
HOLD_S = 3.0
"""Time for which a crowd stays connected after it has sent, in seconds."""

HANG_S = 4.0
SEND_TIMEOUT_S = 20.0


def route(name: str, timeout_ms: int) -> dict:
    return {
        "Name": name,
        "Host": "h",
        "PathPrefix": f"/{name}/",
        "Type": "idempotent",
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 300,
        "Service": name,
        "MaxAttempts": 1,
    }


CONFIG = {
    "Version": 1,
    "Routes": [route("quick", 4000), route("long", 4000), route("hang", int(HANG_S * 1000))],
    "Services": [{"Name": name, "MaxConnections": 100} for name in ("quick", "long", "hang")],
    "Limits": {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": MAX_BODY_BYTES,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 6000,
    },
}


def head(path: str, *lines: str, method: str = "POST") -> bytes:
    return "\r\n".join(
        [f"{method} {path} HTTP/1.1", "Host: h", "X-Request-Id: r1", *lines, "", ""]
    ).encode()


def chunked(path: str, chunk_bytes: int, count: int, *, end: bytes = b"") -> bytes:
    """Return a request with a chunked body, which stops before its end by default."""
    piece = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    return head(path, "Transfer-Encoding: chunked") + piece * count + end


def declared(path: str, sent_bytes: int) -> bytes:
    return head(path, f"Content-Length: {MAX_BODY_BYTES}") + b"x" * sent_bytes


@attrs.frozen
class Crowd:
    """Callers of one kind.

    Parameters
    ----------
    count : int
        Number of callers.
    data : bytes
        What each of them sends.
    reads : bool, optional
        Whether they read their answers.
    trickle : bytes, optional
        What each of them sends afterwards every half second.
    read_bytes : int, optional
        What each of them reads at once; fewer than a kilobyte only every tenth of a second.
    """

    count: int
    data: bytes
    reads: bool = True
    trickle: bytes = b""
    read_bytes: int = 65_536


SMALL_CHUNK_COUNT = MAX_BODY_BYTES // 2 - 8
LARGE_CHUNKS = (65_000, 4)


def stopped_bodies(path: str) -> list[Crowd]:
    return [
        Crowd(20, chunked(path, 2, SMALL_CHUNK_COUNT)),
        Crowd(60, chunked(path, *LARGE_CHUNKS)),
        Crowd(60, declared(path, MAX_BODY_BYTES - 1)),
    ]


def short_headers(path: str) -> bytes:
    """Return a head of many short headers within the limit, which stops before its end."""
    return head(path)[:-2] + b"a:b\r\n" * 1900


CALLER_CASES = {
    "small chunks": [Crowd(24, chunked("/quick/x", 2, SMALL_CHUNK_COUNT))],
    "large chunks": [Crowd(120, chunked("/quick/x", *LARGE_CHUNKS))],
    "declared lengths": [Crowd(120, declared("/quick/x", MAX_BODY_BYTES - 1))],
    "declared lengths without a body": [Crowd(250, declared("/quick/x", 0))],
    "heads that trickle": [Crowd(150, short_headers("/quick/x"), trickle=b"a:b\r\n")],
    "pipelined requests": [Crowd(60, head("/none/x", method="GET") * 5000, reads=False)],
    "pipelined requests for a hanging back end": [
        Crowd(60, head("/hang/x", method="GET") * 5000, reads=False)
    ],
    "long answers": [Crowd(30, head("/long/x", method="GET"), reads=False)],
    "pipelined long answers": [Crowd(12, head("/long/x", method="GET") * 8, reads=False)],
    "bodies beside a hanging back end": [
        Crowd(40, chunked("/hang/x", 2, SMALL_CHUNK_COUNT, end=b"0\r\n\r\n")),
        Crowd(60, chunked("/hang/x", *LARGE_CHUNKS, end=b"0\r\n\r\n")),
        *stopped_bodies("/hang/x"),
    ],
    "all at once": [
        *stopped_bodies("/quick/x"),
        Crowd(40, short_headers("/quick/x"), trickle=b"a:b\r\n"),
        Crowd(20, head("/none/x", method="GET") * 5000, reads=False),
        Crowd(12, head("/long/x", method="GET"), reads=False),
    ],
}

OTHER_CASES = {
    "small chunks": [Crowd(12, chunked("/-/config", 2, 500_000))],
    "large chunks": [Crowd(60, chunked("/-/config", 1_000_000, 1))],
    "heads that trickle": [Crowd(150, short_headers("/-/config"), trickle=b"a:b\r\n")],
    "pipelined requests": [Crowd(60, head("/-/none", method="GET") * 5000, reads=False)],
}


def peak_memory_mb(vm: PlatformVm) -> float:
    with open(f"/proc/{vm.process.pid}/status") as lines:
        [peak] = [line for line in lines if line.startswith("VmHWM")]
    return int(peak.split()[1]) / 1024


def descriptors(vm: PlatformVm) -> int:
    return len(os.listdir(f"/proc/{vm.process.pid}/fd"))


async def play(crowd: Crowd, address: tuple[str, int]) -> None:
    """Play one caller of a crowd; that it is refused or disconnected is allowed."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    is_slow = crowd.read_bytes < 1024
    if is_slow or not crowd.reads:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with sock, contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, crowd.data)
            while crowd.trickle:
                await loop.sock_sendall(sock, crowd.trickle)
                await asyncio.sleep(0.5)
            while crowd.reads and await loop.sock_recv(sock, crowd.read_bytes):
                await asyncio.sleep(0.1 * is_slow)
            await asyncio.Event().wait()


async def memory_in_use(vm: PlatformVm) -> float:
    """Return the bytes that the VM's budget counts; -1 if it tells none."""
    reply = await vm.fleet.send("GET", "/metrics", None, vm.ip, METRICS_PORT)
    found = re.search(rb"_http_memory ([0-9.e+]+)", reply)
    return float(found[1]) if found else -1.0


async def press(
    vm: PlatformVm,
    port: int,
    crowds: Iterable[Crowd],
    is_served: Callable[[], Awaitable[bool]],
    hold_s: float = HOLD_S,
) -> None:
    """Play crowds, and check the process meanwhile and afterwards."""
    await wait_until(is_served, "a request is served before", 30)
    idle_mb, idle_fds = peak_memory_mb(vm), descriptors(vm)
    callers = [
        asyncio.ensure_future(play(crowd, (vm.ip, port)))
        for crowd in crowds
        for _ in range(crowd.count)
    ]
    loop = asyncio.get_running_loop()
    most_fds, end = 0, loop.time() + hold_s
    # The crowd stays until the VM responds again, so a slow machine plays all of it.
    while loop.time() < end and vm.process.exit_code is None:
        most_fds = max(most_fds, descriptors(vm))
        await asyncio.sleep(0.1)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    assert vm.process.exit_code is None, vm.process.log_tail()
    await wait_until(is_served, "a request is served afterwards", 30)
    peak_mb = peak_memory_mb(vm)
    print(f"memory {idle_mb:.0f} -> {peak_mb:.0f} MB, descriptors {idle_fds} -> {most_fds}")
    assert peak_mb < vm.limits["MemoryMb"]
    assert most_fds < vm.limits["MaxFds"]

    async def is_released() -> bool:
        return await memory_in_use(vm) == 0

    await wait_until(is_released, "the budget is empty", 15)


async def send_reports(fleet: Fleet, name: str, port: int) -> None:
    for sequence in range(1, 10_000):
        await fleet.report(name, f"t-{name}", f"127.0.0.1:{port}", sequence)
        await asyncio.sleep(0.3)


def run(
    folder,
    scenario: Callable[[Fleet], Awaitable[None]],
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
) -> None:
    """Run a scenario with three voters, one entry VM and one target for each service."""

    async def body() -> None:
        fleet = Fleet(folder, entries=1)
        targets = {
            "quick": FakeTarget(lambda request: ok(request)),
            "long": FakeTarget(lambda request: ok(request, b"x" * LONG_ANSWER_BYTES)),
            "hang": FakeTarget(lambda request: None),
        }
        targets["hang"].delay_s = 3600.0
        reports = []
        for vm in [*fleet.voters, *fleet.entries]:
            vm.limits = {"MemoryMb": memory_mb, "MaxFds": max_fds}
        try:
            async with asyncio.timeout(150):
                for vm in [*fleet.voters, *fleet.entries]:
                    vm.start(bootstrap=True)
                for name, target in targets.items():
                    await target.start()
                    reports.append(asyncio.ensure_future(send_reports(fleet, name, target.port)))
                await fleet.put_config(CONFIG)
                await scenario(fleet)
        finally:
            for task in reports:
                task.cancel()
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())


def served_by(fleet: Fleet, vm: PlatformVm, path: str, port: int) -> Callable[[], Awaitable[bool]]:
    async def is_served() -> bool:
        return b" 200 " in (await fleet.send("GET", path, None, vm.ip, port))[:20]

    return is_served


@pytest.mark.parametrize("crowds", CALLER_CASES.values(), ids=CALLER_CASES)
def test_callers_do_not_use_up_the_memory_of_an_entry_vm(tmp_path, crowds):
    """Guards against memory that follows the pieces of a message, or that no budget counts."""

    async def scenario(fleet: Fleet) -> None:
        [entry] = fleet.entries
        await press(entry, ENTRY_PORT, crowds, served_by(fleet, entry, "/quick/q", ENTRY_PORT))
        assert await served_by(fleet, entry, "/-/ready", READY_PORT)()

    run(tmp_path, scenario)


@pytest.mark.parametrize("crowds", OTHER_CASES.values(), ids=OTHER_CASES)
@pytest.mark.parametrize("address", ["control", "readiness"])
def test_callers_of_other_addresses_do_not_use_up_the_memory(tmp_path, address, crowds):
    """Guards against an address whose requests no budget counts."""

    async def scenario(fleet: Fleet) -> None:
        if address == "control":
            vm, port, path = fleet.voters[0], CONTROL_PORT, "/-/config"
        else:
            vm, port, path = fleet.entries[0], READY_PORT, "/-/ready"
        await press(vm, port, crowds, served_by(fleet, vm, path, port))

    run(tmp_path, scenario)


@pytest.mark.parametrize("address", ["callers", "control", "readiness"])
def test_connections_stay_below_the_descriptor_limit(tmp_path, address):
    """Guards against a VM that accepts connections until no descriptor is left."""

    async def scenario(fleet: Fleet) -> None:
        if address == "control":
            vm, port, path = fleet.voters[0], CONTROL_PORT, "/-/config"
        elif address == "readiness":
            vm, port, path = fleet.entries[0], READY_PORT, "/-/ready"
        else:
            vm, port, path = fleet.entries[0], ENTRY_PORT, "/quick/q"
        served = served_by(fleet, vm, path, port)
        await press(vm, port, [Crowd(MAX_FDS + 200, head(path)[:-2])], served)

    run(tmp_path, scenario)


def test_an_order_of_many_small_values_stays_within_the_memory(tmp_path):
    """Guards against an order that takes many times its size once it is decoded."""
    values = b"{}," * 2_000_000
    order = b'{"Version":2,"a":[' + values + b"{}]}"
    lines = head("/-/config", f"Content-Length: {len(order)}", method="PUT")

    async def scenario(fleet: Fleet) -> None:
        voter = fleet.voters[0]
        served = served_by(fleet, voter, "/-/config", CONTROL_PORT)
        await press(voter, CONTROL_PORT, [Crowd(2, lines + order)], served)

    run(tmp_path, scenario)


def test_the_largest_order_with_room_is_taken_within_the_memory(tmp_path):
    """Guards against a room for orders that ordinary ones of that size exceed once applied."""
    room_bytes = document_room(MEMORY_MB * 1024 * 1024)
    more = [route("quick", 4000) | {"PathPrefix": f"/p{1000 + i}/"} for i in range(9000)]
    count = int(0.99 * room_bytes / decoded_bytes(json.dumps(more[0]).encode() + b","))
    order = {**CONFIG, "Version": 2, "Routes": CONFIG["Routes"] + more[:count]}
    assert 0.95 * room_bytes < decoded_bytes(json.dumps(order).encode()) < room_bytes

    async def scenario(fleet: Fleet) -> None:
        voter = fleet.voters[0]
        served = served_by(fleet, voter, "/-/config", CONTROL_PORT)
        await wait_until(served, "the first order is in force", 30)
        status = await fleet.send("PUT", "/-/config", order, voter.ip, CONTROL_PORT)
        assert b" 200 " in status[:20]

        [entry] = fleet.entries
        last = served_by(fleet, entry, more[count - 1]["PathPrefix"], ENTRY_PORT)
        await wait_until(last, "the last route is in force", 30)
        for vm in fleet.voters:
            reply = await fleet.send("GET", "/-/config", None, vm.ip, CONTROL_PORT)
            assert b'"Version":2' in reply
        for vm in [*fleet.voters, *fleet.entries]:
            assert vm.process.exit_code is None, vm.process.log_tail()
            print(f"{peak_memory_mb(vm):.0f} MB after {count} routes")
            assert peak_memory_mb(vm) < MEMORY_MB

    run(tmp_path, scenario)


MIXED_CROWD = [
    Crowd(150, chunked("/quick/x", 2, 20_000)),
    Crowd(150, chunked("/quick/x", *LARGE_CHUNKS)),
    Crowd(150, head("/long/x", method="GET"), reads=False),
    Crowd(150, head("/long/x", method="GET"), read_bytes=512),
    Crowd(60, chunked("/quick/x", 1, 240_000)),
]


def test_the_smallest_vm_bears_a_mixed_crowd(tmp_path):
    """Guards against a sum of the parts that only the tables keep; prints what it measured."""

    async def scenario(fleet: Fleet) -> None:
        [entry] = fleet.entries
        served = served_by(fleet, entry, "/quick/q", ENTRY_PORT)
        await press(entry, ENTRY_PORT, MIXED_CROWD, served, hold_s=12.0)
        assert await served_by(fleet, entry, "/-/ready", READY_PORT)()

    run(tmp_path, scenario, memory_mb=200, max_fds=4100)
