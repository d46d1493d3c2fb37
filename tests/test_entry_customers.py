"""Tests keys and customers at the HTTP entry, over loopback with scripted targets."""

from __future__ import annotations

import asyncio
import logging

import pytest
from http_fakes import header, ok
from test_entry_controller import TABLE, EntryVm, run, status
from test_entry_delegation import CutEntryVm

from bramleycrank.connections.reach import Reach
from bramleycrank.entry.call import Call
from bramleycrank.proto.log_pb2 import Customer, Route, RouteTable, WeightedService

KEY = "key-of-acme"


def table(*customers: Customer, version: int = 1) -> RouteTable:
    result = RouteTable()
    result.CopyFrom(TABLE)
    result.version = version
    result.routes[0].rank = 3
    result.customers.extend(customers)
    public = Route(name="open", host="h", path_prefix="/open/", timeout_ms=900, public=True)
    public.split.append(WeightedService(name="a", weight=1))
    result.routes.append(public)
    return result


CUSTOMERS = table(
    Customer(name="Acme é", keys=[KEY, "second"], rank=0), Customer(name="Bolt", keys=["key-b"])
)
NAME = "Acme é".encode()


class KeyedVm(EntryVm):
    """An entry VM whose table has customers."""

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.table = CUSTOMERS


class CutKeyedVm(CutEntryVm):
    """An entry VM that reaches no target, and one that does; the table of both has customers."""

    async def __aenter__(self):
        self.table = CUSTOMERS
        await super().__aenter__()
        self.other.table = CUSTOMERS
        self.other.entry._index = None
        self.other.callbacks[0]()
        return self


def values(request: bytes, name: bytes) -> list[bytes]:
    """Return all values of a header, in any spelling of its name."""
    lines = (line.partition(b":") for line in request.split(b"\r\n\r\n")[0].split(b"\r\n"))
    return [v.strip() for k, _, v in lines if k.lower().replace(b"_", b"-") == name]


async def exchange(reader, writer, path: str, extra: str) -> bytes:
    """Send a request and return its response without waiting for more."""
    head = f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n{extra}\r\n"
    writer.write(head.encode())
    head = await reader.readuntil(b"\r\n\r\n")
    return head + await reader.readexactly(int(header(head, b"Content-Length")))


async def ask(vm: EntryVm, path: str, extra: str, port: int = 0) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port or vm.port)
    try:
        return await exchange(reader, writer, path, extra)
    finally:
        writer.close()


AUTH = f"Authorization: Token {KEY}\r\n"


@pytest.mark.parametrize("vm_class", [KeyedVm, CutKeyedVm])
@pytest.mark.parametrize("path", ["/one/x", "/all/q", "/open/x"])
@pytest.mark.parametrize(
    "extra",
    [
        AUTH,
        f"aUTHORIZATION:   tOkEn   {KEY}  \r\n",
        AUTH + AUTH,
        AUTH + "X-Tenant: Bolt\r\nx-tenant: Bolt\r\nX_TENANT: Bolt\r\n",
        AUTH + "X-Tenant: Bo\r\nConnection: x-tenant, authorization\r\n",
        "Connection: close, X-Tenant\r\nConnection: Authorization\r\n" + AUTH,
    ],
)
def test_targets_receive_the_customer_of_the_key_and_never_the_key(vm_class, path, extra):
    """Guards against a caller that names another customer, and a key that is passed on."""

    async def scenario(vm):
        assert status(await ask(vm, path, extra)) == 200
        requests = [request for fake in vm.fakes.values() for request in fake.requests]
        assert len(requests) == (2 if path == "/all/q" else 1)
        for request in requests:
            assert values(request, b"x-tenant") == [NAME]
            assert KEY.encode() not in request and not values(request, b"authorization")

    run(scenario, vm_class, a1=ok, b1=ok)


