"""Pushes: records that are sent immediately, and resent to VMs that did not acknowledge them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

import attrs

from bramleycrank.membership.peer_selection import direct_receivers, sample_across_domains
from bramleycrank.membership.records import Key, address_of, target_key
from bramleycrank.membership.types import PushRecords, SendProbe
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import Gossip, ProbeRequest, VmRecord
from bramleycrank.proto.target_pb2 import TargetRecord

# Number of VMs to which a leaving VM announces it; they gossip it. Announcing it to all VMs would
# not scale.
LEAVE_FANOUT = 32

MIN_SPACING_S = 0.05
"""Minimum time between two messages to a VM; records added in between share a message."""

MAX_ACKNOWLEDGED = 500
"""Maximum number of acknowledged records remembered for each VM."""

SPARE_OUTBOXES = 8
"""Outboxes beyond twice the number of live VMs after which those of dead VMs are removed."""

# Ids of pushes count down from here, which keeps them distinct from the positive ids of probes.
_FIRST_PUSH_ID = -1


@attrs.define
class _Outbox:
    """Records to send to one VM, with at most one message in flight."""

    vm_id: str
    incarnation: int
    records: dict[str, TargetRecord] = attrs.field(factory=dict)
    sent: dict[str, TargetRecord] = attrs.field(factory=dict)
    acknowledged: dict[str, Key] = attrs.field(factory=dict)
    leave_pending: bool = False
    open_id: int | None = None
    attempt: int = 0
    due_at: float = 0.0

    def can_send(self) -> bool:
        """Return whether there is something to send and no message in flight."""
        return self.open_id is None and (self.leave_pending or bool(self.records))


class Pusher:
    """Sends records to all or some VMs and resends them after failures.

    Load pattern: many targets leave at once, and each of their records goes to all VMs. A message
    for each record and VM would use up the processor time of all VMs, so acknowledgements would be
    late and records would be resent. Instead each VM has one message in flight, and records added
    meanwhile go into the next one.

    Parameters
    ----------
    view : GroupView
        Records that this VM has.
    rng : random.Random
        Source of the random choice of VMs.
    """

    def __init__(self, view: GroupView, rng: Random) -> None:
        self._view = view
        self._rng = rng
        self._next_id = _FIRST_PUSH_ID
        self._outboxes: dict[str, _Outbox] = {}
        self._open: dict[int, _Outbox] = {}
        self._waiting: set[str] = set()
        self._unacknowledged: Counter[str] = Counter()

    def push(self, action: PushRecords, now: float) -> list[SendProbe]:
        """Return the messages that carry out a `PushRecords` action."""
        local, peers = self._view.vms.local, self._view.vms.peers()
        if len(self._outboxes) > 2 * len(peers) + SPARE_OUTBOXES:
            self._remove_departed_outboxes()
        if action.fanout:
            local_peers = self._view.vms.selection().local_peers
            peers = local_peers if action.own_domain_only else peers
            peers = sample_across_domains(local, peers, action.fanout, self._rng)
        else:
            peers = direct_receivers(local, peers, self._rng)
        out = []
        for peer in peers:
            outbox = self._outbox_for(peer)
            self._add_records(outbox, action.records)
            out += self._send_if_due(outbox, now)
        return out

    def announce_leave(self, now: float) -> list[SendProbe]:
        """Return the messages that announce to other VMs that this VM left."""
        peers = self._view.vms.peers()
        out = []
        for peer in self._rng.sample(peers, min(LEAVE_FANOUT, len(peers))):
            outbox = self._outbox_for(peer)
            # It does not wait for a message in flight, because this process will soon exit.
            outbox.leave_pending, outbox.due_at, outbox.open_id = True, now, None
            out += self._send_if_due(outbox, now)
        return out

    def has_unacknowledged_push(self, target_id: str) -> bool:
        """Return whether a push of the target's record is not acknowledged by all receivers yet."""
        return self._unacknowledged[target_id] > 0

    def owns(self, probe_id: int) -> bool:
        """Return whether a message is a push that awaits its reply."""
        return probe_id in self._open

    def on_reply(self, push_id: int) -> None:
        """Record that a push was acknowledged."""
        outbox = self._open.pop(push_id)
        outbox.open_id, outbox.attempt = None, 0
        for target_id, record in outbox.sent.items():
            self._decrement_unacknowledged(target_id)
            outbox.acknowledged[target_id] = target_key(record)
        while len(outbox.acknowledged) > MAX_ACKNOWLEDGED:
            del outbox.acknowledged[next(iter(outbox.acknowledged))]
        outbox.sent = {}
        self._update_waiting(outbox)

    def on_failed(self, push_id: int, now: float) -> None:
        """Schedule a retry of a failed push, unless its retries are used up."""
        outbox = self._open.pop(push_id)
        outbox.open_id = None
        outbox.attempt += 1
        sent, outbox.sent = outbox.sent, {}
        if outbox.attempt > self._view.cfg.push_retries:
            outbox.attempt = 0
            for target_id in sent:
                self._decrement_unacknowledged(target_id)
        else:
            outbox.due_at = now + self._view.cfg.push_retry_s
            outbox.leave_pending = outbox.leave_pending or not sent
            for target_id, record in sent.items():
                if target_id in outbox.records:
                    self._decrement_unacknowledged(target_id)  # a newer record is queued
                else:
                    outbox.records[target_id] = record
        self._update_waiting(outbox)

    def tick(self, now: float) -> list[SendProbe]:
        """Send the records that are due to live VMs, and drop those for other VMs."""
        out = []
        for vm_id in list(self._waiting):
            if self._view.is_live(vm_id):
                out += self._send_if_due(self._outboxes[vm_id], now)
            else:
                self._remove_outbox(self._outboxes[vm_id])
        return out

    def next_deadline(self) -> float:
        """Return when the next push is due."""
        return min((self._outboxes[vm_id].due_at for vm_id in self._waiting), default=float("inf"))

    def _outbox_for(self, peer: VmRecord) -> _Outbox:
        outbox = self._outboxes.get(peer.vm_id)
        if outbox is None:
            outbox = self._outboxes[peer.vm_id] = _Outbox(peer.vm_id, peer.incarnation)
        if outbox.incarnation != peer.incarnation:
            outbox.incarnation = peer.incarnation
            outbox.acknowledged.clear()  # a restarted VM may have lost its records
        return outbox

    def _remove_departed_outboxes(self) -> None:
        for outbox in [
            candidate for candidate in self._outboxes.values() if candidate.open_id is None
        ]:
            if not self._view.is_live(outbox.vm_id):
                self._remove_outbox(outbox)

    def _add_records(self, outbox: _Outbox, records: Iterable[TargetRecord]) -> None:
        for record in records:
            known = outbox.acknowledged.get(record.target_id)
            if known is not None and known >= target_key(record):
                continue
            if record.target_id not in outbox.records:
                self._unacknowledged[record.target_id] += 1
            outbox.records[record.target_id] = record
        self._update_waiting(outbox)

    def _send_if_due(self, outbox: _Outbox, now: float) -> list[SendProbe]:
        if not outbox.can_send() or now < outbox.due_at:
            return []
        size = 0
        for target_id, record in list(outbox.records.items()):
            size += record.ByteSize()
            if outbox.sent and size > self._view.cfg.max_message_bytes:
                break
            outbox.sent[target_id] = outbox.records.pop(target_id)
        outbox.leave_pending = False
        outbox.open_id, self._next_id = self._next_id, self._next_id - 1
        outbox.due_at = now + MIN_SPACING_S
        self._open[outbox.open_id] = outbox
        self._update_waiting(outbox)
        gossip = Gossip(sender=self._view.vms.local, targets=outbox.sent.values())
        address = address_of(self._view.vms.get(outbox.vm_id))
        timeout_s = self._view.cfg.probe_timeout_s
        request = ProbeRequest(gossip=gossip)
        return [SendProbe(outbox.open_id, address, request, timeout_s, purpose="pushes")]

    def _update_waiting(self, outbox: _Outbox) -> None:
        if outbox.can_send():
            self._waiting.add(outbox.vm_id)
        else:
            self._waiting.discard(outbox.vm_id)

    def _remove_outbox(self, outbox: _Outbox) -> None:
        """Remove the outbox of a VM that is no longer live and has no message in flight."""
        for target_id in outbox.records:
            self._decrement_unacknowledged(target_id)
        self._waiting.discard(outbox.vm_id)
        del self._outboxes[outbox.vm_id]

    def _decrement_unacknowledged(self, target_id: str) -> None:
        self._unacknowledged[target_id] -= 1
        if not self._unacknowledged[target_id]:
            del self._unacknowledged[target_id]
