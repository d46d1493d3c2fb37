"""Choice of the snapshot on which a query runs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import attrs

from bramleycrank.proto.target_pb2 import TargetRecord
from bramleycrank.query.types import Snapshot

MAX_SHARDS = 65_536
"""Largest accepted shard count; replicas of larger shard maps are ignored to bound memory."""


def replicas_of(record: TargetRecord) -> Iterable[tuple[Snapshot, int]]:
    """Yield the valid replicas in a target record."""
    for replica in record.replicas:
        count = replica.snapshot.shard_count
        if replica.shard < count <= MAX_SHARDS:
            yield Snapshot(replica.snapshot.version, count), replica.shard


def record_key(record: TargetRecord) -> tuple[int, int, int]:
    """Return the fields that identify the content of a target record."""
    return record.incarnation, record.sequence, record.state


@attrs.define(eq=False)
class _ServiceSnapshots:
    keys: dict[str, tuple[int, int, int]] = attrs.field(factory=dict)
    holders: dict[Snapshot, dict[int, set[str]]] = attrs.field(factory=dict)
    chosen: dict[int, Snapshot | None] = attrs.field(factory=dict)
    leaving: dict[str, int] = attrs.field(factory=dict)  # last incarnation by target


class SnapshotCatalog:
    """Index of the snapshots that the targets of each service hold."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceSnapshots] = {}
        self._down: set[str] = set()

    def update(self, service: str, records: Iterable[TargetRecord], now: float) -> bool:
        """Replace the usable targets of a service; return whether anything changed."""
        records = list(records)
        keys = {record.target_id: record_key(record) for record in records}
        known = self._services.get(service)
        if known is not None and known.keys == keys:
            return False
        known_holders = known.holders if known else {}
        updated = _ServiceSnapshots(keys=keys)
        if known is not None:
            updated.leaving = {name: at for name, at in known.leaving.items() if name in keys}
        for record in records:
            target_id = record.target_id
            if updated.leaving.get(target_id, -1) >= record.incarnation:
                continue
            unchanged = known is not None and known.keys.get(target_id) == keys[target_id]
            for snapshot, shard in replicas_of(record):
                # A replica that the target no longer has stays removed until its record changes.
                if unchanged and target_id not in known_holders.get(snapshot, {}).get(shard, ()):
                    continue
                holders = updated.holders.setdefault(snapshot, defaultdict(set))
                holders[shard].add(target_id)
        self._services[service] = updated
        return True

    def remove_replica(
        self, service: str, target_id: str, snapshot: Snapshot | None, shard: int, now: float
    ) -> None:
        """Remove a replica that a target no longer has; all its replicas if `snapshot` is None."""
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
        """Set whether the connection monitor finds a target down."""
        if (target_id in self._down) == down:
            return
        (self._down.add if down else self._down.discard)(target_id)
        for known in self._services.values():
            if target_id in known.keys:
                known.chosen.clear()

    def choose(self, service: str, pinned_version: int, now: float) -> Snapshot | None:
        """Return the snapshot for a new query; None if no target holds any.

        The first choice is the newest snapshot that is complete on targets that are not down. The
        second is the newest complete one, the third the one with the most shards.
        """
        known = self._services.get(service)
        if known is None:
            return None
        if pinned_version not in known.chosen:
            known.chosen[pinned_version] = self._choose(known, pinned_version)
        return known.chosen[pinned_version]

    def _choose(self, known: _ServiceSnapshots, pinned_version: int) -> Snapshot | None:
        options = []
        for snapshot, shards in known.holders.items():
            if pinned_version and snapshot.version != pinned_version:
                continue
            held = [holders for holders in shards.values() if holders]
            reachable = sum(not holders <= self._down for holders in held)
            shard_count = snapshot.shard_count
            if held:
                options.append(
                    (reachable == shard_count, len(held) == shard_count, len(held), snapshot)
                )
        if not options:
            return None
        complete = [option for option in options if option[1]]
        if complete:
            return max(complete, key=lambda option: (option[0], option[3]))[3]
        return max(options, key=lambda option: (option[2], option[3]))[3]

    def dump(self, now: float) -> dict[str, Any]:
        """Return the snapshots of each service, their missing shards and the chosen one."""
        return {name: self._dump_service(known) for name, known in self._services.items()}

    def _dump_service(self, known: _ServiceSnapshots) -> dict[str, Any]:
        chosen = self._choose(known, 0)
        return {
            "chosen": attrs.asdict(chosen) if chosen else None,
            "why": _explain_choice(chosen, known),
            "snapshots": [
                {
                    **attrs.asdict(snapshot),
                    "held": sum(bool(holders) for holders in shards.values()),
                    "missing": _missing_shards(snapshot, shards),
                }
                for snapshot, shards in sorted(known.holders.items(), reverse=True)
            ],
        }


def _missing_shards(snapshot: Snapshot, shards: dict[int, set[str]]) -> list[int]:
    return [shard for shard in range(snapshot.shard_count) if not shards.get(shard)][:100]


def _explain_choice(chosen: Snapshot | None, known: _ServiceSnapshots) -> str:
    if chosen is None:
        return "no target holds a shard"
    if _missing_shards(chosen, known.holders[chosen]):
        return "no snapshot is complete; this one has the most shards"
    if chosen == max(known.holders):
        return "newest snapshot, complete"
    return "newest snapshot that is complete on targets that are up"
