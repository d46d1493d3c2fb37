"""Tests of the platform's settings file, documents and calls."""

from __future__ import annotations

import asyncio
import json
import logging
import tracemalloc
from types import SimpleNamespace

import pytest

from bramleycrank.customers.allowances import AllowanceBounds
from bramleycrank.daemon.document_limits import document_room
from bramleycrank.daemon.domain_orders import DomainOrder
from bramleycrank.exceptions import (
    InvalidRequest,
    InvalidSettings,
    MalformedBody,
    NoQuorum,
    Refused,
    VersionConflict,
)
from bramleycrank.platform import documents, node_file
from bramleycrank.platform.adapter import PlatformAdapter
from bramleycrank.platform.fields import Fields, decoded_bytes
from bramleycrank.platform.headers import PlatformHeaders
from bramleycrank.proto.target_pb2 import TARGET_STATE_LEAVING, TARGET_STATE_SERVING
from bramleycrank.routing import ROUTES_FORMAT, RouteIndex
from bramleycrank.transport.http1 import Request, Response

EDGE_SETTINGS = {
    "NodeName": "edge-1",
    "Ip": "10.1.0.39",
    "Zone": "north",
    "Region": "r",
    "BindAddrs.EdgeAddr": "10.1.0.39:8226",
    "BindAddrs.ReadinessAddr": "10.1.0.39:8227",
    "InternalPortRange": "7740,7755",
    "Seeds": "10.1.0.42:8224,10.2.0.35:8224",
    "Bootstrap": "true",
    "HeartbeatMs": "1200",
    "Bounds.GraceS": "6",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetryWindowS": "10",
    "Bounds.RetrySlack": "58",
    "Bounds.QuotaWindowS": "4",
    "Bounds.QuotaOverage": "0.2",
    "Bounds.QuotaSlack": "30",
    "Bounds.WarmupOverage": "1.5",
    "Bounds.WarmupSlack": "5",
    "Bounds.AckTimeoutMs": "5000",
    "Zones.north": "r",
    "Zones.south": "r2",
    "Some.NewField": "is ignored",
}

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "all",
            "Host": "h.example",
            "PathPrefix": "/a/",
            "Type": "idempotent",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 118,
            "Priority": 1,
            "Gather": ["s1", "s2"],
            "MaxAttempts": 2,
            "AllowedRegions": ["r"],
            "TopK": 50,
            "MinCoverage": 0.89,
        },
        {
            "Name": "one",
            "Host": "h.example",
            "PathPrefix": "/b/",
            "Type": "non_idempotent",
            "TimeoutMs": 6000,
            "Split": [{"Service": "s1", "Weight": 3}, {"Service": "s2", "Weight": 1}],
        },
    ],
    "Services": [
        {
            "Name": "s1",
            "HealthPath": "/health",
            "MaxConnections": 26,
            "WarmupS": 2.5,
            "WarmupPerS": 12.0,
        },
        {"Name": "s2", "HealthPath": "/health", "MaxConnections": 26},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutMs": 15000},
    "Unknown": {"kept": True},
}

KEY = "key-of-acme"

ODD_CUSTOMERS = [
    {"ApiKeys": KEY},
    {"ApiKeys": [KEY, 1]},
    {"ApiKeys": [KEY, "\ud800"]},
    {"ApiKeys": [KEY], "Priority": -1},
    {"ApiKeys": [KEY], "Priority": KEY},
    {"ApiKeys": [KEY], "RatePerS": "1"},
    {"ApiKeys": [KEY], "RatePerS": float("inf")},
    {"ApiKeys": [KEY], "Burst": [KEY]},
]

REPORT = {
    "Service": "s1",
    "Address": "10.128.0.9:8080",
    "Zone": "north",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 1_700_000_000_000,
}


def dumped(data: object) -> bytes:
    return json.dumps(data).encode()


