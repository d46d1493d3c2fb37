"""Tests requests that one entry VM serves for another, over loopback with scripted targets."""

from __future__ import annotations

import asyncio
import contextlib
import random
from types import SimpleNamespace

import attrs
import pytest
from http_fakes import call, header, ok
from test_entry_controller import TABLE, EntryVm, run, status

from bramleycrank.connections.reach import Reach
from bramleycrank.entry.delegation_headers import MAX_SENDS, Offer, Reply
from bramleycrank.entry.delegator import ROUTES_WAIT_S, Delegator
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.platform.headers import PlatformHeaders
from bramleycrank.proto.log_pb2 import RouteTable
from bramleycrank.proto.peer_pb2 import VM_STATE_ALIVE, VmRecord
from bramleycrank.scatter.peer_watch import CHECK_TIMEOUT_S
from bramleycrank.transport.http1 import Http1Server, Request
from bramleycrank.transport.http1.client import MAX_RESPONSE_BYTES

PARTS = {name: lambda r, n=name: ok(r, n[0].encode() * 16) for name in ("a1", "b1")}


class CutEntryVm(EntryVm):
    """An entry VM that reaches no target, and a second one that reaches all of them."""

    async def __aenter__(self):
        self.records: list[VmRecord] = []
        self.delegator = Delegator(
            "vm1",
            "d",
            PlatformHeaders(),
            SimpleNamespace(vms=lambda: self.records),
            NullMetrics(),
            random.Random(1),
            Traffic(),
        )
        await super().__aenter__()
        self.other = EntryVm()
        await self.other.__aenter__()
        self.other.fakes = self.fakes
        for service in "ab":
            self.other.entry._targets._refresh(service)
        handler = SimpleNamespace(on_request=self.other.entry.on_delegated_request)
        self.server_of_other = Http1Server(handler, self.other.entry.delegation_limits)
        await self.server_of_other.start("127.0.0.1", 0)
        port = self.server_of_other._server.sockets[0].getsockname()[1]
        self.records = [
            VmRecord(vm_id="vm2", state=VM_STATE_ALIVE, host="127.0.0.1", delegation_port=port)
        ]
        self.cut()
        return self

    def cut(self, entry=None):
        """Cut a VM off from its targets, as its monitor does."""
        monitor = (entry or self.entry)._targets.reach
        monitor._enter(Reach.CUT, 0.0)
        monitor._probe_at = float("inf")

    def put_table_of_other(self, version: int) -> None:
        """Put the same routes in force at the second VM, with another version."""
        self.other.table = RouteTable()
        self.other.table.CopyFrom(TABLE)
        self.other.table.version = version
        self.other.callbacks[0]()

    def take_table_of_other(self) -> None:
        """Put the table of the second VM in force at the first one."""
        self.table = self.other.table
        self.callbacks[0]()

    async def __aexit__(self, *exc: object) -> None:
        self.server_of_other.close()
        self.other.fakes = {}
        await self.other.__aexit__(*exc)
        await super().__aexit__(*exc)

    def requests(self) -> list[bytes]:
        return [request for fake in self.fakes.values() for request in fake.requests]


def test_another_vm_serves_all_kinds_of_requests_whole():
    async def scenario(vm):
        for _ in range(2):
            response = await vm.get("/all/q", "X-Deadline-Ms: 900\r\nX-Own: v\r\n")
            assert status(response) == 200 and header(response, b"X-Request-Id") == b"r1"
            assert header(response, b"X-Part-Stamps") == b"stamp, stamp"
            assert response.endswith(b"b" * 16 + b"a" * 16)
            assert b"bramleycrank" not in response.lower()
        head = b"POST /order/x?y HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\nContent-Length: 3\r\n"
        assert status(await call(vm.port, head + b"\r\nabc")) == 200
        first, order = vm.requests()[0], vm.fakes["a1"].requests[-1]
        assert header(first, b"X-Own") == b"v" and int(header(first, b"X-Deadline-Ms")) <= 900
        assert order.startswith(b"POST /order/x?y ") and order.endswith(b"\r\n\r\nabc")
        assert all(b"bramleycrank" not in request.lower() for request in vm.requests())
        assert vm.delegator.in_flight == 0

    run(scenario, CutEntryVm, **PARTS)


def test_a_request_is_never_passed_on_twice():
    """Guards against VMs that hand a request to each other while neither reaches a target."""

    async def scenario(vm):
        vm.cut(vm.other.entry)
        started = asyncio.get_running_loop().time()
        response = await vm.get("/all/q")
        assert status(response) == 503
        assert 1.0 <= float(header(response, b"Retry-After")) <= 1.5, "the cut has lasted long"
        assert asyncio.get_running_loop().time() - started < 0.9, "0.6 s are the caller's own wait"
        assert vm.delegator.dump()["peers"]["vm2"]["unreached"] == 2

    run(scenario, CutEntryVm, **PARTS)


