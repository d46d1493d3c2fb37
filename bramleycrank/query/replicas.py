"""Choice of the replica for each sub-request."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from bramleycrank.proto.target_pb2 import TARGET_STATE_WARMING, LoadReport, TargetRecord
from bramleycrank.query import aged_load
from bramleycrank.query.catalog import record_key, replicas_of
from bramleycrank.query.holds import Holds
from bramleycrank.query.targets import TargetState
from bramleycrank.query.types import Snapshot

_Shards = list[list[TargetState]]

LOCAL_PREFERENCE_FACTOR = 2.0
"""Ratio of expected times up to which a local target is preferred to the best remote one, since
traffic between domains is expensive."""


ABSENCE_S = 6.0
"""Time in seconds for which a target counts as absent after another one responded at its address;
its record usually expires within that time."""


class ReplicaTable:
    """Targets by shard, with the state that this VM has observed.

    Parameters
    ----------
    domain : str
        Failure domain of this VM, whose targets are preferred.
    rng : random.Random
        Source of the random choices.
    warmup_s : float
        Time in seconds over which the load share of a new target grows to its full size.
    vm_count : callable, optional
        Returns the number of VMs that share the targets.
    """

    def __init__(
        self,
        domain: str,
        rng: random.Random,
        warmup_s: float = 10.0,
        vm_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._vm_count = vm_count
        self._domain = domain
        self._random = rng.random
        self._warmup_s = warmup_s
        self._vm_counts: Mapping[str, int] = {}
        self._targets: dict[str, TargetState] = {}
        self._records: dict[str, dict[str, TargetRecord]] = {}
        self._missing_replicas: dict[str, set[tuple[Snapshot, int]]] = {}
        self._down: set[str] = set()
        self._holds = Holds(rng.random)
        self._index: dict[str, dict[Snapshot, _Shards]] = {}

    def set_vm_counts(self, counts: Mapping[str, int]) -> None:
        """Set the number of VMs by domain, from which new targets get their initial limit."""
        self._vm_counts = dict(counts)

    def update(self, service: str, records: Iterable[TargetRecord], now: float) -> None:
        """Replace the usable targets of a service."""
        known = self._records.get(service)
        current = {record.target_id: record for record in records}
        others = [held_records for name, held_records in self._records.items() if name != service]
        for target_id in (known or {}).keys() - current.keys():
            if any(target_id in other for other in others):
                continue  # it moved to another service, which was updated first
            self._targets.pop(target_id, None)
            self._missing_replicas.pop(target_id, None)
        for target_id, record in current.items():
            previous = (known or {}).get(target_id)
            if previous is None or record_key(previous) != record_key(record):
                self._missing_replicas.pop(target_id, None)
                self._add_or_update(record, first=known is None, now=now)
        self._records[service] = current
        self._rebuild_index(service)

    def _add_or_update(self, record: TargetRecord, first: bool, now: float) -> None:
        state = self._targets.get(record.target_id)
        if state is not None and state.incarnation == record.incarnation:
            state.slots = max(1, record.slots)
            return
        # Targets that are in service when this VM starts count as warm.
        needs_warmup = not first or record.state == TARGET_STATE_WARMING
        until = now + self._warmup_s if needs_warmup else now
        local = record.domain == self._domain
        state = TargetState.from_record(
            record, local, self._initial_limit(record, local), now, until
        )
        state.down = record.target_id in self._down
        state.held_until = self._holds.until(record.target_id, record.incarnation)
        self._targets[record.target_id] = state

    def _initial_limit(self, record: TargetRecord, local: bool) -> float:
        if not local:
            return 1.0
        return float(max(1, record.slots // max(1, self._vm_counts.get(record.domain, 1))))

    def _rebuild_index(self, service: str) -> None:
        index: dict[Snapshot, _Shards] = {}
        for target_id, record in self._records[service].items():
            state, missing = self._targets[target_id], self._missing_replicas.get(target_id, ())
            if state.leaving:
                continue
            for replica in replicas_of(record):
                if replica not in missing:
                    snapshot, shard = replica
                    shards = index.get(snapshot)
                    if shards is None:
                        shards = index[snapshot] = [[] for _ in range(snapshot.shard_count)]
                    if state not in shards[shard]:
                        shards[shard].append(state)
        self._index[service] = index

    def replicas(self, service: str, snapshot: Snapshot, shard: int) -> list[TargetState]:
        """Return the targets that hold a shard, including ejected ones."""
        shards = self._index.get(service, {}).get(snapshot)
        return shards[shard] if shards is not None else []

    def has_capacity(self, target_id: str) -> bool:
        """Return whether the concurrency limit of a target allows one more sub-request."""
        state = self._targets[target_id]
        return state.in_flight < state.limit

    def choose(
        self,
        service: str,
        snapshot: Snapshot,
        shard: int,
        exclude: Collection[str],
        now: float,
        *,
        gather: bool = True,
    ) -> str | None:
        """Return the target for a sub-request; None if no replica is left.

        Parameters
        ----------
        service : str
            The service.
        snapshot : Snapshot
            The snapshot that is asked.
        shard : int
            Number of the shard.
        exclude : collection of str
            Targets that are not asked.
        now : float
            Current time in seconds.
        gather : bool, optional
            Whether the sub-request is one of many of a request. Such a request is as late as its
            slowest part, so it does not try targets whose load is not known.
        """
        replicas = [t for t in self.replicas(service, snapshot, shard) if not t.is_held(now)]
        ejected = [t for t in replicas if t.down or t.ejected_until > now]
        pool = _limit_ejections(replicas, ejected) if ejected else replicas
        pool = _prefer_warm(pool, exclude, now)
        if exclude:
            pool = [t for t in pool if t.target_id not in exclude]
        if not pool:
            return _choose_ejected(ejected, exclude)
        if len(pool) == 1:
            return pool[0].target_id
        free = [t for t in pool if t.in_flight < t.limit]
        aged = not gather and aged_load.is_shared_by_many(pool, self._vm_count())
        local = self._filter_by_warmup([t for t in free if t.local], now)
        if local:
            chosen = self._choose_ready(local, now, aged=aged)
            faster = _find_faster_remote(free, chosen, now, aged=aged)
            if faster is None:
                return chosen.target_id
            chosen.skipped_count += 1
            return faster.target_id
        ready = self._filter_by_warmup(free, now)
        if not ready:
            return min(pool, key=lambda t: (t.in_flight + 1) / t.limit).target_id
        return self._choose_ready(ready, now, aged=aged).target_id

    def _filter_by_warmup(self, ready: list[TargetState], now: float) -> list[TargetState]:
        for state in ready:
            if now < state.warm_until:
                return [t for t in ready if self._random() < t.warm_share(now)]
        return ready

    def _choose_ready(self, ready: list[TargetState], now: float, *, aged: bool) -> TargetState:
        if aged:
            return aged_load.choose_evenly(ready, now, self._random)
        return self._choose_of_two(ready, now)

    def _choose_of_two(self, ready: list[TargetState], now: float) -> TargetState:
        count = len(ready)
        if count == 1:
            return ready[0]
        first = int(self._random() * count)
        second = int(self._random() * (count - 1))
        left, right = ready[first], ready[second if second < first else second + 1]
        if left.score(now) > right.score(now):
            left, right = right, left
        right.skipped_count += 1
        return left

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request in flight."""
        state = self._targets.get(target_id)
        if state is not None:
            state.on_sent(now)

    def _count_ended(self, target_id: str, now: float) -> TargetState | None:
        state = self._targets.get(target_id)
        if state is not None:
            state.on_ended(now)
        return state

    def on_reply(self, target_id: str, latency_s: float, now: float) -> None:
        """Count an accepted reply."""
        state = self._targets.get(target_id)
        if state is not None:
            state.on_reply(latency_s, now)
            state.on_ended(now)

    def on_shed(self, target_id: str, now: float) -> None:
        """Count a shed reply."""
        if state := self._count_ended(target_id, now):
            state.on_shed(now)

    def on_failure(self, target_id: str, now: float) -> None:
        """Count a failure."""
        if state := self._count_ended(target_id, now):
            state.on_failure(now)

    def on_wrong_target(self, target_id: str, now: float) -> None:
        """Count a response of another target at the address of this one."""
        if state := self._count_ended(target_id, now):
            state.on_failure(now)
            state.absent_until = now + ABSENCE_S

    def on_cancelled(self, target_id: str, now: float) -> None:
        """Count a cancelled sub-request, which gives no observation of the target."""
        self._count_ended(target_id, now)

    def on_replica_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Remove a replica that a target no longer has; all its replicas if `snapshot` is None."""
        state = self._count_ended(target_id, now)
        if state is None or target_id not in self._records.get(service, {}):
            return
        if snapshot is None:
            state.leaving = True
            replica_lists = [r for shards in self._index[service].values() for r in shards]
        else:
            self._missing_replicas.setdefault(target_id, set()).add((snapshot, shard))
            replica_lists = [self.replicas(service, snapshot, shard)]
        for replicas in replica_lists:
            if state in replicas:
                replicas.remove(state)

    def set_down(self, target_id: str, down: bool, now: float) -> None:
        """Set whether the connection monitor finds a target down."""
        (self._down.add if down else self._down.discard)(target_id)
        state = self._targets.get(target_id)
        if state is not None:
            if down and not state.down:
                state.ejected_at = now
            state.down = down

    def set_cold(self, target_id: str, until: float) -> None:
        """Set the end of the time in which a target is cold, in seconds."""
        state = self._targets.get(target_id)
        if state is not None:
            state.cold_until = until

    def state(self, target_id: str) -> TargetState | None:
        """Return the state of a target, or None if it is unknown."""
        return self._targets.get(target_id)

    def hold(self, target_id: str, incarnation: int, hold_s: float, now: float) -> float:
        """Hold back a target and return the end of its hold, in seconds.

        The target may be unknown. The hold applies if it is added later in the same incarnation.
        """
        until = self._holds.add(target_id, incarnation, hold_s, now)
        state = self._targets.get(target_id)
        if state is not None and state.incarnation == incarnation:
            state.held_until = until
        return until

    def held_until(self, target_id: str) -> float:
        """Return the end of the hold of a target, in seconds; 0 if there is none."""
        state = self._targets.get(target_id)
        return state.held_until if state is not None else 0.0

    def on_load(self, target_id: str, report: LoadReport, now: float) -> None:
        """Record a load report, which only decides between otherwise equal targets."""
        state = self._targets.get(target_id)
        if state is not None:
            state.reported_load = (report.in_flight + report.queued) / max(1, report.slots)
            state.reported_at = now

    def on_queued(self, target_id: str, now: float) -> None:
        """Handle a response that reports requests queued at the target."""
        state = self._targets.get(target_id)
        if state is not None:
            state.on_queued(now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state of every target and the reason for it, by service."""
        out: dict[str, dict[str, Any]] = defaultdict(dict)
        for service, records in self._records.items():
            for target_id in records:
                target = self._targets[target_id]
                shared = aged_load.is_shared_by_many([target], self._vm_count())
                out[service][target_id] = target.dump(now) | {"shared_by_many": shared}
        return dict(out)


