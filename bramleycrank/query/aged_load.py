"""Choice among targets whose load a VM knows only from its own, mostly old, replies.

Load pattern: dozens of VMs share a target with a few slots. Each sends it a request now and then,
so that its own requests in flight show little of the load, and its last reply is as old as a
disturbance lasts. A VM that trusts old replies avoids targets that have recovered, and all VMs
together move from one target to the next. Here, what a reply said about a target loses weight with
its age: new knowledge decides, old knowledge leads to an even spread.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from bramleycrank.query.targets import DEFAULT_LATENCY_S, FAILURE_COST_FACTOR, TargetState

MIN_VMS_PER_SLOT = 8.0
"""VMs for each slot of a target from which its load counts as shared by many.

With all slots in use, a VM then has less than one request in eight at the target, so that its own
requests in flight don't show the load.
"""

LATENCY_DECAY_S = 0.5
"""Time constant with which the excess latency of a reply loses weight among the targets of a
domain, in seconds."""

REMOTE_DECAY_SHARE = 0.7
"""Time constant with which it loses weight against remote targets, as a share of the time until a
slow target is tried again. That time doubles while the target stays slow: a request to dozens of
shards would otherwise include several trials."""

REPORT_DECAY_S = 0.3
"""Time constant with which a reported queue loses weight, in seconds. It is shorter, as a queue
changes with each request of another VM."""

EQUAL_COST_FACTOR = 1.6
"""Ratio of costs up to which targets count as equal. The usual speeds of the targets of a service
differ as much."""

REMOTE_LATENCY_FACTOR = 3.0
"""Ratio of latencies up to which a local target without more failures is preferred to a remote one.
It is higher than for failures, since most single slow replies are over before the next request."""


MIN_VMS = 32
"""Least number of VMs, whatever the slots: in a small group each VM's own requests in flight show
the load also of targets with one slot."""


def is_shared_by_many(targets: Iterable[TargetState], vm_count: int) -> bool:
    """Return whether so many VMs share targets that this VM's knowledge of them is mostly old."""
    slots = max(target.slots for target in targets)
    return vm_count >= max(MIN_VMS, MIN_VMS_PER_SLOT * slots)


def expected_latency(
    target: TargetState, now: float, default_s: float, decay_s: float = LATENCY_DECAY_S
) -> float:
    """Return the latency in seconds to expect by the last replies of a target and their age.

    The last reply counts as much as those before it: with a request a second it is the first to
    tell of a slow target, but a single slow reply is not enough to leave a domain.

    Parameters
    ----------
    target : TargetState
        The target.
    now : float
        Current time in seconds.
    default_s : float
        Latency of a target without a reply, in seconds.
    decay_s : float, optional
        Time constant with which the excess latency loses weight, in seconds.
    """
    base_s = target.base_latency_s
    if not base_s:
        return default_s
    slow_s = (target.latency_s + target.last_latency_s) / 2 - base_s
    rounds = target.reported_load + 1 / target.slots - 1.0
    return base_s + max(
        0.0,
        slow_s * math.exp((target.replied_at - now) / decay_s),
        base_s * rounds * math.exp((target.reported_at - now) / REPORT_DECAY_S),
    )


def usual_latency(targets: Iterable[TargetState]) -> float:
    """Return the lowest usual latency of equal targets in seconds, for those without a reply."""
    known = [target.base_latency_s for target in targets if target.base_latency_s]
    return min(known, default=DEFAULT_LATENCY_S)


def choose_evenly(
    ready: Sequence[TargetState], now: float, draw: Callable[[], float]
) -> TargetState:
    """Return one of the targets with the lowest cost, at random.

    Own requests in flight are the only knowledge that is never old, so they weigh most.

    Parameters
    ----------
    ready : sequence of TargetState
        Targets with free capacity.
    now : float
        Current time in seconds.
    draw : callable
        Returns a random number from 0 to 1.
    """
    if len(ready) == 1:
        return ready[0]
    chosen = _find_unobserved(ready, now) or _draw_by_cost(ready, now, draw)
    for target in ready:
        if target is not chosen:
            target.skipped_count += 1
    return chosen


def _find_unobserved(ready: Sequence[TargetState], now: float) -> TargetState | None:
    """Return the target that was passed over for so long that it has to be tried again, or None.

    Failures and high latencies do not fade without a new sample.
    """
    due = [target for target in ready if not target.score(now)]
    return min(due, key=lambda target: target.sent_at) if due else None


def _draw_by_cost(
    ready: Sequence[TargetState], now: float, draw: Callable[[], float]
) -> TargetState:
    default_s = usual_latency(ready)
    costs = [
        (target.in_flight + 1) ** 2
        * expected_latency(target, now, default_s)
        * (1 + target.failures)
        * (1 + FAILURE_COST_FACTOR * target.failed_share)
        for target in ready
    ]
    highest = EQUAL_COST_FACTOR * min(costs)
    equal = [(target, cost) for target, cost in zip(ready, costs, strict=True) if cost <= highest]
    left = draw() * sum(1 / cost for _, cost in equal)
    for target, cost in equal:
        left -= 1 / cost
        if left < 0:
            return target
    return equal[-1][0]


def find_faster_remote(
    free: Sequence[TargetState], local: TargetState, now: float, failure_preference: float
) -> TargetState | None:
    """Return a remote target to use instead of a slow or failing local one; None to stay.

    A remote target without a reply is expected to be as fast as the local one usually is: a VM with
    few requests seldom hedges, so it would otherwise never leave a slow target.

    Parameters
    ----------
    free : sequence of TargetState
        Targets with free capacity, the local ones included.
    local : TargetState
        The local target that would be used.
    now : float
        Current time in seconds.
    failure_preference : float
        Ratio of expected times up to which a local target with more failures is preferred.
    """
    remote = [target for target in free if not target.local]
    if not remote or not local.base_latency_s:
        return None
    default_s = usual_latency(free)

    def wait_s(target: TargetState) -> float:
        decay_s = REMOTE_DECAY_SHARE * target.reprobe_s
        return target.wait_s(now, expected_latency(target, now, default_s, decay_s))

    best = min(remote, key=lambda target: wait_s(target) * target.failure_factor())
    own_s, best_s = wait_s(local), wait_s(best)
    if own_s > REMOTE_LATENCY_FACTOR * best_s * best.failure_factor():
        return best
    failing = local.failure_factor() > best.failure_factor()
    own_s, best_s = own_s * local.failure_factor(), best_s * best.failure_factor()
    return best if failing and own_s > failure_preference * best_s else None