def test_nothing_is_started_by_other_routes():
    """Guards against an answer by routes that the offering VM has replaced."""

    async def scenario(vm):
        vm.put_table_of_other(2)
        assert status(await vm.get("/all/q")) == 503
        assert vm.requests() == []
        response = asyncio.ensure_future(vm.get("/all/q"))
        await asyncio.sleep(0.1)
        vm.take_table_of_other()
        assert status(await response) == 200, "the table reached both VMs in time"

    run(scenario, CutEntryVm, **PARTS)


def test_a_request_waits_as_long_as_a_table_needs_to_reach_a_vm():
    """Guards against refusals while a route table is in force at one VM and not yet at another."""

    async def scenario(vm):
        vm.put_table_of_other(2)
        response = asyncio.ensure_future(vm.get("/all/q"))
        await asyncio.sleep(ROUTES_WAIT_S * 10)
        assert vm.requests() == []
        vm.take_table_of_other()
        assert status(await response) == 200

    run(scenario, CutEntryVm, **PARTS)


def test_a_vm_with_other_routes_is_not_avoided():
    """Guards against half a second of refusals, as of a VM that reaches too few targets."""

    async def scenario(vm):
        vm.put_table_of_other(2)
        response = asyncio.ensure_future(vm.get("/all/q"))
        while not vm.delegator.in_flight:
            await asyncio.sleep(0)
        (item,) = vm.delegator._offered
        unserved = asyncio.Event()
        assert vm.delegator.offer(
            attrs.evolve(item.request, on_other_routes=None, on_unserved=unserved.set)
        )
        await unserved.wait()
        assert not vm.delegator.dump()["peers"]["vm2"]["paused"]
        vm.take_table_of_other()
        assert status(await response) == 200

    run(scenario, CutEntryVm, **PARTS)


def test_a_vm_without_the_call_is_passed_over():
    """Guards against requests to VMs of a build that does not listen for them."""

    async def scenario(vm):
        older = VmRecord(vm_id="vm3", state=VM_STATE_ALIVE, host="127.0.0.1")
        closed = VmRecord(vm_id="vm4", state=VM_STATE_ALIVE, host="127.0.0.1", delegation_port=1)
        vm.records += [older, closed]
        for _ in range(6):
            assert status(await vm.get("/order/x")) == 200
        assert "vm3" not in vm.delegator.choice.peers

    run(scenario, CutEntryVm, **PARTS)


