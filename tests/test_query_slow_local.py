"""Tests of the replica choice with a slow or partly failing target of the own domain.

Each runs for a VM among few and for one among many, whose choice weighs replies by their age.
"""

from __future__ import annotations

import functools
import random
import sys

import pytest
from query_fakes import SERVICE, record

from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.targets import MAX_REPROBE_DELAY_S
from bramleycrank.query.types import Snapshot

ONE_SHARD = Snapshot(1, 1)
USUAL_S, SLOW_S = 0.02, 0.16


@pytest.fixture(autouse=True, params=[1, 80], ids=["few VMs", "many VMs"])
def vm_count(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Give each table the number of VMs that share the targets."""
    table = functools.partial(ReplicaTable, vm_count=lambda: request.param)
    monkeypatch.setattr(sys.modules[__name__], "ReplicaTable", table)


def replay(slow_s: float, requests: int = 400, rate: float = 10.0) -> tuple[float, float]:
    """Send sequential requests; return the shares of slow and of remote ones.

    One request in 12 is hedged at another target, which gives observations of the others.
    """
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    latency = {"ta": slow_s, "tb": USUAL_S, "tc": USUAL_S}
    slow = remote = 0
    for number in range(requests):
        now = number / rate
        target = table.choose(SERVICE, ONE_SHARD, 0, (), now)
        table.on_sent(target, now)
        slow += latency[target] == SLOW_S
        remote += target != "ta"
        if number % 12 == 0:
            hedge = table.choose(SERVICE, ONE_SHARD, 0, (target,), now)
            table.on_sent(hedge, now)
            table.on_reply(hedge, latency[hedge], now)
        table.on_reply(target, latency[target], now)
    return slow / requests, remote / requests


def test_a_slow_local_target_is_avoided_but_tried_again():
    slow, _ = replay(SLOW_S)
    assert 0.02 < slow < 0.2


def test_a_slow_local_target_is_avoided_by_a_vm_with_few_requests():
    """Many VMs share the load, so each VM queries a shard only about once a second."""
    slow, _ = replay(SLOW_S, requests=60, rate=0.8)
    assert 0.02 < slow < 0.35


def test_single_pauses_cause_no_remote_requests_of_a_vm_with_few_requests():
    """Each target sometimes pauses for 0.2 s, at about one request per second."""
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    remote = 0
    for number in range(200):
        now = number / 0.9
        for target in ("tb", "tc") if number % 5 == 0 else ():
            table.on_sent(target, now)
            table.on_reply(target, USUAL_S, now)
        target = table.choose(SERVICE, ONE_SHARD, 0, (), now)
        remote += target != "ta"
        table.on_sent(target, now)
        table.on_reply(target, 0.2 if number % 23 == 7 else USUAL_S, now)
    assert remote / 200 < 0.05


def test_equal_targets_are_chosen_in_the_own_domain():
    """Traffic between domains is expensive, so ordinary differences must not cause it."""
    _, remote = replay(USUAL_S)
    assert remote == 0.0


def count_sheds(requests: int, rate: float, seed: int = 7) -> int:
    """Return how many requests are shed if the local target of a shard sheds half of them."""
    rng = random.Random(seed)
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    shed = 0
    for number in range(requests):
        now = 10.0 + number / rate
        target = table.choose(SERVICE, ONE_SHARD, 0, (), now)
        table.on_sent(target, now)
        if target == "ta" and rng.random() < 0.5:
            shed += 1
            table.on_shed(target, now)
            other = table.choose(SERVICE, ONE_SHARD, 0, (target,), now)
            table.on_sent(other, now)
            table.on_reply(other, USUAL_S, now)
        else:
            table.on_reply(target, USUAL_S, now)
    return shed


def test_a_local_target_that_sheds_half_of_its_requests_is_avoided():
    """A target sheds part of its requests while it is otherwise healthy."""
    assert count_sheds(400, 10.0) / 400 < 0.1


def test_a_vm_with_few_requests_avoids_a_shedding_target_at_once():
    """As above for some seconds, with about one request per second."""
    mean = sum(count_sheds(12, 0.8, seed) for seed in range(400)) / 400
    assert mean < 12 / 5, "the target sheds half; at most one request in five may be shed"


def test_a_slow_target_is_tried_less_often_until_it_recovers():
    """Many shards have a slow target, and each trial of one delays a whole request."""
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    slow_from, slow_until, rate = 5.0, 20.0, 15.0
    trials, recovered_at = 0, None
    for number in range(int(40 * rate)):
        now = number / rate
        if number % 12 == 0:
            for hedge in ("tb", "tc"):
                table.on_sent(hedge, now)
                table.on_reply(hedge, USUAL_S, now)
        target = table.choose(SERVICE, ONE_SHARD, 0, (), now)
        slow = target == "ta" and slow_from <= now < slow_until
        trials += slow and now > slow_from + 1.0
        if target == "ta" and now >= slow_until and recovered_at is None:
            recovered_at = now
        table.on_sent(target, now)
        table.on_reply(target, SLOW_S if slow else USUAL_S, now)
    assert trials <= 4, "trials after 1, 2, 4 and 8 s; without back-off there is one per second"
    assert recovered_at - slow_until <= MAX_REPROBE_DELAY_S + 1.0


def test_concurrent_requests_stay_in_the_own_domain():
    """The VM sends as many concurrent requests as the local target has slots.

    Traffic between domains is expensive, and a free slot answers as fast as an idle target. The
    local target is slightly slower than the others, which is usual among targets of a service.
    """
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=2) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    latency = {"ta": 1.3 * USUAL_S, "tb": USUAL_S, "tc": USUAL_S}
    for target in ("ta", "tb", "tc"):
        table.on_sent(target, 0.0)
        table.on_reply(target, latency[target], USUAL_S)
    remote = 0
    for number in range(100):
        now = 1.0 + number / 10
        chosen = [table.choose(SERVICE, ONE_SHARD, 0, (), now)]
        table.on_sent(chosen[0], now)
        chosen.append(table.choose(SERVICE, ONE_SHARD, 0, (), now + USUAL_S / 2))
        table.on_sent(chosen[1], now + USUAL_S / 2)
        remote += sum(target != "ta" for target in chosen)
        for target in chosen:
            table.on_reply(target, latency[target], now + latency[target])
    assert remote == 0


def test_a_local_target_that_pauses_with_requests_in_flight_is_avoided():
    """A target pauses for 0.1 s; requests sent to it in that time would wait for the end."""
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=4) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    for target in ("ta", "tb", "tc"):
        table.on_sent(target, 0.0)
        table.on_reply(target, USUAL_S, USUAL_S)
    table.on_sent("ta", 1.0)
    assert table.choose(SERVICE, ONE_SHARD, 0, (), 1.0 + USUAL_S) == "ta"
    assert table.choose(SERVICE, ONE_SHARD, 0, (), 1.0 + 4 * USUAL_S) != "ta"


def test_single_failures_cause_no_remote_requests():
    """Each target fails one reply in twenty, all at the same rate."""
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    remote = 0
    for number in range(400):
        now = number / 20
        for target in ("tb", "tc") if number % 12 == 0 else ():
            table.on_sent(target, now)
            table.on_reply(target, USUAL_S, now)
        target = table.choose(SERVICE, ONE_SHARD, 0, (), now)
        remote += target != "ta"
        table.on_sent(target, now)
        if number % 20 == 7:
            table.on_failure(target, now)
        else:
            table.on_reply(target, USUAL_S, now)
    assert remote / 400 < 0.05
