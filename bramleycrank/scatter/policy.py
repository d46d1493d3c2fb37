"""Choice of targets, hedge times and budgets for forwarded requests."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, Protocol

from bramleycrank.proto.target_pb2 import Replica, Snapshot, TargetRecord
from bramleycrank.query.latency import LatencyEstimate
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.types import Snapshot as SnapshotKey
from bramleycrank.scatter.budget import ExtraBudget, ExtraConfig
from bramleycrank.scatter.returns import spread, until_enough, until_ready
from bramleycrank.scatter.types import FailureKind, SubFailure, TargetAnswer

WHOLE = SnapshotKey(1, 1)
"""Snapshot that every target of a forwarded service holds: the service is one shard."""

WHOLE_REPLICAS = (Replica(snapshot=Snapshot(version=1, shard_count=1), shard=0),)
"""The same as a target announces it."""

MIN_SAMPLES = 30
"""Answers before the observed latencies of a route decide when to hedge."""

HEDGE_QUANTILE = 0.92
"""Quantile of a route's sub-request latency after which a second target is asked."""

SCARCE_QUANTILE = 0.98
"""The same for a single target while the budget is scarce, so that the rest goes to stragglers."""

LATEST_HEDGE_SHARE = 0.4
"""Part of the latency objective after which to hedge at the latest, or while nothing is known.

The second target needs the rest of the time to answer within the objective.
"""

UNKNOWN_HEDGE_S = 0.1
"""Time after which to hedge while nothing is known, in seconds."""


class ScatterPolicy(Protocol):
    """What the execution of a request asks and reports."""

    def choose(self, service: str, tried: Collection[str], now: float) -> str | None:
        """Return the target for a sub-request, or None if none has room."""

    def has_targets(self, service: str, tried: Collection[str], now: float) -> bool:
        """Return whether the service has a target that was not tried, busy or not."""

    def return_after(self, services: Sequence[str], needed: int, now: float) -> float:
        """Return the time in seconds until some of the services should take work again."""

    def hedge_delay(self, route: str, objective_s: float, *, scarce: bool) -> float:
        """Return the time in seconds after which to ask a second target."""

    def is_scarce(self, service: str, now: float) -> bool:
        """Return whether less than half of the budget of a service is left."""

    def take_extra(self, service: str, now: float) -> bool:
        """Take one extra sub-request from the budget."""

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service, which earns budget."""

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request in flight."""

    def on_answer(
        self, route: str, target_id: str, answer: TargetAnswer, latency_s: float, now: float
    ) -> None:
        """Count an answer that is used."""

    def on_failure(self, target_id: str, failure: SubFailure, now: float) -> None:
        """Count a failure."""

    def on_overtaken(self, route: str, elapsed_s: float) -> None:
        """Count the time after which a sub-request was superseded by another one."""


