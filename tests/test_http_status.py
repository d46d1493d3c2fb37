"""Tests of what counts as an answer: status lines and the headers that end a body."""

from __future__ import annotations

import asyncio

import pytest
from http_fakes import call, ok
from test_entry_controller import run, status

from bramleycrank.transport.http1 import ReceiveBudget, TargetConnection

HEADERS = b"X-Request-Id: r1\r\nX-Server-Stamp: stamp\r\n"
SIZED = HEADERS + b"Content-Length: 5\r\n\r\nwrong"

BROKEN_START_LINES = {
    "000": b"HTTP/1.1 000 OK",
    "099": b"HTTP/1.1 099 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "minus": b"HTTP/1.1 -20 OK",
    "plus": b"HTTP/1.1 +20 OK",
    "fraction": b"HTTP/1.1 2.0 OK",
    "hexadecimal": b"HTTP/1.1 0xC8 OK",
    "digits of another alphabet": "HTTP/1.1 ٢٠٠ OK".encode(),
    "no status": b"HTTP/1.1 OK",
    "nothing behind the version": b"HTTP/1.1 ",
    "only the version": b"HTTP/1.1",
    "101": b"HTTP/1.1 101 Switching Protocols",
    "600": b"HTTP/1.1 600 OK",
    "999": b"HTTP/1.1 999 OK",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "HTTP/3.0": b"HTTP/3.0 200 OK",
    "HTTP/1.2": b"HTTP/1.2 200 OK",
    "HTTP/1": b"HTTP/1 200 OK",
    "another protocol": b"ICY 200 OK",
    "lower case": b"http/1.1 200 OK",
    "two spaces": b"HTTP/1.1  200 OK",
    "letter behind the status": b"HTTP/1.1 200OK",
    "NUL in the reason": b"HTTP/1.1 200 O\0K",
    "a request": b"GET / HTTP/1.1",
    "garbage": b"\x16\x03\x01\x02\x00\x01\x00",
}

CHUNKED = b"5\r\nwrong\r\n0\r\n\r\n"

BROKEN_FRAMING = {
    "two lengths": b"Content-Length: 5\r\nContent-Length: 4\r\n\r\nwrong",
    "the same length twice": b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nwrong",
    "list of lengths": b"Content-Length: 5, 5\r\n\r\nwrong",
    "length and chunks": b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKED,
    "chunks and length": b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + CHUNKED,
    "negative length": b"Content-Length: -5\r\n\r\nwrong",
    "signed length": b"Content-Length: +5\r\n\r\nwrong",
    "length without digits": b"Content-Length: five\r\n\r\nwrong",
    "empty length": b"Content-Length: \r\n\r\nwrong",
    "hexadecimal length": b"Content-Length: 0x5\r\n\r\nwrong",
    "length beyond 64 bits": b"Content-Length: 99999999999999999999\r\n\r\nwrong",
    "space before the colon": b"Content-Length : 5\r\n\r\nwrong",
    "other encoding": b"Transfer-Encoding: gzip\r\n\r\nwrong",
    "chunked is not the last encoding": b"Transfer-Encoding: chunked, gzip\r\n\r\n" + CHUNKED,
    "identity": b"Transfer-Encoding: identity\r\n\r\nwrong",
    "chunked twice": b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n" + CHUNKED,
    "other encoding before chunks": b"Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKED,
    "chunk without a size": b"Transfer-Encoding: chunked\r\n\r\n\r\n" + CHUNKED,
    "chunk of a negative size": b"Transfer-Encoding: chunked\r\n\r\n-" + CHUNKED,
    "chunk longer than its size": b"Transfer-Encoding: chunked\r\n\r\n4\r\nwrong\r\n0\r\n\r\n",
}

BROKEN = {name: line + b"\r\n" + SIZED for name, line in BROKEN_START_LINES.items()} | {
    name: b"HTTP/1.1 200 OK\r\n" + HEADERS + rest for name, rest in BROKEN_FRAMING.items()
}
BROKEN["000 before an answer"] = BROKEN["000"] + b"HTTP/1.1 200 OK\r\n" + SIZED
BROKEN["600 before an answer"] = BROKEN["600"] + b"HTTP/1.1 200 OK\r\n" + SIZED

