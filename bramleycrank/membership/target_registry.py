"""Registry of targets: reports, leases and leaving."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import attrs

from bramleycrank.exceptions import InvalidRequest, Outcome
from bramleycrank.membership.gossip import GossipQueue
from bramleycrank.membership.records import (
    ENDED_STATES,
    LIVE_STATES,
    Key,
    is_addressable,
    target_key,
)
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

# A larger record would not fit into a gossip message of 32 KiB together with others.
MAX_RECORD_BYTES = 16 * 1024

# Number of VMs of its own domain to which a VM forwards a LEAVING record that is new to it. This
# distributes the record in domains where the home VM pushes it to a few VMs only, and reaches VMs
# that the push of the home VM misses, for example because of a partial partition.
FORWARD_FANOUT = 3

# Excess of a reported warm-up over the known one that shows that the target is cold again, in
# seconds. Reports are delayed on their way.
MIN_NEW_WARMUP_S = 0.5

# Number of VMs to which a home VM pushes targets that are new to it. Gossip alone takes a few probe
# periods, during which VMs that have just started would have no targets.
NEW_TARGETS_FANOUT = 8


@attrs.define
class _Lease:
    """The lease of a target whose home VM is this VM."""

    incarnation: int
    sequence: int  # highest one in a report of the target
    expires_at: float


class TargetRegistry:
    """Stores the targets known to this VM, and the leases of those that report to it.

    The home VM assigns the sequence of a record, because it writes EXPIRED records between the
    reports of the target. A late report with a lower sequence than the last one is acknowledged but
    changes nothing.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    vm_id : str
        Id of this VM.
    now : float
        Current time in seconds.
    """

    def __init__(self, cfg: MembershipConfig, vm_id: str, now: float) -> None:
        self.queue = GossipQueue(vm_id)
        self.has_left: Callable[[str, int], bool] = lambda target_id, incarnation: False
        """Returns whether a target left in an incarnation, according to a source that outlives
        this process."""
        self._cfg = cfg
        self._vm_id = vm_id
        self._table = TargetTable(cfg, vm_id)
        self._leases: dict[str, _Lease] = {}
        self._last_tick = now
        self._new_targets: dict[str, TargetRecord] = {}

    @classmethod
    def from_config(cls, cfg: MembershipConfig, vm_id: str, now: float) -> TargetRegistry:
        """Return an empty registry for a VM."""
        return cls(cfg, vm_id, now)

    def announce(self, request: AnnounceRequest, now: float) -> tuple[AnnounceReply, list[Action]]:
        """Handle a target's report and become its home VM.

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
            If a field is invalid, the incarnation is lower than the known one, or the target left
            in this incarnation.
        """
        record = request.record
        check_report(record)
        if record.state == TARGET_STATE_LEAVING:
            leave = LeaveRequest(target_id=record.target_id, incarnation=record.incarnation)
            return self.reply(), self.leave(leave, now)
        known = self._table.get(record.target_id)
        _check_incarnation(record, known)
        if self.has_left(record.target_id, record.incarnation):
            raise _left_error(record)
        if self._is_late(record):
            return self.reply(), []
        self._leases[record.target_id] = _Lease(
            record.incarnation, record.sequence, now + self._cfg.lease_s
        )
        cold_again = self._is_cold_again(record, known, now)
        new = self._next_record(record, known, cold_again)
        if new is None:
            return self.reply(), []
        actions = self._store(new, now)
        if actions and cold_again:
            actions.append(PushRecords((new,)))
        elif actions and not self._was_usable(known, record.incarnation):
            self._new_targets[record.target_id] = new
        return self.reply(), actions

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

    def _is_cold_again(self, record: TargetRecord, known: TargetRecord | None, now: float) -> bool:
        """Return whether a target that was in service reports more warm-up than is known.

        Such a report is pushed to all VMs as an end is, since they send at the full rate.
        """
        if known is None or known.state != TARGET_STATE_SERVING or not record.warmup_left_ms:
            return False
        expected_at = self._table.warm_at(record.target_id)
        return now + record.warmup_left_ms / 1000 > expected_at + MIN_NEW_WARMUP_S

    def _next_record(
        self, record: TargetRecord, known: TargetRecord | None, cold_again: bool
    ) -> TargetRecord | None:
        """Return the record to store, or None for a plain renewal.

        A warm-up that goes on as expected is a plain renewal; its end is not.
        """
        new = TargetRecord()
        new.CopyFrom(record)
        new.home_vm = self._vm_id
        new.ended_age_s = 0
        if known is not None and known.incarnation == record.incarnation:
            new.sequence = known.sequence
            if record.warmup_left_ms and not cold_again:
                new.warmup_left_ms = known.warmup_left_ms
            if new == known:
                return None
            new.warmup_left_ms = record.warmup_left_ms
            new.sequence = max(known.sequence + 1, record.sequence)
        return new

    def reply(self) -> AnnounceReply:
        """Return the reply to a report of a target."""
        return AnnounceReply(
            lease_ms=round(self._cfg.lease_s * 1000),
            renew_ms=round(self._cfg.renew_s * 1000),
            home_vm=self._vm_id,
        )

    def leave(self, request: LeaveRequest, now: float) -> list[Action]:
        """Record that a target leaves; this is final for its incarnation.

        Parameters
        ----------
        request : LeaveRequest
            Target and incarnation.
        now : float
            Current time in seconds.

        Returns
        -------
        list of Action
            `TargetChanged` and `PushRecords` to all VMs. A repeated request pushes the record
            again, because the first push may have failed.
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
        leaving = _ended_record(known or TargetRecord(), TARGET_STATE_LEAVING, self._vm_id)
        leaving.target_id, leaving.incarnation = request.target_id, request.incarnation
        return [*self._store(leaving, now), PushRecords((leaving,))]

    def mark_leaving(self, target_id: str, incarnation: int, now: float) -> list[Action]:
        """Record that a target leaves, as its reply to this VM states; final for its incarnation.

        The target also sends a report to its home VM and the same state in its replies to other
        VMs, so a push to a few VMs is enough.

        Returns
        -------
        list of Action
            `TargetChanged` and `PushRecords` to a few VMs; empty if it was known already.
        """
        known = self._table.get(target_id)
        if known is None or known.incarnation != incarnation:
            return []
        if known.state == TARGET_STATE_LEAVING:
            return []
        leaving = _ended_record(known, TARGET_STATE_LEAVING, self._vm_id)
        push = PushRecords((leaving,), fanout=FORWARD_FANOUT, own_domain_only=True)
        return [*self._store(leaving, now), push]

    def merge(
        self, records: Iterable[TargetRecord], now: float, *, queue_for_gossip: bool = True
    ) -> list[Action]:
        """Store the records of another VM that are newer than the own ones.

        Parameters
        ----------
        records : iterable of TargetRecord
            Received records.
        now : float
            Current time in seconds.
        queue_for_gossip : bool, optional
            Whether the stored records are gossiped by this VM.

        Returns
        -------
        list of Action
            `TargetChanged` for each change; `PushRecords` to a few VMs for targets that were
            usable on this VM and leave or are cold again, and to all VMs for those that the other
            VM did not know to have left.
        """
        actions: list[Action] = []
        to_forward, to_correct = [], []
        for received in records:
            record = self._corrected(received)
            if record is not received:
                to_correct.append(record)
            was_usable = self._table.is_usable(record.target_id)
            was_warm = self._table.warm_at(record.target_id) <= now
            changes = self._store(record, now, queue_for_gossip=queue_for_gossip)
            actions += changes
            cold_again = was_warm and self._table.warm_at(record.target_id) > now
            leaving = record.state == TARGET_STATE_LEAVING
            if changes and was_usable and (leaving or cold_again):
                to_forward.append(record)
        if to_forward:
            actions.append(
                PushRecords(tuple(to_forward), fanout=FORWARD_FANOUT, own_domain_only=True)
            )
        if to_correct:
            actions.append(PushRecords(tuple(to_correct)))
        return actions

    def _corrected(self, record: TargetRecord) -> TargetRecord:
        """Return a LEAVING record for a received one of a target that has left."""
        if record.state in ENDED_STATES or not self.has_left(record.target_id, record.incarnation):
            return record
        known = self._table.get(record.target_id)
        if known is not None and target_key(known) > target_key(record):
            return record  # the known record is newer, and gossip carries it
        return _ended_record(record, TARGET_STATE_LEAVING, self._vm_id)

    def spread_leave(self, target_id: str, incarnation: int, now: float) -> list[Action]:
        """Record and push a leave that this VM has from another source, unless gossip brought it.

        Returns
        -------
        list of Action
            Those of `leave`; empty if the target is unknown, ended or in a newer incarnation here.
        """
        known = self._table.get(target_id)
        if known is None or known.state in ENDED_STATES or known.incarnation > incarnation:
            return []
        return self.leave(LeaveRequest(target_id=target_id, incarnation=incarnation), now)

    def _store(
        self, record: TargetRecord, now: float, *, queue_for_gossip: bool = True
    ) -> list[Action]:
        if not self._table.put(record, now):
            if self._table.key(record.target_id) == target_key(record):
                self.queue.count_received_copy(f"target/{record.target_id}")
            return []
        target_id = record.target_id
        stored = self._table.get(target_id)
        self._adjust_lease(stored, now)
        if queue_for_gossip:
            self.queue.add(
                f"target/{target_id}",
                self._table.key(target_id),
                stored.ByteSize(),
                urgent=stored.state == TARGET_STATE_LEAVING,
            )
        return [TargetChanged(stored)]

    def _adjust_lease(self, record: TargetRecord, now: float) -> None:
        """Keep leases only for records that have not ended and whose home is this VM.

        A record with this VM as its home but without a lease dates from before a restart or a
        partition. It gets a lease, within which the target renews it or the record expires.
        """
        if record.home_vm != self._vm_id or record.state in ENDED_STATES:
            self._leases.pop(record.target_id, None)
        elif record.target_id not in self._leases:
            self._leases[record.target_id] = _Lease(record.incarnation, 0, now + self._cfg.lease_s)

    def on_vm_changed(self, record: VmRecord, now: float) -> list[Action]:
        """Handle a change of a VM, which may be the home VM of targets."""
        changed = self._table.set_home(record.vm_id, record.state in LIVE_STATES, now)
        return [TargetChanged(rec) for rec in changed]

    def tick(self, now: float) -> list[Action]:
        """Expire leases and remove records after their retention time.

        If this process was paused for longer than half a lease, renewals may still be unread in its
        sockets, so the leases are extended by the pause.
        """
        pause_s = now - self._last_tick
        self._last_tick = now
        if pause_s > self._cfg.lease_s / 2:
            for lease in self._leases.values():
                lease.expires_at += pause_s
        actions: list[Action] = []
        for target_id in [
            expired_id for expired_id, lease in self._leases.items() if lease.expires_at <= now
        ]:
            del self._leases[target_id]
            known = self._table.get(target_id)
            if known is not None:
                actions += self._store(_ended_record(known, TARGET_STATE_EXPIRED, self._vm_id), now)
        actions += (TargetChanged(rec) for rec in self._table.tick(now))
        return actions

    @property
    def has_new_targets(self) -> bool:
        """Whether targets that are new on this VM are still to be pushed to other VMs."""
        return bool(self._new_targets)

    def push_new_targets(self) -> list[Action]:
        """Return the push of all targets that are new since the last call."""
        new = tuple(self._new_targets.values())
        self._new_targets.clear()
        return [PushRecords(new, fanout=NEW_TARGETS_FANOUT)] if new else []

    def usable(self, service: str, now: float) -> list[TargetRecord]:
        """Return the targets of a service that may get new sub-requests."""
        return self._table.usable(service)

    def warm_at(self, target_id: str) -> float:
        """Return the time at which a target is warm according to its record; 0 if unknown."""
        return self._table.warm_at(target_id)

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target may get new sub-requests."""
        return self._table.is_usable(target_id)

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the record of a target, or None."""
        return self._table.get(target_id)

    def all_records(self) -> list[TargetRecord]:
        """Return all records, including LEAVING and EXPIRED ones."""
        return self._table.records()

    def key(self, target_id: str) -> Key | None:
        """Return the order key of a target's record, or None."""
        return self._table.key(target_id)

    def outgoing(self, target_id: str, now: float) -> TargetRecord | None:
        """Return a record as it is sent to other VMs, or None."""
        return self._table.outgoing(target_id, now)

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
        return self._table.entries(now, buckets, include_unadvertised=include_unadvertised)

    def dump(self, now: float) -> dict[str, object]:
        """Return the records, the leases and the number of queued changes."""
        return {
            "targets": self._table.dump(now),
            "leases": {
                target_id: round(lease.expires_at - now, 3)
                for target_id, lease in self._leases.items()
            },
            "queued_changes": len(self.queue),
        }


