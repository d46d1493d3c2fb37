"""Hedge delays, concurrency limits and the order of waiting requests."""

from __future__ import annotations

import itertools
import random

from scatter_fakes import FakePolicy, single_route, target_reply

from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, LoadReport, TargetRecord
from bramleycrank.scatter import ScatterExecution, TargetReply
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS, TargetPolicy

OBJECTIVE_S = 0.12


def policy_after(slow_share: float, slow_s: float = 0.3) -> TargetPolicy:
    """Return a policy after 500 replies of 20 ms, some of them slow."""
    policy = TargetPolicy("a", RetryBudgetConfig(0.2, 10.0, 58.0), lambda _: True, lambda: 8, RNG)
    record = TargetRecord(
        target_id="t",
        service="s",
        state=TARGET_STATE_SERVING,
        slots=2,
        replicas=SINGLE_SHARD_REPLICAS,
    )
    policy.update("s", [record], 0.0)
    for number in range(500):
        now = number / 100
        slow = number % 100 < slow_share * 100
        policy.on_request("s", now)
        policy.on_sent("t", now)
        policy.on_reply("route", "t", target_reply(), slow_s if slow else 0.02, now)
    return policy


RNG = random.Random(2)


def test_the_hedge_delay_exceeds_the_usual_latency():
    delay_s = policy_after(0.02).hedge_delay("route", OBJECTIVE_S, scarce=False)
    assert 0.02 <= delay_s < 0.025


def test_the_hedge_delay_stays_short_when_a_fifth_of_the_replies_is_slow():
    """Load pattern: 6 of 30 targets become 8 times slower, so the quantile is a slow latency."""
    delay_s = policy_after(0.2).hedge_delay("route", OBJECTIVE_S, scarce=False)
    assert delay_s <= OBJECTIVE_S / 2


def test_a_scarce_budget_raises_the_hedge_delay():
    policy = policy_after(0.2)
    assert not policy.is_budget_scarce("s", 5.0)
    while policy.spend_retry_budget("s", 5.0):
        pass
    assert policy.is_budget_scarce("s", 5.0)
    assert policy.hedge_delay("route", OBJECTIVE_S, scarce=True) > OBJECTIVE_S


def test_without_an_objective_the_hedge_delay_is_the_quantile():
    assert policy_after(0.2).hedge_delay("route", 0.0, scarce=False) > 0.25


def test_a_queue_at_a_target_lowers_its_concurrency_limit():
    """Load pattern: overload, which is visible in the load report of each reply."""
    policy = TargetPolicy("a", RetryBudgetConfig(), lambda _: True, lambda: 8, random.Random(1))
    record = TargetRecord(
        target_id="t",
        service="s",
        state=TARGET_STATE_SERVING,
        domain="a",
        slots=8,
        replicas=SINGLE_SHARD_REPLICAS,
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
        policy.on_reply("route", "t", TargetReply(200, [], b"", b"r", queued), 0.1, now)
        policy.on_sent("t", now)
    assert policy.choose("s", (), 30.0) is None
    assert policy.has_targets("s", (), 30.0), "the request must wait, not fail"


def test_waiting_requests_are_ordered_by_lateness_then_rank_then_newest():
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
