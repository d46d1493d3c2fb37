"""Shares of the VMs in the rate of a cold target, over fleets that disagree about their members."""

from __future__ import annotations

import random

import pytest

from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, TargetRecord
from bramleycrank.routing import ServiceWarmup
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS, TargetPolicy
from bramleycrank.scatter.warmup import JOIN_S, WarmupBounds, WarmupShares

BOUNDS = WarmupBounds(overage=1.5, slack=5.0)
FLEET = [(f"vm{n}", "abc"[n % 3]) for n in range(94)]


def shares_of(vms, known=FLEET, started_at=-100.0):
    fleet = {vm_id: WarmupShares(vm_id, BOUNDS, started_at) for vm_id, _ in vms}
    for shares in fleet.values():
        shares.set_vms(known)
    return fleet


def flood(fleet, per_s, rng, seconds=3.0):
    """Let all VMs send as much as they may; return the most requests in one second."""
    times = []
    for step in range(int(seconds * 200)):
        now = step / 200
        for shares in rng.sample(list(fleet), 20):
            if shares.admits("t", "a", per_s, now):
                shares.on_sent("t", now)
                times.append(now)
    return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)


@pytest.mark.parametrize("per_s", [1, 4, 12, 40])
def test_all_vms_together_keep_the_rate_and_use_it(per_s):
    """Load pattern: each of 94 VMs has more requests for a cold target than it tolerates."""
    peak = flood(shares_of(FLEET).values(), per_s, random.Random(1))
    assert 0 < peak <= per_s


@pytest.mark.parametrize("per_s", [1, 4, 12, 40])
@pytest.mark.parametrize("seed", range(5))
def test_the_bound_holds_while_vms_disagree_about_the_members(per_s, seed):
    """Load pattern: VMs join, leave and are cut off while the targets of their domain are cold."""
    rng = random.Random(seed)
    fleet = []
    for vm_id, _ in FLEET:
        # Some have not heard yet of a few VMs that joined or left.
        missing = set(rng.sample([name for name, _ in FLEET], rng.choice([0, 0, 0, 3])))
        shares = WarmupShares(vm_id, BOUNDS, -100.0)
        shares.set_vms([vm for vm in FLEET if vm[0] not in missing or vm[0] == vm_id])
        fleet.append(shares)
    assert flood(fleet, per_s, rng) <= per_s * BOUNDS.overage + BOUNDS.slack


def test_a_vm_that_has_just_started_sends_nothing_to_cold_targets():
    """Guards against a restarted VM that knows only itself and takes the whole rate."""
    shares = WarmupShares("vm0", BOUNDS, started_at=0.0)
    shares.set_vms([("vm0", "a")])
    assert not shares.admits("t", "a", 12.0, JOIN_S - 0.1)
    assert shares.admits("t", "a", 12.0, JOIN_S)


def test_a_service_without_a_rate_does_not_limit_requests():
    shares = WarmupShares("vm0", BOUNDS, started_at=0.0)
    assert all(shares.admits("t", "a", 0.0, 0.0) for _ in range(100))


def policy_with(cold: set[str], per_s: float, vm_id: str = "vm0") -> TargetPolicy:
    policy = TargetPolicy(
        "a",
        RetryBudgetConfig(),
        lambda _: True,
        lambda: 1,
        random.Random(4),
        WarmupShares(vm_id, BOUNDS, -100.0),
    )
    policy.set_warmups({"s": ServiceWarmup(3.0, per_s)})
    policy.warmup.set_vms([("vm0", "a")])
    records = [
        TargetRecord(
            target_id=f"t{n}",
            incarnation=1,
            state=TARGET_STATE_SERVING,
            service="s",
            domain="abc"[n],
            slots=4,
            replicas=SINGLE_SHARD_REPLICAS,
        )
        for n in range(3)
    ]
    policy.update("s", records, 0.0)
    for target_id in cold:
        policy.table.set_cold(target_id, 3.0)
    return policy


def test_cold_targets_are_chosen_only_if_no_warm_one_is_left():
    policy = policy_with({"t0", "t1"}, 0.0)
    assert {policy.choose("s", (), 1.0) for _ in range(50)} == {"t2"}
    assert policy.choose("s", ("t2",), 1.0) in {"t0", "t1"}
    assert {policy.choose("s", (), 3.5) for _ in range(50)} != {"t2"}


def test_without_a_share_a_service_with_only_cold_targets_has_none():
    """Load pattern: all replicas of a shard are cold, and requests would wait for their timeout."""
    policy = policy_with({"t0", "t1", "t2"}, 12.0, vm_id="another")
    assert policy.choose("s", (), 1.0) is None and not policy.has_targets("s", (), 1.0)
    assert policy.has_targets("s", (), 3.5)
    sender = policy_with({"t0", "t1", "t2"}, 12.0)
    sent = []
    while (target_id := sender.choose("s", (), 1.0)) is not None:
        sender.on_sent(target_id, 1.0)
        sent.append(target_id)
    assert sent.count("t0") == 3, "a third of the rate"
    assert not sender.has_targets("s", ("t1", "t2"), 1.0)
    assert sender.has_targets("s", ("t1", "t2"), 2.1)


def test_a_target_that_returns_counts_as_cold_until_its_record_changes():
    """Load pattern: all VMs reconnect to the targets of a domain before their reports arrive."""
    policy = policy_with(set(), 12.0, vm_id="another")
    policy.on_reachable_again("s", "t0", 10.0)
    assert {policy.choose("s", (), 12.9) for _ in range(50)} <= {"t1", "t2"}
    assert policy.choose("s", ("t1", "t2"), 12.9) is None, "this VM has no share"
    policy.on_warmup_reported("t0", warm_at=0.0)
    assert policy.choose("s", ("t1", "t2"), 12.9) == "t0"
    without_rate = policy_with(set(), 0.0)
    without_rate.on_reachable_again("s", "t0", 10.0)
    assert without_rate.choose("s", ("t1", "t2"), 10.1) == "t0"


def test_targets_of_a_restored_domain_count_as_cold_for_a_report_and_its_way():
    policy = policy_with(set(), 12.0, vm_id="another")
    policy.on_warmup_reported("t0", warm_at=0.0, restored_at=10.0)
    assert policy.choose("s", ("t1", "t2"), 12.4) is None
    assert policy.choose("s", ("t1", "t2"), 12.6) == "t0"
    policy.on_warmup_reported("t0", warm_at=16.0, restored_at=10.0)
    assert policy.choose("s", ("t1", "t2"), 15.9) is None