def test_settings_file_of_an_edge_vm_is_decoded():
    cfg = node_file.decode(EDGE_SETTINGS)
    assert str(cfg.entry) == "10.1.0.39:8226" and cfg.control is None
    assert str(cfg.base.listen.grpc) == "10.1.0.39:7740"
    assert cfg.voting.seeds == ("10.1.0.42:7740", "10.2.0.35:7740")
    assert cfg.voting.bootstrap and cfg.base.storage is None
    assert (cfg.extra.ratio, cfg.extra.window_s, cfg.extra.slack) == (
        0.2,
        10.0,
        58.0,
    )
    assert cfg.allowances == AllowanceBounds(4.0, 0.2, 30.0)
    assert (cfg.warmup.overage, cfg.warmup.slack) == (1.5, 5.0)
    assert cfg.regions == {"north": "r", "south": "r2"} and cfg.order_resend_window_s == 5.0
    life = cfg.base.life_cycle
    assert life.drain_notice_s + life.drain_limit_s < 6.0


def test_missing_settings_file_or_entry_is_rejected(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text("\n".join(f"{k}={v}" for k, v in EDGE_SETTINGS.items() if k != "Ip"))
    with pytest.raises(InvalidSettings, match="Ip"):
        node_file.load(path)
    with pytest.raises(InvalidSettings, match="absent"):
        node_file.load(tmp_path / "absent")


def test_configuration_document_is_decoded_into_a_route_table():
    table = documents.decode_routes(dumped(CONFIG))
    gather, split = table.routes
    assert (table.version, gather.top_records, list(gather.shards)) == (7, 50, ["s1", "s2"])
    assert gather.idempotent and not split.idempotent
    assert list(gather.regions) == ["r"] and not split.regions
    assert (table.services[0].warmup_ms, table.services[0].warmup_per_s) == (2500, 12.0)
    assert (table.services[1].warmup_ms, table.services[1].warmup_per_s) == (0, 0.0)
    assert [part.weight for part in split.split] == [3, 1]
    assert table.services[0].connections == 26
    assert json.loads(table.document) == CONFIG


def test_key_order_does_not_change_the_stored_document():
    reordered = dict(reversed(CONFIG.items()))
    first, second = (documents.decode_routes(dumped(item)) for item in (CONFIG, reordered))
    assert first.document == second.document


@pytest.mark.parametrize(
    "body",
    [
        dumped(CONFIG)[:-20],
        b"",
        b"[]",
        b"\xff\xfe",
        b'{"Version": 1, "Version": 2}',
        dumped({**CONFIG, "Version": "7"}),
        dumped({**CONFIG, "Version": -1}),
        dumped({**CONFIG, "Version": True}),
        dumped({**CONFIG, "Routes": [1]}),
        dumped({**CONFIG, "Routes": [{**CONFIG["Routes"][0], "Type": "other"}]}),
        dumped({**CONFIG, "Routes": [{**CONFIG["Routes"][0], "Gather": [1]}]}),
        b'{"Version": 1, "Routes": [{"Host": "h", "PathPrefix": "/", "TimeoutMs": NaN}]}',
        b"[" * 100_000,
        *(dumped({**CONFIG, "Tenants": [{"Name": "a", **item}]}) for item in ODD_CUSTOMERS),
        dumped({**CONFIG, "Tenants": [{"ApiKeys": [KEY]}]}),
        dumped({**CONFIG, "Tenants": {"a": KEY}}),
        dumped({**CONFIG, "Routes": [{**CONFIG["Routes"][0], "Public": "yes"}]}),
        dumped({**CONFIG, "Tenants": [{"Name": "a", "ApiKeys": [KEY]}]})[:-9],
        dumped({"ApiKeys": KEY}).replace(b"ApiKeys", b"ApiKeys\xff"),
    ],
)
def test_invalid_configuration_document_is_rejected_without_stating_a_key(body, caplog):
    caplog.set_level(logging.DEBUG)
    status, answer = respond(ADAPTER, b"PUT", b"/-/config", body, put_routes=accept)
    assert status == 400 and b"MalformedBody" in answer
    assert KEY not in answer.decode() + repr([record.__dict__ for record in caplog.records])


def test_customers_are_decoded():
    tenants = [
        {"Name": "a", "ApiKeys": [KEY, "k2"], "Priority": 0, "RatePerS": 2.5, "Burst": 7},
        {"Name": "b", "ApiKeys": []},
    ]
    routes = [{**CONFIG["Routes"][0], "Public": True}, CONFIG["Routes"][1]]
    document = dumped({**CONFIG, "Tenants": tenants, "Routes": routes})
    table = ADAPTER.decode_routes(document)
    assert [route.public for route in table.routes] == [True, False]
    first, second = RouteIndex(table).customers
    assert (first.rank, first.per_s, first.burst) == (0, 2.5, 7.0)
    assert (second.rank, second.is_limited) == (None, False)
    assert table.format == ROUTES_FORMAT and json.loads(table.document)["Tenants"] == tenants


def test_report_is_decoded_into_a_target_record():
    record = documents.decode_report("i-1", dumped(REPORT))
    assert (record.host, record.port, record.incarnation) == ("10.128.0.9", 8080, REPORT["born"])
    assert record.state == TARGET_STATE_SERVING
    leaving = documents.decode_report("i-1", dumped({**REPORT, "State": "draining"}))
    assert leaving.state == TARGET_STATE_LEAVING


@pytest.mark.parametrize(
    "change",
    [{"State": "odd"}, {"Address": "x"}, {"Sequence": "4"}, {"Service": None}, {"Slots": 1.5}],
)
def test_report_with_an_invalid_field_is_rejected(change):
    with pytest.raises(MalformedBody):
        documents.decode_report("i-1", dumped({**REPORT, **change}))


def respond(adapter: PlatformAdapter, method: bytes, target: bytes, body: bytes, **service):
    """Return status and body of a control call; `service` contains the methods of the service."""
    responses = []
    exchange = SimpleNamespace(
        request=Request(method, target, b"h", [], body),
        respond=lambda status, headers, body: responses.append((status, body)),
    )
    asyncio.run(adapter.control(exchange, SimpleNamespace(**service)))
    return responses[0]


def raises_error(error: Exception):
    async def call(*args: object) -> None:
        raise error

    return call


async def accept(*args: object) -> None:
    """Accept any arguments."""


ADAPTER = PlatformAdapter("10.1.0.42:8224")


@pytest.mark.parametrize(
    ("error", "status"),
    [(VersionConflict(), 409), (NoQuorum(), 503), (MalformedBody(), 400)],
)
def test_errors_reach_the_operator_with_their_status(error, status):
    got, body = respond(
        ADAPTER, b"PUT", b"/-/config", dumped(CONFIG), put_routes=raises_error(error)
    )
    assert got == status and json.loads(body)["Error"]["name"] == error.name


def test_response_to_a_report_has_the_address_for_the_next_one_even_if_late():
    for announce in (accept, raises_error(InvalidRequest("late"))):
        status, body = respond(
            ADAPTER, b"PUT", b"/-/instances/i-1", dumped(REPORT), announce=announce
        )
        assert status == 200 and json.loads(body) == {"HeartbeatAddr": "10.1.0.42:8224"}


def test_malformed_report_gets_status_400():
    status, _ = respond(ADAPTER, b"PUT", b"/-/instances/i-1", b"{", announce=accept)
    assert status == 400


def peak_of(body: bytes) -> int:
    """Return the most memory that decoding a body takes, with its text, in bytes."""
    tracemalloc.start()
    try:
        Fields.from_json(body, "config")
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "items",
    [
        b"{}," * 30_000,
        b"[]," * 30_000,
        b"[[[[[[]]]]]]," * 7_000,
        b'{"a":1},' * 10_000,
        b"".join(b'{"%x":1},' % i for i in range(10_000)),
        b"{" + b",".join(b'"%x":1e5' % i for i in range(10_000)) + b"},",
        b"999," * 20_000,
        b"1e5," * 20_000,
        b'"ab",' * 20_000,
        b'"ab",' * 20_000 + '"\U0001f600",'.encode(),
        b'"' + b"a" * 90_000 + b'\\ud83d\\ude00",',
        b'"' + b"a" * 90_000 + b'\\n",',
    ],
)
def test_the_memory_of_a_document_is_never_more_than_estimated(items):
    """Guards against orders of few bytes that take many times as much once decoded."""
    body = b'{"a":[' + items + b"0]}"
    assert peak_of(body) <= decoded_bytes(body)


