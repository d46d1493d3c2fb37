"""Real processes: the allowance of a customer holds over all VMs while the leader is killed."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal

import pytest
from http_fakes import FakeTarget, ok
from test_process_platform import config, send_reports

from bramleycrank.customers import Customer
from bramleycrank.customers.allowances import AllowanceBounds
from bramleycrank.proto.entry_pb2 import DumpRequest
from bramleycrank.transport.entry_service import EntryStub
from bramleycrank.transport.peer_client import PeerClients
from harness.platform_fleet import ENTRY_PORT, Fleet, PlatformVm
from harness.processes import wait_until

pytestmark = pytest.mark.process

BOUNDS = AllowanceBounds()
ACME = Customer("acme", per_s=6.0, burst=6.0)
PEER_PORT = 17740  # first of the fleet's InternalPortRange
ISSUES = "this VM issues them"


class Flood:
    """Callers of one customer that send about 100 requests/s together, whatever they are told."""

    def __init__(self) -> None:
        self.numbers = itertools.count()
        self.sent_at: dict[int, float] = {}
        self.ran_at: dict[int, float] = {}
        self.statuses: list[tuple[float, int]] = []

    def on_target(self, request: bytes) -> bytes:
        number = int(request.split(b" ", 2)[1].rpartition(b"/")[2])
        self.ran_at.setdefault(number, asyncio.get_running_loop().time())
        return ok(request, b"a" * 16)

    async def run(self, entry: PlatformVm) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                reader, writer = await asyncio.open_connection(entry.ip, ENTRY_PORT)
                while True:
                    number = next(self.numbers)
                    head = f"GET /all/{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
                    self.sent_at[number] = loop.time()
                    writer.write(f"{head}Authorization: Token k\r\n\r\n".encode())
                    reply = await reader.readuntil(b"\r\n\r\n")
                    length = reply.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
                    await reader.readexactly(int(length))
                    self.statuses.append((loop.time(), int(reply.split(b" ", 2)[1])))
                    await asyncio.sleep(0.06)
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)

    def fullest_window(self) -> int:
        """Return the most requests that were both sent and run within one window."""
        spans = [(self.sent_at[number], at) for number, at in self.ran_at.items()]
        return max(
            sum(start <= sent and at < start + BOUNDS.window_s for sent, at in spans)
            for start, _ in spans
        )

    def served(self, since: float) -> int:
        return sum(at >= since and status == 200 for at, status in self.statuses)


async def knows_use_of_others(entry: PlatformVm) -> bool:
    """Return whether a VM knows what customers use at other VMs."""
    reply = await PeerClients().call(
        f"{entry.ip}:{PEER_PORT}",
        "Dump",
        DumpRequest(),
        timeout_s=2.0,
        stub_type=EntryStub,
        purpose="operators",
    )
    return json.loads(reply.json)["entry"]["waiting"]["fleet_use"]["pairs"] > 0


async def scenario(fleet: Fleet, flood: Flood) -> None:
    loop = asyncio.get_running_loop()
    for vm in [*fleet.voters, *fleet.entries]:
        vm.start(bootstrap=True)
    document = config(1, 1)
    tenant = {"Name": ACME.name, "ApiKeys": ["k"], "RatePerS": ACME.per_s, "Burst": ACME.burst}
    await fleet.put_config({**document, "Tenants": [tenant]})
    callers = [asyncio.ensure_future(flood.run(e)) for e in fleet.entries for _ in range(3)]
    try:
        await wait_until(lambda: flood.served(0.0) > 40, "the customer is served", 30)
        assert any(status == 429 for _, status in flood.statuses)
        for entry in fleet.entries:
            await wait_until(lambda entry=entry: knows_use_of_others(entry), "reports of use")

        def leader() -> PlatformVm:
            logs = {vm.name: (fleet.folder / f"{vm.name}.log").read_text() for vm in fleet.voters}
            return next(vm for vm in fleet.voters if ISSUES in logs[vm.name])

        leader().process.signal(signal.SIGKILL)
        killed_at = loop.time()
        await wait_until(
            lambda: flood.served(killed_at) > BOUNDS.bound(ACME), "it is served again", 30
        )
    finally:
        for caller in callers:
            caller.cancel()


def test_requests_over_all_vms_stay_within_the_allowance_while_the_leader_is_killed(tmp_path):
    """Guards against a burst at each VM, and against a second one after a change of the leader."""
    flood = Flood()

    async def body() -> None:
        fleet = Fleet(tmp_path, entries=3)
        targets = {"a": FakeTarget(flood.on_target), "b": FakeTarget(lambda r: ok(r, b"b" * 16))}
        reports = []
        try:
            async with asyncio.timeout(90):
                for name, target in targets.items():
                    await target.start()
                    reports.append(asyncio.ensure_future(send_reports(fleet, name, target.port)))
                await scenario(fleet, flood)
        finally:
            for task in reports:
                task.cancel()
            for process in fleet.processes:
                process.reap()

    asyncio.run(body())
    assert flood.fullest_window() <= BOUNDS.bound(ACME)
