"""Tests the requests that wait for slots: their order, and which are refused early."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import random

import pytest
from http_fakes import header, ok
from scatter_fakes import FakePolicy, gather_route, single_route
from test_entry_controller import run, status
from test_entry_customers import KEY, KeyedVm

from bramleycrank.customers import ANONYMOUS, Customer, Identity
from bramleycrank.customers.returns import Rule
from bramleycrank.customers.shares import Room
from bramleycrank.entry.call import Call
from bramleycrank.entry.waiting import WaitingCalls
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.scatter import Forward, Refusal, ScatterExecution

FLOOD, OTHER = Customer("flood"), Customer("other")
PER_S = 10.0


class Rooms:
    """Targets that take 10 sub-requests per second, of 50 ms each."""

    def room(self, service: str, now: float) -> Room:
        return Room(PER_S, 0.05)

    def typical_latency(self, route: str) -> float:
        return 0.05


class Vm:
    """Requests that wait at one VM, all of whose targets are busy unless `policy` says else."""

    def __init__(self, *customers: Customer) -> None:
        self.policy = FakePolicy()
        self.policy.busy = {f"records-{number}" for number in range(3)}
        self.waiting = WaitingCalls(Rooms(), NullMetrics())
        self.waiting.set_customers(customers)
        self.fingerprints = itertools.count()

    def arrive(self, customer=None, now=0.0, route=None, fingerprint=None, **route_fields):
        """Return a request and its early refusal; it waits if it has none."""
        route = route or single_route(**route_fields)
        execution = ScatterExecution(route, self.policy, itertools.count(1), now, now + 2.0)
        identity = ANONYMOUS if customer is None else Identity(customer)
        call = Call(None, None, execution, identity, fingerprint or next(self.fingerprints))
        refusal = self.waiting.find_refusal(call, now)
        if refusal is None:
            execution.start(now)
            self.waiting.add(call)
        return call, refusal


def test_without_customers_the_order_is_that_of_the_executions_and_nothing_is_refused():
    """Guards against a change for deployments that have no customers."""
    vm, rng = Vm(), random.Random(1)
    calls = []
    for _ in range(200):
        call, refusal = vm.arrive(None, rng.uniform(0.0, 1.0), rank=rng.randrange(3))
        assert refusal is None and vm.waiting.next_check(call) == math.inf
        calls.append(call)
    expected = sorted(calls, key=lambda call: call.execution.wait_order(1.0))
    assert list(vm.waiting.in_order("records", 1.0)) == expected
    assert list(vm.waiting.in_order("records", 1.0)) == []


def test_customer_that_has_sent_goes_behind_others_at_the_next_slot():
    """Load: a flood of one customer waits when a request of another one arrives."""
    vm = Vm(FLOOD, OTHER)
    first, second, third = (vm.arrive(FLOOD, now)[0] for now in (0.0, 0.01, 0.02))
    other, _ = vm.arrive(OTHER, 0.005)
    order = []
    for call in vm.waiting.in_order("records", 0.03):
        order.append(call)
        vm.waiting.on_sent(call, "records", 0.03)
    assert order == [third, other, second, first]


def test_request_that_gets_no_room_before_its_deadline_is_refused_on_arrival():
    """Guards against a request that is held although its wait exceeds its deadline."""
    vm = Vm(FLOOD, OTHER)
    for _ in range(30):
        vm.arrive(FLOOD, rank=0, objective_s=0.0)
    call, refusal = vm.arrive(FLOOD, rank=1, objective_s=0.0)
    assert refusal.rule is Rule.DEADLINE and refusal.return_s >= 30 / PER_S
    [action] = call.execution.refuse("no room", refusal.return_s, 0.0)
    assert isinstance(action, Refusal) and action.not_run
    assert vm.arrive(OTHER, rank=0, objective_s=0.0)[1] is None


def test_requests_that_have_ended_do_not_count_as_waiting():
    """Guards against refusals because of callers that have left, at targets that are gone."""
    vm = Vm(FLOOD, OTHER)
    calls = [vm.arrive(FLOOD, rank=0, objective_s=0.0)[0] for _ in range(30)]
    for call in calls:
        call.execution.on_caller_disconnected(0.1)
        vm.waiting.discard(call)
    assert vm.waiting.dump(0.1)["waiting"] == {}
    assert vm.arrive(OTHER, 0.1, rank=1, objective_s=0.0)[1] is None


def test_request_over_shards_with_enough_free_ones_is_not_refused():
    """Guards against a refusal because of shards that the answer does not need."""
    vm = Vm(FLOOD)
    vm.policy.busy = {f"s0-{number}" for number in range(3)}
    for _ in range(30):
        vm.arrive(FLOOD, route=gather_route(objective_s=0.0, rank=0))
    assert vm.arrive(FLOOD, route=gather_route(objective_s=0.0))[1] is None
    all_needed = gather_route(objective_s=0.0, min_coverage=1.0)
    assert vm.arrive(FLOOD, route=all_needed)[1].rule is Rule.DEADLINE


def test_overtaken_request_is_refused_while_its_caller_has_time_and_precedes_others_later():
    """Load: sustained overload, in which newer requests of the same customer overtake."""
    vm = Vm(FLOOD)
    route = {"objective_s": 2.0, "timeout_s": 4.0}
    call, _ = vm.arrive(FLOOD, **route, fingerprint=7)
    for number in range(1, 6):
        vm.arrive(FLOOD, number / 100, **route)
    now = vm.waiting.next_check(call)
    assert 0.35 < now < 0.5
    refusal = vm.waiting.find_refusal(call, now)
    assert refusal.rule is Rule.DEADLINE and refusal.ahead == 5
    vm.waiting.on_refused(call, refusal.return_s, now)
    call.execution.refuse("no room", refusal.return_s, now)
    returned, _ = vm.arrive(FLOOD, now + refusal.return_s, **route, fingerprint=7)
    assert next(vm.waiting.in_order("records", now + refusal.return_s)) is returned


@pytest.mark.parametrize("sent", [True, False])
def test_request_that_a_target_works_on_is_not_refused(sent):
    """Guards against a refusal that says of a request in progress that it has not run."""
    vm = Vm(FLOOD)
    call, _ = vm.arrive(FLOOD)
    if sent:
        vm.policy.busy = set()
        actions = call.execution.on_capacity("records", 0.0)
        assert any(isinstance(action, Forward) for action in actions)
    assert bool(call.execution.refuse("no room", 0.1, 0.1)) is not sent


def test_waiting_request_is_not_checked_again_once_no_customers_are_in_force():
    """Guards against a timer that is due at once, again and again, since no check moves it."""
    vm = Vm(FLOOD)
    call, _ = vm.arrive(FLOOD, objective_s=2.0, timeout_s=4.0)
    assert vm.waiting.next_check(call) < math.inf
    vm.waiting.set_customers([])
    assert vm.waiting.find_refusal(call, 1.0) is None
    assert vm.waiting.next_check(call) == math.inf


def test_flood_is_refused_early_with_its_rule_in_the_log(caplog):
    """Load: 60 requests of one customer at once, at a target that answers four in 60 ms."""

    async def scenario(vm):
        vm.fakes["a1"].delay_s = 0.06
        flood, other = "Authorization: Token key-b\r\n", f"Authorization: Token {KEY}\r\n"
        assert status(await vm.get("/one/x", flood)) == 200
        requests = [vm.get(f"/one/{number}", flood) for number in range(60)]
        *answers, urgent = await asyncio.gather(*requests, vm.get("/one/y", other))
        refused = [answer for answer in answers if status(answer) == 503]
        assert status(urgent) == 200 and refused
        assert all(float(header(answer, b"Retry-After")) > 0 for answer in refused)
        assert len(vm.fakes["a1"].requests) == 2 + len(answers) - len(refused)
        [use] = vm.entry.customer_uses("Bolt").customers
        assert "room" not in use.refused and sum(use.refused.values()) == len(refused)

    with caplog.at_level(logging.INFO):
        run(scenario, KeyedVm, a1=ok)
    line = next(record for record in caplog.records if hasattr(record, "rule"))
    assert (line.rule, line.customer, line.weight) == ("deadline", "Bolt", 1.0)
    assert line.ahead > 0 and line.return_ms > 0 and line.use_ms > 0