def _ended_record(known: TargetRecord, state: int, vm_id: str) -> TargetRecord:
    """Return the next record of a target that leaves or expires, without its replicas."""
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
        raise _left_error(record)
    else:
        return
    raise InvalidRequest(f"target {record.target_id} {problem}", outcome=Outcome.NOT_RUN)


def _left_error(record: TargetRecord) -> InvalidRequest:
    message = f"target {record.target_id} left in incarnation {record.incarnation}"
    return InvalidRequest(message, outcome=Outcome.NOT_RUN)


def check_report(record: TargetRecord) -> None:
    """Raise `InvalidRequest` if a field of a target's report is invalid."""
    problems = [
        message
        for is_invalid, message in (
            (not record.target_id, "target_id is empty"),
            (not record.service, "service is empty"),
            (not is_addressable(record), "host, port or id is missing or invalid"),
            (
                record.state
                not in (TARGET_STATE_WARMING, TARGET_STATE_SERVING, TARGET_STATE_LEAVING),
                "state is not WARMING, SERVING or LEAVING",
            ),
            (record.ByteSize() > MAX_RECORD_BYTES, f"record exceeds {MAX_RECORD_BYTES} bytes"),
        )
        if is_invalid
    ]
    if problems:
        raise InvalidRequest("; ".join(problems), outcome=Outcome.NOT_RUN)