def _find_faster_remote(
    free: list[TargetState], local: TargetState, now: float, *, aged: bool
) -> TargetState | None:
    """Return a remote target to use instead of a slow local one; None if there is none.

    This matters if one replica of a shard is several times slower than the others, or pauses with
    sub-requests in flight. Only targets with observations, which hedges provide, are compared.
    """
    if aged:
        if not local.score(now):
            return None
        return aged_load.find_faster_remote(free, local, now, LOCAL_PREFERENCE_FACTOR)
    remote = [t for t in free if not t.local and t.replies]
    if not remote or not local.score(now):
        return None
    best = min(remote, key=lambda t: t.expected_s(now))
    return best if local.expected_s(now) > LOCAL_PREFERENCE_FACTOR * best.expected_s(now) else None


def _limit_ejections(replicas: list[TargetState], ejected: list[TargetState]) -> list[TargetState]:
    """Return the replicas to choose from; at most half of the replicas stay ejected."""
    order = sorted(ejected, key=lambda t: (not t.down, t.ejected_at, t.target_id))
    left_out = set(order[: len(replicas) // 2])
    pool = [t for t in replicas if t not in left_out]
    return [t for t in pool if not t.down] or pool


def _prefer_warm(
    pool: list[TargetState], exclude: Collection[str], now: float
) -> list[TargetState]:
    """Return the warm targets, or all if no warm one is left to choose."""
    warm = [t for t in pool if t.cold_until <= now]
    if len(warm) == len(pool) or all(t.target_id in exclude for t in warm):
        return pool
    return warm


def _choose_ejected(ejected: list[TargetState], exclude: Collection[str]) -> str | None:
    usable = [t for t in ejected if t.target_id not in exclude]
    return min(usable, key=lambda t: (t.down, t.ejected_until)).target_id if usable else None
