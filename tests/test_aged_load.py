"""Tests of the choice among targets that many VMs share, by a replay of the load.

Guards against VMs that act on old replies: together they overrun one target while another has free
slots, avoid targets that have recovered, or stay at a local target that is slow.
"""

from __future__ import annotations

import random

import attrs
import pytest

from bench.even_load import Load, Replay
from bramleycrank.proto.target_pb2 import LoadReport
from bramleycrank.query import aged_load
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.targets import TargetState

BUSY = Load(66, slow_factor=2.5, hedge_s=0.08)
"""All targets in one domain; each is slow for 0.6 s in 4 s."""

DOMAINS = attrs.evolve(BUSY, domains=3)

LONG_SLOW = Load(
    66,
    domains=3,
    speeds=(0.8, 1.0, 1.3),
    work_s=0.014,
    use=0.1,
    slow_factor=8.0,
    slow_s=5.0,
    slow_every_s=15.0,
    hedge_s=0.08,
)
"""One target a domain, of three speeds; a tenth of the slots is in use, and each target is slow for
5 s in 15 s."""

MOVING = Load(
    80, targets=5, domains=3, slots=3, work_s=0.09, use=0.6, slow_factor=1.0, wave=0.5, hedge_s=0.3
)
"""Demand that moves between the domains within 15 s; two of them have two targets, one has one."""

SEEDS = range(1, 5)


def table_without_age(domain: str, rng: random.Random) -> ReplicaTable:
    """Return a table that trusts replies whatever their age: it counts a single VM."""
    return ReplicaTable(domain, rng, warmup_s=0.0)


def mean(load: Load, key: str, *, aged: bool) -> float:
    """Return the mean of a figure over the seeds."""
    make_table = None if aged else table_without_age
    return sum(Replay(load, seed, make_table).run(15.0)[key] for seed in SEEDS) / len(SEEDS)


def state(**fields: object) -> TargetState:
    """Return a local target of 4 slots that replies in 20 ms."""
    defaults = {
        "target_id": "t",
        "domain": "a",
        "local": True,
        "slots": 4,
        "incarnation": 1,
        "limit": 4.0,
        "warm_from": 0.0,
        "warm_until": 0.0,
        "base_latency_s": 0.02,
        "latency_s": 0.02,
        "replies": 9,
        "sent_at": 10.0,
    }
    return TargetState(**{**defaults, **fields})


def spread_of(targets: list[TargetState], now: float, draws: int = 2000) -> list[float]:
    """Return the share of the choices that each target gets."""
    rng = random.Random(3)
    chosen = []
    for _ in range(draws):
        chosen.append(aged_load.choose_evenly(targets, now, rng.random))
        chosen[-1].sent_at, chosen[-1].skipped_count = now, 0
    return [sum(target is other for other in chosen) / draws for target in targets]


def test_new_knowledge_decides_and_old_knowledge_spreads_evenly():
    slow = state(latency_s=0.1, last_latency_s=0.1, replied_at=10.0)
    targets = [slow, state(replied_at=10.0)]
    assert spread_of(targets, 10.05)[0] == 0.0
    assert spread_of(targets, 14.0)[0] == pytest.approx(0.5, abs=0.05)


def test_a_reported_queue_counts_while_it_is_new():
    queued = state(reported_load=3.0, reported_at=10.0, replied_at=10.0)
    targets = [queued, state(replied_at=10.0)]
    assert spread_of(targets, 10.05)[0] == 0.0
    assert spread_of(targets, 13.0)[0] == pytest.approx(0.5, abs=0.05)


def test_own_requests_in_flight_count_at_any_age():
    targets = [state(in_flight=1, busy_since=0.0, sent_at=30.0), state()]
    assert spread_of(targets, 30.0)[0] == 0.0


def test_a_failing_target_is_avoided_whatever_the_age_of_its_replies():
    targets = [state(failed_share=0.3, sent_at=30.0), state()]
    assert spread_of(targets, 30.0)[0] == 0.0


@pytest.mark.parametrize(
    "fields",
    [{"failed_share": 0.3}, {"failures": 1}, {"base_latency_s": 0.2, "latency_s": 0.2}],
    ids=["shed", "failed", "slow first reply"],
)
def test_a_target_that_was_bad_once_gets_requests_again(fields: dict):
    """Guards against targets that get nothing for good; only a reply shows that they are well."""
    bad = state(**fields)
    targets = [bad, state(), state()]
    rng, sent = random.Random(3), 0
    for step in range(240):  # two requests a second for two minutes
        now = 0.5 * step
        target = aged_load.choose_evenly(targets, now, rng.random)
        target.on_sent(now)
        target.on_reply(0.02, now + 0.02)
        target.on_ended(now + 0.02)
        sent += target is bad and now >= 60.0
    assert sent > 120 / 3 / 2


