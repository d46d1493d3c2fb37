"""Directory of VM addresses, updated by gossip."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bramleycrank.daemon.identity import format_address
from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.proto import peer_pb2
from bramleycrank.transport.peer_client import PeerClients

DEPARTED_STATES = (peer_pb2.VM_STATE_DEAD, peer_pb2.VM_STATE_LEFT)


class PeerDirectory:
    """Looks up the addresses of VMs.

    Parameters
    ----------
    membership : MembershipController
        Source of the VM records.
    seeds : sequence of str
        Addresses to use until gossip has delivered records of other VMs.
    clients : PeerClients
        Connections to other VMs; those to dead VMs and VMs that left are closed.
    """

    def __init__(
        self, membership: MembershipController, seeds: Sequence[str], clients: PeerClients
    ) -> None:
        self._clients = clients
        self._membership = membership
        self._seeds = list(seeds)
        self._own_record = membership.core.local
        # Index by VM id, because each consensus message needs a lookup.
        self._by_vm: dict[str, str] = {}
        self.leader_address: Callable[[], str] = str
        membership.subscribe_vms(self._on_vm)

    def vm_address(self, vm_id: str) -> str:
        """Return the ``host:port`` of a VM, or an empty string."""
        return self._by_vm.get(vm_id, "")

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds."""
        self._seeds = list(seeds)

    def addresses(self) -> Sequence[str]:
        """Return the addresses of VMs that may be alive, without this one."""
        records = self._membership.vms()
        known = [
            format_address(r.host, r.port) for r in records if r.vm_id != self._own_record.vm_id
        ]
        return known or self._seeds

    def departed(self) -> frozenset[str]:
        """Return the ids of the VMs that announced that they have left."""
        return frozenset(
            record.vm_id
            for record in self._membership.all_vms()
            if record.state == peer_pb2.VM_STATE_LEFT
        )

    def sample_across_domains(self, count: int) -> Sequence[str]:
        """Return the addresses of some VMs, spread over the failure domains."""
        return self._membership.core.random_addresses(count, own_domain_only=False) or self._seeds

    def local_sample(self, count: int) -> Sequence[str]:
        """Return the addresses of some VMs in the own failure domain."""
        return self._membership.core.random_addresses(count, own_domain_only=True)

    def is_remote(self, address: str) -> bool:
        """Return whether a VM is in another failure domain; an unknown VM counts as local."""
        return self._membership.core.is_remote(address)

    def self_record(self) -> peer_pb2.VmRecord:
        """Return this VM's own record."""
        return self._membership.core.local

    def _on_vm(self, record: peer_pb2.VmRecord) -> None:
        address = format_address(record.host, record.port)
        if record.state in DEPARTED_STATES:
            # Consensus falls back to the address in the log, which may still be reachable if only
            # gossip is partitioned.
            self._by_vm.pop(record.vm_id, None)
            if record.vm_id != self._own_record.vm_id:
                self._clients.close_peer(address)
        else:
            self._by_vm[record.vm_id] = address
