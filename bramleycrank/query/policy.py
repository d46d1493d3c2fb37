"""Adaptive and plain policies for replica choice, hedging and retries."""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import Any

import attrs

from bramleycrank.query.budgets import ShedShare, TokenBudget
from bramleycrank.query.latency import LatencyEstimate
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.types import QueryConfig, QueryPolicy, Snapshot

MIN_SAMPLES = 50
"""Number of latency samples from which on the hedge delay is derived from them."""

DEFAULT_HEDGE_DELAY_S = 0.25
"""Hedge delay while there are fewer than `MIN_SAMPLES` latency samples.

Without hedging in that time, a frozen replica made the first answers after a restart partial.
"""

HEDGE_BURST, RETRY_BURST = 30.0, 50.0
"""Capacity of the token buckets, which start full.

If a target crashes, all sub-requests in flight to it fail; the burst covers a few such queries.
"""


@attrs.define(eq=False)
class ServiceStats:
    """Latencies, shed share and budgets of one service."""

    hedges: TokenBudget
    retries: TokenBudget
    latency: LatencyEstimate = attrs.field(factory=LatencyEstimate)
    shed: ShedShare = attrs.field(factory=ShedShare)

    @classmethod
    def from_config(cls, cfg: QueryConfig) -> ServiceStats:
        """Return the initial state of a service."""
        return cls(
            hedges=TokenBudget(cfg.hedge_budget, HEDGE_BURST),
            retries=TokenBudget(cfg.retry_budget, RETRY_BURST),
        )


class AdaptivePolicy:
    """Chooses replicas by observed load and latency; hedges and retries within budgets."""

    def __init__(self, cfg: QueryConfig, table: ReplicaTable) -> None:
        self._cfg = cfg
        self._table = table
        self._services: dict[str, ServiceStats] = {}
        self.choose = table.choose

    def stats(self, service: str) -> ServiceStats:
        """Return latencies and budgets of a service."""
        stats = self._services.get(service)
        if stats is None:
            stats = self._services[service] = ServiceStats.from_config(self._cfg)
        return stats

    def hedge_delay(self, service: str) -> float:
        """Return the time in seconds after which a sub-request is hedged."""
        stats = self.stats(service)
        if stats.latency.samples < MIN_SAMPLES:
            return DEFAULT_HEDGE_DELAY_S
        return stats.latency.quantile(self._hedge_quantile(stats.hedges))

    def _hedge_quantile(self, hedges: TokenBudget) -> float:
        """Return the latency quantile at which to hedge; it is higher when the budget runs low.

        At the configured quantile, the demand for hedges equals the budget, so ordinary slow
        replies would use up the tokens needed for stragglers.
        """
        base, fill_share = self._cfg.hedge_quantile, hedges.tokens / hedges.burst
        if fill_share >= 0.5:
            return base
        return base + (1.0 - base) * (0.25 if fill_share >= 0.2 else 0.5)

    def acquire_hedge(self, service: str) -> bool:
        """Take one hedge token from the budget; return False if there is none."""
        stats = self.stats(service)
        return stats.hedges.try_acquire(stats.shed.scale)

    def acquire_retry(self, service: str) -> bool:
        """Take one retry token from the budget; return False if there is none."""
        stats = self.stats(service)
        return stats.retries.try_acquire(stats.shed.scale)

    def on_sent(self, service: str, target_id: str, first: bool, now: float) -> None:
        """Count a sub-request; a first one earns budget for extra ones."""
        if first:
            stats = self.stats(service)
            scale = stats.shed.scale
            stats.hedges.add_request(scale)
            stats.retries.add_request(scale)
        self._table.on_sent(target_id, now)

    def on_reply(
        self, service: str, target_id: str, latency_s: float, first: bool, now: float
    ) -> None:
        """Count an accepted reply."""
        stats = self.stats(service)
        stats.shed.record(False)
        if first:
            stats.latency.record(latency_s)
        self._table.on_reply(target_id, latency_s, now)

    def on_shed(self, service: str, target_id: str, now: float) -> None:
        """Count a shed reply."""
        self.stats(service).shed.record(True)
        self._table.on_shed(target_id, now)

    def on_failure(self, service: str, target_id: str, now: float) -> None:
        """Count a failure."""
        self._table.on_failure(target_id, now)

    def on_cancelled(
        self, service: str, target_id: str, elapsed_s: float, first: bool, now: float
    ) -> None:
        """Count a cancelled sub-request; a superseded one counts as slow.

        Its elapsed time is recorded as a lower bound of its latency. Without it, hedging
        would remove the slowest replies from the estimate, and each hedge would lower the delay.
        """
        if elapsed_s <= 0.0:
            self._table.on_cancelled(target_id, now)
            return
        delay = self.hedge_delay(service)
        if first:
            self.stats(service).latency.record(elapsed_s)
        if elapsed_s < delay:
            self._table.on_cancelled(target_id, now)
        else:
            self._table.on_failure(target_id, now)

    def on_replica_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Handle a target that lacks the shard, or that is leaving if `snapshot` is None."""
        self._table.on_replica_gone(service, target_id, snapshot, shard, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the budgets and latencies of every service."""
        return {name: _dump_stats(stats, self._cfg) for name, stats in self._services.items()}


