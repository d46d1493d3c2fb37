"""Target selection, hedge delays and retry budgets for forwarded requests."""

from __future__ import annotations

import copy
import functools
import random
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Any, Protocol

from bramleycrank.customers.shares import Room
from bramleycrank.proto.target_pb2 import Replica, Snapshot, TargetRecord
from bramleycrank.query.latency import LatencyEstimate
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.targets import TargetState
from bramleycrank.query.types import Snapshot as SnapshotKey
from bramleycrank.routing import ServiceWarmup
from bramleycrank.scatter.budget import RetryBudget, RetryBudgetConfig
from bramleycrank.scatter.rate_limits import RateLimits
from bramleycrank.scatter.retry_after import (
    add_jitter,
    combined_retry_after,
    cut_retry_after,
    service_retry_after,
)
from bramleycrank.scatter.types import FailureKind, SubFailure, TargetReply
from bramleycrank.scatter.warmup import WarmupBounds, WarmupShares

SINGLE_SHARD = SnapshotKey(1, 1)
"""Snapshot assigned to every target of a forwarded service, which is a single shard."""

SINGLE_SHARD_REPLICAS = (Replica(snapshot=Snapshot(version=1, shard_count=1), shard=0),)
"""The same snapshot in the form of a target's report."""

MIN_SAMPLES = 30
"""Replies needed before the observed latencies of a route determine its hedge delay."""

HEDGE_QUANTILE = 0.92
"""Quantile of a route's sub-request latency that is used as hedge delay."""

SCARCE_QUANTILE = 0.98
"""The same for a single shard while the budget is scarce, to reserve it for stragglers."""

LATEST_HEDGE_SHARE = 0.4
"""Maximum hedge delay as a share of the latency objective; also used until latencies are known.

The second target needs the remaining time to reply within the objective.
"""

DEFAULT_HEDGE_DELAY_S = 0.1
"""Hedge delay of a route without an objective until its latencies are known, in seconds."""

NO_WARMUP = ServiceWarmup()

RESTORED_WARMUP_S = 2.5
"""Time for which the targets of a restored domain count as cold unless their records change, in
seconds: a report and its way to all VMs."""


class ScatterPolicy(Protocol):
    """Interface between the execution of a request and the policy."""

    def choose(
        self, service: str, tried: Collection[str], now: float, *, gather: bool = False
    ) -> str | None:
        """Return the target for a sub-request, or None if none has free capacity."""

    def outside(self, service: str, regions: Collection[str]) -> list[str]:
        """Return the targets of a service that are in none of the regions."""

    def has_targets(self, service: str, tried: Collection[str], now: float) -> bool:
        """Return whether the service has an untried target, busy or not."""

    def knows(self, service: str) -> bool:
        """Return whether a target of a service is known, reachable or not."""

    def usable_targets(self, service: str) -> int:
        """Return how many targets of a service can be reached."""

    def estimate_retry_after(self, services: Sequence[str], needed: int, now: float) -> float:
        """Return the time in seconds until enough of the services should accept requests."""

    def hedge_delay(self, route: str, objective_s: float, *, scarce: bool) -> float:
        """Return the delay in seconds after which to send a hedge."""

    def is_budget_scarce(self, service: str, now: float) -> bool:
        """Return whether the remaining budget of a service is less than half of the used part."""

    def spend_retry_budget(self, service: str, now: float) -> bool:
        """Spend budget on one extra sub-request; return False if none is left."""

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service, which raises its budget."""

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request in flight."""

    def on_reply(
        self, route: str, target_id: str, reply: TargetReply, latency_s: float, now: float
    ) -> None:
        """Record a reply that is used."""

    def on_failure(self, target_id: str, failure: SubFailure, now: float) -> None:
        """Record a failure."""

    def on_superseded(self, route: str, elapsed_s: float) -> None:
        """Record the time after which a sub-request was superseded by another one."""


