"""Registry of targets: announcements, leases and leaving."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import attrs

from bramleycrank.exceptions import InvalidRequest, Outcome
from bramleycrank.membership.gossip import GossipQueue
from bramleycrank.membership.records import ENDED_STATES, LIVE_STATES, Key, target_key
from bramleycrank.membership.target_table import TargetTable
from bramleycrank.membership.types import Action, MembershipConfig, PushRecords, TargetChanged
from bramleycrank.proto.peer_pb2 import VmRecord
from bramleycrank.proto.target_pb2 import (
    TARGET_STATE_EXPIRED,
    TARGET_STATE_LEAVING,
    TARGET_STATE_SERVING,
    TARGET_STATE_WARMING,
    AnnounceReply,
    AnnounceRequest,
    LeaveRequest,
    TargetRecord,
)

# A larger record could not travel in one gossip message of 32 KiB beside others.
MAX_RECORD_BYTES = 16 * 1024

# Number of VMs of its own domain that a VM forwards a LEAVING record to when it first learns of it.
# It carries the record through domains of which the home VM tells a few, and bounds the spread when
# the push of the home VM misses others, for example through an uneven cut.
FORWARD_FANOUT = 3

# Number of VMs that a home VM tells at once of targets that are new to it. Gossip alone takes a few
# probe periods, in which VMs that have just started could serve nothing.
NEW_FANOUT = 8


@attrs.define
class _Lease:
    """A lease that this VM holds for a target."""

    incarnation: int
    sequence: int  # highest one that the target itself announced
    until: float


class TargetRegistry:
    """Targets known to this VM, and the leases of those that announce to it.

    The home VM assigns the sequence of a record, because it writes EXPIRED records between the
    announcements of the target. A late announcement with a lower sequence than the last one is
    answered but changes nothing.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    vm_id : str
        This VM.
    now : float
        Current time in seconds.
    """

    def __init__(self, cfg: MembershipConfig, vm_id: str, now: float) -> None:
        self.queue = GossipQueue(vm_id)
        self._cfg = cfg
        self._vm_id = vm_id
        self._table = TargetTable(cfg, vm_id)
        self._leases: dict[str, _Lease] = {}
        self._last_tick = now
        self._new: dict[str, TargetRecord] = {}

    @classmethod
    def from_config(cls, cfg: MembershipConfig, vm_id: str, now: float) -> TargetRegistry:
        """Return an empty registry for a VM."""
        return cls(cfg, vm_id, now)

    def announce(self, request: AnnounceRequest, now: float) -> tuple[AnnounceReply, list[Action]]:
        """Take a target's announcement or renewal and become its home VM.

        Parameters
        ----------
        request : AnnounceRequest
            The target's own record.
        now : float
            Current time in seconds.

        Returns
        -------
        AnnounceReply
            Lease and renewal time.
        list of Action
            `TargetChanged`, if the record changed.

        Raises
        ------
        InvalidRequest
            If a field is invalid, the incarnation is older than the known one, or the target left
            in this incarnation.
        """
        record = request.record
        _validate(record)
        if record.state == TARGET_STATE_LEAVING:
            leave = LeaveRequest(target_id=record.target_id, incarnation=record.incarnation)
            return self._reply(), self.leave(leave, now)
        known = self._table.get(record.target_id)
        _check_incarnation(record, known)
        if self._is_late(record):
            return self._reply(), []
        self._leases[record.target_id] = _Lease(
            record.incarnation, record.sequence, now + self._cfg.lease_s
        )
        new = self._next_record(record, known)
        if new is None:
            return self._reply(), []
        actions = self._store(new, now)
        if actions and not self._was_usable(known, record.incarnation):
            self._new[record.target_id] = new
        return self._reply(), actions

    @staticmethod
    def _was_usable(known: TargetRecord | None, incarnation: int) -> bool:
        return (
            known is not None
            and known.incarnation == incarnation
            and known.state == TARGET_STATE_SERVING
        )

    def _is_late(self, record: TargetRecord) -> bool:
        lease = self._leases.get(record.target_id)
        return (
            lease is not None
            and lease.incarnation == record.incarnation
            and record.sequence < lease.sequence
        )

    def _next_record(self, record: TargetRecord, known: TargetRecord | None) -> TargetRecord | None:
        """Return the record to store, or None for a plain renewal."""
        new = TargetRecord()
        new.CopyFrom(record)
        new.home_vm = self._vm_id
        new.ended_age_s = 0
        if known is not None and known.incarnation == record.incarnation:
            new.sequence = known.sequence
            if new == known:
                return None
            new.sequence = max(known.sequence + 1, record.sequence)
        return new

    def _reply(self) -> AnnounceReply:
        return AnnounceReply(
            lease_ms=round(self._cfg.lease_s * 1000),
            renew_ms=round(self._cfg.renew_s * 1000),
            home_vm=self._vm_id,
        )

    def leave(self, request: LeaveRequest, now: float) -> list[Action]:
        """Record that a target leaves in an incarnation; final for this incarnation.

        Parameters
        ----------
        request : LeaveRequest
            Target and incarnation.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Action
            `TargetChanged` and `PushRecords` to all VMs; the push is repeated for a repeated
            request, because the first one may have failed.
        """
        known = self._table.get(request.target_id)
        if known is not None and known.incarnation > request.incarnation:
            return []
        if (
            known is not None
            and known.incarnation == request.incarnation
            and known.state == TARGET_STATE_LEAVING
        ):
            return [PushRecords((self._table.outgoing(request.target_id, now),))]
        left = _ended(known or TargetRecord(), TARGET_STATE_LEAVING, self._vm_id)
        left.target_id, left.incarnation = request.target_id, request.incarnation
        return [*self._store(left, now), PushRecords((left,))]

    def mark_leaving(self, target_id: str, incarnation: int, now: float) -> list[Action]:
        """Record that a target told this VM that it leaves; final for this incarnation.

        The target tells each VM that asks it, and reports it as well, so a few VMs are told here.

        Returns
        -------
        list of Action
            `TargetChanged` and `PushRecords` to a few VMs, if that was not known yet.
        """
        known = self._table.get(target_id)
        if known is None or known.incarnation != incarnation:
            return []
        if known.state == TARGET_STATE_LEAVING:
            return []
        left = _ended(known, TARGET_STATE_LEAVING, self._vm_id)
        push = PushRecords((left,), fanout=FORWARD_FANOUT, near_only=True)
        return [*self._store(left, now), push]

    def merge(
        self, records: Iterable[TargetRecord], now: float, *, spread: bool = True
    ) -> list[Action]:
        """Take the records of another VM that are newer than the own ones.

        Parameters
        ----------
        records : iterable of TargetRecord
            Received records.
        now : float
            Current time in seconds.
        spread : bool, optional
            Whether the records are passed on with the gossip of this VM.

        Returns
        -------
        list of Action
            `TargetChanged` for each change; `PushRecords` to a few VMs for targets that were
            usable here and leave.
        """
        actions: list[Action] = []
        forward = []
        for record in records:
            was_usable = self._table.is_usable(record.target_id)
            changes = self._store(record, now, spread=spread)
            actions += changes
            if changes and was_usable and record.state == TARGET_STATE_LEAVING:
                forward.append(record)
        if forward:
            actions.append(PushRecords(tuple(forward), fanout=FORWARD_FANOUT, near_only=True))
        return actions

    def _store(self, record: TargetRecord, now: float, *, spread: bool = True) -> list[Action]:
        if not self._table.put(record, now):
            if self._table.key(record.target_id) == target_key(record):
                self.queue.hear(f"target/{record.target_id}")
            return []
        target_id = record.target_id
        stored = self._table.get(target_id)
        self._adjust_lease(stored, now)
        if spread:
            self.queue.add(
                f"target/{target_id}",
                self._table.key(target_id),
                stored.ByteSize(),
                urgent=stored.state == TARGET_STATE_LEAVING,
            )
        return [TargetChanged(stored)]

    def _adjust_lease(self, record: TargetRecord, now: float) -> None:
        """Keep leases only for live records whose home is this VM.

        A record that names this VM as home without a lease stems from before a restart or a cut;
        it gets one lease time, in which the target renews or the record expires.
        """
        if record.home_vm != self._vm_id or record.state in ENDED_STATES:
            self._leases.pop(record.target_id, None)
        elif record.target_id not in self._leases:
            self._leases[record.target_id] = _Lease(record.incarnation, 0, now + self._cfg.lease_s)

    def on_vm(self, record: VmRecord, now: float) -> list[Action]:
        """Note a change of a VM, which may be the home of targets."""
        changed = self._table.set_home(record.vm_id, record.state in LIVE_STATES, now)
        return [TargetChanged(rec) for rec in changed]

    def tick(self, now: float) -> list[Action]:
        """Expire leases and apply the retention of records.

        If this process was paused for longer than half a lease, renewals may still wait in its
        sockets, so the leases are extended by the pause.
        """
        pause_s = now - self._last_tick
        self._last_tick = now
        if pause_s > self._cfg.lease_s / 2:
            for lease in self._leases.values():
                lease.until += pause_s
        actions: list[Action] = []
        for target_id in [i for i, lease in self._leases.items() if lease.until <= now]:
            del self._leases[target_id]
            known = self._table.get(target_id)
            if known is not None:
                actions += self._store(_ended(known, TARGET_STATE_EXPIRED, self._vm_id), now)
        actions += (TargetChanged(rec) for rec in self._table.tick(now))
        return actions

    @property
    def has_new(self) -> bool:
        """Whether other VMs are still to be told of targets that are new here."""
        return bool(self._new)

    def push_new(self) -> list[Action]:
        """Return the push of all targets that are new since the last one."""
        new = tuple(self._new.values())
        self._new.clear()
        return [PushRecords(new, fanout=NEW_FANOUT)] if new else []

    def usable(self, service: str, now: float) -> list[TargetRecord]:
        """Return the targets of a service that may get new work."""
        return self._table.usable(service)

    def is_usable(self, target_id: str) -> bool:
        """Return whether new work may go to a target."""
        return self._table.is_usable(target_id)

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the record of a target, or None."""
        return self._table.get(target_id)

    def all_records(self) -> list[TargetRecord]:
        """Return all records, the ended ones included."""
        return self._table.records()

    def key(self, target_id: str) -> Key | None:
        """Return the order key of a target's record, or None."""
        return self._table.key(target_id)

    def outgoing(self, target_id: str, now: float) -> TargetRecord | None:
        """Return a record as it is sent to another VM, or None."""
        return self._table.outgoing(target_id, now)

    def entries(
        self, now: float, buckets: Iterable[int] | None = None, *, held: bool = False
    ) -> Iterator[tuple[str, int, Key]]:
        """Yield id, state and key of the records that take part in anti-entropy.

        Parameters
        ----------
        now : float
            Current time in seconds.
        buckets : iterable of int, optional
            Digest buckets; all by default.
        held : bool, optional
            Whether to yield also the records that are kept but not advertised.
        """
        return self._table.entries(now, buckets, held=held)

    def dump(self, now: float) -> dict[str, object]:
        """Return records, leases and the changes that are still being spread."""
        return {
            "targets": self._table.dump(now),
            "leases": {i: round(lease.until - now, 3) for i, lease in self._leases.items()},
            "queued_changes": len(self.queue),
        }