def _dump_stats(stats: ServiceStats, cfg: QueryConfig) -> dict[str, Any]:
    scale = stats.shed.scale
    if scale <= 0.0:
        why = "budgets are zero: 20% or more of the replies are shed"
    elif scale < 1.0:
        why = f"budgets are at {scale:.0%} because {stats.shed.share:.1%} of the replies are shed"
    else:
        why = "budgets are full: no replies are shed"
    has_samples = stats.latency.samples >= MIN_SAMPLES
    delay = stats.latency.quantile(cfg.hedge_quantile) if has_samples else DEFAULT_HEDGE_DELAY_S
    return {
        "why": why,
        "shed_share": round(stats.shed.share, 4),
        "hedges": stats.hedges.dump(scale),
        "retries": stats.retries.dump(scale),
        "latency": stats.latency.dump(),
        "hedge_delay_ms": round(delay * 1e3, 3),
    }


class PlainPolicy:
    """Baseline for measurements: random replica, no hedging, no limits, unbudgeted retries."""

    def __init__(self, table: ReplicaTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng

    def choose(
        self, service: str, snapshot: Snapshot, shard: int, exclude: Collection[str], now: float
    ) -> str | None:
        """Return a random replica that is not excluded; None if there is none."""
        replicas = self._table.replicas(service, snapshot, shard)
        usable = [t.target_id for t in replicas if t.target_id not in exclude]
        return self._rng.choice(usable) if usable else None

    def hedge_delay(self, service: str) -> float | None:
        """Return None: there are no hedges."""
        return None

    def acquire_hedge(self, service: str) -> bool:
        """Return False: there are no hedges."""
        return False

    def acquire_retry(self, service: str) -> bool:
        """Return True: only the number of retries per shard is limited."""
        return True

    def on_sent(self, service: str, target_id: str, first: bool, now: float) -> None:
        """Count a sub-request for the dump."""
        self._table.on_sent(target_id, now)

    def on_reply(
        self, service: str, target_id: str, latency_s: float, first: bool, now: float
    ) -> None:
        """Count an accepted reply for the dump."""
        self._table.on_reply(target_id, latency_s, now)

    def on_shed(self, service: str, target_id: str, now: float) -> None:
        """Count a shed reply for the dump."""
        self._table.on_shed(target_id, now)

    def on_failure(self, service: str, target_id: str, now: float) -> None:
        """Count a failure for the dump."""
        self._table.on_failure(target_id, now)

    def on_cancelled(
        self, service: str, target_id: str, elapsed_s: float, first: bool, now: float
    ) -> None:
        """Count a cancelled sub-request for the dump."""
        self._table.on_cancelled(target_id, now)

    def on_replica_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Handle a target that lacks the shard, or that is leaving if `snapshot` is None."""
        self._table.on_replica_gone(service, target_id, snapshot, shard, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the reason why there is no state."""
        return {"why": "plain policy: no budgets, no hedges, no limits"}


def make_policy(cfg: QueryConfig, table: ReplicaTable, rng: random.Random) -> QueryPolicy:
    """Return the policy that the configuration selects."""
    return PlainPolicy(table, rng) if cfg.policy == "plain" else AdaptivePolicy(cfg, table)
