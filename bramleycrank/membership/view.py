"""The records of one VM: composing and merging gossip, refuting wrong states of the VM itself."""

from __future__ import annotations

from collections.abc import Iterable

from bramleycrank.membership.records import DEPARTED_STATES, LIVE_STATES
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
    """Combines the VM table, the target registry and the gossip queue that both share.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    local : VmRecord
        Record of this VM.
    registry : TargetRegistry
        Target registry of this VM.
    """

    def __init__(self, cfg: MembershipConfig, local: VmRecord, registry: TargetRegistry) -> None:
        self.cfg = cfg
        self.vms = VmTable(cfg, local)
        self.registry = registry
        self.queue = registry.queue
        self.refuted = False  # set by each refutation; VmMembership resets it
        self._enqueue(local)

    @property
    def left(self) -> bool:
        """Whether this VM has left the group."""
        return self.vms.local.state == VM_STATE_LEFT

    def gossip(self, now: float, peer_id: str | None = None) -> Gossip:
        """Return a message with this VM's record and queued changes.

        Parameters
        ----------
        now : float
            Current time in seconds.
        peer_id : str, optional
            The receiver. If its state is not ALIVE here, the message includes its record, so that
            it can refute the state immediately.
        """
        message = Gossip(sender=self.vms.local)
        peer = self.vms.get(peer_id) if peer_id else None
        if peer is not None and peer.state != VM_STATE_ALIVE:
            message.vms.append(peer)
        to_other_domain = peer is not None and peer.domain != self.vms.local.domain
        record_ids = self.queue.select(
            self.vms.selection(), self.cfg.max_message_bytes, to_other_domain=to_other_domain
        )
        self.add_records(message, record_ids, now)
        return message

    def add_records(self, message: Gossip, record_ids: Iterable[str], now: float) -> list[str]:
        """Append records by id up to the size limit of a message; return the ids left out."""
        left = self.cfg.max_message_bytes
        omitted = []
        for record_id in record_ids:
            record = self.record(record_id, now)
            if record is None:
                continue
            size = record.ByteSize()
            if size > left and left < self.cfg.max_message_bytes:
                omitted.append(record_id)
                continue
            left -= size
            (message.vms if isinstance(record, VmRecord) else message.targets).append(record)
        return omitted

    def record(self, record_id: str, now: float) -> VmRecord | TargetRecord | None:
        """Return a record by its id (``vm/ID`` or ``target/ID``), or None."""
        kind, _, name = record_id.partition("/")
        if kind == "vm":
            return self.vms.get(name)
        return self.registry.outgoing(name, now)

    def merge(self, message: Gossip, now: float, *, queue_for_gossip: bool = True) -> list[Action]:
        """Store the records of a message that are newer.

        VM records are merged first, since the usability of a target depends on its home VM.

        Parameters
        ----------
        message : Gossip
            The message.
        now : float
            Current time in seconds.
        queue_for_gossip : bool, optional
            Whether to gossip the records; other VMs already have those that a joining VM receives.
        """
        actions: list[Action] = []
        if message.HasField("sender"):
            actions += self.merge_vm(message.sender, now)
        for record in message.vms:
            if self.vms.get(record.vm_id) == record:
                self.queue.count_received_copy(f"vm/{record.vm_id}")
            actions += self.merge_vm(record, now, queue_for_gossip=queue_for_gossip)
        return [
            *actions,
            *self.registry.merge(message.targets, now, queue_for_gossip=queue_for_gossip),
        ]

    def merge_vm(
        self, record: VmRecord, now: float, *, queue_for_gossip: bool = True
    ) -> list[Action]:
        """Store the record of a VM if it is newer; refute it if it describes this VM."""
        if record.vm_id == self.vms.local_id:
            return self._refute(record, now)
        if not record.vm_id or not self.vms.merge(record, now):
            return []
        if queue_for_gossip:
            self._enqueue(record)
        return [VmChanged(record), *self.registry.on_vm_changed(record, now)]

    def _refute(self, received: VmRecord, now: float) -> list[Action]:
        """Override a received record of this VM that is newer than the own one.

        Such a record comes from a suspicion or from an earlier process of this VM. The own record
        gets a higher incarnation.
        """
        local = self.vms.local
        if self.left or received.incarnation < local.incarnation or received == local:
            return []
        if received.incarnation == local.incarnation and received.state < local.state:
            return []
        self.refuted = True
        return self.set_local(local.state, received.incarnation + 1, now)

    def set_local(self, state: int, incarnation: int, now: float) -> list[Action]:
        """Change the record of this VM and queue it for gossip."""
        record = self.vms.with_state(self.vms.local_id, state)
        record.incarnation = incarnation
        self.vms.merge(record, now)
        self._enqueue(record)
        return [VmChanged(record)]

    def remove_departed_vms(self, now: float) -> None:
        """Remove dead and left VMs after their retention time."""
        for vm_id in self.vms.remove_departed_vms(now):
            self.queue.discard(f"vm/{vm_id}")

    def is_live(self, vm_id: str) -> bool:
        """Return whether a VM is known and alive, draining or suspect."""
        record = self.vms.get(vm_id)
        return record is not None and record.state in LIVE_STATES

    def _enqueue(self, record: VmRecord) -> None:
        record_id = f"vm/{record.vm_id}"
        urgent = record.state in DEPARTED_STATES
        self.queue.add(record_id, self.vms.key(record.vm_id), record.ByteSize(), urgent=urgent)
