"""Dead VMs, listed for operators after gossip has dropped their records."""

from __future__ import annotations

from collections.abc import Sequence

from bramleycrank.membership.records import address_of
from bramleycrank.proto.peer_pb2 import VM_STATE_DEAD, VmRecord

DEAD_RETENTION_S = 24 * 3600.0
"""Time for which a dead VM is listed as unreachable, in seconds.

Gossip drops its record after a minute. A partition between regions can last longer, and a
configuration must not count as in force everywhere while VMs on the other side lack it.
"""

MAX_DEAD_VMS = 1024
"""Most dead VMs that are listed; the oldest entry is dropped first."""


class DeadVms:
    """Records of dead VMs, each with the time at which it was declared dead."""

    def __init__(self) -> None:
        self._dead: dict[str, tuple[VmRecord, float]] = {}

    def on_change(self, record: VmRecord, now: float) -> None:
        """Process a changed record; a VM at the address of a dead one replaces the dead one."""
        address = address_of(record)
        replaced = [vm_id for vm_id, (rec, _) in self._dead.items() if address_of(rec) == address]
        for vm_id in {record.vm_id, *replaced} & self._dead.keys():
            del self._dead[vm_id]
        if record.state == VM_STATE_DEAD:
            self._dead[record.vm_id] = (record, now)
            if len(self._dead) > MAX_DEAD_VMS:
                del self._dead[next(iter(self._dead))]

    def merged_with(self, known: Sequence[VmRecord], now: float) -> list[VmRecord]:
        """Return the known VMs followed by the dead ones that are not among them."""
        ids = {record.vm_id for record in known}
        dead = (rec for rec, at in self._dead.values() if at >= now - DEAD_RETENTION_S)
        return [*known, *(record for record in dead if record.vm_id not in ids)]
