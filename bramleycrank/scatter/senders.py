"""Choice of the VMs that may send to a target with a bounded rate."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash


@attrs.frozen
class SenderRank:
    """Place of this VM among the VMs that may send to a target; those in its domain come first.

    Parameters
    ----------
    position : int
        Place of this VM, from 0.
    local : int
        VMs in the failure domain of the target.
    total : int
        VMs that serve callers.
    """

    position: int
    local: int
    total: int


class Senders:
    """Ranks the VMs for each target by rendezvous hashing.

    All VMs that know the same VMs compute the same ranks without a message, also across a
    partition, since VMs that seem dead stay candidates.

    Parameters
    ----------
    vm_id : str
        This VM.
    """

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._vms: frozenset[tuple[str, str]] = frozenset()
        self._ranks: dict[str, SenderRank] = {}

    @property
    def vm_count(self) -> int:
        """Number of VMs that serve callers."""
        return len(self._vms)

    def set_vms(self, vms: Iterable[tuple[str, str]]) -> None:
        """Set the id and the failure domain of each VM that serves callers."""
        vms = frozenset(vms)
        if vms != self._vms:
            self._vms = vms
            self._ranks.clear()

    def rank(self, target_id: str, domain: str) -> SenderRank:
        """Return the rank of this VM for a target in a failure domain.

        A VM that is not among the known ones has the rank after the last one.
        """
        known = self._ranks.get(target_id)
        if known is None:
            known = self._ranks[target_id] = self._compute(target_id, domain)
        return known

    def _compute(self, target_id: str, domain: str) -> SenderRank:
        order = sorted(
            self._vms,
            key=lambda vm: (
                vm[1] != domain,
                xxhash.xxh64_intdigest(f"{target_id}/{vm[0]}".encode()),
            ),
        )
        position = next(
            (place for place, (vm_id, _) in enumerate(order) if vm_id == self._vm_id), len(order)
        )
        return SenderRank(position, sum(vm[1] == domain for vm in order), len(order))

    def retain(self, target_ids: Iterable[str]) -> None:
        """Forget the ranks for all targets except the given ones."""
        for target_id in self._ranks.keys() - set(target_ids):
            del self._ranks[target_id]