class TargetPolicy:
    """Policy that uses the targets of the registry.

    Parameters
    ----------
    domain : str
        Failure domain of this VM, whose targets are preferred.
    budget_cfg : RetryBudgetConfig
        Bound for extra sub-requests.
    has_capacity : callable
        Returns whether this VM may send one more sub-request to a target.
    vm_count : callable
        Returns the number of VMs that share the budget.
    rng : random.Random
        Source of the random choices.
    warmup : WarmupShares, optional
        Bounds the requests to cold targets.
    regions : mapping of str to str, optional
        Region of each failure domain.
    cut_for : callable, optional
        Returns for how long this VM has reached no target at all, in seconds; None if it does.
    weigh_load_by_age : bool, optional
        Whether what is known of targets that many VMs share loses weight with its age.
    """

    def __init__(
        self,
        domain: str,
        budget_cfg: RetryBudgetConfig,
        has_capacity: Callable[[str], bool],
        vm_count: Callable[[], int],
        rng: random.Random,
        warmup: WarmupShares | None = None,
        regions: Mapping[str, str] | None = None,
        cut_for: Callable[[], float | None] = lambda: None,
        *,
        weigh_load_by_age: bool = False,
    ) -> None:
        self._cut_for = cut_for
        sharing_vms = vm_count if weigh_load_by_age else lambda: 1
        self.table = ReplicaTable(domain, rng, warmup_s=0.0, vm_count=sharing_vms)
        self._budget_cfg = budget_cfg
        self._rng = rng
        self._pool_has_capacity = has_capacity
        self._vm_count = vm_count
        self.warmup = warmup or WarmupShares("", WarmupBounds(), 0.0)
        self.rate_limits = RateLimits(self.warmup.senders, rng.random)
        self._regions = regions or {}
        self._warmups: Mapping[str, ServiceWarmup] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._latencies: dict[str, LatencyEstimate] = {}

    def set_warmups(self, warmups: Mapping[str, ServiceWarmup]) -> None:
        """Set the warm-up of the targets of each service."""
        self._warmups = warmups

    def warmup_of(self, service: str) -> ServiceWarmup:
        """Return the warm-up of the targets of a service."""
        return self._warmups.get(service, NO_WARMUP)

    def on_warmup_reported(
        self, target_id: str, warm_at: float, restored_at: float | None = None
    ) -> None:
        """Record the warm-up that a new record of a target states.

        Load pattern: an evacuation ends, and all VMs return to the targets of a domain. These may
        have become cold since their last report.

        Parameters
        ----------
        target_id : str
            The target.
        warm_at : float
            Time at which the target is warm according to the record, in seconds.
        restored_at : float or None, optional
            End of the last evacuation of its domain, if the target was not in use since.
        """
        if restored_at is not None:
            warm_at = max(warm_at, restored_at + RESTORED_WARMUP_S)
        self.table.set_cold(target_id, warm_at)

    def on_reachable_again(self, service: str, target_id: str, now: float) -> None:
        """Count a target that was down as restarted until its record changes.

        Load pattern: the targets of a domain return together, and all VMs reconnect to them before
        the first reports have reached the VMs. Only a rate makes this worth a detour.
        """
        warmup = self.warmup_of(service)
        if warmup.per_s:
            self.table.set_cold(target_id, now + warmup.duration_s)

    def update(self, service: str, records: Iterable[TargetRecord], now: float) -> None:
        """Replace the usable targets of a service."""
        self.table.update(service, records, now)

    def choose(
        self, service: str, tried: Collection[str], now: float, *, gather: bool = False
    ) -> str | None:
        """Return the target for a sub-request, or None if none has free capacity.

        Load pattern: overload. Concurrency limits keep the queues at the targets short. Requests
        wait on this VM instead, where they can be ordered and have not run yet.
        """
        if self._cut_for() is not None:
            return None
        exclude = set(tried)
        find = functools.partial(self.table.choose, service, SINGLE_SHARD, 0, gather=gather)
        while (target_id := find(exclude, now)) is not None:
            if (
                self.table.has_capacity(target_id)
                and self._pool_has_capacity(target_id)
                and self._is_admitted(service, self.table.state(target_id), now)
            ):
                return target_id
            exclude.add(target_id)
        return None

    @contextmanager
    def preview(self) -> Iterator[TargetPolicy]:
        """Return a policy whose choices are those of this one, and leave no trace in it."""
        rng_state = self._rng.getstate()
        policy = copy.copy(self)
        policy.table = copy.deepcopy(self.table)
        policy.warmup = copy.deepcopy(self.warmup)
        policy.rate_limits = copy.deepcopy(self.rate_limits)
        try:
            yield policy
        finally:
            self._rng.setstate(rng_state)

    def _is_admitted(self, service: str, target: TargetState, now: float) -> bool:
        """Return whether this VM's shares in the target's rates allow one more request to it."""
        target_id, domain = target.target_id, target.domain
        return self.rate_limits.admits(target_id, domain, now) and (
            target.cold_until <= now
            or self.warmup.admits(target_id, domain, self.warmup_of(service).per_s, now)
        )

    def outside(self, service: str, regions: Collection[str]) -> list[str]:
        """Return the targets of a service that are in none of the regions."""
        return [
            target.target_id
            for target in self.table.replicas(service, SINGLE_SHARD, 0)
            if self._regions.get(target.domain) not in regions
        ]

    def has_targets(self, service: str, tried: Collection[str], now: float) -> bool:
        """Return whether a usable target was not tried yet, busy or not."""
        return self._cut_for() is None and any(
            not t.down
            and not t.is_held(now)
            and t.target_id not in tried
            and self._is_admitted(service, t, now)
            for t in self.table.replicas(service, SINGLE_SHARD, 0)
        )

    def knows(self, service: str) -> bool:
        """Return whether a target of a service is known, reachable or not."""
        return bool(self.table.replicas(service, SINGLE_SHARD, 0))

    def usable_targets(self, service: str) -> int:
        """Return how many targets of a service can be reached, also those that are held back."""
        if self._cut_for() is not None:
            return 0
        return sum(not t.down for t in self.table.replicas(service, SINGLE_SHARD, 0))

    def is_served(self, service: str) -> bool:
        """Return whether a target of the service can be reached, also one that is held back."""
        return self.usable_targets(service) > 0

    def has_reachable(self, service: str) -> bool:
        """Return whether a target of the service is not down, whatever the links of this VM."""
        return any(not t.down for t in self.table.replicas(service, SINGLE_SHARD, 0))

    def estimate_retry_after(self, services: Sequence[str], needed: int, now: float) -> float:
        """Return the time in seconds until enough of the services should accept requests.

        Parameters
        ----------
        services : sequence of str
            Services whose replies are missing.
        needed : int
            Number of them that an answer needs.
        now : float
            Current time in seconds.
        """
        cut_s = self._cut_for()
        if cut_s is not None:
            return add_jitter(cut_retry_after(cut_s), self._rng)
        waits_s = [
            service_retry_after(
                self.table.replicas(name, SINGLE_SHARD, 0), now, self.rate_limits.wait_s
            )
            for name in services
        ]
        return add_jitter(combined_retry_after(waits_s, needed), self._rng)

    def room(self, service: str, now: float) -> Room:
        """Return what the usable targets of a service can take from this VM."""
        usable = [
            target
            for target in self.table.replicas(service, SINGLE_SHARD, 0)
            if target.latency_s and not target.down and not target.is_held(now)
        ]
        per_s = sum(max(1.0, target.limit) / target.expected_s(now) for target in usable)
        return Room(per_s, min((target.latency_s for target in usable), default=0.0))

    def typical_latency(self, route: str) -> float:
        """Return the median latency of the sub-requests of a route, in seconds."""
        latency = self._latencies.get(route)
        return latency.quantile(0.5) if latency is not None else 0.0

    def hedge_delay(self, route: str, objective_s: float, *, scarce: bool) -> float:
        """Return the delay in seconds after which to send a hedge.

        Parameters
        ----------
        route : str
            Name of the route.
        objective_s : float
            Latency objective in seconds; 0 if there is none.
        scarce : bool
            Whether to save the budget for the slowest sub-requests.
        """
        latency = self._latencies.get(route)
        if latency is None or latency.samples < MIN_SAMPLES:
            return objective_s * LATEST_HEDGE_SHARE or DEFAULT_HEDGE_DELAY_S
        if scarce:
            return latency.quantile(SCARCE_QUANTILE)
        delay_s = latency.quantile(HEDGE_QUANTILE)
        # Slow targets raise the quantile, so that a hedge could be sent too late for the objective.
        return min(delay_s, objective_s * LATEST_HEDGE_SHARE) if objective_s else delay_s

    def is_budget_scarce(self, service: str, now: float) -> bool:
        """Return whether the remaining budget of a service is less than half of the used part."""
        budget = self._budget(service)
        return budget.available(self._vm_count(), now) * 2 < budget.used

    def spend_retry_budget(self, service: str, now: float) -> bool:
        """Spend budget on one extra sub-request; return False if none is left."""
        return self._budget(service).try_spend(self._vm_count(), now)

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service, which raises its budget."""
        self._budget(service).add_request(now)

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request in flight."""
        self.table.on_sent(target_id, now)
        self.rate_limits.on_sent(target_id, now)
        target = self.table.state(target_id)
        if target is not None and target.cold_until > now:
            self.warmup.on_sent(target_id, now)

    def on_reply(
        self, route: str, target_id: str, reply: TargetReply, latency_s: float, now: float
    ) -> None:
        """Record a reply that is used."""
        self._latency(route).record(latency_s)
        self.table.on_reply(target_id, latency_s, now)
        if reply.load is not None:
            self.table.on_load(target_id, reply.load, now)
            if reply.load.queued:
                self.table.on_queued(target_id, now)

    def on_failure(self, target_id: str, failure: SubFailure, now: float) -> None:
        """Record a failure."""
        if failure.kind is FailureKind.REFUSED:
            self.table.on_shed(target_id, now)
        elif failure.kind is FailureKind.WRONG_TARGET:
            self.table.on_wrong_target(target_id, now)
        else:
            self.table.on_failure(target_id, now)

    def on_superseded(self, route: str, elapsed_s: float) -> None:
        """Record the time after which a sub-request was superseded by another one.

        The time is recorded as a latency, of which it is a lower bound. Otherwise hedges would hide
        the slow replies from the estimate, and the hedge delay would shrink with every hedge.
        """
        self._latency(route).record(elapsed_s)

    def on_cancel_completed(
        self, target_id: str, latency_s: float | None, now: float, *, silent: bool
    ) -> None:
        """Record that a cancelled sub-request no longer occupies its target.

        It counts as in flight until then, so that a target that stalls gets no further ones.

        Parameters
        ----------
        target_id : str
            The target.
        latency_s : float or None
            Latency of its late reply, in seconds; None if there was none.
        now : float
            Current time in seconds.
        silent : bool
            Whether the target did not reply within the time allowed.
        """
        if latency_s is not None:
            self.table.on_reply(target_id, latency_s, now)
        elif silent:
            self.table.on_failure(target_id, now)
        else:
            self.table.on_cancelled(target_id, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return targets, latencies and budgets."""
        return {
            "targets": self.table.dump(now),
            "warmup": self.warmup.dump(),
            "rate_limits": self.rate_limits.dump(now),
            "latencies": {name: item.dump() for name, item in self._latencies.items()},
            "budgets": {name: item.dump() for name, item in self._budgets.items()},
        }

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._budget_cfg)
        return budget

    def _latency(self, route: str) -> LatencyEstimate:
        latency = self._latencies.get(route)
        if latency is None:
            latency = self._latencies[route] = LatencyEstimate()
        return latency
