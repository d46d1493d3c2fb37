"""Shares of the VMs in the rate that a target names, over fleets with more demand than that."""

from __future__ import annotations

import random

import pytest

from bramleycrank.proto.target_pb2 import TARGET_STATE_SERVING, TargetRecord
from bramleycrank.scatter.budget import RetryBudgetConfig
from bramleycrank.scatter.policy import SINGLE_SHARD_REPLICAS, TargetPolicy
from bramleycrank.scatter.warmup import WarmupBounds, WarmupShares

WINDOW_S = 4.0
OVERAGE, SLACK = 1.5, 5
"""Bound of the platform in a window: the limit times the overage, and the slack in requests."""

SMALL = [(f"vm{n}", "abc"[n % 3]) for n in range(9)]
LARGE = [(f"vm{n}", "abcde"[n % 5]) for n in range(195)]


def new_policy(vm: tuple[str, str], known: list[tuple[str, str]], targets: int) -> TargetPolicy:
    """Return the policy of a VM with targets t0, t1 and so on in domains a, b and c."""
    policy = TargetPolicy(
        vm[1],
        RetryBudgetConfig(),
        lambda _: True,
        lambda: len(known),
        random.Random(vm[0]),
        WarmupShares(vm[0], WarmupBounds(), -100.0),
    )
    policy.warmup.set_vms(known)
    records = [
        TargetRecord(
            target_id=f"t{n}",
            incarnation=1,
            state=TARGET_STATE_SERVING,
            service="s",
            domain="abc"[n % 3],
            slots=100,
            replicas=SINGLE_SHARD_REPLICAS,
        )
        for n in range(targets)
    ]
    policy.update("s", records, 0.0)
    for record in records:
        policy.table.state(record.target_id).limit = 100.0
    return policy


class Fleet:
    """VMs with requests for one service, whose targets name limits in each reply."""

    def __init__(self, vms, limits: dict[str, float | None], known=None, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.limits = limits
        self.policies = [new_policy(vm, (known or {}).get(vm[0], vms), len(limits)) for vm in vms]
        self.arrivals: dict[str, list[float]] = {name: [] for name in limits}
        self.refused: list[float] = []

    def run(self, per_s: float, start: float, end: float) -> None:
        """Let `per_s` requests a second arrive at random VMs; each reply takes 10 ms."""
        now = start
        while now < end:
            now += self.rng.expovariate(per_s)
            policy = self.rng.choice(self.policies)
            target_id = policy.choose("s", (), now)
            if target_id is None:
                assert not policy.has_targets("s", (), now), "it would wait until its deadline"
                self.refused.append(now)
                continue
            policy.on_sent(target_id, now)
            self.arrivals[target_id].append(now)
            policy.rate_limits.update(target_id, 1, self.limits[target_id], now)
            policy.table.on_reply(target_id, 0.01, now)

    def peak(self, target_id: str, after: float) -> int:
        """Return the most requests in one window that begins after a time."""
        times = [at for at in self.arrivals[target_id] if at >= after]
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def bound(per_s: float) -> float:
    return OVERAGE * per_s * WINDOW_S + SLACK


@pytest.mark.parametrize("vms", [SMALL, LARGE], ids=["9 VMs", "195 VMs"])
@pytest.mark.parametrize("per_s", [0.0, 0.4, 2.5, 10.1, 40.0])
@pytest.mark.parametrize("targets", [1, 3])
def test_all_vms_together_keep_the_limit_of_a_target(vms, per_s, targets):
    """Guards against LIMIT: a target that named 10.1 requests/s got 120 in 4 s (de069812)."""
    fleet = Fleet(vms, {f"t{n}": per_s for n in range(targets)})
    fleet.run(3.0, 0.0, 60.0)
    fleet.run(400.0, 60.0, 75.0)
    fleet.run(3.0, 75.0, 95.0)
    fleet.run(400.0, 95.0, 105.0)
    for target_id in fleet.limits:
        assert fleet.peak(target_id, after=64.0) <= bound(per_s)


@pytest.mark.parametrize("vms", [SMALL, LARGE], ids=["9 VMs", "195 VMs"])
@pytest.mark.parametrize("seed", range(3))
def test_the_limit_holds_while_vms_disagree_about_the_members(vms, seed):
    """Load pattern: VMs join, leave and restart while a target names a limit."""
    rng = random.Random(seed)
    names = [name for name, _ in vms]
    known = {}
    for name in names:
        missing = set(rng.sample(names, rng.choice([0, 0, 0, 2])))
        known[name] = [vm for vm in vms if vm[0] not in missing or vm[0] == name]
    fleet = Fleet(vms, {"t0": 10.1}, known, seed)
    fleet.run(300.0, 0.0, 20.0)
    assert fleet.peak("t0", after=4.0) <= bound(10.1)


def test_the_vms_of_the_own_domain_use_most_of_the_limit():
    """Load pattern: the VMs of a domain alone have more requests for a target than it takes."""
    fleet = Fleet([vm for vm in SMALL if vm[1] == "a"], {"t0": 20.0}, {n: SMALL for n, _ in SMALL})
    fleet.run(100.0, 0.0, 14.0)
    assert len([at for at in fleet.arrivals["t0"] if at >= 4.0]) >= 0.6 * 20.0 * 10


def test_nothing_is_refused_while_one_replica_has_no_limit():
    """Load pattern: two of three replicas name a limit; the third one takes the rest."""
    fleet = Fleet(SMALL, {"t0": 2.5, "t1": 0.0, "t2": None})
    fleet.run(200.0, 0.0, 20.0)
    assert not fleet.refused
    assert fleet.peak("t0", after=4.0) <= bound(2.5)


def test_a_limit_that_ended_refuses_nothing_for_long():
    """Load pattern: the only target of a service names a limit for some seconds."""
    fleet = Fleet(SMALL, {"t0": 13.1})
    fleet.run(60.0, 0.0, 10.0)
    assert fleet.refused
    fleet.limits["t0"] = None
    fleet.run(60.0, 10.0, 20.0)
    assert max(fleet.refused) < 14.0


def test_a_new_incarnation_has_no_limit():
    fleet = Fleet(SMALL, {"t0": 1.0})
    fleet.run(50.0, 0.0, 5.0)
    policy = fleet.policies[0]
    assert not policy.has_targets("s", (), 5.0)
    policy.rate_limits.update("t0", 2, None, 5.0)
    policy.rate_limits.update("t0", 1, 1.0, 5.1)
    assert policy.has_targets("s", (), 5.2)


def test_a_refusal_names_the_time_at_which_the_share_allows_a_request():
    policy = new_policy(SMALL[0], [SMALL[0]], targets=1)
    policy.rate_limits.update("t0", 1, 2.0, 0.0)
    assert policy.choose("s", (), 0.0) == "t0"
    policy.on_sent("t0", 0.0)
    assert policy.choose("s", (), 0.1) is None
    assert 0.4 <= policy.estimate_retry_after(["s"], 1, 0.1) <= 0.4 * 1.5
    assert policy.choose("s", (), 0.5) == "t0"
