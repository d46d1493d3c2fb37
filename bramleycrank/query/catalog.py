"""Choice of the snapshot that a query runs on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import attrs

from bramleycrank.proto.target_pb2 import TargetRecord
from bramleycrank.query.types import Snapshot

MAX_SHARDS = 65_536
"""Replicas of maps with more shards are ignored; they would only cost memory."""


def replicas_of(record: TargetRecord) -> Iterable[tuple[Snapshot, int]]:
    """Yield the valid replicas that a target announces."""
    for replica in record.replicas:
        count = replica.snapshot.shard_count
        if replica.shard < count <= MAX_SHARDS:
            yield Snapshot(replica.snapshot.version, count), replica.shard


def record_key(record: TargetRecord) -> tuple[int, int, int]:
    """Return what identifies the content of a target record."""
    return record.incarnation, record.sequence, record.state


@attrs.define(eq=False)
class _Service:
    keys: dict[str, tuple[int, int, int]] = attrs.field(factory=dict)
    holders: dict[Snapshot, dict[int, set[str]]] = attrs.field(factory=dict)
    chosen: dict[int, Snapshot | None] = attrs.field(factory=dict)
    leaving: dict[str, int] = attrs.field(factory=dict)  # target to its last incarnation


class SnapshotCatalog:
    """Knows which snapshots the targets hold."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._down: set[str] = set()

    def update(self, service: str, records: Iterable[TargetRecord], now: float) -> bool:
        """Replace the usable targets of a service; return whether anything changed."""
        records = list(records)
        keys = {record.target_id: record_key(record) for record in records}
        known = self._services.get(service)
        if known is not None and known.keys == keys:
            return False
        kept = known.holders if known else {}
        fresh = _Service(keys=keys)
        if known is not None:
            fresh.leaving = {name: at for name, at in known.leaving.items() if name in keys}
        for record in records:
            target_id = record.target_id
            if fresh.leaving.get(target_id, -1) >= record.incarnation:
                continue
            unchanged = known is not None and known.keys.get(target_id) == keys[target_id]
            for snapshot, shard in replicas_of(record):
                # A replica that the target disowned stays removed until it announces anew.
                if unchanged and target_id not in kept.get(snapshot, {}).get(shard, ()):
                    continue
                holders = fresh.holders.setdefault(snapshot, defaultdict(set))
                holders[shard].add(target_id)
        self._services[service] = fresh
        return True

    def mark_gone(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Remove a replica that the target disowned; all of them if `snapshot` is None."""
        known = self._services.get(service)
        if known is None:
            return
        for held, shards in known.holders.items():
            if snapshot is None:
                for holders in shards.values():
                    holders.discard(target_id)
            elif held == snapshot and shard in shards:
                shards[shard].discard(target_id)
        if snapshot is None and target_id in known.keys:
            known.leaving[target_id] = known.keys[target_id][0]
        known.chosen.clear()

    def set_down(self, target_id: str, down: bool, now: float) -> None:
        """Record the connection monitor's view; a down target is used only as a last choice."""
        if (target_id in self._down) == down:
            return
        (self._down.add if down else self._down.discard)(target_id)
        for known in self._services.values():
            if target_id in known.keys:
                known.chosen.clear()

    def choose(self, service: str, pinned_version: int, now: float) -> Snapshot | None:
        """Return the snapshot for a new query; None if no target holds any.

        The newest snapshot that is complete on targets that are not down is taken, then the
        newest complete one, then the one with the most shards.
        """
        known = self._services.get(service)
        if known is None:
            return None
        if pinned_version not in known.chosen:
            known.chosen[pinned_version] = self._choose(known, pinned_version)
        return known.chosen[pinned_version]

    def _choose(self, known: _Service, pinned_version: int) -> Snapshot | None:
        ranks = []
        for snapshot, shards in known.holders.items():
            if pinned_version and snapshot.version != pinned_version:
                continue
            held = [holders for holders in shards.values() if holders]
            reachable = sum(not holders <= self._down for holders in held)
            full = snapshot.shard_count
            if held:
                ranks.append((reachable == full, len(held) == full, len(held), snapshot))
        if not ranks:
            return None
        complete = [rank for rank in ranks if rank[1]]
        if complete:
            return max(complete, key=lambda rank: (rank[0], rank[3]))[3]
        return max(ranks, key=lambda rank: (rank[2], rank[3]))[3]

    def dump(self, now: float) -> dict[str, Any]:
        """Return for each service its snapshots, their missing shards and the choice."""
        return {name: self._dump_service(known) for name, known in self._services.items()}

    def _dump_service(self, known: _Service) -> dict[str, Any]:
        chosen = self._choose(known, 0)
        return {
            "chosen": attrs.asdict(chosen) if chosen else None,
            "why": _why(chosen, known),
            "snapshots": [
                {
                    **attrs.asdict(snapshot),
                    "held": sum(bool(holders) for holders in shards.values()),
                    "missing": _missing(snapshot, shards),
                }
                for snapshot, shards in sorted(known.holders.items(), reverse=True)
            ],
        }


def _missing(snapshot: Snapshot, shards: dict[int, set[str]]) -> list[int]:
    return [shard for shard in range(snapshot.shard_count) if not shards.get(shard)][:100]


def _why(chosen: Snapshot | None, known: _Service) -> str:
    if chosen is None:
        return "no target holds a shard"
    if _missing(chosen, known.holders[chosen]):
        return "no snapshot is complete; this one has the most shards"
    if chosen == max(known.holders):
        return "newest snapshot, complete"
    return "newest snapshot that is complete on targets that are up"
