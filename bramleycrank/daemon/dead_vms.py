"""VMs that died, as operators see them after gossip has forgotten them."""

from __future__ import annotations

from collections.abc import Sequence

from bramleycrank.membership.records import address_of
from bramleycrank.proto.peer_pb2 import VM_STATE_DEAD, VmRecord

LIST_DEAD_S = 24 * 3600.0
"""How long operators see a dead VM as unreachable, in seconds.

Gossip forgets it after a minute, but a cut between regions lasts longer, and "in force everywhere"
must not pass over the VMs behind it.
"""

LIST_DEAD_MAX = 1024
"""Most dead VMs that are kept."""


class DeadVms:
    """Records of dead VMs with the time at which they died."""

    def __init__(self) -> None:
        self._dead: dict[str, tuple[VmRecord, float]] = {}

    def on_change(self, record: VmRecord, now: float) -> None:
        """Note a change of a VM; one at the address of a dead one replaces it."""
        address = address_of(record)
        gone = [vm_id for vm_id, (rec, _) in self._dead.items() if address_of(rec) == address]
        for vm_id in {record.vm_id, *gone} & self._dead.keys():
            del self._dead[vm_id]
        if record.state == VM_STATE_DEAD:
            self._dead[record.vm_id] = (record, now)
            if len(self._dead) > LIST_DEAD_MAX:
                del self._dead[next(iter(self._dead))]

    def added_to(self, known: Sequence[VmRecord], now: float) -> list[VmRecord]:
        """Return the known VMs and the dead ones that are not among them."""
        ids = {record.vm_id for record in known}
        dead = (rec for rec, at in self._dead.values() if at >= now - LIST_DEAD_S)
        return [*known, *(record for record in dead if record.vm_id not in ids)]
