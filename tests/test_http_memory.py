"""Tests of the memory that a server holds for its callers, and of what it closes when short."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from hypothesis import given
from hypothesis import strategies as st

from bramleycrank.daemon.connection_limits import ConnectionLimits
from bramleycrank.daemon.http_node import FunctionHandler
from bramleycrank.routing import Limits
from bramleycrank.transport.http1 import Http1Server, ReceiveBudget, TargetConnection, answer_writer

GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = b"x" * 4_000_000


class Served:
    """A server in the loop of the test, with its requests."""

    def __init__(self, body: bytes | None = b"hello", limit_bytes: int = 10**7, **options: int):
        self.body = body
        self.exchanges = []
        self.budget = ReceiveBudget(limit_bytes)
        handler = FunctionHandler(self._respond)
        self.server = Http1Server(handler, receive_budget=self.budget, **options)

    def _respond(self, exchange) -> None:
        self.exchanges.append(exchange)
        if self.body is not None:
            exchange.respond(200, [], self.body)

    async def __aenter__(self):
        await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self.server.close()

    async def connect(self, data: bytes = b"", receive_buffer: int = 0):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.server._server.sockets[0].getsockname())
        await loop.sock_sendall(sock, data)
        return sock

    async def until(self, condition) -> None:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


async def read_all(sock: socket.socket) -> bytes:
    """Read until the server closes."""
    received = b""
    try:
        async with asyncio.timeout(5):
            while piece := await asyncio.get_running_loop().sock_recv(sock, 65_536):
                received += piece
    except ConnectionError:
        pass
    return received


def test_a_body_in_small_chunks_costs_its_bytes():
    """Guards against an object for each chunk."""

    async def scenario():
        async with Served() as served:
            with await served.connect(CHUNKED + b"2\r\nxx\r\n" * 50_000):
                await served.until(lambda: served.budget.held_bytes >= 100_000)
                [conn] = served.server.connections
                assert type(conn._body) is bytearray and len(conn._body) == 100_000
                assert served.budget.held_bytes < 101_000
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_a_partial_head_counts_with_its_headers():
    """Guards against heads that trickle and are counted only once they are complete."""

    async def scenario():
        async with Served() as served:
            with await served.connect(GET[:-2] + b"a:b\r\n" * 1500):
                await served.until(lambda: served.budget.held_bytes > 1500 * 150)
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_an_unread_answer_counts_until_it_has_left_and_holds_the_next_request_back():
    """Guards against answers for slow readers that no budget counts."""

    async def scenario():
        async with Served(ANSWER) as served:
            sock = await served.connect(GET * 5000, receive_buffer=4096)
            await served.until(lambda: served.budget.held_bytes >= len(ANSWER))
            await asyncio.sleep(0.1)
            assert len(served.exchanges) == 1
            assert served.budget.used_bytes < len(ANSWER) + 500_000
            received = b""
            while len(received) < 3 * len(ANSWER):
                received += await asyncio.get_running_loop().sock_recv(sock, 1 << 20)
            assert received.startswith(b"HTTP/1.1 200")
            assert 3 <= len(served.exchanges) <= 8
            sock.close()
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_slow_readers_are_disconnected_first_when_memory_is_short():
    """Load pattern: many callers request long answers and stop reading."""

    async def scenario():
        async with Served(ANSWER) as served:
            slow = [await served.connect(GET, receive_buffer=4096) for _ in range(6)]
            await served.until(lambda: len(served.exchanges) == 6)
            assert served.budget.held_bytes <= served.budget.limit_bytes
            served.body = b"hello"
            with await served.connect(
                GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            ) as one:
                assert (await read_all(one)).endswith(b"hello")
            await served.until(lambda: len(served.server.connections) == 2)
            for sock in slow:
                sock.close()
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_a_caller_that_reads_too_slowly_is_disconnected(monkeypatch):
    """Guards against a reader that takes a few bytes now and then to hold its answer for long."""
    monkeypatch.setattr(answer_writer, "WRITE_TIMEOUT_S", 0.5)
    monkeypatch.setattr(answer_writer, "MIN_READ_BYTES_PER_S", 4_000_000)

    async def scenario():
        async with Served(ANSWER) as served:
            sock = await served.connect(GET, receive_buffer=4096)
            await served.until(lambda: served.exchanges)
            async with asyncio.timeout(5):
                while served.server.connections:
                    await asyncio.wait([asyncio.ensure_future(recv_some(sock))], timeout=0.05)
                    await asyncio.sleep(0.05)
            assert served.budget.used_bytes == 0
            sock.close()

    async def recv_some(sock):
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_recv(sock, 512)

    asyncio.run(scenario())


def test_a_caller_that_makes_progress_is_not_disconnected(monkeypatch):
    """Guards against progress that is seen only once a third of the kernel's buffer is free."""
    monkeypatch.setattr(answer_writer, "WRITE_TIMEOUT_S", 1.5)
    answer = ANSWER * 4

    async def scenario():
        async with Served(answer, limit_bytes=10**8) as served:
            sock = await served.connect(GET)
            loop = asyncio.get_running_loop()
            received = 0
            for _ in range(40):
                received += len(await loop.sock_recv(sock, 16_384))
                await asyncio.sleep(0.1)
            assert received < len(answer) / 2 and served.server.connections
            while received < len(answer):
                received += len(await loop.sock_recv(sock, 1 << 20))
            sock.close()

    asyncio.run(scenario())


