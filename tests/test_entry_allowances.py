"""Tests allowances at the HTTP entry, over loopback with scripted targets and an issuer."""

from __future__ import annotations

import asyncio
import random

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from http_fakes import header, ok
from test_entry_controller import run, status
from test_entry_customers import KeyedVm, ask, table

from bramleycrank.customers import Customer
from bramleycrank.customers.allowances import AllowanceBounds, Issuer
from bramleycrank.daemon.allowance_issuer import AllowanceIssuer
from bramleycrank.entry.allowances import EntryAllowances, suspend_aware_clock
from bramleycrank.exceptions import NoQuorum, PeerUnreachable
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.proto import log_pb2
from bramleycrank.proto.peer_pb2 import GrantRequest
from bramleycrank.transport.grpc_errors import decode_error

BOUNDS = AllowanceBounds(slack=5.0)
LIMITED = table(log_pb2.Customer(name="acme", keys=["k"], per_s=0.5, burst=1.0))
KEY = "Authorization: Token k\r\n"


class LimitedVm(KeyedVm):
    """An entry VM with a limited customer, and the issuer, which `failure` replaces if set."""

    failure: Exception | None = None
    delay_s = 0.0

    def __init__(self, **scripts) -> None:
        super().__init__(**scripts)
        self.table = LIMITED
        self.calls: list[GrantRequest] = []

    async def __aenter__(self):
        await super().__aenter__()
        self.issuer = Issuer(BOUNDS)
        customers = [Customer.from_message(message) for message in LIMITED.customers]
        self.issuer.set_customers(customers, 1, 0.0)
        self.issuer.lead(1, 0.0)
        routes = self.entry._routes
        self.entry._gate._allowances = self.allowances = EntryAllowances(
            "vm1", BOUNDS, routes, self, self, NullMetrics(), random.Random(1)
        )
        self.allowances.start()
        return self

    def leader_address(self) -> str:
        return "leader:1"

    async def call(self, address, method, request, *, timeout_s, purpose):
        self.calls.append(request)
        await asyncio.sleep(self.delay_s)
        if self.failure is not None:
            raise self.failure
        return self.issuer.on_request(request, suspend_aware_clock())

    async def ask_all(self, count: int) -> list[bytes]:
        return [await ask(self, "/one/x", KEY) for _ in range(count)]


def test_requests_beyond_the_allowance_get_429_with_the_time_of_the_next_grant():
    """Guards against requests that reach a target although the customer's allowance is used up."""

    async def scenario(vm):
        replies = await vm.ask_all(12)
        served = sum(status(reply) == 200 for reply in replies)
        assert 1 <= served <= BOUNDS.bound(Customer("acme", per_s=0.5, burst=1.0)) < 12
        assert len(vm.fakes["a1"].requests) == served
        assert {status(reply) for reply in replies} == {200, 429}
        waits = [float(header(r, b"Retry-After")) for r in replies if status(r) == 429]
        assert len(set(waits)) == len(waits), "callers return at different times"
        assert len(vm.calls) < 12, "it refuses from memory"
        assert status(await ask(vm, "/open/x", "")) == 200, "public requests have no allowance"
        await asyncio.sleep(waits[0])
        assert status(await ask(vm, "/one/x", KEY)) == 200, "the time was true"

    run(scenario, vm_class=LimitedVm, a1=ok)


def test_requests_without_any_grant_are_refused_with_503_while_no_issuer_is_reached():
    async def scenario(vm):
        vm.failure = PeerUnreachable("cut")
        [reply] = await vm.ask_all(1)
        assert status(reply) == 503 and float(header(reply, b"Retry-After")) > 0
        assert not vm.fakes["a1"].requests
        vm.failure = None
        await asyncio.sleep(0.5)
        assert [status(reply) for reply in await vm.ask_all(1)] == [200]

    run(scenario, vm_class=LimitedVm, a1=ok)