BROKEN_REQUEST_LINES = {
    "HTTP/0.9": b"POST /one/x HTTP/0.9",
    "HTTP/2.0": b"POST /one/x HTTP/2.0",
    "HTTP/1.2": b"POST /one/x HTTP/1.2",
    "no version": b"POST /one/x",
    "another protocol": b"POST /one/x ICY/1.1",
    "a response": b"HTTP/1.1 200 OK",
    "control character": b"POST /one/\x01 HTTP/1.1",
    "unknown method": b"POSTS /one/x HTTP/1.1",
}

VALID_START_LINES = {
    "no reason": b"HTTP/1.1 200 ",
    "no space for a reason": b"HTTP/1.1 200",
    "HTTP/1.0": b"HTTP/1.0 200 OK",
    "other reason": b"HTTP/1.1 200 As Requested",
    "interim response before it": b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK",
}


class Transport:
    """Transport of a connection that only receives."""

    def get_extra_info(self, name: str) -> None:
        return None

    def write(self, data: bytes) -> None:
        """Ignore a request."""

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limit, since nothing is held back."""

    def abort(self) -> None:
        """Ignore the end."""


class Listener:
    """Stores the outcome of a request."""

    def __init__(self) -> None:
        self.outcome: object = "waits"

    def on_connected(self, conn: TargetConnection) -> None:
        conn.send(b"GET / HTTP/1.1\r\n\r\n")

    def on_response(self, conn: TargetConnection, response) -> None:
        self.outcome = response.status, response.body

    def on_request_failed(self, conn: TargetConnection, *, garbled: bool) -> None:
        self.outcome = "garbled" if garbled else "lost"

    def on_closed(self, conn: TargetConnection) -> None:
        """Ignore the end."""


async def receive(data: bytes) -> object:
    """Return what a connection to a target makes of these bytes."""
    listener = Listener()
    conn = TargetConnection(listener, ReceiveBudget())
    conn.connection_made(Transport())
    conn.get_buffer(-1)[: len(data)] = data
    conn.buffer_updated(len(data))
    return listener.outcome


@pytest.mark.parametrize("data", BROKEN.values(), ids=BROKEN)
def test_what_is_no_answer_is_garbled_and_another_target_responds(data):
    """Guards against an answer of a target in trouble that reaches the caller as an answer."""
    calls = []

    def script(request):
        calls.append(request)
        return data if len(calls) == 1 else ok(request)

    async def scenario(world):
        assert await receive(data) == "garbled"
        response = await world.get()
        assert status(response) == 200 and response.endswith(b"\r\n\r\nhello")
        assert len(calls) == 2

    run(scenario, a1=script, a2=script)


@pytest.mark.parametrize("line", VALID_START_LINES.values(), ids=VALID_START_LINES)
def test_valid_start_lines_are_answers(line):
    assert asyncio.run(receive(line + b"\r\n" + SIZED)) == (200, b"wrong")


def test_exactly_the_statuses_from_200_to_599_are_final():
    async def scenario():
        for code in range(1000):
            data = b"HTTP/1.1 %03d OK\r\n" % code
            if code in (204, 304):
                assert await receive(data + HEADERS + b"\r\n") == (code, b"")
            elif 200 <= code <= 599:
                assert await receive(data + SIZED) == (code, b"wrong")
            elif 100 <= code <= 199 and code != 101:
                rest = b"\r\nHTTP/1.1 200 OK\r\n" + SIZED
                assert await receive(data + HEADERS + rest) == (200, b"wrong")
            else:
                assert await receive(data + SIZED) == "garbled", code

    asyncio.run(scenario())


REQUEST_HEADERS = b"\r\nHost: h\r\nX-Request-Id: r1\r\n"
BROKEN_REQUESTS = {
    name: line + REQUEST_HEADERS + b"Content-Length: 5\r\n\r\nwrong"
    for name, line in BROKEN_REQUEST_LINES.items()
} | {
    name: b"POST /one/x HTTP/1.1" + REQUEST_HEADERS + rest for name, rest in BROKEN_FRAMING.items()
}


@pytest.mark.parametrize("data", BROKEN_REQUESTS.values(), ids=BROKEN_REQUESTS)
def test_a_broken_request_gives_400_and_is_not_forwarded(data):
    """Guards against two readings of where a request ends."""

    async def scenario(world):
        response = await call(world.port, data)
        assert status(response) == 400 and response.count(b"HTTP/1.1 ") == 1
        assert not world.fakes["a1"].requests

    run(scenario, a1=ok)