@pytest.mark.parametrize("vm_class", [KeyedVm, CutKeyedVm])
@pytest.mark.parametrize(
    "extra",
    [
        "",
        "Authorization:\r\n",
        "Authorization: Token\r\n",
        "Authorization: Token wrong\r\n",
        f"Authorization: Bearer {KEY}\r\n",
        f"Authorization: {KEY}\r\n",
        f"Authorization: Token {KEY}x\r\n",
        f"Authorization: Token {KEY}, Token {KEY}\r\n",
        AUTH + "Authorization: Token second\r\n",
        AUTH + "Authorization: Basic eA==\r\n",
        "X-Tenant: Bolt\r\n",
    ],
)
def test_without_a_valid_key_nothing_runs_but_on_public_routes(vm_class, extra):
    async def scenario(vm):
        response = await ask(vm, "/one/x", extra)
        assert status(response) == 401 and header(response, b"WWW-Authenticate") == b"Token"
        vm.is_newest = False
        response = await ask(vm, "/one/x", extra)
        assert status(response) == 503, "a newer table may have the key"
        assert 0.2 <= float(header(response, b"Retry-After")) <= 0.5
        assert not vm.fakes["a1"].requests
        assert status(await ask(vm, "/open/x", extra)) == 200
        [request] = vm.fakes["a1"].requests
        assert not values(request, b"x-tenant") and b" Token" not in request
        scheme = next((s for s in ("Bearer", "Basic") if s in extra), "")
        assert scheme.encode() in b"".join(values(request, b"authorization"))

    run(scenario, vm_class, a1=ok, b1=ok)


def test_a_key_is_looked_up_for_each_request_of_a_connection():
    """Guards against a connection that stays identified after its key was taken back."""

    async def scenario(vm):
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
        headers = AUTH + "X-Tenant: Bolt\r\nx-tenant: Other\r\n"
        for version, customers, is_newest, expected in (
            (1, [Customer(name="Acme", keys=[KEY])], True, 200),
            (2, [Customer(name="Bolt", keys=["key-b"])], True, 401),
            (3, [Customer(name="Bolt", keys=["key-b"])], False, 503),
            (4, [Customer(name="Acme", keys=[KEY])], False, 200),
            (5, [], True, 200),
        ):
            vm.table, vm.is_newest = table(*customers, version=version), is_newest
            vm.callbacks[0]()
            assert status(await exchange(reader, writer, "/one/x", headers)) == expected
        writer.close()
        request = vm.fakes["a1"].requests[-1]  # without customers nothing is changed
        assert values(request, b"x-tenant") == [b"Bolt", b"Other"]
        assert values(request, b"authorization") == [b"Token " + KEY.encode()]

    run(scenario, KeyedVm, a1=ok)


def test_repeats_of_a_request_carry_the_customer_and_never_the_key():
    """Guards against hedges, retries, canaries and requests handed over that have the key."""
    headers = AUTH + "X-Tenant: Bolt\r\n"

    def check(vm) -> list[bytes]:
        requests = [request for fake in vm.fakes.values() for request in fake.requests]
        for request in requests:
            assert values(request, b"x-tenant") == [NAME] and KEY.encode() not in request
        return requests

    async def scenario(vm):
        vm.fakes["a1"].delay_s = vm.fakes["a2"].delay_s = 0.3
        vm.entry._quarantine._canary_until["a"] = float("inf")
        canary = asyncio.ensure_future(ask(vm, "/all/q", headers))
        await asyncio.sleep(0.05)
        assert len(check(vm)) == 1, "the canary"
        assert status(await canary) == 200
        del vm.entry._quarantine._canary_until["a"]
        assert status(await ask(vm, "/one/x", headers)) == 200
        vm.fakes["b1"].script = vm.fakes["b2"].script = lambda request: None
        before = len(vm.fakes["b1"].requests + vm.fakes["b2"].requests)
        assert status(await ask(vm, "/all/q", headers)) == 200
        assert sum(b"/one/" in request for request in check(vm)) == 2, "one is a hedge"
        assert len(vm.fakes["b1"].requests + vm.fakes["b2"].requests) == before + 2, "a retry"

    async def hand_over(vm):
        vm.entry._targets.reach._enter(Reach.CONNECTED, 0.0)
        vm.fakes["a1"].delay_s = 0.3
        answer = asyncio.ensure_future(ask(vm, "/one/x", headers))
        await asyncio.sleep(0.1)
        vm.cut()
        vm.entry._hand_over_requests()
        assert status(await answer) == 200 and len(check(vm)) == 2

    run(scenario, KeyedVm, a1=ok, a2=ok, b1=ok, b2=ok)
    run(hand_over, CutKeyedVm, a1=ok, a2=ok, b1=ok)


