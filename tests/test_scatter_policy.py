"""When a second target is asked, replayed on the policy."""

from __future__ import annotations

import random

from scatter_fakes import answer

from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, TargetRecord
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
    delay_s = policy_after(0.02).hedge_delay("route", OBJECTIVE_S, "s", 5.0)
    assert 0.02 <= delay_s < 0.025


def test_with_a_fifth_of_slow_targets_the_hedge_still_comes_in_time():
    """Load pattern: 6 of 30 targets become 8 times slower, so the quantile lies among them."""
    delay_s = policy_after(0.2).hedge_delay("route", OBJECTIVE_S, "s", 5.0)
    assert delay_s <= OBJECTIVE_S / 2


def test_without_budget_hedges_wait_for_the_slowest():
    policy = policy_after(0.2)
    while policy.take_extra("s", 5.0):
        pass
    assert policy.hedge_delay("route", OBJECTIVE_S, "s", 5.0) > OBJECTIVE_S


def test_a_route_without_objective_hedges_at_the_quantile():
    assert policy_after(0.2).hedge_delay("route", 0.0, "s", 5.0) > 0.25