class TargetPolicy:
    """The policy for the targets that the registry knows.

    Parameters
    ----------
    domain : str
        Failure domain of this VM; its targets come first.
    extra : ExtraConfig
        Bound for extra sub-requests.
    has_capacity : callable
        Returns whether a target can take one more sub-request of this VM.
    vm_count : callable
        Returns the number of VMs that share the budget.
    rng : random.Random
        Source of the random choices.
    """

    def __init__(
        self,
        domain: str,
        extra: ExtraConfig,
        has_capacity: Callable[[str], bool],
        vm_count: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.table = ReplicaTable(domain, rng, warmup_s=0.0)
        self._extra = extra
        self._rng = rng
        self._has_room = has_capacity
        self._vm_count = vm_count
        self._budgets: dict[str, ExtraBudget] = {}
        self._latencies: dict[str, LatencyEstimate] = {}

    def update(self, service: str, records: Iterable[TargetRecord], now: float) -> None:
        """Replace the usable targets of a service."""
        self.table.update(service, records, now)

    def choose(self, service: str, tried: Collection[str], now: float) -> str | None:
        """Return the target for a sub-request, or None if none has room.

        Load pattern: demand above capacity. The concurrency limits keep the queues at the targets
        short; what waits does so here, where the order can be chosen and nothing has run yet.
        """
        exclude = set(tried)
        while (target_id := self.table.choose(service, WHOLE, 0, exclude, now)) is not None:
            if self.table.has_capacity(target_id) and self._has_room(target_id):
                return target_id
            exclude.add(target_id)
        return None

    def has_targets(self, service: str, tried: Collection[str], now: float) -> bool:
        """Return whether a target that can be asked was not tried, busy or not."""
        return any(
            not t.down and t.held_until <= now and t.target_id not in tried
            for t in self.table.replicas(service, WHOLE, 0)
        )

    def is_served(self, service: str) -> bool:
        """Return whether a target of the service can be reached, also one that is held back."""
        return any(not t.down for t in self.table.replicas(service, WHOLE, 0))

    def return_after(self, services: Sequence[str], needed: int, now: float) -> float:
        """Return the time in seconds until some of the services should take work again.

        Parameters
        ----------
        services : sequence of str
            Services without which the request cannot be answered.
        needed : int
            How many of them an answer needs.
        now : float
            Current time in seconds.
        """
        waits_s = [until_ready(self.table.replicas(name, WHOLE, 0), now) for name in services]
        return spread(until_enough(waits_s, needed), self._rng)

    def hedge_delay(self, route: str, objective_s: float, *, scarce: bool) -> float:
        """Return the time in seconds after which to ask a second target.

        Parameters
        ----------
        route : str
            Name of the route.
        objective_s : float
            Latency objective in seconds; 0 if there is none.
        scarce : bool
            Whether the budget is to be kept for the slowest.
        """
        latency = self._latencies.get(route)
        if latency is None or latency.samples < MIN_SAMPLES:
            return objective_s * LATEST_HEDGE_SHARE or UNKNOWN_HEDGE_S
        if scarce:
            return latency.quantile(SCARCE_QUANTILE)
        delay_s = latency.quantile(HEDGE_QUANTILE)
        # Slow targets raise the quantile just when a second one is needed in time.
        return min(delay_s, objective_s * LATEST_HEDGE_SHARE) if objective_s else delay_s

    def is_scarce(self, service: str, now: float) -> bool:
        """Return whether less than half of the budget of a service is left."""
        budget = self._budget(service)
        return budget.available(self._vm_count(), now) * 2 < budget.used

    def take_extra(self, service: str, now: float) -> bool:
        """Take one extra sub-request from the budget."""
        return self._budget(service).take(self._vm_count(), now)

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service, which earns budget."""
        self._budget(service).earn(now)

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request in flight."""
        self.table.on_sent(target_id, now)

    def on_answer(
        self, route: str, target_id: str, answer: TargetAnswer, latency_s: float, now: float
    ) -> None:
        """Count an answer that is used."""
        self._latency(route).record(latency_s)
        self.table.on_reply(target_id, latency_s, now)
        if answer.load is not None:
            self.table.on_load(target_id, answer.load, now)
            if answer.load.queued:
                self.table.on_queued(target_id, now)

    def on_failure(self, target_id: str, failure: SubFailure, now: float) -> None:
        """Count a failure."""
        if failure.kind is FailureKind.REFUSED:
            self.table.on_shed(target_id, now)
        else:
            self.table.on_failure(target_id, now)

    def on_overtaken(self, route: str, elapsed_s: float) -> None:
        """Count the time after which a sub-request was superseded by another one.

        The time counts as a latency, as a lower bound; without it the estimate would lose its tail
        to the hedges, and the hedge time would shrink with every hedge.
        """
        self._latency(route).record(elapsed_s)

    def on_cancel_completed(
        self, target_id: str, latency_s: float | None, now: float, *, silent: bool
    ) -> None:
        """Count that a cancelled sub-request occupies its target no more.

        It counts as in flight until then, so that a target that pauses gets no further ones.

        Parameters
        ----------
        target_id : str
            The target.
        latency_s : float or None
            Time of its late answer, in seconds; None if there was none.
        now : float
            Current time in seconds.
        silent : bool
            Whether the target had its time and did not answer.
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
            "latencies": {name: item.dump() for name, item in self._latencies.items()},
            "budgets": {name: item.dump() for name, item in self._budgets.items()},
        }

    def _budget(self, service: str) -> ExtraBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ExtraBudget(self._extra)
        return budget

    def _latency(self, route: str) -> LatencyEstimate:
        latency = self._latencies.get(route)
        if latency is None:
            latency = self._latencies[route] = LatencyEstimate()
        return latency
