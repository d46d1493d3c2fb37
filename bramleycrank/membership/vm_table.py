"""Records of VMs: merging, suspicion deadlines, retention of dead and left VMs."""

from __future__ import annotations

import math
from collections.abc import Iterator

from bramleycrank.membership.peer_selection import PeerSelection
from bramleycrank.membership.records import (
    DEPARTED_STATES,
    LIVE_STATES,
    Key,
    address_of,
    state_name,
    vm_key,
)
from bramleycrank.membership.types import MembershipConfig
from bramleycrank.proto.peer_pb2 import (
    VM_STATE_DEAD,
    VM_STATE_LEFT,
    VM_STATE_SUSPECT,
    VmRecord,
)

# Number of remembered addresses of VMs that were dead for longer than the retention time. They are
# probed to detect that a partition healed.
MAX_FORMER_ADDRESSES = 256


class VmTable:
    """Stores the VMs that this VM knows, including itself.

    Parameters
    ----------
    cfg : MembershipConfig
        Options.
    local : VmRecord
        Record of this VM.
    """

    def __init__(self, cfg: MembershipConfig, local: VmRecord) -> None:
        self._cfg = cfg
        self.local_id = local.vm_id
        self._records: dict[str, VmRecord] = {local.vm_id: local}
        self._keys: dict[str, Key] = {local.vm_id: vm_key(local)}
        self._departed_at: dict[str, float] = {}
        self._suspect_until: dict[str, float] = {}
        self._former_addresses: dict[str, str] = {}
        # Cached because they are read for each message; rebuilt after a change.
        self._live: list[VmRecord] | None = None
        self._selection: PeerSelection | None = None
        self._domains: dict[str, str] = {}  # address of a live VM to its domain

    @property
    def local(self) -> VmRecord:
        """Record of this VM."""
        return self._records[self.local_id]

    def get(self, vm_id: str) -> VmRecord | None:
        """Return the record of a VM, or None."""
        return self._records.get(vm_id)

    def key(self, vm_id: str) -> Key | None:
        """Return the order key of a VM's record, or None."""
        return self._keys.get(vm_id)

    def records(self) -> list[VmRecord]:
        """Return all records."""
        return list(self._records.values())

    def live(self) -> list[VmRecord]:
        """Return the records that are alive, draining or suspect, including this VM's."""
        if self._live is None:
            self._live = [rec for rec in self._records.values() if rec.state in LIVE_STATES]
            self._domains = {address_of(rec): rec.domain for rec in self._live}
        return self._live

    def peers(self) -> list[VmRecord]:
        """Return the live records of the other VMs."""
        return [rec for rec in self.live() if rec.vm_id != self.local_id]

    def selection(self) -> PeerSelection:
        """Return the VMs that this VM probes and exchanges records with."""
        if self._selection is None:
            self._selection = PeerSelection.from_peers(self.local, self.peers())
        return self._selection

    def domain_of(self, address: str) -> str:
        """Return the failure domain of a live VM, or an empty string."""
        self.live()
        return self._domains.get(address, "")

    def budget_count(self, now: float, domain: str | None = None) -> int:
        """Return the number of VMs that share the connection budgets of targets."""
        return sum(
            1
            for rec in self._records.values()
            if (domain is None or rec.domain == domain) and self._counts_for_budget(rec, now)
        )

    def _counts_for_budget(self, rec: VmRecord, now: float) -> bool:
        if rec.control_only:
            return False
        departed_at = self._departed_at.get(rec.vm_id)
        return departed_at is None or now - departed_at < self._cfg.budget_retention_s

    def merge(self, record: VmRecord, now: float) -> bool:
        """Store a record if it is newer; return whether the table changed.

        A dead or left record of an unknown VM is ignored: it has no effect, and VMs that remove it
        at different times would send it to each other forever.
        """
        key = vm_key(record)
        known = self._keys.get(record.vm_id)
        if known is None and record.state in DEPARTED_STATES:
            return False
        if known is not None and key <= known:
            return False
        # The copy is needed because a submessage would keep the whole received message in memory.
        copy = VmRecord()
        copy.CopyFrom(record)
        self._records[record.vm_id] = copy
        self._keys[record.vm_id] = key
        self._live = self._selection = None
        self._update_deadlines(copy, now)
        return True

    def _update_deadlines(self, record: VmRecord, now: float) -> None:
        vm_id = record.vm_id
        if record.state in DEPARTED_STATES:
            self._departed_at.setdefault(vm_id, now)
        else:
            self._departed_at.pop(vm_id, None)
            self._former_addresses.pop(address_of(record), None)
        if record.state == VM_STATE_SUSPECT:
            self._suspect_until[vm_id] = now + self._suspicion_s()
        else:
            self._suspect_until.pop(vm_id, None)

    def _suspicion_s(self) -> float:
        group_factor = max(1.0, math.log10(max(1, len(self._records))))
        return self._cfg.suspicion_periods * group_factor * self._cfg.probe_period_s

    def with_state(self, vm_id: str, state: int) -> VmRecord:
        """Return a copy of a record with another state."""
        copy = VmRecord()
        copy.CopyFrom(self._records[vm_id])
        copy.state = state
        return copy

    def overdue_suspects(self, now: float) -> list[VmRecord]:
        """Return DEAD records for the suspects that did not refute the suspicion in time."""
        overdue = [vm_id for vm_id, until in self._suspect_until.items() if until <= now]
        return [self.with_state(vm_id, VM_STATE_DEAD) for vm_id in overdue]

    def postpone(self, delay_s: float) -> None:
        """Extend all suspicion deadlines by the time for which this process was paused."""
        for vm_id in self._suspect_until:
            self._suspect_until[vm_id] += delay_s

    def remove_departed_vms(self, now: float) -> list[str]:
        """Remove dead and left records after their retention time and return their ids."""
        limit = now - self._cfg.record_retention_s
        dropped = [vm_id for vm_id, since in self._departed_at.items() if since <= limit]
        for vm_id in dropped:
            record = self._records.pop(vm_id)
            del self._keys[vm_id], self._departed_at[vm_id]
            if record.state != VM_STATE_LEFT:
                self._former_addresses[address_of(record)] = vm_id
        while len(self._former_addresses) > MAX_FORMER_ADDRESSES:
            del self._former_addresses[next(iter(self._former_addresses))]
        return dropped

    def unreachable(self, seeds: tuple[str, ...]) -> dict[str, str]:
        """Return the addresses of unreachable VMs, with the id of a dead VM or an empty string.

        These are the addresses of dead and removed VMs and of seeds, unless a live VM has them.
        """
        self.live()
        departed = (self._records[vm_id] for vm_id in self._departed_at)
        addresses = dict.fromkeys([*self._former_addresses, *seeds], "")
        addresses.update(
            {
                address_of(departed_record): departed_record.vm_id
                for departed_record in departed
                if departed_record.state == VM_STATE_DEAD
            }
        )
        return {
            address: vm_id for address, vm_id in addresses.items() if address not in self._domains
        }

    def entries(
        self, now: float, *, include_unadvertised: bool = False
    ) -> Iterator[tuple[str, int, Key]]:
        """Yield id, state and key of the records that take part in anti-entropy.

        Dead and left records take part for half of their retention time only, so that all VMs still
        have them when the last VM stops advertising them. `include_unadvertised` adds the others.
        """
        limit = now - self._cfg.record_retention_s / 2
        for vm_id, record in self._records.items():
            if include_unadvertised or self._departed_at.get(vm_id, now) > limit:
                yield f"vm/{vm_id}", record.state, self._keys[vm_id]

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of each record with its deadlines."""
        return {
            vm_id: {
                "state": state_name(record),
                "incarnation": record.incarnation,
                "domain": record.domain,
                "address": address_of(record),
                "gone_for_s": round(now - self._departed_at[vm_id], 3)
                if vm_id in self._departed_at
                else None,
                "dead_in_s": round(self._suspect_until[vm_id] - now, 3)
                if vm_id in self._suspect_until
                else None,
            }
            for vm_id, record in self._records.items()
        }
