"""Records that are sent at once, and repeated to VMs that did not acknowledge them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

import attrs

from bramleycrank.membership.borders import direct_receivers, spread_sample
from bramleycrank.membership.records import Key, address_of, target_key
from bramleycrank.membership.types import PushRecords, SendProbe
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import Gossip, ProbeRequest, VmRecord
from bramleycrank.proto.target_pb2 import TargetRecord

# A VM that leaves tells this many others, which spread it; telling all would not scale.
LEAVE_FANOUT = 32

SPACING_S = 0.05
"""Least time between two messages to a VM, in seconds; what comes meanwhile travels together."""

ACKNOWLEDGED_MAX = 500
"""Records of which it is remembered, for each VM, that it has them."""

SPARE_BOXES = 8
"""Outboxes beyond twice the number of live VMs at which those of VMs that are gone are dropped."""

# Ids of pushes count down from here, apart from the ids of probes.
_FIRST_ID = -1


@attrs.define
class _Outbox:
    """What one VM is to be told, with at most one message under way."""

    vm_id: str
    incarnation: int
    records: dict[str, TargetRecord] = attrs.field(factory=dict)
    sent: dict[str, TargetRecord] = attrs.field(factory=dict)
    acknowledged: dict[str, Key] = attrs.field(factory=dict)
    farewell: bool = False
    open_id: int | None = None
    attempt: int = 0
    due: float = 0.0

    def waits(self) -> bool:
        """Whether there is something to send and no message under way."""
        return self.open_id is None and (self.farewell or bool(self.records))


class Pusher:
    """Sends records to all or some VMs and repeats what failed.

    Load pattern: many targets end at once, and each is told to all VMs. A message for each record
    and VM would take the processor time of all of them, the answers would be late, and what was
    not answered would be sent again. Here each VM has one message under way, and what comes
    meanwhile travels with the next one.

    Parameters
    ----------
    view : GroupView
        What this VM knows.
    rng : random.Random
        Source of the choice of VMs.
    """

    def __init__(self, view: GroupView, rng: Random) -> None:
        self._view = view
        self._rng = rng
        self._next_id = _FIRST_ID
        self._boxes: dict[str, _Outbox] = {}
        self._open: dict[int, _Outbox] = {}
        self._waiting: set[str] = set()
        self._holders: Counter[str] = Counter()

    def push(self, action: PushRecords, now: float) -> list[SendProbe]:
        """Return the messages that carry out a `PushRecords` action."""
        local, peers = self._view.vms.local, self._view.vms.peers()
        if len(self._boxes) > 2 * len(peers) + SPARE_BOXES:
            self._forget_gone()
        if action.fanout:
            near = self._view.vms.ring().near
            peers = near if action.near_only else peers
            peers = spread_sample(local, peers, action.fanout, self._rng)
        else:
            peers = direct_receivers(local, peers, self._rng)
        out = []
        for peer in peers:
            box = self._box(peer)
            self._add(box, action.records)
            out += self._send_if_due(box, now)
        return out

    def announce_leave(self, now: float) -> list[SendProbe]:
        """Return the messages that tell other VMs that this VM left."""
        peers = self._view.vms.peers()
        out = []
        for peer in self._rng.sample(peers, min(LEAVE_FANOUT, len(peers))):
            box = self._box(peer)
            # It does not wait for a message under way, because this VM will soon be gone.
            box.farewell, box.due, box.open_id = True, now, None
            out += self._send_if_due(box, now)
        return out

    def is_spreading(self, target_id: str) -> bool:
        """Return whether a VM that was to be told of a target has not acknowledged it yet."""
        return self._holders[target_id] > 0

    def owns(self, probe_id: int) -> bool:
        """Return whether a message is a push without an answer."""
        return probe_id in self._open

    def on_reply(self, push_id: int) -> None:
        """Note that a push arrived."""
        box = self._open.pop(push_id)
        box.open_id, box.attempt = None, 0
        for target_id, record in box.sent.items():
            self._release(target_id)
            box.acknowledged[target_id] = target_key(record)
        while len(box.acknowledged) > ACKNOWLEDGED_MAX:
            del box.acknowledged[next(iter(box.acknowledged))]
        box.sent = {}
        self._note(box)

    def on_failed(self, push_id: int, now: float) -> None:
        """Schedule a failed push again, unless its retries are used up."""
        box = self._open.pop(push_id)
        box.open_id = None
        box.attempt += 1
        sent, box.sent = box.sent, {}
        if box.attempt > self._view.cfg.push_retries:
            box.attempt = 0
            for target_id in sent:
                self._release(target_id)
        else:
            box.due = now + self._view.cfg.push_retry_s
            box.farewell = box.farewell or not sent
            for target_id, record in sent.items():
                if target_id in box.records:
                    self._release(target_id)  # a newer record of it waits
                else:
                    box.records[target_id] = record
        self._note(box)

    def tick(self, now: float) -> list[SendProbe]:
        """Send what is due to VMs that are still live."""
        out = []
        for vm_id in list(self._waiting):
            if self._view.is_live(vm_id):
                out += self._send_if_due(self._boxes[vm_id], now)
            else:
                self._drop(self._boxes[vm_id])
        return out

    def next_deadline(self) -> float:
        """Return when the next push is due."""
        return min((self._boxes[vm_id].due for vm_id in self._waiting), default=float("inf"))

    def _box(self, peer: VmRecord) -> _Outbox:
        box = self._boxes.get(peer.vm_id)
        if box is None:
            box = self._boxes[peer.vm_id] = _Outbox(peer.vm_id, peer.incarnation)
        if box.incarnation != peer.incarnation:
            box.incarnation = peer.incarnation
            box.acknowledged.clear()  # it may have started anew and know nothing
        return box

    def _forget_gone(self) -> None:
        for box in [b for b in self._boxes.values() if b.open_id is None]:
            if not self._view.is_live(box.vm_id):
                self._drop(box)

    def _add(self, box: _Outbox, records: Iterable[TargetRecord]) -> None:
        for record in records:
            known = box.acknowledged.get(record.target_id)
            if known is not None and known >= target_key(record):
                continue
            if record.target_id not in box.records:
                self._holders[record.target_id] += 1
            box.records[record.target_id] = record
        self._note(box)

    def _send_if_due(self, box: _Outbox, now: float) -> list[SendProbe]:
        if not box.waits() or now < box.due:
            return []
        size = 0
        for target_id, record in list(box.records.items()):
            size += record.ByteSize()
            if box.sent and size > self._view.cfg.max_message_bytes:
                break
            box.sent[target_id] = box.records.pop(target_id)
        box.farewell = False
        box.open_id, self._next_id = self._next_id, self._next_id - 1
        box.due = now + SPACING_S
        self._open[box.open_id] = box
        self._note(box)
        gossip = Gossip(sender=self._view.vms.local, targets=box.sent.values())
        address = address_of(self._view.vms.get(box.vm_id))
        timeout_s = self._view.cfg.probe_timeout_s
        request = ProbeRequest(gossip=gossip)
        return [SendProbe(box.open_id, address, request, timeout_s, purpose="pushes")]

    def _note(self, box: _Outbox) -> None:
        if box.waits():
            self._waiting.add(box.vm_id)
        else:
            self._waiting.discard(box.vm_id)

    def _drop(self, box: _Outbox) -> None:
        """Forget what a VM was to be told, since it is gone; no message to it is under way."""
        for target_id in box.records:
            self._release(target_id)
        self._waiting.discard(box.vm_id)
        del self._boxes[box.vm_id]

    def _release(self, target_id: str) -> None:
        self._holders[target_id] -= 1
        if not self._holders[target_id]:
            del self._holders[target_id]