def test_a_vm_of_an_older_build_offers_a_request_with_the_key():
    """Guards against a customer that a caller has named at a VM that knows no customers."""

    async def scenario(vm):
        port = vm.records[0].delegation_port

        async def offer(extra: str) -> bytes:
            return await ask(vm, "/one/x", "Bramleycrank-Offer: 1;0;1;\r\n" + extra, port)

        assert status(await offer(AUTH + "X-Tenant: Bolt\r\n")) == 200
        [request] = vm.fakes["a1"].requests
        assert values(request, b"x-tenant") == [NAME] and KEY.encode() not in request
        for extra in ("Authorization: Token wrong\r\nX-Tenant: Bolt\r\n", "X-Tenant: No\r\n", ""):
            assert status(await offer(extra)) == 421, "returned unstarted"
        assert len(vm.fakes["a1"].requests) == 1

    run(scenario, CutKeyedVm, a1=ok, b1=ok)


def test_no_key_stands_in_logs_and_dumps(caplog):
    """Guards against a key in a log line, in a dump, or in the repr of a request in a traceback."""
    caplog.set_level(logging.DEBUG)

    async def scenario(vm):
        vm.fakes["a1"].delay_s = 0.2
        waiting = asyncio.ensure_future(ask(vm, "/one/x", AUTH))
        await asyncio.sleep(0.1)
        [item] = vm.entry._calls or vm.delegator._offered
        texts = [repr(item), repr(vm.entry.dump())]
        if isinstance(item, Call):
            assert item.execution.wait_order(0.0)[1] == 0, "the customer's rank, not the route's"
        held = (item if isinstance(item, Call) else item.request).exchange.request
        texts += [repr(held), repr(vm.entry._dialect.caller_meta(held))]
        await waiting
        vm.fakes["a1"].script = lambda request: None
        await ask(vm, "/one/x", AUTH)
        await ask(vm, "/one/x", f"Authorization: Token {KEY}\x01\r\n")
        await ask(vm, "/none/x", AUTH)
        await ask(vm, "/one/x", AUTH + "Authorization: Token second\r\n")
        loop, failed = asyncio.get_running_loop(), vm.entry._on_timer
        loop.call_soon(failed, item, "one argument too many")
        await asyncio.sleep(0)
        lines = [repr(record.__dict__) + caplog.handler.format(record) for record in caplog.records]
        assert len(lines) > 4 and "'customer': 'Acme é'" in "".join(lines)
        assert KEY not in "\n".join([*texts, *lines])

    run(scenario, KeyedVm, a1=ok)
    run(scenario, CutKeyedVm, a1=ok, b1=ok)


def test_a_key_that_two_customers_hold_runs_for_neither(caplog):
    """Guards against a table of an older build that shows one customer's data to another."""
    caplog.set_level(logging.INFO)

    class SharedVm(KeyedVm):
        def __init__(self, **scripts) -> None:
            super().__init__(**scripts)
            self.table = table(
                Customer(name="acme", keys=["shared", "own"]),
                Customer(name="bolt", keys=["shared"]),
            )

    async def scenario(vm):
        reply = await ask(vm, "/one/x", "Authorization: Token shared\r\n")
        assert status(reply) == 503 and header(reply, b"Retry-After")
        assert not vm.fakes["a1"].requests
        assert status(await ask(vm, "/one/x", "Authorization: Token own\r\n")) == 200
        assert status(await ask(vm, "/one/x", "Authorization: Token none\r\n")) == 401

    run(scenario, SharedVm, a1=ok)
    rules = [vars(record)["rule"] for record in caplog.records if "rule" in vars(record)]
    assert rules == ["unclear_key", "key"]
    assert "shared" not in caplog.text
