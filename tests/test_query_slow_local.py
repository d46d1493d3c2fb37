"""A slow or half-failing target of the own failure domain, replayed on the replica choice."""

from __future__ import annotations

import random

from query_fakes import SERVICE, record

from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.targets import REPROBE_MAX_S
from bramleycrank.query.types import Snapshot

ONE_SHARD = Snapshot(1, 1)
USUAL_S, SLOW_S = 0.02, 0.16


def replay(slow_s: float, requests: int = 400, rate: float = 10.0) -> tuple[float, float]:
    """Send requests one after the other; return the share of slow and of remote ones.

    One request in 12 has a hedge at another target, which is how those get observations.
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


def test_a_slow_local_target_is_passed_over_but_looked_at_again():
    slow, _ = replay(SLOW_S)
    assert 0.02 < slow < 0.2


def test_a_slow_local_target_is_passed_over_by_a_vm_with_few_requests():
    """Load pattern: many VMs share the load, so that each asks a shard about once a second."""
    slow, _ = replay(SLOW_S, requests=60, rate=0.8)
    assert 0.02 < slow < 0.35


def test_single_pauses_do_not_send_a_vm_with_few_requests_elsewhere():
    """Load pattern: each target pauses for 0.2 s now and then, at about one request a second."""
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
    """Bytes between failure domains cost, so ordinary differences do not leave the domain."""
    _, remote = replay(USUAL_S)
    assert remote == 0.0


def count_sheds(requests: int, rate: float, seed: int = 7) -> int:
    """Send requests to a shard whose local target sheds half of them; return how many it shed."""
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


def test_a_local_target_that_sheds_half_of_its_requests_is_passed_over():
    """Load pattern: a target refuses part of its requests while its health is good."""
    assert count_sheds(400, 10.0) / 400 < 0.1


def test_a_vm_with_few_requests_passes_a_shedding_target_over_at_once():
    """Load pattern: as above for some seconds, and each VM asks a shard once a second."""
    mean = sum(count_sheds(12, 0.8, seed) for seed in range(400)) / 400
    assert mean < 12 / 5, "each target sheds half, and one request in five is to be shed at most"


def test_a_target_that_turned_slow_is_tried_less_and_less_often_until_it_recovers():
    """Load pattern: many shards have a slow target, and each trial holds up a whole request."""
    table = ReplicaTable("a", random.Random(5), warmup_s=0.0)
    records = [record(f"t{d}", [(ONE_SHARD, 0)], domain=d, slots=3) for d in "abc"]
    table.update(SERVICE, records, 0.0)
    slow_from, slow_until, rate = 5.0, 20.0, 15.0
    trials, back_at = 0, None
    for number in range(int(40 * rate)):
        now = number / rate
        if number % 12 == 0:
            for hedge in ("tb", "tc"):
                table.on_sent(hedge, now)
                table.on_reply(hedge, USUAL_S, now)
        target = table.choose(SERVICE, ONE_SHARD, 0, (), now)
        slow = target == "ta" and slow_from <= now < slow_until
        trials += slow and now > slow_from + 1.0
        if target == "ta" and now >= slow_until and back_at is None:
            back_at = now
        table.on_sent(target, now)
        table.on_reply(target, SLOW_S if slow else USUAL_S, now)
    assert trials <= 4, "after 1, 2, 4 and 8 s; once a second without the growing time"
    assert back_at - slow_until <= REPROBE_MAX_S + 1.0