def test_all_requests_are_admitted_while_the_leader_is_of_a_build_without_allowances():
    """Guards against a fleet that refuses everything until its last voter is upgraded."""

    async def scenario(vm):
        cause = GRPCError(Status.UNIMPLEMENTED, "Method not found")
        vm.failure = decode_error(cause)
        vm.failure.__cause__ = cause
        assert {status(reply) for reply in await vm.ask_all(12)} == {200}
        assert len(vm.calls) == 1

    run(scenario, vm_class=LimitedVm, a1=ok)


class Leading:
    """A leader that a quorum confirmed at a time."""

    leader_term, at = 5, 100.0

    def confirmed_at(self) -> float:
        return self.at

    async def confirm_read(self, timeout_s: float) -> int:
        raise NoQuorum("cut off")

    def routes(self) -> log_pb2.RouteTable:
        return LIMITED

    def subscribe(self, callback) -> None:
        pass


def test_leader_grants_nothing_after_a_suspension_until_a_quorum_confirms_it_again():
    """Guards against grants of a deposed leader whose machine was suspended meanwhile."""
    clock = {"local": 100.0, "slept": 0.0}
    leading = Leading()
    issuer = AllowanceIssuer(
        BOUNDS, leading, leading, lambda: clock["local"], lambda: sum(clock.values())
    )
    issuer.start()

    def is_issuing(local: float) -> bool:
        clock["local"] = local
        request = GrantRequest(vm_id="a", sequence=1)
        return asyncio.run(issuer.on_grant(request)).issuing

    assert not is_issuing(100.5), "the predecessor may still issue"
    leading.at = 101.0
    assert is_issuing(101.5) and not is_issuing(102.0), "its confirmation is too old"
    leading.at = 102.0
    assert is_issuing(102.1)
    clock["slept"] = 60.0
    assert not is_issuing(102.2)
    leading.at = 102.3
    assert is_issuing(102.4)
    leading.leader_term = 0
    assert not is_issuing(102.5)


def test_a_wait_for_a_grant_leaves_the_caller_time_for_another_attempt():
    """Guards against requests that wait for a slow issuer until their time is up."""

    async def scenario(vm):
        vm.delay_s = 0.25
        reply = await ask(vm, "/one/x", KEY + "X-Deadline-Ms: 400\r\n")
        assert status(reply) == 503
        assert not vm.fakes["a1"].requests
        assert status(await ask(vm, "/one/x", KEY)) == 200, "without a deadline it waits"

    run(scenario, vm_class=LimitedVm, a1=ok)


def test_a_request_that_fails_after_it_waited_is_answered():
    """Guards against callers that wait for ever, since no server code can catch the error."""

    async def scenario(vm):
        def fail(*args, **options):
            raise ValueError("broken")

        vm.delay_s, vm.entry._serve = 0.05, fail
        assert status(await ask(vm, "/one/x", KEY)) == 500

    run(scenario, vm_class=LimitedVm, a1=ok)


def test_messages_to_the_issuer_carry_the_use_of_targets_both_ways():
    """Guards against a VM or an issuer that does not pass on what customers use."""

    async def scenario(vm):
        vm.allowances.start(vm.entry._waiting)
        leading, loop = Leading(), asyncio.get_running_loop()
        leading.at = loop.time()
        issuer = AllowanceIssuer(BOUNDS, leading, leading, loop.time)
        issuer.start()
        issuer._issuer = vm.issuer

        async def call(address, method, request, **options):
            vm.calls.append(request)
            leading.at = loop.time()
            return await issuer.on_grant(request)

        vm.call = call
        await vm.ask_all(2)
        await asyncio.sleep(0.9)
        own = next(request.work for request in vm.calls if request.work.keys)
        other = GrantRequest(vm_id="vm2", sequence=1, work=own)
        other.work.work[0] = 5000
        await issuer.on_grant(other)
        await vm.ask_all(1)
        await asyncio.sleep(0.9)
        shares = vm.entry._waiting._shares
        elsewhere_s = shares.use("a", "acme", loop.time()) - shares.own_use(
            "a", "acme", loop.time()
        )
        assert elsewhere_s == pytest.approx(0.5, rel=0.4)

    run(scenario, vm_class=LimitedVm, a1=ok)
