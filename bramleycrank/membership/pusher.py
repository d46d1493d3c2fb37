"""Records that are sent at once, and repeated to VMs that did not acknowledge them."""

from __future__ import annotations

from random import Random

import attrs

from bramleycrank.membership.records import address_of
from bramleycrank.membership.types import PushRecords, SendProbe
from bramleycrank.membership.view import GroupView
from bramleycrank.proto.peer_pb2 import Gossip, ProbeRequest, VmRecord
from bramleycrank.proto.target_pb2 import TargetRecord

# A VM that leaves tells this many others, which spread it; telling all would not scale.
LEAVE_FANOUT = 32

# Ids of pushes count down from here, apart from the ids of probes.
_FIRST_ID = -1


@attrs.define
class _Push:
    """Records on their way to one VM."""

    vm_id: str
    records: tuple[TargetRecord, ...]
    attempt: int
    due: float | None = None


class Pusher:
    """Sends records to all or some VMs and repeats what failed.

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
        self._open: dict[int, _Push] = {}
        self._waiting: list[_Push] = []

    def push(self, action: PushRecords, now: float) -> list[SendProbe]:
        """Return the messages that carry the records to all or some VMs."""
        peers = self._view.vms.peers()
        if action.fanout and len(peers) > action.fanout:
            peers = self._rng.sample(peers, action.fanout)
        chunks = _chunks(action.records, self._view.cfg.max_message_bytes)
        return [
            self._send(peer, _Push(peer.vm_id, chunk, attempt=0))
            for chunk in chunks
            for peer in peers
        ]

    def announce_leave(self) -> list[SendProbe]:
        """Return the messages that tell other VMs that this VM left."""
        peers = self._view.vms.peers()
        chosen = self._rng.sample(peers, min(LEAVE_FANOUT, len(peers)))
        return [self._send(peer, _Push(peer.vm_id, (), attempt=0)) for peer in chosen]

    def _send(self, peer: VmRecord, push: _Push) -> SendProbe:
        push_id, self._next_id = self._next_id, self._next_id - 1
        self._open[push_id] = push
        gossip = Gossip(sender=self._view.vms.local, targets=push.records)
        timeout_s = self._view.cfg.probe_timeout_s
        return SendProbe(push_id, address_of(peer), ProbeRequest(gossip=gossip), timeout_s)

    def owns(self, probe_id: int) -> bool:
        """Return whether a message is a push without an answer."""
        return probe_id in self._open

    def on_reply(self, push_id: int) -> None:
        """Note that a push arrived."""
        del self._open[push_id]

    def on_failed(self, push_id: int, now: float) -> None:
        """Schedule a failed push again, unless its retries are used up."""
        push = self._open.pop(push_id)
        if push.attempt < self._view.cfg.push_retries:
            push.attempt += 1
            push.due = now + self._view.cfg.push_retry_s
            self._waiting.append(push)

    def tick(self, now: float) -> list[SendProbe]:
        """Repeat the pushes that are due, to VMs that are still live."""
        due = [push for push in self._waiting if push.due <= now]
        self._waiting = [push for push in self._waiting if push.due > now]
        return [
            self._send(self._view.vms.get(push.vm_id), push)
            for push in due
            if self._view.is_live(push.vm_id)
        ]

    def next_deadline(self) -> float:
        """Return when the next push is due."""
        return min((push.due for push in self._waiting), default=float("inf"))


def _chunks(records: tuple[TargetRecord, ...], max_bytes: int) -> list[tuple[TargetRecord, ...]]:
    chunks: list[list[TargetRecord]] = []
    size = max_bytes
    for record in records:
        size += record.ByteSize()
        if size > max_bytes:
            chunks.append([])
            size = record.ByteSize()
        chunks[-1].append(record)
    return [tuple(chunk) for chunk in chunks]