def test_a_vm_that_does_not_respond_is_passed_over_at_once():
    """Load pattern: the only VMs that reach the targets are behind a partition."""

    async def scenario(vm):
        async with await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0, backlog=0) as full:
            port = full.sockets[0].getsockname()[1]
            full.get_loop().remove_reader(full.sockets[0].fileno())
            fillers = [asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
            filling = [asyncio.ensure_future(filler) for filler in fillers]
            await asyncio.sleep(0.1)
            vm.records[0].delegation_port = port
            started = asyncio.get_running_loop().time()
            assert status(await vm.get("/all/q")) == 503
            assert asyncio.get_running_loop().time() - started < 0.6 + 0.3, "0.6 s: the idle wait"
            for task in filling:
                task.cancel()

    run(scenario, CutEntryVm, **PARTS)


def test_a_request_that_is_lost_at_the_other_vm_is_not_sent_again():
    """Guards against a request that runs twice because its answer was lost between VMs."""

    async def scenario(vm):
        vm.fakes["a1"].delay_s = 0.3
        response = asyncio.ensure_future(vm.get("/order/x"))
        await asyncio.sleep(0.1)
        for conn in list(vm.server_of_other.connections):
            conn.abort()
        assert status(await response) == 502
        assert len(vm.requests()) == 1

    run(scenario, CutEntryVm, **PARTS)


def test_a_stopping_vm_rejects_and_another_one_serves():
    """Load pattern: a VM gets SIGTERM while others hand it their work."""

    async def scenario(vm):
        assert status(await vm.get("/order/x")) == 200
        vm.server_of_other.draining = True  # its connections are still open
        assert status(await vm.get("/order/x")) == 503
        assert len(vm.requests()) == 1

    run(scenario, CutEntryVm, **PARTS)


def test_targets_stop_when_the_caller_of_the_other_vm_disconnects():
    async def scenario(vm):
        for fake in vm.fakes.values():
            fake.delay_s = 0.8
        _, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(b"GET /all/q HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n")
        await asyncio.sleep(0.2)
        assert vm.other.entry.in_flight == 1
        writer.close()
        await asyncio.sleep(0.2)
        assert vm.delegator.in_flight == 0 and vm.other.entry.in_flight == 0

    run(scenario, CutEntryVm, **PARTS)


class FrozenVm:
    """A VM whose kernel accepts connections while its process does not run."""

    def __init__(self, vm_id: str = "vm3") -> None:
        self.vm_id = vm_id
        self.requests: list[bytes] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                self.requests.append(head)
        writer.close()

    @contextlib.asynccontextmanager
    async def known_to(self, vm: CutEntryVm, *, alone: bool = True):
        """Listen as a VM that others know; as the only one if `alone` is set."""
        async with await asyncio.start_server(self._serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            record = VmRecord(
                vm_id=self.vm_id, state=VM_STATE_ALIVE, host="127.0.0.1", delegation_port=port
            )
            vm.records = [*([] if alone else vm.records), record]
            vm.delegator._peers_read_at = float("-inf")
            yield self
            for writer in self.writers:
                writer.transport.abort()
            await asyncio.sleep(0.01)

    @property
    def offers(self) -> int:
        """Number of requests that were offered, without checks."""
        return sum(b"bramleycrank-offer" in head.lower() for head in self.requests)


async def timed_answer(vm: CutEntryVm, path: str, extra: str = "") -> tuple[int, float]:
    """Send one request; return its status and the time until its first byte, in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n{extra}\r\n".encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return status(answer), loop.time() - started


def test_a_request_offered_to_a_frozen_vm_ends_at_the_timeout_of_its_route():
    """Guards against requests that wait for another VM until their callers leave."""

    async def scenario(vm):
        async with FrozenVm().known_to(vm):
            answer, elapsed_s = await timed_answer(vm, "/order/x", "X-Deadline-Ms: 4000\r\n")
        assert answer == 504 and 0.6 < elapsed_s < 0.7 + 0.5

    run(scenario, CutEntryVm, **PARTS)


def test_a_frozen_vm_gets_few_requests_and_later_ones_are_refused_at_once():
    """Load pattern: the only VM that seems to reach a service does not run."""

    async def scenario(vm):
        async with FrozenVm().known_to(vm) as frozen:
            answer, elapsed_s = await timed_answer(vm, "/one/x", "X-Deadline-Ms: 4000\r\n")
            assert answer == 502, "it may have run there, so it is no 503"
            assert elapsed_s < 1.5, "before the timeout of the route"
            for _ in range(5):
                answer, elapsed_s = await timed_answer(vm, "/order/x")
                assert answer == 503 and elapsed_s < 0.5, "long before the timeout of the route"
            assert frozen.offers == 1
            assert vm.delegator.in_flight == 0

    run(scenario, CutEntryVm, **PARTS)


def test_requests_go_to_another_vm_once_one_is_known_to_be_frozen():
    """Guards against attempts beyond the route's: the frozen VM may have sent some, or will."""

    async def scenario(vm):
        frozen = FrozenVm()
        async with frozen.known_to(vm, alone=False):
            while not frozen.offers:
                answer, elapsed_s = await timed_answer(vm, "/all/x")
            assert answer == 502 and elapsed_s < 1.0, "before the timeout of the route"
            sent_before = len(vm.requests())
            for _ in range(5):
                answer, elapsed_s = await timed_answer(vm, "/all/x")
                assert answer == 200 and elapsed_s < 0.5
            assert frozen.offers == 1
            assert len(vm.requests()) == sent_before + 2 * 5
            vm.delegator.on_report("vm3", 0)
            assert "vm3" in {vm.delegator._choose(2, ()).vm_id for _ in range(20)}, "it returned"

    run(scenario, CutEntryVm, **PARTS)


def test_a_request_that_may_run_once_stays_at_a_frozen_vm():
    async def scenario(vm):
        frozen = FrozenVm()
        async with frozen.known_to(vm):
            answer = asyncio.ensure_future(timed_answer(vm, "/order/x"))
            await asyncio.sleep(0.1)
            vm.records = [*vm.records, VmRecord(vm_id="vm2", state=VM_STATE_ALIVE)]
            assert (await answer)[0] == 504
            assert frozen.offers == 1 and vm.requests() == []

    run(scenario, CutEntryVm, **PARTS)


@pytest.mark.parametrize(
    "reply",
    [
        (b"HTTP/1.1 200 OK\r\na: ", b"b" * 65536),
        (b"HTTP/1.1 200 OK\r\nBramleycrank-Reply: started\r\n\r\n", b"c" * 65536),
        (b"", b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" * 1000),
    ],
    ids=["head", "body", "interim responses"],
)
def test_an_answer_of_another_vm_without_end_is_given_up(reply):
    """Guards against bytes without end from another VM, for a request and for a check."""

    class EndlessVm(FrozenVm):
        sent = 0

        async def _serve(self, reader, writer):
            self.writers.append(writer)
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(reply[0])
                while True:
                    writer.write(reply[1])
                    await writer.drain()
                    self.sent += len(reply[1])

    async def scenario(vm):
        endless = EndlessVm()
        async with endless.known_to(vm):
            answer, elapsed_s = await timed_answer(vm, "/one/x")
            assert answer == 502 and elapsed_s < 1.5, "before the timeout of the route"
            await asyncio.sleep(CHECK_TIMEOUT_S + 0.1)
            assert endless.offers == 1 and len(endless.requests) == 2, "one of them is a check"
            assert endless.sent < 2 * (MAX_RESPONSE_BYTES + 8 * 1024 * 1024)
            assert vm.delegator._connector.receive_budget.held_bytes == 0
            assert (await timed_answer(vm, "/order/x"))[0] == 503

    run(scenario, CutEntryVm, **PARTS)


def test_a_vm_that_works_for_long_is_not_given_up():
    """Guards against the loss of requests whose work takes longer than a check."""

    async def scenario(vm):
        vm.fakes["a1"].delay_s = 0.55
        answer, elapsed_s = await timed_answer(vm, "/order/x")
        assert answer == 200 and elapsed_s > 0.5
        assert len(vm.requests()) == 1

    run(scenario, CutEntryVm, **PARTS)


def test_the_caller_is_answered_at_its_deadline():
    async def scenario(vm):
        vm.fakes["a1"].delay_s = 2.0
        started = asyncio.get_running_loop().time()
        assert status(await vm.get("/order/x", "X-Deadline-Ms: 300\r\n")) == 504
        assert asyncio.get_running_loop().time() - started < 1.1

    run(scenario, CutEntryVm, **PARTS)


def test_requests_in_progress_go_to_another_vm_within_their_attempts():
    """Load pattern: links go silent under requests in flight; one attempt of two is left."""

    async def scenario(vm):
        vm.entry._targets.reach._enter(Reach.CONNECTED, 0.0)
        for fake in vm.fakes.values():
            fake.delay_s = 0.3
        answers = [asyncio.ensure_future(vm.get(path)) for path in ("/all/q", "/one/q", "/order/q")]
        await asyncio.sleep(0.1)
        for fake in vm.fakes.values():
            fake.delay_s = 0.0
        vm.cut()
        vm.entry._hand_over_requests()
        gathered, single, order = await asyncio.gather(*answers)
        assert status(gathered) == status(single) == status(order) == 200
        sent = [request.split()[1] for request in vm.requests()]
        assert sent.count(b"/order/q") == 1, "it may run once only"
        assert sent.count(b"/all/q") == 4 and sent.count(b"/one/q") == 2
        budgets = vm.other.entry._targets.policy._budgets
        assert {name: budget.used for name, budget in budgets.items()} == {"a": 2, "b": 1}

    # A VM that has just joined opens one connection to each target.
    run(scenario, CutEntryVm, **PARTS, a2=PARTS["a1"], a3=PARTS["a1"])


def test_malformed_offers_and_replies_are_rejected():
    def offer(value: bytes) -> Offer | None:
        return Offer.from_request(
            Request(b"GET", b"/", b"h", [(b"bramleycrank-offer", value)], b"")
        )

    assert offer(b"7;12;3;1,0,999") == Offer(7, 0.012, 3, (1, 0, MAX_SENDS))
    assert offer(Offer(1, 0.0, 2).headers()[0][1]) == Offer(1, 0.0, 2)
    for value in (b"", b"7;12;3", b"7;x;3;", b"7;12;3;-1", b"7;12;3;1,,2", b"9" * 30 + b";1;1;"):
        assert offer(value) is None
    replies: dict = {
        b"-1;7": None,
        b"x;y": None,
        b"started": Reply(True),
        b"3;7": Reply(False, 3, 7),
        b"": None,
        b"3": None,
    }
    for value, reply in replies.items():
        assert Reply.from_response(SimpleNamespace(fields={b"bramleycrank-reply": value})) == reply


@pytest.mark.parametrize(
    "line",
    [b"HTTP/1.1 000 OK", b"HTTP/1.1 600 OK", b"HTTP/2.0 200 OK", b"HTTP/1.1 101 OK"],
    ids=["000", "600", "HTTP/2.0", "101"],
)
def test_an_answer_of_another_vm_without_a_final_status_is_not_passed_on(line):
    """Guards against a status that is none and reaches the caller of a cut-off VM."""

    class BrokenVm(FrozenVm):
        async def _serve(self, reader, writer):
            self.writers.append(writer)
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(line + b"\r\nBramleycrank-Reply: started\r\nContent-Length: 0\r\n\r\n")

    async def scenario(vm):
        broken = BrokenVm()
        async with broken.known_to(vm):
            answer, elapsed_s = await timed_answer(vm, "/one/x")
            assert answer == 502 and elapsed_s < 1.0, "before the timeout of the route"

    run(scenario, CutEntryVm, **PARTS)
