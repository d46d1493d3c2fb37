"""When a second target is asked, replayed on the policy."""

from __future__ import annotations

import itertools
import random

from scatter_fakes import FakePolicy, answer, single_route

from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, LoadReport, TargetRecord
from bramleycrank.scatter import ScatterExecution, TargetAnswer
from bramleycrank.scatter.budget import ExtraConfig
from bramleycrank.scatter.policy import WHOLE_REPLICAS, TargetPolicy

OBJECTIVE_S = 0.12


def policy_after(slow_share: float, slow_s: float = 0.3) -> TargetPolicy:
    """Return a policy that saw 500 answers of 20 ms, with a share of slow ones."""
    policy = TargetPolicy("a", ExtraConfig(0.2, 10.0, 58.0), lambda _: True, lambda: 8, RNG)
    record = TargetRecord(
        target_id="t", service="s", state=TARGET_STATE_SERVING, slots=2, replicas=WHOLE_REPLICAS
    )
    policy.update("s", [record], 0.0)
    for number in range(500):
        now = number / 100
        slow = number % 100 < slow_share * 100
        policy.on_request("s", now)
        policy.on_sent("t", now)
        policy.on_answer("route", "t", answer(), slow_s if slow else 0.02, now)
    return policy


RNG = random.Random(2)


def test_ordinary_answers_are_not_hedged():
    delay_s = policy_after(0.02).hedge_delay("route", OBJECTIVE_S, scarce=False)
    assert 0.02 <= delay_s < 0.025


def test_with_a_fifth_of_slow_targets_the_hedge_still_comes_in_time():
    """Load pattern: 6 of 30 targets become 8 times slower, so the quantile lies among them."""
    delay_s = policy_after(0.2).hedge_delay("route", OBJECTIVE_S, scarce=False)
    assert delay_s <= OBJECTIVE_S / 2


def test_without_budget_hedges_wait_for_the_slowest():
    policy = policy_after(0.2)
    assert not policy.is_scarce("s", 5.0)
    while policy.take_extra("s", 5.0):
        pass
    assert policy.is_scarce("s", 5.0)
    assert policy.hedge_delay("route", OBJECTIVE_S, scarce=True) > OBJECTIVE_S


def test_a_route_without_objective_hedges_at_the_quantile():
    assert policy_after(0.2).hedge_delay("route", 0.0, scarce=False) > 0.25


def test_queues_at_a_target_lower_the_limit_until_requests_wait_here():
    """Load pattern: demand above capacity, told by the load report of each answer."""
    policy = TargetPolicy("a", ExtraConfig(), lambda _: True, lambda: 8, random.Random(1))
    record = TargetRecord(
        target_id="t",
        service="s",
        state=TARGET_STATE_SERVING,
        domain="a",
        slots=8,
        replicas=WHOLE_REPLICAS,
    )
    policy.update("s", [record], 0.0)
    in_flight = 0
    while policy.choose("s", (), 0.0):
        policy.on_sent("t", 0.0)
        in_flight += 1
    assert in_flight == 8
    for number in range(20):
        now = 1.0 + number
        queued = LoadReport(in_flight=8, queued=5, slots=8)
        policy.on_answer("route", "t", TargetAnswer(200, [], b"", b"r", queued), 0.1, now)
        policy.on_sent("t", now)
    assert policy.choose("s", (), 30.0) is None
    assert policy.has_targets("s", (), 30.0), "it waits, and is not given up"


def test_under_overload_the_newest_request_that_can_be_on_time_goes_first():
    policy = FakePolicy(targets=1)
    policy.busy = {"records-0"}
    executions = {
        name: ScatterExecution(single_route(rank=rank), policy, itertools.count(1), at, at + 2)
        for name, rank, at in (("old", 1, 0.0), ("new", 1, 0.2), ("urgent", 0, 0.1))
    }
    order = sorted(executions, key=lambda name: executions[name].wait_order(0.3))
    assert order == ["urgent", "new", "old"]
    order = sorted(executions, key=lambda name: executions[name].wait_order(0.5))
    assert order == ["new", "urgent", "old"], "the other two are late already"
