"""Tests of the choice of targets while targets hold back this VM."""

from __future__ import annotations

import itertools
import math
import random

import pytest
from query_fakes import SERVICE, record

from bramleycrank.query.holds import HOLD_JITTER_SHARE, MAX_HOLD_S, Holds
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.types import Snapshot
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS, TargetPolicy

ONE_SHARD = Snapshot(1, 1)
HOLD_S = 1.5


def records(incarnation: int = 1) -> list:
    return [
        record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3, incarnation=incarnation) for d in "abc"
    ]


def replay(shedding: set[str], rate: float, seconds: float = 10.0) -> dict[str, list[float]]:
    """Send requests at a rate and return the arrivals; shedding targets refuse with a hold."""
    table = ReplicaTable("a", random.Random(3), warmup_s=0.0)
    table.update(SERVICE, records(), 0.0)
    arrivals: dict[str, list[float]] = {f"t{d}": [] for d in "abc"}
    for number in range(int(seconds * rate)):
        now = number / rate
        tried: list[str] = []
        while (target := table.choose(SERVICE, ONE_SHARD, 0, tried, now)) is not None:
            tried.append(target)
            arrivals[target].append(now)
            table.on_sent(target, now)
            if target not in shedding:
                table.on_reply(target, 0.02, now)
                break
            table.on_shed(target, now)
            table.hold(target, 1, HOLD_S, now)
    return arrivals


@pytest.mark.parametrize("rate", [1.0, 20.0, 200.0])
@pytest.mark.parametrize("shedding", [{"ta"}, {"ta", "tb"}, {"ta", "tb", "tc"}])
def test_a_majority_of_shedding_targets_gets_no_request_during_its_hold(rate, shedding):
    """A majority of the targets of a shard shed all sub-requests and refuse with a hold.

    Neither the limit on ejections nor the fallback to ejected targets may choose one of them.
    """
    arrivals = replay(shedding, rate)
    for target in shedding:
        times = arrivals[target]
        assert all(b - a >= HOLD_S for a, b in itertools.pairwise(times))
    if len(shedding) < 3:
        answered = sum(len(arrivals[name]) for name in arrivals.keys() - shedding)
        assert answered == int(10 * rate), "every request is answered"


def test_the_hold_that_ends_last_is_in_force():
    holds = Holds(lambda: 0.0)
    assert holds.add("t", 1, 2.0, 10.0) == 12.0
    assert holds.add("t", 1, 0.5, 10.1) == 12.0
    assert holds.add("t", 1, 3.0, 10.2) == 13.2


@pytest.mark.parametrize("invalid", [math.nan, math.inf, -math.inf, -1.0])
def test_an_invalid_duration_is_ignored(invalid):
    holds = Holds(random.random)
    assert holds.add("t", 1, invalid, 10.0) == 0.0
    until = holds.add("t", 1, 2.0, 10.0)
    assert holds.add("t", 1, invalid, 10.5) == until


def test_a_long_hold_is_capped():
    assert Holds(lambda: 0.0).add("t", 1, 1e9, 10.0) == 10.0 + MAX_HOLD_S


def test_a_hold_is_for_one_incarnation_and_outlives_the_removal_of_the_target():
    table = ReplicaTable("a", random.Random(3), warmup_s=0.0)
    table.update(SERVICE, records(), 0.0)
    table.hold("ta", 1, HOLD_S, 0.0)
    table.update(SERVICE, records()[1:], 0.1)
    table.hold("ta", 1, 2 * HOLD_S, 0.1)  # the refusal arrives while the target is unknown
    table.update(SERVICE, records(), 0.2)
    assert table.held_until("ta") >= 2 * HOLD_S
    table.update(SERVICE, records(incarnation=2), 0.3)
    assert table.held_until("ta") == 0.0


def test_vms_do_not_resume_at_the_same_time():
    ends = {Holds(random.Random(seed).random).add("t", 1, 2.0, 0.0) for seed in range(20)}
    assert len(ends) == 20 and all(2.0 <= end <= 2.0 * (1 + HOLD_JITTER_SHARE) for end in ends)


def held_policy() -> TargetPolicy:
    """Return a policy with three targets of one service, all held back."""
    policy = TargetPolicy("a", RetryBudgetConfig(), lambda _: True, lambda: 1, random.Random(4))
    found = records()
    for item in found:
        del item.replicas[:]
        item.replicas.extend(SINGLE_SHARD_REPLICAS)
    policy.update(SERVICE, found, 0.0)
    for hold_s, name in ((3.0, "ta"), (2.0, "tb"), (4.0, "tc")):
        policy.table.hold(name, 1, hold_s, 0.0)
    return policy


def test_callers_of_a_held_service_get_spread_retry_after_times():
    policy = held_policy()
    assert policy.choose(SERVICE, (), 1.0) is None
    assert not policy.has_targets(SERVICE, (), 1.0), "a request does not wait for held targets"
    assert policy.is_served(SERVICE), "the targets are reachable"
    retry_after_s = {policy.estimate_retry_after([SERVICE], 1, 1.0) for _ in range(20)}
    assert len(retry_after_s) == 20 and min(retry_after_s) >= 1.0
    assert policy.choose(SERVICE, (), 2.3) == "tb"
