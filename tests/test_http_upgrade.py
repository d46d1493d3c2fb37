"""Tests of requests that offer another protocol; the server ignores the offer."""

from __future__ import annotations

import asyncio

import pytest
from http_fakes import call, header, ok
from test_entry_controller import run, status
from test_http_memory import Served, read_all

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
START = b"POST /one/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
BODIES = {
    "sized": b"Content-Length: 11\r\n\r\nfirst order",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n6\r\n order\r\n0\r\n\r\n",
}
NEXT = b"POST /one/y HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nsecond"
LAST = b"GET /one/z HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize("piece_bytes", [1, 7, 100_000])
def test_an_offer_is_ignored_and_the_request_runs_once_with_its_body(body, piece_bytes):
    """Guards against a body that is dropped, and a second answer that the next request gets."""
    data = START + OFFER + body + NEXT + START + OFFER + body + LAST

    async def scenario():
        async with Served() as served:
            sock = await served.connect()
            for begin in range(0, len(data), piece_bytes):
                await asyncio.get_running_loop().sock_sendall(sock, data[begin:][:piece_bytes])
                await asyncio.sleep(0)
            with sock:
                received = await read_all(sock)
            requests = [(e.request.target, e.request.body) for e in served.exchanges]
            first = (b"/one/x", b"first order")
            assert requests == [first, (b"/one/y", b"second"), first, (b"/one/z", b"")]
            assert received.count(b"HTTP/1.1 200 ") == received.count(b"HTTP/1.1 ") == 4
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())


def test_an_offer_is_not_passed_on():
    """Guards against a target that switches protocols, as nobody here understands."""

    async def scenario(world):
        response = await call(world.port, START + OFFER + BODIES["sized"])
        assert status(response) == 200 and response.count(b"HTTP/1.1 ") == 1
        [request] = world.fakes["a1"].requests
        assert request.endswith(b"\r\n\r\nfirst order")
        assert not header(request, b"Upgrade") and not header(request, b"HTTP2-Settings")

    run(scenario, a1=ok)


@pytest.mark.parametrize(
    "data",
    [
        START + OFFER + b"Content-Length: 5\r\nContent-Length: 4\r\n\r\nwrong",
        START + OFFER + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        START + OFFER + b"Transfer-Encoding: gzip\r\n\r\nwrong",
        START + OFFER + b"A: " + b"x" * 100_000 + b"\r\n\r\n",
        b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + LAST,
        b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n" + OFFER + b"\r\n",
    ],
)
def test_an_offer_does_not_ease_the_rules_of_requests(data):
    """Guards against a request that runs although it is refused."""

    async def scenario():
        async with Served() as served:
            with await served.connect(data) as sock:
                received = await read_all(sock)
            assert received[:12] in (b"HTTP/1.1 400", b"HTTP/1.1 431")
            assert received.count(b"HTTP/1.1 ") == 1 and not served.exchanges
            await served.until(lambda: served.budget.used_bytes == 0)

    asyncio.run(scenario())