@pytest.mark.parametrize("latency_s, leaves", [(0.045, False), (0.2, True)])
def test_a_slow_local_target_is_left_for_one_without_replies(latency_s: float, leaves: bool):
    """A VM with few requests seldom hedges, so it may know nothing of the other targets."""
    local = state(latency_s=latency_s, last_latency_s=latency_s, replied_at=10.0)
    remote = state(target_id="r", local=False, base_latency_s=0.0, latency_s=0.0, replies=0)
    found = aged_load.find_faster_remote([local, remote], local, 10.02, 2.0)
    assert (found is remote) == leaves
    assert aged_load.find_faster_remote([local, remote], local, 13.0, 2.0) is None, "old knowledge"


def test_a_failing_local_target_is_left_at_twice_the_time_lost():
    local = state(failed_share=0.3, replied_at=10.0)
    remote = state(target_id="r", local=False, replied_at=10.0)
    assert aged_load.find_faster_remote([local, remote], local, 13.0, 2.0) is remote


@pytest.mark.parametrize(
    "vms, slots, shared",
    [
        (8, 1, False),
        (9, 1, False),
        (16, 2, False),
        (8, 3, False),
        (10, 4, False),
        (66, 4, True),
        (80, 3, True),
    ],
)
def test_a_target_is_shared_by_many_from_a_number_of_vms_for_each_slot(vms, slots, shared):
    assert aged_load.is_shared_by_many([state(slots=slots)], vms) == shared


@pytest.mark.parametrize("load", [BUSY, DOMAINS, LONG_SLOW], ids=["busy", "domains", "long-slow"])
def test_eight_vms_choose_as_without_the_age_of_replies(load: Load):
    """A small fleet sees the load by its own requests in flight; each decision stays the same."""
    load = attrs.evolve(load, vms=8, slots=3)
    assert Replay(load, 1).run(8.0) == Replay(load, 1, table_without_age).run(8.0)


def test_a_request_to_dozens_of_shards_tries_no_target_by_the_age_of_its_replies():
    """Such a request is as late as its slowest part, and a few trials would reach most of them."""
    load = attrs.evolve(LONG_SLOW, gather=True)
    assert Replay(load, 1).run(8.0) == Replay(load, 1, table_without_age).run(8.0)


@pytest.mark.parametrize("vms", [66, 200])
def test_callers_are_served_sooner_while_demand_moves_between_domains(vms: int):
    load = attrs.evolve(MOVING, vms=vms)
    for key in ("spread", "p99_ms"):
        assert mean(load, key, aged=True) < 0.95 * mean(load, key, aged=False)


@pytest.mark.parametrize("vms", [66, 80])
@pytest.mark.parametrize("load", [BUSY, DOMAINS], ids=["one domain", "domains"])
def test_work_in_progress_is_spread_more_evenly(load: Load, vms: int):
    load = attrs.evolve(load, vms=vms)
    aged = mean(load, "spread", aged=True)
    assert aged < 0.95 * mean(load, "spread", aged=False)


@pytest.mark.parametrize("vms", [66, 200])
def test_callers_are_served_sooner_while_targets_are_slow_for_seconds(vms: int):
    load = attrs.evolve(LONG_SLOW, vms=vms)
    assert mean(load, "mean_ms", aged=True) < mean(load, "mean_ms", aged=False)
    assert mean(load, "p99_ms", aged=True) < 400, "callers wait 405 ms for a single answer"


@pytest.mark.parametrize("vms", [66, 200, 300])
def test_without_slow_targets_hardly_a_request_leaves_the_domain(vms: int):
    """Bytes between domains are priced; a noisy target alone is no reason to pay for them.

    On the shifted site 18% of the sub-requests left and cost 0.105 of the worth, so 2% cost 0.01.
    """
    load = attrs.evolve(LONG_SLOW, vms=vms, slow_factor=2.5, slow_s=0.6, slow_every_s=4.0)
    assert mean(load, "remote", aged=True) < 0.02


def test_a_load_report_keeps_the_time_of_its_arrival():
    table = ReplicaTable("d0", random.Random(1), warmup_s=0.0)
    replay = Replay(Load(1), 1, lambda domain, rng: table)
    table.on_load("t0", LoadReport(in_flight=4, queued=8, slots=4), 7.0)
    target = replay.policies[0].table.state("t0")
    assert (target.reported_load, target.reported_at) == (3.0, 7.0)
