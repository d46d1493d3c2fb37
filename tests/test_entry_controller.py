"""Tests the HTTP entry with the platform's headers over loopback against scripted targets."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest
from http_fakes import FakeTarget, call, header, ok

from bramleycrank.entry.controller import EntryController
from bramleycrank.entry.delegator import Delegator
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.platform.headers import PlatformHeaders
from bramleycrank.proto.log_pb2 import CallerLimits, HttpService, Route, RouteTable, WeightedService
from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, TargetRecord
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS
from bramleycrank.transport.http1 import Http1Server

TABLE = RouteTable(
    version=1,
    routes=[
        Route(
            name="one",
            host="h",
            path_prefix="/one/",
            idempotent=True,
            timeout_ms=1500,
            objective_ms=200,
            max_targets=2,
            split=[WeightedService(name="a", weight=1)],
        ),
        Route(
            name="order",
            host="h",
            path_prefix="/order/",
            timeout_ms=700,
            max_targets=2,
            split=[WeightedService(name="a", weight=1)],
        ),
        Route(
            name="all",
            host="h",
            path_prefix="/all/",
            timeout_ms=1000,
            objective_ms=300,
            max_targets=2,
            shards=["a", "b"],
            top_records=2,
            min_coverage=0.5,
        ),
    ],
    services=[HttpService(name="a", connections=40), HttpService(name="b", connections=40)],
    limits=CallerLimits(
        header_bytes=2000, body_bytes=1000, header_timeout_ms=400, idle_timeout_ms=5000
    ),
)


class EntryVm:
    """An entry VM and its targets, all on loopback."""

    def __init__(self, **scripts) -> None:
        self.fakes = {name: FakeTarget(script) for name, script in scripts.items()}
        self.table: RouteTable | None = TABLE
        self.is_newest = True
        self.callbacks: list = []
        self.delegator: Delegator | None = None

    def targets(self, service: str) -> list[TargetRecord]:
        return [
            TargetRecord(
                target_id=name,
                incarnation=1,
                state=TARGET_STATE_SERVING,
                service=name[0],
                host="127.0.0.1",
                port=fake.port,
                domain="d",
                slots=4,
                replicas=SINGLE_SHARD_REPLICAS,
            )
            for name, fake in self.fakes.items()
            if name[0] == service
        ]

    async def __aenter__(self) -> EntryVm:
        for fake in self.fakes.values():
            await fake.start()
        routes = SimpleNamespace(
            routes=lambda: self.table,
            subscribe=self.callbacks.append,
            is_newest=lambda: self.is_newest,
        )
        targets = SimpleNamespace(
            targets=self.targets,
            subscribe_targets=lambda callback: None,
            vm_count=lambda domain=None: 1,
            warm_at=lambda target_id: 0.0,
            restored_at=lambda domain: None,
            caller_vms=list,
        )
        self.entry = EntryController(
            "vm1",
            "d",
            PlatformHeaders(),
            routes,
            targets,
            RetryBudgetConfig(0.2, 10.0, 50.0),
            NullMetrics(),
            random.Random(1),
            delegator=self.delegator,
        )
        await self.entry.start()
        self.server = Http1Server(self.entry, self.entry.limits)
        await self.server.start("127.0.0.1", 0)
        self.port = self.server._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.server.close()
        await self.entry.stop()
        for fake in self.fakes.values():
            fake.stop()

    async def get(self, path: str = "/one/x", extra: str = "") -> bytes:
        raw = f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n{extra}\r\n"
        return await call(self.port, raw.encode())


def run(scenario, vm_class=EntryVm, **scripts):
    """Run a scenario with an entry VM and targets that follow the given scripts."""

    async def body():
        async with asyncio.timeout(20), vm_class(**scripts) as vm:
            return await scenario(vm)

    return asyncio.run(body())


def status(response: bytes) -> int:
    return int(response.split(b" ", 2)[1])


def test_request_reaches_the_target_and_response_reaches_the_caller_unchanged_but_for_hop_headers():
    async def scenario(vm):
        raw = (
            b"POST /one/a?b=c HTTP/1.1\r\nHost: h\r\nX-Request-Id: r7\r\nX-Deadline-Ms: 800\r\n"
            b"X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: dropped\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        response = await call(vm.port, raw)
        [request] = vm.fakes["a1"].requests
        assert request.startswith(b"POST /one/a?b=c HTTP/1.1\r\n") and request.endswith(b"abcde")
        assert header(request, b"X-Own") == b"kept" and not header(request, b"X-Hop")
        assert header(request, b"X-Expect-Instance") == b"a1"
        assert 0 < int(header(request, b"X-Deadline-Ms")) <= 800
        assert status(response) == 200 and response.endswith(b"hello")
        assert header(response, b"X-Server-Stamp") == b"stamp"

    run(scenario, a1=ok)


def test_replies_of_all_shards_are_merged_and_receipts_are_listed():
    async def scenario(vm):
        response = await vm.get("/all/q")
        assert header(response, b"X-Part-Stamps") == b"stamp, stamp"
        assert header(response, b"X-Missing-Parts") == b"0"
        assert response.endswith(b"\r\n\r\n" + b"b" * 16 + b"a" * 16)

    run(scenario, a1=lambda r: ok(r, b"a" * 16), b1=lambda r: ok(r, b"b" * 16))


def test_merged_answer_states_the_number_of_missing_shards():
    async def scenario(vm):
        response = await vm.get("/all/q")
        assert header(response, b"X-Missing-Parts") == b"1"
        assert response.endswith(b"\r\n\r\n" + b"a" * 16)

    run(scenario, a1=lambda r: ok(r, b"a" * 16))


def misdirected(request: bytes) -> bytes:
    return b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"


def refusing(request: bytes) -> bytes:
    return b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def mismatched(request: bytes) -> bytes:
    return ok(request).replace(b"X-Request-Id: r1", b"X-Request-Id: other")


def truncated(request: bytes) -> bytes | None:
    return None


def without_receipt(request: bytes) -> bytes:
    return ok(request).replace(b"X-Server-Stamp: stamp\r\n", b"")


def not_http(request: bytes) -> bytes:
    return b"\x00\x01 this is no response\r\n\r\n"


@pytest.mark.parametrize(
    "bad", [misdirected, refusing, mismatched, truncated, without_receipt, not_http]
)
def test_idempotent_request_is_retried_at_another_target(bad):
    """Guards against a caller's answer that contains bytes of an invalid response."""
    calls = []

    def fail_first(request: bytes) -> bytes | None:
        calls.append(request)
        return bad(request) if len(calls) == 1 else ok(request)

    async def scenario(vm):
        response = await vm.get()
        assert status(response) == 200 and response.endswith(b"\r\n\r\nhello")
        assert len(calls) == 2

    run(scenario, a1=fail_first, a2=fail_first)