def test_a_caller_that_reads_nothing_is_disconnected_after_the_idle_timeout():
    """Guards against a reader that stops and keeps its answer longer than it may be idle."""

    async def scenario():
        async with Served(ANSWER) as served:
            served.server.limits = lambda: Limits(idle_timeout_s=0.5)
            with await served.connect(GET, receive_buffer=4096):
                await served.until(lambda: served.exchanges)
                await served.until(lambda: not served.server.connections)
            assert served.budget.used_bytes == 0

    asyncio.run(scenario())


def test_a_refusal_behind_pipelined_requests_reaches_the_caller():
    """Guards against a reset that loses the refusal, since unread data follows the request."""

    async def scenario():
        async with Served(None, limit_bytes=60_000) as served:
            data = (GET[:-2] + b"a: " + b"b" * 900 + b"\r\n\r\n") * 200
            sock = await served.connect(data)
            await served.until(lambda: served.exchanges)
            await asyncio.sleep(0.1)
            while served.server.connections and served.exchanges:
                served.exchanges.pop().respond(200, [], b"hello")
                await asyncio.sleep(0.01)
            received = await read_all(sock)
            assert received.count(b"HTTP/1.1 503 ") == 1 and b"Retry-After: 1" in received
            sock.close()
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_the_connection_without_an_answer_for_longest_is_closed_for_another_one():
    """Guards against descriptors that idle callers use up, and against the end of one in use."""

    async def scenario():
        async with Served(None, max_connections=4) as served:
            first = await served.connect(GET)
            await served.until(lambda: served.exchanges)
            idle = [await served.connect(GET[:-2]) for _ in range(40)]
            await served.until(lambda: len(served.server.connections) <= 4)
            last = await served.connect(GET)
            await served.until(lambda: len(served.exchanges) == 2)
            for exchange in served.exchanges:
                exchange.respond(200, [], b"hello", close=True)
            for sock in (first, last):
                assert (await read_all(sock)).endswith(b"hello")
            for sock in idle:
                sock.close()

    asyncio.run(scenario())


def test_a_connection_with_an_unread_request_is_not_closed_for_another_one():
    """Guards against a reset of a connection whose request is only in the kernel's buffer."""

    async def scenario():
        async with Served(None, max_connections=2) as served:
            first, second = [await served.connect() for _ in range(2)]
            await served.until(lambda: len(served.server.connections) == 2)
            # The loop does not run between these calls, so it accepts before it reads.
            with socket.create_connection(first.getpeername()):
                first.send(GET)
                await served.until(lambda: served.exchanges)
                assert await read_all(second) == b""
                served.exchanges[0].respond(200, [], b"hello", close=True)
                assert (await read_all(first)).endswith(b"hello")
            first.close()
            second.close()

    asyncio.run(scenario())


def test_a_connection_is_refused_if_all_others_are_in_use():
    async def scenario():
        async with Served(None, max_connections=2) as served:
            used = [await served.connect(GET) for _ in range(2)]
            await served.until(lambda: len(served.exchanges) == 2)
            refused = await served.connect()
            assert await read_all(refused) == b""
            assert len(served.server.connections) == 2
            for sock in used:
                sock.close()

    asyncio.run(scenario())


