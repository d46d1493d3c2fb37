"""Drives the HTTP interface through an in-memory connection.

Guards against invalid input that gets no typed error or affects other requests, bodies that are
read without a limit, and queries that continue after their caller disconnected.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from query_fakes import run_virtual
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bramleycrank.exceptions import InvalidRequest, Outcome, QueueFull
from bramleycrank.filters.parse import parse_request
from bramleycrank.query.types import (
    Answer,
    Attempts,
    Coverage,
    Hit,
    MissingReason,
    MissingShard,
    QueryRequest,
    Snapshot,
)
from bramleycrank.transport.http_api import MAX_BODY_BYTES, MAX_DISCARDED_BYTES, HttpApi

GOOD = {"service": "archivio", "kind": "search", "query": "crack"}
ANSWER = Answer(
    "partial",
    (Hit("h", 1.5, "b"),),
    Snapshot(3, 2),
    Coverage(1, 2, (MissingShard(1, MissingReason.TIMEOUT),)),
    Attempts(2, 2),
)


class FakeExecutor:
    """Returns an answer, fails or waits, depending on the query of the request."""

    def __init__(self) -> None:
        self.requests: list[QueryRequest] = []
        self.cancelled = 0

    async def execute(self, req: QueryRequest) -> Answer:
        self.requests.append(req)
        if req.query == "refuse":
            raise QueueFull(outcome=Outcome.NOT_RUN, retry_after_ms=1200)
        if req.query == "break":
            raise RuntimeError("secret detail")
        if req.query == "wait":
            try:
                await asyncio.sleep(1000)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        return ANSWER


class Server:
    """The HTTP interface with in-memory connections."""

    def __init__(self) -> None:
        self.executor = FakeExecutor()
        self.reason = ""
        api = HttpApi(self.executor, lambda: self.reason, lambda: {"part": "state"})
        self.site = api.site(reactor=Clock())

    def connect(self) -> tuple:
        channel, transport = self.site.buildProtocol(None), StringTransport()
        channel.makeConnection(transport)
        return channel, transport

    async def send(self, data: bytes, chunk: int = 1 << 20):
        """Return status, headers and JSON body of the response to `data`."""
        channel, transport = self.connect()
        for start in range(0, len(data), chunk):
            if not transport.disconnecting:
                channel.dataReceived(data[start : start + chunk])
        await asyncio.sleep(0.001)
        head, _, body = transport.value().partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        return int(lines[0].split()[1]), headers, json.loads(body)

    async def post(self, body: object):
        return await self.send(post(body))


def post(body: object, path: str = "/v1/query") -> bytes:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: vm\r\nContent-Length: {len(raw)}\r\n\r\n"
    return head.encode() + raw


def get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: vm\r\n\r\n".encode()


def run_with(scenario):
    async def main():
        return await scenario(Server())

    return run_virtual(main())


def test_answer_has_the_documented_json_form() -> None:
    async def scenario(server: Server) -> None:
        status, _, body = await server.post({**GOOD, "class": "urgent", "limit": 3})
        assert status == 200
        assert body == {
            "outcome": "partial",
            "result": [{"id": "h", "score": 1.5, "body": "b"}],
            "snapshot": {"version": 3, "shard_count": 2},
            "coverage": {
                "answered": 1,
                "total": 2,
                "missing": [{"shard": 1, "reason": "timeout"}],
            },
            "attempts": {"needed": 2, "sent": 2, "hedges": 0, "retries": 0, "restarts": 0},
            "config": {"revision": 0, "stale_ms": 0},
            "request_key": "",
        }
        assert Answer.from_dict(body) == ANSWER
        [req] = server.executor.requests
        assert (req.priority, req.limit, req.allow_partial) == ("urgent", 3, True)

    run_with(scenario)


BAD = [
    ({**GOOD, "service": 1}, 100, ["service"]),
    ({"kind": "fetch"}, 100, ["service", "key"]),
    ({"service": "a", "kind": "search"}, 100, ["query"]),
    ({**GOOD, "limit": True, "deadline_ms": 60_001, "x": 1}, 100, ["limit", "deadline_ms", "x"]),
    ({**GOOD, "limit": 1.0, "allow_partial": 1, "class": ["urgent"]}, 100, ["limit", "class"]),
    ({**GOOD, "request_key": "k" * 129, "issued_at_ms": 0}, 100, ["request_key", "issued_at_ms"]),
    ({**GOOD, "query": "\ud800", "payload": None}, 100, ["query", "payload"]),
    (b'{"service": "a", "service": "b", "kind": "search", "query": ""}', 100, ["service"]),
    (b"", 101, []),
    (b"[]", 101, []),
    (b"\xff{}", 101, []),
    (b"[" * 60_000, 101, []),
    (b'{"limit": ' + b"9" * 5000 + b"}", 101, []),
]


@pytest.mark.parametrize(("body", "code", "names"), BAD)
def test_invalid_body_gets_one_typed_error_with_all_problems(body, code: int, names: list) -> None:
    async def scenario(server: Server) -> None:
        status, _, response = await server.post(body)
        assert status == 400
        assert response["error"]["code"] == code
        for name in names:
            assert f"{name}: " in response["error"]["message"]
        assert not server.executor.requests
        assert (await server.post(GOOD))[0] == 200

    run_with(scenario)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)
FIELDS = ["service", "kind", "class", "deadline_ms", "allow_partial", "request_key", "key"]
FIELDS += ["issued_at_ms", "query", "limit", "payload", "other"]


@given(st.binary(max_size=200) | st.dictionaries(st.sampled_from(FIELDS), JSON))
def test_any_body_is_parsed_or_rejected_with_a_typed_error(body) -> None:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    try:
        req = parse_request(raw)
    except InvalidRequest as exc:
        kind = body.get("kind") if isinstance(body, dict) else None
        read = kind in ("search", "fetch", "quick_match") if isinstance(kind, str) else False
        assert (exc.outcome is Outcome.NOT_RUN) == read
    else:
        assert req.service
        assert req.kind
        assert 1 <= req.limit <= 1000
        req.query.encode()


def test_errors_have_status_and_retry_after() -> None:
    async def scenario(server: Server) -> None:
        status, headers, body = await server.post({**GOOD, "query": "refuse"})
        assert (status, headers["retry-after"]) == (503, "2")
        assert body["error"]["outcome"] == "not_run"
        assert body["error"]["retry_after_ms"] == 1200
        status, headers, body = await server.post({**GOOD, "query": "break"})
        assert (status, body["error"]["name"]) == (500, "InternalError")
        assert "retry-after" not in headers
        assert "secret" not in json.dumps(body)

    run_with(scenario)


@pytest.mark.parametrize(
    "size", [MAX_BODY_BYTES + 1, MAX_DISCARDED_BYTES + 1, 20 * MAX_DISCARDED_BYTES]
)
@pytest.mark.parametrize("chunked", [False, True])
def test_large_body_is_refused_while_it_is_read(size: int, chunked: bool) -> None:
    async def scenario(server: Server) -> None:
        if chunked:
            head = b"POST /v1/query HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n"
            data = head + b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n"
        else:
            data = post(b"x" * size)
        status, headers, body = await server.send(data, chunk=1 << 16)
        assert (status, body["error"]["code"]) == (413, 102)
        assert headers["connection"] == "close"
        assert not server.executor.requests

    run_with(scenario)


def test_endless_body_is_refused() -> None:
    async def scenario(server: Server) -> None:
        head = b"POST /v1/query HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        status, _, _ = await server.send(head + chunk * (MAX_DISCARDED_BYTES // 65_536 + 1), 65_536)
        assert status == 413

    run_with(scenario)


def test_lost_connection_cancels_the_query() -> None:
    async def scenario(server: Server) -> None:
        channel, _ = server.connect()
        channel.dataReceived(post({**GOOD, "query": "wait"}))
        await asyncio.sleep(0.01)
        assert server.executor.requests
        channel.connectionLost(Failure(ConnectionDone()))
        await asyncio.sleep(0.01)
        assert server.executor.cancelled == 1

    run_with(scenario)


@pytest.mark.parametrize("query", ["crack", "refuse", "break"])
def test_connection_closes_after_its_response_while_the_vm_is_not_ready(query: str) -> None:
    """Guards against callers that keep using a stopping VM until its exit breaks the connection."""

    async def scenario(server: Server) -> None:
        for server.reason, closed in (("", False), ("draining", True)):
            channel, transport = server.connect()
            channel.dataReceived(post({**GOOD, "query": query}))
            await asyncio.sleep(0.001)
            assert transport.disconnecting == closed
            assert (b"connection: close" in transport.value().lower()) == closed

    run_with(scenario)


def test_closing_connection_with_unsent_data_counts_as_flushing() -> None:
    """Guards against a shutdown that truncates the responses to callers that read slowly."""

    async def scenario(server: Server) -> None:
        idle, _ = server.connect()
        channel, transport = server.connect()
        server.reason = "draining"
        channel.dataReceived(post(GOOD))
        await asyncio.sleep(0.001)
        assert transport.disconnecting and server.site.flushing == 1
        channel.connectionLost(Failure(ConnectionDone()))
        assert server.site.flushing == 0 and len(server.site.channels) == 1
        idle.connectionLost(Failure(ConnectionDone()))
        assert not server.site.channels

    run_with(scenario)


def test_health_readiness_dump_and_unknown_paths() -> None:
    async def scenario(server: Server) -> None:
        assert (await server.send(get("/healthz")))[0] == 200
        assert (await server.send(get("/readyz")))[0] == 200
        server.reason = "draining"
        status, _, body = await server.send(get("/readyz"))
        assert (status, body["reason"]) == (503, "draining")
        assert (await server.send(get("/v1/dump")))[2] == {"part": "state"}
        assert (await server.send(get("/nowhere")))[2]["error"]["name"] == "NotFound"
        assert (await server.send(get("/%ff")))[2]["error"]["name"] == "InvalidRequest"
        status, _, body = await server.send(get("/v1/query"))
        assert (status, body["error"]["name"]) == (405, "InvalidRequest")

    run_with(scenario)
