"""The HTTP entry with the platform's headers, over loopback, against scripted targets."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest
from http_fakes import FakeTarget, call, header, ok

from bramleycrank.daemon.entry_controller import EntryController
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


class World:
    """One entry VM and its targets."""

    def __init__(self, **scripts) -> None:
        self.fakes = {name: FakeTarget(script) for name, script in scripts.items()}
        self.table: RouteTable | None = TABLE
        self.callbacks: list = []

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

    async def __aenter__(self) -> World:
        for fake in self.fakes.values():
            await fake.start()
        routes = SimpleNamespace(routes=lambda: self.table, subscribe=self.callbacks.append)
        targets = SimpleNamespace(
            targets=self.targets,
            subscribe_targets=lambda callback: None,
            vm_count=lambda domain=None: 1,
        )
        self.entry = EntryController(
            "d",
            PlatformHeaders(),
            routes,
            targets,
            RetryBudgetConfig(0.2, 10.0, 50.0),
            NullMetrics(),
            random.Random(1),
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


def run(scenario, kind=World, **scripts):
    """Run a scenario in a world with the given targets."""

    async def body():
        async with asyncio.timeout(20), kind(**scripts) as world:
            return await scenario(world)

    return asyncio.run(body())


def status(response: bytes) -> int:
    return int(response.split(b" ", 2)[1])


def test_method_path_body_and_headers_reach_the_target_and_the_answer_the_caller():
    async def scenario(world):
        raw = (
            b"POST /one/a?b=c HTTP/1.1\r\nHost: h\r\nX-Request-Id: r7\r\nX-Deadline-Ms: 800\r\n"
            b"X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: dropped\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        response = await call(world.port, raw)
        [request] = world.fakes["a1"].requests
        assert request.startswith(b"POST /one/a?b=c HTTP/1.1\r\n") and request.endswith(b"abcde")
        assert header(request, b"X-Own") == b"kept" and not header(request, b"X-Hop")
        assert header(request, b"X-Expect-Instance") == b"a1"
        assert 0 < int(header(request, b"X-Deadline-Ms")) <= 800
        assert status(response) == 200 and response.endswith(b"hello")
        assert header(response, b"X-Server-Stamp") == b"stamp"

    run(scenario, a1=ok)


def test_parts_of_all_shards_are_merged_with_their_receipts():
    async def scenario(world):
        response = await world.get("/all/q")
        assert header(response, b"X-Part-Stamps") == b"stamp, stamp"
        assert header(response, b"X-Missing-Parts") == b"0"
        assert response.endswith(b"\r\n\r\n" + b"b" * 16 + b"a" * 16)

    run(scenario, a1=lambda r: ok(r, b"a" * 16), b1=lambda r: ok(r, b"b" * 16))


def test_a_missing_shard_is_told():
    async def scenario(world):
        response = await world.get("/all/q")
        assert header(response, b"X-Missing-Parts") == b"1"
        assert response.endswith(b"\r\n\r\n" + b"a" * 16)

    run(scenario, a1=lambda r: ok(r, b"a" * 16))


def misdirected(request: bytes) -> bytes:
    return b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"


def full(request: bytes) -> bytes:
    return b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


def stray(request: bytes) -> bytes:
    return ok(request).replace(b"X-Request-Id: r1", b"X-Request-Id: other")


def torn(request: bytes) -> bytes | None:
    return None


def unproven(request: bytes) -> bytes:
    return ok(request).replace(b"X-Server-Stamp: stamp\r\n", b"")


def noise(request: bytes) -> bytes:
    return b"\x00\x01 this is no response\r\n\r\n"


@pytest.mark.parametrize("bad", [misdirected, full, stray, torn, unproven, noise])
def test_an_idempotent_request_is_answered_by_the_other_target(bad):
    """Guards against bytes of a broken target in a caller's answer."""
    calls = []

    def first_bad(request: bytes) -> bytes | None:
        calls.append(request)
        return bad(request) if len(calls) == 1 else ok(request)

    async def scenario(world):
        response = await world.get()
        assert status(response) == 200 and response.endswith(b"\r\n\r\nhello")
        assert len(calls) == 2

    run(scenario, a1=first_bad, a2=first_bad)


@pytest.mark.parametrize("bad", [stray, torn, unproven, noise])
def test_a_request_that_may_have_run_is_sent_once_and_the_refusal_promises_nothing(bad):
    async def scenario(world):
        response = await world.get("/order/x")
        assert status(response) == 502
        assert sum(len(fake.requests) for fake in world.fakes.values()) == 1

    run(scenario, a1=bad, a2=bad)


@pytest.mark.parametrize("bad", [misdirected, full])
def test_a_request_that_all_targets_refused_tells_the_caller_when_to_come_back(bad):
    async def scenario(world):
        response = await world.get("/order/x")
        assert status(response) == 503 and float(header(response, b"Retry-After")) > 0
        assert sum(len(fake.requests) for fake in world.fakes.values()) == 2

    run(scenario, a1=bad, a2=bad)