def _ended(known: TargetRecord, state: int, vm_id: str) -> TargetRecord:
    """Return the next record of a target that ended; it needs no replicas."""
    record = TargetRecord()
    record.CopyFrom(known)
    record.ClearField("replicas")
    record.state = state
    record.sequence += 1
    record.home_vm = vm_id
    record.ended_age_s = 0
    return record


def _check_incarnation(record: TargetRecord, known: TargetRecord | None) -> None:
    if known is None or record.incarnation > known.incarnation:
        return
    if record.incarnation < known.incarnation:
        problem = f"has the newer incarnation {known.incarnation}"
    elif known.state == TARGET_STATE_LEAVING:
        problem = f"left in incarnation {known.incarnation}"
    else:
        return
    raise InvalidRequest(f"target {record.target_id} {problem}", outcome=Outcome.NOT_RUN)


def _validate(record: TargetRecord) -> None:
    problems = [
        text
        for wrong, text in (
            (not record.target_id, "target_id is empty"),
            (not record.service, "service is empty"),
            (not record.host or not 0 < record.port < 65536, "host or port is missing"),
            (
                record.state
                not in (TARGET_STATE_WARMING, TARGET_STATE_SERVING, TARGET_STATE_LEAVING),
                "state is not WARMING, SERVING or LEAVING",
            ),
            (record.ByteSize() > MAX_RECORD_BYTES, f"record exceeds {MAX_RECORD_BYTES} bytes"),
        )
        if wrong
    ]
    if problems:
        raise InvalidRequest("; ".join(problems), outcome=Outcome.NOT_RUN)
