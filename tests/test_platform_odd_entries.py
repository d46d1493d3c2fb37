"""Tests what other writers may leave: odd reports, configurations, headers and records."""

from __future__ import annotations

import json

import pytest
from http_fakes import ok
from test_entry_controller import EntryVm, run, status

from bramleycrank.exceptions import MalformedBody
from bramleycrank.platform import documents
from bramleycrank.platform.adapter import _target_id
from bramleycrank.platform.headers import PlatformHeaders
from bramleycrank.proto.target_pb2 import TargetRecord
from bramleycrank.transport.http1 import Request, Response

REPORT = {
    "Service": "a",
    "Address": "10.0.0.9:8080",
    "Zone": "x",
    "Slots": 4,
    "State": "ready",
    "Sequence": 1,
    "born": 1,
}
DIGITS = "9" * 5000
DEEP = "[" * 200_000 + "]" * 200_000
ADDRESSES = (
    *("10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:4294967297", f"10.0.0.9:{DIGITS}", "10.0.0.9"),
    *("10.0.0.9:\u0663", "10.0.0.9:-1", "no host:80", "a\r\nb:80", "h" * 9000 + ":80", ":80"),
)


def with_number(field: str, text: str) -> bytes:
    """Return a report with the given text as the value of a field."""
    return json.dumps({**REPORT, field: "@"}).replace('"@"', text).encode()


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("address", ADDRESSES, ids=range(len(ADDRESSES)))
def test_report_of_an_address_that_cannot_be_is_rejected(address, state):
    """Guards against a port of 70000 that all VMs take over."""
    body = json.dumps({**REPORT, "Address": address, "State": state}).encode()
    with pytest.raises(MalformedBody):
        documents.decode_report("t", body)


@pytest.mark.parametrize("field", ["Sequence", "born", "Slots", "WarmupLeftMs"])
@pytest.mark.parametrize("text", [DIGITS, "1e999", "NaN", "-1", "1.5", '"1"', "true", "[]", DEEP])
def test_report_with_an_odd_number_is_rejected(field, text):
    with pytest.raises(MalformedBody):
        documents.decode_report("t", with_number(field, text))


@pytest.mark.parametrize("field", ["Service", "Zone", "State", "Address"])
@pytest.mark.parametrize("value", ["\ud800", "a b", "a\r\nb", "z" * 300, 7, None, {}, [[]]])
def test_report_with_an_odd_text_is_rejected(field, value):
    with pytest.raises(MalformedBody):
        documents.decode_report("t", json.dumps({**REPORT, field: value}).encode())


def test_nested_fields_that_nobody_knows_are_ignored_or_rejected_but_never_an_error():
    for depth in (5, 900, 200_000):
        body = json.dumps(REPORT)[:-1] + ',"X":' + "[" * depth + "]" * depth + "}"
        try:
            assert documents.decode_report("t", body.encode()).port == 8080
        except MalformedBody:
            assert depth > 900


@pytest.mark.parametrize("path", ["a%0d%0aX-Own:%20y", "i" * 5000, "a%20b", "%C3%A9", "%00"])
def test_id_that_no_header_bears_is_rejected(path):
    """Guards against headers that another writer adds to the requests of callers."""
    with pytest.raises(MalformedBody):
        _target_id(f"/-/instances/{path}")


@pytest.mark.parametrize(
    "change",
    [
        *({name: 2**40} for name in ("MaxAttempts", "Priority", "TopK")),
        *({name: 10**400} for name in ("TimeoutMs", "TargetLatencyMs", "MinCoverage")),
        {"Split": [{"Service": "a", "Weight": 10**400}]},
        {"Name": "\ud800"},
        {"Gather": ["\udfff"]},
    ],
    ids=str,
)
def test_configuration_with_an_odd_value_is_rejected(change):
    """Guards against an error of the VM, after which operators send the same again."""
    route = {"Name": "r", "Host": "h", "PathPrefix": "/", "TimeoutMs": 9, "Service": "a", **change}
    body = {"Version": 1, "Routes": [route], "Services": [{"Name": "a"}]}
    with pytest.raises(MalformedBody):
        documents.decode_routes(json.dumps(body).encode())


@pytest.mark.parametrize("where", ["Limits", "Services"])
def test_limits_beyond_32_bits_are_rejected(where):
    limits = {"MaxBodyBytes": 2**40} if where == "Limits" else {}
    services = [{"Name": "a", "MaxConnections": 2**40 if where == "Services" else 1}]
    body = {"Version": 1, "Routes": [], "Services": services, "Limits": limits}
    with pytest.raises(MalformedBody):
        documents.decode_routes(json.dumps(body).encode())


def test_headers_with_huge_numbers_are_read():
    """Guards against errors in the reply of one target or in the request of one caller."""
    dialect, huge = PlatformHeaders(), DIGITS.encode()
    request = Request(b"GET", b"/", b"h", [(b"X-Deadline-Ms", huge)], b"")
    assert dialect.caller_meta(request).wait_s > 1e5
    names = (b"X-Backend-Load", b"Server-Limit", b"Retry-After")
    values = (b"%b,0,%b" % (huge, huge), huge, huge)
    meta = dialect.target_meta(Response(503, list(zip(names, values, strict=True)), b""))
    assert meta.load.slots > 1e8


class OddEntryVm(EntryVm):
    """An entry VM that was told of odd records by a VM of another build."""

    def targets(self, service):
        odd = [
            TargetRecord(target_id=target_id, service=service, host="127.0.0.1", port=port)
            for target_id, port in (("p", 70000), ("q", 0), ("a\r\nX: y", 9))
        ]
        return [*odd, *super().targets(service)]


def test_records_of_another_build_that_cannot_be_reached_are_not_used():
    async def scenario(vm):
        for _ in range(8):
            assert status(await vm.get("/one/x")) == 200
        assert set(vm.entry.dump()["targets"]["connections"]) == {"a1"}

    run(scenario, OddEntryVm, a1=ok)


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        (b'{"Version": 1}', False),
        (b'{"Version": 1, "Tenants": []}', False),
        (b'{"Version": "bad", "Tenants": null}', False),
        (b'{"Version": "bad", "Tenants": [{"Name": 7}]}', True),
        (b'{"Tenants": "acme"}', True),
        (b"[]", True),
        (b"no json", True),
    ],
)
def test_a_document_that_cannot_be_decoded_tells_whether_keys_are_needed(body, expected):
    """Guards against an open VM with customers, and a closed one without any."""
    assert documents.has_customers(body) == expected
