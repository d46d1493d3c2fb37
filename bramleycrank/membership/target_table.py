"""Records of targets: order, usability by the state of the home VM, retention after their end."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator

import attrs

from bramleycrank.membership.records import (
    ENDED_STATES,
    Key,
    bucket_of,
    state_name,
    target_key,
    with_age,
)
from bramleycrank.membership.types import MembershipConfig
from bramleycrank.proto.target_pb2 import (
    TARGET_STATE_LEAVING,
    TARGET_STATE_SERVING,
    TargetRecord,
)


@attrs.define
class _Entry:
    """A record with its order key, end and usability on this VM.

    Parameters
    ----------
    warm_at : float
        Time at which the target is warm if it does not restart, in seconds.
    """

    record: TargetRecord
    key: Key
    ended_at: float | None
    warm_at: float
    usable: bool = False


@attrs.define
class _HomeState:
    """Whether a home VM is live, whether it was ever live here, and since when that holds."""

    live: bool
    known: bool
    since: float


class TargetTable:
    """Stores the targets that this VM knows.

    A record is usable while its state is SERVING and its home VM is live or stopped being live less
    than `home_grace_s` ago. Records whose home VM is unknown or departed are neither usable nor
    advertised, so VMs do not exchange them any more after the home VM was removed.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    vm_id : str
        Id of this VM.
    """

    def __init__(self, cfg: MembershipConfig, vm_id: str) -> None:
        self._cfg = cfg
        self._vm_id = vm_id
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, set[str]] = defaultdict(set)
        self._by_home: dict[str, set[str]] = defaultdict(set)
        self._by_bucket: dict[int, set[str]] = defaultdict(set)
        self._homes: dict[str, _HomeState] = {vm_id: _HomeState(live=True, known=True, since=0.0)}
        self._departed_homes: set[str] = set()
        self._ended: dict[str, None] = {}

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the record of a target, or None."""
        entry = self._entries.get(target_id)
        return entry.record if entry else None

    def key(self, target_id: str) -> Key | None:
        """Return the order key of a target's record, or None."""
        entry = self._entries.get(target_id)
        return entry.key if entry else None

    def warm_at(self, target_id: str) -> float:
        """Return the time at which a target is warm according to its record; 0 if unknown.

        The time counts from the receipt of the record, so it may be too late but not too early.
        """
        entry = self._entries.get(target_id)
        return entry.warm_at if entry is not None else 0.0

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target may get new sub-requests."""
        entry = self._entries.get(target_id)
        return entry is not None and entry.usable

    def usable(self, service: str) -> list[TargetRecord]:
        """Return the usable targets of a service."""
        ids = self._by_service.get(service, ())
        return [
            self._entries[target_id].record for target_id in ids if self._entries[target_id].usable
        ]

    def records(self) -> list[TargetRecord]:
        """Return all records."""
        return [entry.record for entry in self._entries.values()]

    def put(self, record: TargetRecord, now: float) -> bool:
        """Store a record if it is newer; return whether the table changed.

        Parameters
        ----------
        record : TargetRecord
            The record; `ended_age_s` is the time since it ended.
        now : float
            Current time in seconds.
        """
        age_s = record.ended_age_s
        ended = record.state in ENDED_STATES
        if ended and age_s >= self._retention_s(record):
            return False
        entry = self._entries.get(record.target_id)
        key = target_key(record)
        if entry is not None and key <= entry.key:
            if ended and key == entry.key:
                entry.ended_at = min(entry.ended_at, now - age_s)
            return False
        self._remove(record.target_id)
        # The copy is needed because a submessage would keep the whole received message in memory.
        self._insert(with_age(record, 0), key, now - age_s if ended else None, now)
        return True

    def _insert(self, record: TargetRecord, key: Key, ended_at: float | None, now: float) -> None:
        self._entries[record.target_id] = entry = _Entry(
            record, key, ended_at, now + record.warmup_left_ms / 1000
        )
        self._by_service[record.service].add(record.target_id)
        self._by_home[record.home_vm].add(record.target_id)
        self._by_bucket[bucket_of(f"target/{record.target_id}")].add(record.target_id)
        if record.home_vm not in self._homes:
            self._set_home(record.home_vm, _HomeState(live=False, known=False, since=now))
        if ended_at is not None:
            self._ended[record.target_id] = None
        entry.usable = self._is_usable(entry, now)

    def _remove(self, target_id: str) -> None:
        entry = self._entries.pop(target_id, None)
        if entry is None:
            return
        self._ended.pop(target_id, None)
        self._by_bucket[bucket_of(f"target/{target_id}")].discard(target_id)
        for index, name in (
            (self._by_service, entry.record.service),
            (self._by_home, entry.record.home_vm),
        ):
            index[name].discard(target_id)
            if not index[name]:
                del index[name]

    def _is_usable(self, entry: _Entry, now: float) -> bool:
        return entry.record.state == TARGET_STATE_SERVING and self._is_home_usable(
            entry.record.home_vm, now
        )

    def _is_home_usable(self, vm_id: str, now: float) -> bool:
        home = self._homes.get(vm_id)
        if home is None or not home.known:
            return False
        return home.live or now - home.since < self._cfg.home_grace_s

    def set_home(self, vm_id: str, live: bool, now: float) -> list[TargetRecord]:
        """Set the state of a home VM; return the records whose usability changed."""
        if vm_id == self._vm_id:
            return []
        home = self._homes.get(vm_id)
        if home is None or not home.known or home.live != live:
            # A VM that was never live on this VM gives its targets no grace time.
            known = live or (home is not None and home.known)
            self._set_home(vm_id, _HomeState(live=live, known=known, since=now))
        return self._update_usability(vm_id, now)

    def _set_home(self, vm_id: str, home: _HomeState) -> None:
        self._homes[vm_id] = home
        if home.live:
            self._departed_homes.discard(vm_id)
        else:
            self._departed_homes.add(vm_id)

    def _update_usability(self, vm_id: str, now: float) -> list[TargetRecord]:
        changed = []
        for target_id in self._by_home.get(vm_id, ()):
            entry = self._entries[target_id]
            usable = self._is_usable(entry, now)
            if usable != entry.usable:
                entry.usable = usable
                changed.append(entry.record)
        return changed

    def tick(self, now: float) -> list[TargetRecord]:
        """Apply grace and retention times; return the records whose usability changed."""
        changed = []
        for vm_id in list(self._departed_homes):
            gone_for_s = now - self._homes[vm_id].since
            if gone_for_s >= self._cfg.home_grace_s:
                changed += self._update_usability(vm_id, now)
            if gone_for_s >= self._cfg.record_retention_s:
                self._remove_home(vm_id)
        self._remove_ended(now)
        return changed

    def _remove_home(self, vm_id: str) -> None:
        for target_id in list(self._by_home.get(vm_id, ())):
            if self._entries[target_id].ended_at is None:
                self._remove(target_id)
        del self._homes[vm_id]
        self._departed_homes.discard(vm_id)

    def _remove_ended(self, now: float) -> None:
        overdue = [
            target_id
            for target_id in self._ended
            if now - self._entries[target_id].ended_at
            >= self._retention_s(self._entries[target_id].record)
        ]
        excess = len(self._ended) - len(overdue) - self._cfg.max_ended_targets
        if excess > 0:
            remaining = set(self._ended).difference(overdue)
            overdue += sorted(remaining, key=lambda ended_id: self._entries[ended_id].ended_at)[
                :excess
            ]
        for target_id in overdue:
            self._remove(target_id)

    def _retention_s(self, record: TargetRecord) -> float:
        if record.state == TARGET_STATE_LEAVING:
            return self._cfg.leaving_retention_s
        return self._cfg.expired_retention_s

    def outgoing(self, target_id: str, now: float) -> TargetRecord | None:
        """Return the record as it is sent to other VMs, with the age of an ended target rounded up.

        With rounding down a record would lose age with each VM that passes it on, and might never
        be removed.
        """
        entry = self._entries.get(target_id)
        if entry is None:
            return None
        if entry.ended_at is None:
            return entry.record
        return with_age(entry.record, max(0, math.ceil(now - entry.ended_at)))

    def entries(
        self,
        now: float,
        buckets: Iterable[int] | None = None,
        *,
        include_unadvertised: bool = False,
    ) -> Iterator[tuple[str, int, Key]]:
        """Yield id, state and key of the records that take part in anti-entropy.

        Parameters
        ----------
        now : float
            Current time in seconds.
        buckets : iterable of int, optional
            Digest buckets; all by default.
        include_unadvertised : bool, optional
            Whether to include the records that are kept but not advertised.
        """
        ids: Iterable[str] = self._entries
        if buckets is not None:
            ids = (
                indexed_id for bucket in buckets for indexed_id in self._by_bucket.get(bucket, ())
            )
        usable_homes: dict[str, bool] = {}
        for target_id in ids:
            entry = self._entries[target_id]
            home = entry.record.home_vm
            if home not in usable_homes:
                usable_homes[home] = self._is_home_usable(home, now)
            if include_unadvertised or entry.ended_at is not None or usable_homes[home]:
                yield f"target/{target_id}", entry.record.state, entry.key

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of each record with the reasons for its usability."""
        return {
            target_id: {
                "service": entry.record.service,
                "state": state_name(entry.record),
                "incarnation": entry.record.incarnation,
                "sequence": entry.record.sequence,
                "home_vm": entry.record.home_vm,
                "home_ok": self._is_home_usable(entry.record.home_vm, now),
                "usable": entry.usable,
                "ended_for_s": None if entry.ended_at is None else round(now - entry.ended_at, 3),
            }
            for target_id, entry in self._entries.items()
        }