@pytest.mark.parametrize("bad", [mismatched, truncated, without_receipt, not_http])
def test_non_idempotent_request_that_may_have_run_is_not_retried_and_answered_with_502(bad):
    async def scenario(vm):
        response = await vm.get("/order/x")
        assert status(response) == 502
        assert sum(len(fake.requests) for fake in vm.fakes.values()) == 1

    run(scenario, a1=bad, a2=bad)


@pytest.mark.parametrize("bad", [misdirected, refusing])
def test_request_that_all_targets_refused_is_answered_with_503_and_retry_after(bad):
    async def scenario(vm):
        response = await vm.get("/order/x")
        assert status(response) == 503 and float(header(response, b"Retry-After")) > 0
        assert sum(len(fake.requests) for fake in vm.fakes.values()) == 2

    run(scenario, a1=bad, a2=bad)


def test_request_ends_with_504_at_the_timeout_of_its_route():
    async def scenario(vm):
        vm.fakes["a1"].delay_s = 5.0
        started = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(b"GET /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
        assert b" 504 " in await reader.readline()
        assert 0.65 <= asyncio.get_running_loop().time() - started < 1.0
        writer.close()

    run(scenario, a1=ok)


def test_sub_request_is_cancelled_when_the_caller_disconnects():
    async def scenario(vm):
        target = vm.fakes["a1"]
        target.delay_s = 0.3
        _, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(b"GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
        while not target.requests:
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(50):
            await asyncio.sleep(0.02)
            if target.closed:
                break
        assert target.closed == 1 and vm.entry.in_flight == 0

    run(scenario, a1=ok)


def test_connections_are_reused_unless_the_target_sends_bytes_after_its_response():
    async def scenario(vm):
        for _ in range(3):
            await vm.get()
        assert vm.fakes["a1"].connections == 1
        vm.fakes["a1"].script = lambda r: ok(r) + ok(r, b"extra")
        assert (await vm.get()).endswith(b"\r\n\r\nhello")
        vm.fakes["a1"].script = ok
        assert (await vm.get()).endswith(b"\r\n\r\nhello")
        assert vm.fakes["a1"].connections == 2

    run(scenario, a1=ok)


def test_vm_without_routes_answers_503_with_retry_after():
    async def scenario(vm):
        response = await vm.get()
        assert status(response) == 503 and header(response, b"Retry-After")

    async def body():
        vm = EntryVm(a1=ok)
        vm.table = None
        async with vm:
            await scenario(vm)

    asyncio.run(body())


HOST = b"Host: h\r\nX-Request-Id: r\r\n"
AMBIGUOUS_REQUESTS = [
    b"POST /one/x HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    b"POST /one/x HTTP/1.1\r\n"
    + HOST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /one/y",
    b"GET /one/x HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
    b"GET /one/x HTTP/1.1\r\n\r\n",
    b"nonsense\r\n\r\n",
]


@pytest.mark.parametrize("raw", AMBIGUOUS_REQUESTS)
def test_ambiguous_request_is_rejected_and_reaches_no_target(raw):
    async def scenario(vm):
        response = await call(vm.port, raw)
        assert status(response) == 400 and b"Connection: close" in response
        assert not vm.fakes["a1"].requests

    run(scenario, a1=ok)


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"GET /one/x HTTP/1.1\r\n" + HOST + b"X-Long: " + b"x" * 3000 + b"\r\n\r\n", 431),
        (b"POST /one/x HTTP/1.1\r\n" + HOST + b"Content-Length: 5000\r\n\r\n", 413),
        (b"GET /one/x HTTP/1.1\r\nHost: h\r\n", 408),
        (b"GET /none/x HTTP/1.1\r\n" + HOST + b"\r\n", 404),
    ],
)
def test_limits_on_caller_requests_are_enforced(raw, expected):
    async def scenario(vm):
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        writer.write(raw)
        assert status(await asyncio.wait_for(reader.readline(), 2.0)) == expected
        writer.close()

    run(scenario, a1=ok)