class Waiting:
    """Listener of a connection whose request is in progress."""

    def on_closed(self, conn: TargetConnection) -> None:
        """Ignore the end."""

    def on_connected(self, conn: TargetConnection) -> None:
        conn.send(b"POST / HTTP/1.1\r\n\r\n" + ANSWER * 4)


def test_a_sub_request_counts_only_until_its_bytes_have_left():
    """Load pattern: targets take large requests at once and work on them for seconds."""

    async def scenario():
        budget = ReceiveBudget(10**8)
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setblocking(False)
            _, conn = await loop.create_connection(
                lambda: TargetConnection(Waiting(), budget), *listening.getsockname()
            )
            sock, _ = await loop.sock_accept(listening)
            with sock:
                assert 10**6 < budget.held_bytes < 17 * 10**6
                while budget.held_bytes:
                    await asyncio.wait_for(loop.sock_recv(sock, 1 << 20), 2)
                # A part of a response counts by itself.
                await loop.sock_sendall(sock, b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nxx")
                async with asyncio.timeout(2):
                    while not budget.held_bytes:
                        await asyncio.sleep(0.01)
                assert conn.busy and budget.held_bytes < 100
                conn.close()
                assert budget.used_bytes == 0

    asyncio.run(scenario())


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 400)), max_size=60))
def test_the_budget_counts_each_byte_once(steps):
    """Guards against bytes that are given back twice or never."""
    budget, held, now = ReceiveBudget(500, lambda: now), {}, 0.0
    for holder, count in steps:
        now += 1.0
        held[holder] = count
        for evicted in budget.hold(holder, count):
            held[evicted] = 0
        assert budget.held_bytes == sum(held.values()) <= budget.limit_bytes
    for holder in held:
        budget.hold(holder, 0)
    assert budget.used_bytes == 0


def test_the_holder_of_most_bytes_for_longest_is_evicted():
    now = 0.0
    budget = ReceiveBudget(1000, lambda: now)
    budget.hold("stalled", 400)
    now = 10.0
    budget.hold("fast", 500)
    now = 10.1
    assert budget.hold("small", 150) == ["stalled"]


def test_connection_limits_leave_descriptors_for_targets_and_memory_for_messages():
    limits = ConnectionLimits.from_resources(200 << 20, 4100, serves_callers=True)
    assert limits.callers + limits.peers + limits.control + 2 * limits.checks < 0.85 * 3900
    assert limits.callers > 2000
    small = ConnectionLimits.from_resources(80 << 20, 4100, serves_callers=False)
    assert small.callers == small.control < 1000


def test_a_refused_body_behind_a_request_in_progress_is_freed():
    """Guards against refused bodies that stay until the request before them is answered."""

    async def scenario():
        async with Served(None) as served:
            data = GET + CHUNKED + b"10000\r\n" + b"x" * 65_536 + b"\r\n"
            served.server.limits = lambda: Limits(body_bytes=60_000)
            with await served.connect(data):
                await served.until(lambda: served.exchanges)
                [conn] = served.server.connections
                await served.until(lambda: conn._error is not None)
                assert not conn._body and served.budget.held_bytes < 5000
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_an_interim_answer_never_stands_inside_an_answer():
    """Guards against an answer that looks complete with the bytes of another one in it."""
    expecting = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n"
        b"Connection: close\r\n\r\nhello"
    )

    async def scenario():
        async with Served(ANSWER) as served:
            sock = await served.connect(GET + expecting, receive_buffer=4096)
            received = await read_all(sock)
            start = received.index(b"\r\n\r\n") + 4
            assert received[start : start + len(ANSWER)] == ANSWER
            sock.close()

    asyncio.run(scenario())


def test_a_long_last_answer_ends_its_connection_without_an_error():
    """Guards against a connection that is closed while its transport still writes."""
    errors: list[dict] = []

    async def scenario():
        asyncio.get_running_loop().set_exception_handler(lambda loop, info: errors.append(info))
        async with Served(ANSWER) as served:
            last = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
            sock = await served.connect(last, receive_buffer=4096)
            assert (await read_all(sock)).endswith(ANSWER)
            sock.close()
            await served.until(lambda: not served.server.connections)

    asyncio.run(scenario())
    assert not errors
