"""What a VM knows of the group: composing and merging gossip, refuting claims about itself."""

from __future__ import annotations

from collections.abc import Iterable

from bramleycrank.membership.records import GONE_STATES, LIVE_STATES
from bramleycrank.membership.target_registry import TargetRegistry
from bramleycrank.membership.types import Action, MembershipConfig, VmChanged
from bramleycrank.membership.vm_table import VmTable
from bramleycrank.proto.peer_pb2 import (
    VM_STATE_ALIVE,
    VM_STATE_LEFT,
    Gossip,
    VmRecord,
)
from bramleycrank.proto.target_pb2 import TargetRecord


class GroupView:
    """VM table, target registry and the queue of changes that both share.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    local : VmRecord
        Record of this VM.
    registry : TargetRegistry
        Registry of this VM.
    """

    def __init__(self, cfg: MembershipConfig, local: VmRecord, registry: TargetRegistry) -> None:
        self.cfg = cfg
        self.vms = VmTable(cfg, local)
        self.registry = registry
        self.queue = registry.queue
        self.refuted = False  # set by each refutation, reset by the reader
        self._enqueue(local)

    @property
    def left(self) -> bool:
        """Whether this VM has left the group."""
        return self.vms.local.state == VM_STATE_LEFT

    def gossip(self, now: float, peer_id: str | None = None) -> Gossip:
        """Return a message with this VM's record and the changes to spread.

        Parameters
        ----------
        now : float
            Current time in seconds.
        peer_id : str, optional
            The receiver. If it is held for suspect, dead or left, the message says so, and it can
            refute at once.
        """
        message = Gossip(sender=self.vms.local)
        peer = self.vms.get(peer_id) if peer_id else None
        if peer is not None and peer.state != VM_STATE_ALIVE:
            message.vms.append(peer)
        far = peer is not None and peer.domain != self.vms.local.domain
        ids = self.queue.take(self.vms.ring(), self.cfg.max_message_bytes, far=far)
        self.add_records(message, ids, now)
        return message

    def add_records(self, message: Gossip, ids: Iterable[str], now: float) -> list[str]:
        """Append records by id up to the message bound; return the ids that did not fit."""
        left = self.cfg.max_message_bytes
        waiting = []
        for record_id in ids:
            record = self.record(record_id, now)
            if record is None:
                continue
            size = record.ByteSize()
            if size > left and left < self.cfg.max_message_bytes:
                waiting.append(record_id)
                continue
            left -= size
            (message.vms if isinstance(record, VmRecord) else message.targets).append(record)
        return waiting

    def record(self, record_id: str, now: float) -> VmRecord | TargetRecord | None:
        """Return a record by its id (``vm/ID`` or ``target/ID``), or None."""
        kind, _, name = record_id.partition("/")
        if kind == "vm":
            return self.vms.get(name)
        return self.registry.outgoing(name, now)

    def merge(self, message: Gossip, now: float, *, spread: bool = True) -> list[Action]:
        """Take all newer records of a message.

        VM records go first, since the usability of a target depends on its home VM.

        Parameters
        ----------
        message : Gossip
            The message.
        now : float
            Current time in seconds.
        spread : bool, optional
            Whether the records are news for others too; what a joining VM is told is not.
        """
        actions: list[Action] = []
        if message.HasField("sender"):
            actions += self.merge_vm(message.sender, now)
        for record in message.vms:
            if self.vms.get(record.vm_id) == record:
                self.queue.hear(f"vm/{record.vm_id}")
            actions += self.merge_vm(record, now, spread=spread)
        return [*actions, *self.registry.merge(message.targets, now, spread=spread)]

    def merge_vm(self, record: VmRecord, now: float, *, spread: bool = True) -> list[Action]:
        """Take the record of a VM if it is newer; refute it if it is about this VM."""
        if record.vm_id == self.vms.local_id:
            return self._refute(record, now)
        if not record.vm_id or not self.vms.merge(record, now):
            return []
        if spread:
            self._enqueue(record)
        return [VmChanged(record), *self.registry.on_vm(record, now)]

    def _refute(self, claim: VmRecord, now: float) -> list[Action]:
        """Answer a claim that is newer than the own record with a higher incarnation.

        Claims arise from suspicion, or from an earlier process of this VM.
        """
        local = self.vms.local
        if self.left or claim.incarnation < local.incarnation or claim == local:
            return []
        if claim.incarnation == local.incarnation and claim.state < local.state:
            return []
        self.refuted = True
        return self.set_local(local.state, claim.incarnation + 1, now)

    def set_local(self, state: int, incarnation: int, now: float) -> list[Action]:
        """Change the own record and start to spread it."""
        record = self.vms.with_state(self.vms.local_id, state)
        record.incarnation = incarnation
        self.vms.merge(record, now)
        self._enqueue(record)
        return [VmChanged(record)]

    def forget_gone(self, now: float) -> None:
        """Drop dead and left VMs after their retention."""
        for vm_id in self.vms.forget_gone(now):
            self.queue.discard(f"vm/{vm_id}")

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is known and alive, draining or suspect."""
        record = self.vms.get(vm_id)
        return record is not None and record.state in LIVE_STATES

    def _enqueue(self, record: VmRecord) -> None:
        record_id = f"vm/{record.vm_id}"
        urgent = record.state in GONE_STATES
        self.queue.add(record_id, self.vms.key(record.vm_id), record.ByteSize(), urgent=urgent)