def test_pipelined_requests_are_answered_in_order():
    async def scenario(vm):
        request = b"GET /one/%d HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\n\r\n"
        response = await call(vm.port, b"".join(request % (n, n) for n in range(20)))
        ids = [p.split(b"\r\n")[0] for p in response.split(b"X-Request-Id: ")[1:]]
        assert ids == [b"%d" % n for n in range(20)]

    run(scenario, a1=ok)


def test_time_that_a_caller_has_already_waited_counts_toward_the_objective():
    """Load pattern: callers that spent part of the objective on connecting or earlier attempts."""

    async def body() -> tuple[float, float]:
        async with EntryVm(a1=ok, b1=ok) as vm:
            for fake in vm.fakes.values():
                fake.delay_s = 0.4
            starts = []
            for wait_ms in (900, 800):
                raw = b"GET /all/q HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: %d\r\n\r\n"
                _, writer = await asyncio.open_connection("127.0.0.1", vm.port)
                writer.write(raw % wait_ms)
                while not vm.entry.in_flight:
                    await asyncio.sleep(0.005)
                [pending] = vm.entry._calls
                starts.append(pending.exchange.arrived - pending.execution._arrived)
                writer.close()
                while vm.entry.in_flight:
                    await asyncio.sleep(0.005)
        return starts[0], starts[1]

    first, second = asyncio.run(body())
    assert first == 0.0
    assert second == pytest.approx(0.1)


def test_connection_reports_its_round_trip():
    async def body() -> float | None:
        async with EntryVm(a1=ok) as vm:
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
            writer.write(b"GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            [connection] = vm.server.connections
            writer.close()
            return connection.round_trip_s

    round_trip_s = asyncio.run(body())
    assert round_trip_s is None or 0 <= round_trip_s < 1.0


def test_deadline_header_holds_the_time_left_when_the_sub_request_is_sent():
    """Load pattern: a VM with little processor time, or a connection that opens slowly."""

    async def body() -> int:
        async with EntryVm(a1=ok) as vm:
            pool = vm.entry._targets.pool
            on_connected = pool.on_connected

            def connected_late(conn: object) -> None:
                asyncio.get_running_loop().call_later(0.2, on_connected, conn)

            pool.on_connected = connected_late
            raw = b"GET /one/q HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 800\r\n\r\n"
            await call(vm.port, raw)
            [request] = vm.fakes["a1"].requests
            return int(header(request, b"X-Deadline-Ms"))

    assert asyncio.run(body()) <= 600


def test_attempts_of_one_request_have_one_fingerprint_in_the_log(caplog):
    async def scenario(vm):
        for number, path in enumerate(("/one/x", "/one/x", "/one/y", "/one/x?a=1")):
            raw = f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: q{number}\r\n\r\n"
            await call(vm.port, raw.encode())

    caplog.set_level("INFO")
    run(scenario, a1=lambda request: None)
    prints = [record.fingerprint for record in caplog.records if hasattr(record, "fingerprint")]
    assert len(prints) == 4 and prints[0] == prints[1]
    assert len(set(prints)) == 3
