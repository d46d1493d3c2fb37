"""Choice of the replica for each sub-request."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from typing import Any

from bramleycrank.proto.target_pb2 import TARGET_STATE_WARMING, LoadReport, TargetRecord
from bramleycrank.query.catalog import record_key, replicas_of
from bramleycrank.query.holds import Holds
from bramleycrank.query.targets import TargetState
from bramleycrank.query.types import Snapshot

_Shards = list[list[TargetState]]

LOCAL_ADVANTAGE = 2.0
"""Expected time of a target of the own failure domain, as a multiple of the best other one's, up
to which it goes first: bytes between domains are dear."""


class ReplicaTable:
    """Targets by shard, with what this VM has observed of them.

    Parameters
    ----------
    domain : str
        Failure domain of this VM; its targets come first.
    rng : random.Random
        Source of the random choices.
    warmup_s : float
        Time over which the share of a new target grows to its full size.
    """

    def __init__(self, domain: str, rng: random.Random, warmup_s: float = 10.0) -> None:
        self._domain = domain
        self._random = rng.random
        self._warmup_s = warmup_s
        self._vm_counts: Mapping[str, int] = {}
        self._targets: dict[str, TargetState] = {}
        self._records: dict[str, dict[str, TargetRecord]] = {}
        self._gone: dict[str, set[tuple[Snapshot, int]]] = {}
        self._down: set[str] = set()
        self._holds = Holds(rng.random)
        self._index: dict[str, dict[Snapshot, _Shards]] = {}

    def set_vm_counts(self, counts: Mapping[str, int]) -> None:
        """Set the number of VMs by domain; it gives new targets their first limit."""
        self._vm_counts = dict(counts)

    def update(self, service: str, records: Iterable[TargetRecord], now: float) -> None:
        """Replace the usable targets of a service."""
        known = self._records.get(service)
        fresh = {record.target_id: record for record in records}
        others = [held for name, held in self._records.items() if name != service]
        for target_id in (known or {}).keys() - fresh.keys():
            if any(target_id in held for held in others):
                continue  # it moved, and the other service was updated first
            self._targets.pop(target_id, None)
            self._gone.pop(target_id, None)
        for target_id, record in fresh.items():
            old = (known or {}).get(target_id)
            if old is None or record_key(old) != record_key(record):
                self._gone.pop(target_id, None)
                self._take(record, first=known is None, now=now)
        self._records[service] = fresh
        self._rebuild(service)

    def _take(self, record: TargetRecord, first: bool, now: float) -> None:
        state = self._targets.get(record.target_id)
        if state is not None and state.incarnation == record.incarnation:
            state.slots = max(1, record.slots)
            return
        # Targets that a starting VM finds in service are taken as warm.
        cold = not first or record.state == TARGET_STATE_WARMING
        until = now + self._warmup_s if cold else now
        local = record.domain == self._domain
        state = TargetState.from_record(record, local, self._share(record, local), now, until)
        state.down = record.target_id in self._down
        state.held_until = self._holds.until(record.target_id, record.incarnation)
        self._targets[record.target_id] = state

    def _share(self, record: TargetRecord, local: bool) -> float:
        if not local:
            return 1.0
        return float(max(1, record.slots // max(1, self._vm_counts.get(record.domain, 1))))

    def _rebuild(self, service: str) -> None:
        index: dict[Snapshot, _Shards] = {}
        for target_id, record in self._records[service].items():
            state, gone = self._targets[target_id], self._gone.get(target_id, ())
            if state.leaving:
                continue
            for held in replicas_of(record):
                if held not in gone:
                    snapshot, shard = held
                    shards = index.get(snapshot)
                    if shards is None:
                        shards = index[snapshot] = [[] for _ in range(snapshot.shard_count)]
                    if state not in shards[shard]:
                        shards[shard].append(state)
        self._index[service] = index

    def replicas(self, service: str, snapshot: Snapshot, shard: int) -> list[TargetState]:
        """Return the targets that hold a shard, those that are ejected included."""
        shards = self._index.get(service, {}).get(snapshot)
        return shards[shard] if shards is not None else []

    def has_room(self, target_id: str) -> bool:
        """Return whether this VM's limit for a target allows one more sub-request."""
        state = self._targets[target_id]
        return state.in_flight < state.limit

    def choose(
        self, service: str, snapshot: Snapshot, shard: int, exclude: Collection[str], now: float
    ) -> str | None:
        """Return the target for a sub-request; None if no replica is left."""
        replicas = [t for t in self.replicas(service, snapshot, shard) if t.held_until <= now]
        ejected = [t for t in replicas if t.down or t.ejected_until > now]
        pool = _above_floor(replicas, ejected) if ejected else replicas
        if exclude:
            pool = [t for t in pool if t.target_id not in exclude]
        if not pool:
            return _last_choice(ejected, exclude)
        if len(pool) == 1:
            return pool[0].target_id
        free = [t for t in pool if t.in_flight < t.limit]
        local = self._warm([t for t in free if t.local], now)
        if local:
            chosen = self._better_of_two(local, now)
            better = _much_better(free, chosen, now)
            if better is None:
                return chosen.target_id
            chosen.passed_over += 1
            return better.target_id
        ready = self._warm(free, now)
        if not ready:
            return min(pool, key=lambda t: (t.in_flight + 1) / t.limit).target_id
        return self._better_of_two(ready, now).target_id

    def _warm(self, ready: list[TargetState], now: float) -> list[TargetState]:
        for state in ready:
            if now < state.warm_until:
                return [t for t in ready if self._random() < t.warm_share(now)]
        return ready

    def _better_of_two(self, ready: list[TargetState], now: float) -> TargetState:
        count = len(ready)
        if count == 1:
            return ready[0]
        first = int(self._random() * count)
        second = int(self._random() * (count - 1))
        left, right = ready[first], ready[second if second < first else second + 1]
        if left.score(now) > right.score(now):
            left, right = right, left
        right.passed_over += 1
        return left

    def on_sent(self, target_id: str, now: float) -> None:
        """Count a sub-request in flight."""
        state = self._targets.get(target_id)
        if state is not None:
            state.on_sent(now)

    def _ended(self, target_id: str, now: float) -> TargetState | None:
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
        if state := self._ended(target_id, now):
            state.on_shed(now)

    def on_failure(self, target_id: str, now: float) -> None:
        """Count a failure."""
        if state := self._ended(target_id, now):
            state.on_failure(now)

    def on_cancelled(self, target_id: str, now: float) -> None:
        """Count a cancelled sub-request; it says nothing about the target."""
        self._ended(target_id, now)

    def on_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Remove a replica that the target disowned; all of them if `snapshot` is None."""
        state = self._ended(target_id, now)
        if state is None or target_id not in self._records.get(service, {}):
            return
        if snapshot is None:
            state.leaving = True
            lists = [held for shards in self._index[service].values() for held in shards]
        else:
            self._gone.setdefault(target_id, set()).add((snapshot, shard))
            lists = [self.replicas(service, snapshot, shard)]
        for held in lists:
            if state in held:
                held.remove(state)

    def set_down(self, target_id: str, down: bool, now: float) -> None:
        """Record the connection monitor's view of a target."""
        (self._down.add if down else self._down.discard)(target_id)
        state = self._targets.get(target_id)
        if state is not None:
            if down and not state.down:
                state.ejected_at = now
            state.down = down

    def hold(self, target_id: str, incarnation: int, hold_s: float, now: float) -> float:
        """Record that a target wants no requests of this VM for some time; return the end.

        The target may be unknown at the moment, and come back in the same incarnation.
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
        """Record a load report; it only decides between otherwise equal targets."""
        state = self._targets.get(target_id)
        if state is not None:
            state.reported = (report.in_flight + report.queued) / max(1, report.slots)

    def on_queued(self, target_id: str, now: float) -> None:
        """Record that requests wait at a target, as its answer said."""
        state = self._targets.get(target_id)
        if state is not None:
            state.on_queued(now)

    def dump(self, now: float) -> dict[str, Any]:
        """Return the state of every target with its explanation, by service."""
        out: dict[str, dict[str, Any]] = defaultdict(dict)
        for service, records in self._records.items():
            for target_id in records:
                out[service][target_id] = self._targets[target_id].dump(now)
        return dict(out)


def _much_better(free: list[TargetState], local: TargetState, now: float) -> TargetState | None:
    """Return a target of another domain that is to be used in place of a slow local one.

    Load pattern: one replica of a shard is several times slower than the others, or pauses with
    sub-requests in flight. Only targets with observations are compared; hedges provide them.
    """
    others = [t for t in free if not t.local and t.replies]
    if not others or not local.score(now):
        return None
    best = min(others, key=lambda t: t.expected_s(now))
    return best if local.expected_s(now) > LOCAL_ADVANTAGE * best.expected_s(now) else None


def _above_floor(replicas: list[TargetState], ejected: list[TargetState]) -> list[TargetState]:
    """Return the replicas that may be used; at most half of them stay ejected."""
    order = sorted(ejected, key=lambda t: (not t.down, t.ejected_at, t.target_id))
    kept_out = set(order[: len(replicas) // 2])
    pool = [t for t in replicas if t not in kept_out]
    return [t for t in pool if not t.down] or pool


def _last_choice(ejected: list[TargetState], exclude: Collection[str]) -> str | None:
    left = [t for t in ejected if t.target_id not in exclude]
    return min(left, key=lambda t: (t.down, t.ejected_until)).target_id if left else None