def test_the_timeout_of_the_route_ends_a_request():
    async def scenario(world):
        world.fakes["a1"].delay_s = 5.0
        started = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(b"GET /order/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
        assert b" 504 " in await reader.readline()
        assert 0.65 <= asyncio.get_running_loop().time() - started < 1.0
        writer.close()

    run(scenario, a1=ok)


def test_a_caller_that_leaves_cancels_the_work_at_the_target():
    async def scenario(world):
        target = world.fakes["a1"]
        target.delay_s = 0.3
        _, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(b"GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
        while not target.requests:
            await asyncio.sleep(0.01)
        writer.close()
        for _ in range(50):
            await asyncio.sleep(0.02)
            if target.closed:
                break
        assert target.closed == 1 and world.entry.in_flight == 0

    run(scenario, a1=ok)


def test_connections_are_kept_unless_the_target_sends_more_than_its_answer():
    async def scenario(world):
        for _ in range(3):
            await world.get()
        assert world.fakes["a1"].connections == 1
        world.fakes["a1"].script = lambda r: ok(r) + ok(r, b"extra")
        assert (await world.get()).endswith(b"\r\n\r\nhello")
        world.fakes["a1"].script = ok
        assert (await world.get()).endswith(b"\r\n\r\nhello")
        assert world.fakes["a1"].connections == 2

    run(scenario, a1=ok)


def test_a_vm_without_routes_refuses_and_says_when_to_come_back():
    async def scenario(world):
        response = await world.get()
        assert status(response) == 503 and header(response, b"Retry-After")

    async def body():
        world = World(a1=ok)
        world.table = None
        async with world:
            await scenario(world)

    asyncio.run(body())


HOST = b"Host: h\r\nX-Request-Id: r\r\n"
SMUGGLED = [
    b"POST /one/x HTTP/1.1\r\n" + HOST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    b"POST /one/x HTTP/1.1\r\n"
    + HOST
    + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /one/y",
    b"GET /one/x HTTP/1.1\r\nHost: h\r\nHost: other\r\n\r\n",
    b"GET /one/x HTTP/1.1\r\n\r\n",
    b"nonsense\r\n\r\n",
]


@pytest.mark.parametrize("raw", SMUGGLED)
def test_an_ambiguous_request_is_refused_and_reaches_no_target(raw):
    async def scenario(world):
        response = await call(world.port, raw)
        assert status(response) == 400 and b"Connection: close" in response
        assert not world.fakes["a1"].requests

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
def test_what_callers_may_send_is_bounded(raw, expected):
    async def scenario(world):
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
        writer.write(raw)
        assert status(await asyncio.wait_for(reader.readline(), 2.0)) == expected
        writer.close()

    run(scenario, a1=ok)


def test_requests_in_one_packet_are_answered_in_order():
    async def scenario(world):
        request = b"GET /one/%d HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\n\r\n"
        response = await call(world.port, b"".join(request % (n, n) for n in range(20)))
        ids = [p.split(b"\r\n")[0] for p in response.split(b"X-Request-Id: ")[1:]]
        assert ids == [b"%d" % n for n in range(20)]

    run(scenario, a1=ok)


def test_an_answer_leaves_earlier_for_a_caller_that_has_waited_before():
    """Load pattern: callers whose connections or first tries took a part of the objective."""

    async def body() -> tuple[float, float]:
        async with World(a1=ok, b1=ok) as world:
            for fake in world.fakes.values():
                fake.delay_s = 0.4
            starts = []
            for wait_ms in (900, 800):
                raw = b"GET /all/q HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: %d\r\n\r\n"
                _, writer = await asyncio.open_connection("127.0.0.1", world.port)
                writer.write(raw % wait_ms)
                while not world.entry.in_flight:
                    await asyncio.sleep(0.005)
                [pending] = world.entry._calls
                starts.append(pending.exchange.arrived - pending.execution._arrived)
                writer.close()
                while world.entry.in_flight:
                    await asyncio.sleep(0.005)
        return starts[0], starts[1]

    first, second = asyncio.run(body())
    assert first == 0.0
    assert second == pytest.approx(0.1)


def test_the_round_trip_of_a_connection_is_known():
    async def body() -> float | None:
        async with World(a1=ok) as world:
            reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
            writer.write(b"GET /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            [connection] = world.server.connections
            writer.close()
            return connection.round_trip_s

    round_trip_s = asyncio.run(body())
    assert round_trip_s is None or 0 <= round_trip_s < 1.0


def test_a_target_is_told_the_time_that_is_left_when_the_request_leaves():
    """Load pattern: a VM short of processor time, or a connection that is slow to open."""

    async def body() -> int:
        async with World(a1=ok) as world:
            pool = world.entry._targets.pool
            connected = pool.on_connected

            def late(conn: object) -> None:
                asyncio.get_running_loop().call_later(0.2, connected, conn)

            pool.on_connected = late
            raw = b"GET /one/q HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 800\r\n\r\n"
            await call(world.port, raw)
            [request] = world.fakes["a1"].requests
            return int(header(request, b"X-Deadline-Ms"))

    assert asyncio.run(body()) <= 600
