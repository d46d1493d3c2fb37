"""The two policies for replica choice, hedging and retries."""

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
"""Latencies that must be known before the hedge delay follows them."""

UNKNOWN_HEDGE_DELAY_S = 0.25
"""Hedge delay while too few latencies are known.

Without any hedge, a frozen replica turned the first answers after a start into partial ones.
"""

HEDGE_BURST, RETRY_BURST = 30.0, 50.0
"""Tokens at the start and most tokens kept.

A target that dies takes all its open sub-requests along; the burst covers those of some queries.
"""


@attrs.define(eq=False)
class ServiceStats:
    """Latency, shed replies and budgets of one service."""

    hedges: TokenBudget
    retries: TokenBudget
    latency: LatencyEstimate = attrs.field(factory=LatencyEstimate)
    shed: ShedShare = attrs.field(factory=ShedShare)

    @classmethod
    def from_config(cls, cfg: QueryConfig) -> ServiceStats:
        """Return the state of a service that has not been used yet."""
        return cls(
            hedges=TokenBudget(cfg.hedge_budget, HEDGE_BURST),
            retries=TokenBudget(cfg.retry_budget, RETRY_BURST),
        )


class AdaptivePolicy:
    """Chooses by observed load and latency; hedges and retries within budgets."""

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
        """Return the time in seconds after which to hedge."""
        stats = self.stats(service)
        if stats.latency.samples < MIN_SAMPLES:
            return UNKNOWN_HEDGE_DELAY_S
        return stats.latency.quantile(self._quantile(stats.hedges))

    def _quantile(self, hedges: TokenBudget) -> float:
        """Return the quantile to hedge at; later when the budget runs low.

        At the quantile itself demand and budget are equal, so ordinary slow replies would use up
        the tokens that the stragglers need.
        """
        base, filled = self._cfg.hedge_quantile, hedges.tokens / hedges.burst
        if filled >= 0.5:
            return base
        return base + (1.0 - base) * (0.25 if filled >= 0.2 else 0.5)

    def take_hedge(self, service: str) -> bool:
        """Take one hedge from the budget; False if it is used up."""
        stats = self.stats(service)
        return stats.hedges.take(stats.shed.scale)

    def take_retry(self, service: str) -> bool:
        """Take one retry from the budget; False if it is used up."""
        stats = self.stats(service)
        return stats.retries.take(stats.shed.scale)

    def on_sent(self, service: str, target_id: str, first: bool, now: float) -> None:
        """Count a sub-request; a first one earns budget for extra ones."""
        if first:
            stats = self.stats(service)
            scale = stats.shed.scale
            stats.hedges.earn(scale)
            stats.retries.earn(scale)
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
        """Count a cancelled sub-request; one that was overtaken counts as slow.

        Its elapsed time enters the latencies as a lower bound. Without it the estimate would lose
        its tail to the hedges and the hedge delay would shrink with every hedge.
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

    def on_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Record that the target does not hold the shard, or is leaving if `snapshot` is None."""
        self._table.on_gone(service, target_id, snapshot, shard, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return budgets and latencies of every service."""
        return {name: _dump_stats(stats, self._cfg) for name, stats in self._services.items()}


def _dump_stats(stats: ServiceStats, cfg: QueryConfig) -> dict[str, Any]:
    scale = stats.shed.scale
    if scale <= 0.0:
        why = "budgets are zero: 20% or more of the replies are shed"
    elif scale < 1.0:
        why = f"budgets are at {scale:.0%} because {stats.shed.share:.1%} of the replies are shed"
    else:
        why = "budgets are full: no replies are shed"
    known = stats.latency.samples >= MIN_SAMPLES
    delay = stats.latency.quantile(cfg.hedge_quantile) if known else UNKNOWN_HEDGE_DELAY_S
    return {
        "why": why,
        "shed_share": round(stats.shed.share, 4),
        "hedges": stats.hedges.dump(scale),
        "retries": stats.retries.dump(scale),
        "latency": stats.latency.dump(),
        "hedge_delay_ms": round(delay * 1e3, 3),
    }


class PlainPolicy:
    """Measurement baseline: random replica, no hedging, no limits, plain retries."""

    def __init__(self, table: ReplicaTable, rng: random.Random) -> None:
        self._table = table
        self._rng = rng

    def choose(
        self, service: str, snapshot: Snapshot, shard: int, exclude: Collection[str], now: float
    ) -> str | None:
        """Return a random replica that is not excluded."""
        replicas = self._table.replicas(service, snapshot, shard)
        left = [t.target_id for t in replicas if t.target_id not in exclude]
        return self._rng.choice(left) if left else None

    def hedge_delay(self, service: str) -> float | None:
        """Return None: there are no hedges."""
        return None

    def take_hedge(self, service: str) -> bool:
        """Return False: there are no hedges."""
        return False

    def take_retry(self, service: str) -> bool:
        """Return True: only the retries of one shard are limited."""
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

    def on_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Record that the target does not hold the shard, or is leaving if `snapshot` is None."""
        self._table.on_gone(service, target_id, snapshot, shard, now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the reason why there is nothing to show."""
        return {"why": "plain policy: no budgets, no hedges, no limits"}


def make_policy(cfg: QueryConfig, table: ReplicaTable, rng: random.Random) -> QueryPolicy:
    """Return the policy that the settings name."""
    return PlainPolicy(table, rng) if cfg.policy == "plain" else AdaptivePolicy(cfg, table)