def test_a_document_without_room_is_refused_before_it_is_decoded():
    """Guards against orders, reports and leaves that are measured only once decoded."""
    adapter = PlatformAdapter("", document_room(1_000_000))
    body = b'{"a":[' + b"{}," * 2_000 + b"0]}"
    for method, target in (
        (b"PUT", b"/-/config"),
        (b"PUT", b"/-/instances/i-1"),
        (b"DELETE", b"/-/instances/i-1"),
    ):
        service = dict.fromkeys(("put_routes", "announce", "leave"), accept)
        status, reply = respond(adapter, method, target, body, **service)
        assert status == 400 and b"send fewer values" in reply


def test_a_large_ordinary_document_has_room():
    """Guards against a room that refuses tables of some thousand routes; 300 MB is usual."""
    document = dumped({**CONFIG, "Routes": CONFIG["Routes"] * 5_000})
    assert decoded_bytes(document) < document_room(300 * 1024 * 1024)
    assert decoded_bytes(document * (8 * 1024 * 1024 // len(document))) < document_room(0)


def test_leave_without_a_body_applies_to_the_newest_incarnation():
    left = []

    async def leave(*args: object) -> None:
        left.append(args)

    assert respond(ADAPTER, b"DELETE", b"/-/instances/i-1", b"", leave=leave)[0] == 200
    respond(ADAPTER, b"DELETE", b"/-/instances/i-1", b'{"born": 5}', leave=leave)
    assert left == [("i-1", None), ("i-1", 5)]


def test_an_unknown_call_is_not_found():
    assert respond(ADAPTER, b"GET", b"/-/other", b"")[0] == 404


def test_the_headers_of_a_target_are_decoded():
    headers = [(b"x-backend-load", b"3, 1,8,120"), (b"X-Not-Executed", b"1")]
    meta = PlatformHeaders().target_meta(Response(503, headers, b""))
    assert meta.not_run and (meta.load.in_flight, meta.load.queued, meta.load.slots) == (3, 1, 8)
    odd = PlatformHeaders().target_meta(Response(200, [(b"X-Backend-Load", b"a,b")], b""))
    assert odd.load is None and not odd.not_run


@pytest.mark.parametrize(
    "method, path, expected",
    [
        (b"POST", b"/-/evacuate/north", (200, [DomainOrder("north", True)])),
        (b"DELETE", b"/-/evacuate/north", (200, [DomainOrder("north", False)])),
        (b"POST", b"/-/evacuate/", (404, [])),
        (b"PUT", b"/-/evacuate/north", (404, [])),
    ],
)
def test_orders_for_a_zone_are_decoded(method, path, expected):
    orders = []

    async def order(item, is_abandoned) -> None:
        orders.append(item)

    status, _ = respond(PlatformAdapter(""), method, path, b"", order=order)
    assert (status, orders) == expected


def test_an_order_that_may_be_a_resend_gets_503_with_the_time_of_return():
    error = Refused("maybe a resend", retry_after_ms=1500)
    status, body = respond(
        PlatformAdapter(""), b"POST", b"/-/evacuate/north", b"", order=raises_error(error)
    )
    assert status == 503 and json.loads(body)["Error"]["name"] == "Refused"


def test_report_states_the_rest_of_the_warm_up():
    record = documents.decode_report("t", dumped({**REPORT, "WarmupLeftMs": 1800}))
    assert record.warmup_left_ms == 1800
    assert documents.decode_report("t", dumped(REPORT)).warmup_left_ms == 0
