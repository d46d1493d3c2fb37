"""Choice of the VMs that gather the replies of many shards for the other VMs of their domain."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import xxhash

MIN_VMS = 12
"""VMs of a domain from which on some of them gather for the others."""

VMS_PER_GATHERER = 4
"""VMs of a domain for each gatherer. Fewer gatherers know the targets better and share larger
budgets, but the replies of all shards have to come through their links."""

GATHERERS_SHARE = 0.8
"""Share of a domain's connections and retry budgets that its gatherers have; the others need the
rest when no gatherer can be reached."""


class GatherLevel:
    """Decides which VMs of a domain gather, and how much of the shared budgets each VM has.

    Load pattern: hundreds of VMs that each see about one request a second over dozens of shards.
    Each of them would learn of slow and leaving targets by its own requests, open connections to
    all targets, and have two retries in ten seconds for a shard.

    The gatherers are chosen by rendezvous hashing over the VMs of a domain, so that all VMs choose
    the same ones without messages, and a VM that joins or leaves replaces one at most.

    Parameters
    ----------
    vm_id, domain : str
        This VM and its failure domain.
    """

    def __init__(self, vm_id: str, domain: str) -> None:
        self._vm_id = vm_id
        self._domain = domain
        self.gatherers: tuple[str, ...] = ()
        self.share_factor = 1.0

    @property
    def is_gatherer(self) -> bool:
        """Whether this VM gathers for others."""
        return self._vm_id in self.gatherers

    def set_vms(self, vms: Iterable[tuple[str, str]]) -> None:
        """Set the id and the failure domain of each VM that may gather."""
        vms = list(vms)
        local = [vm_id for vm_id, domain in vms if domain == self._domain]
        self.gatherers = choose_gatherers(local)
        self.share_factor = self._share_factor(len(local), Counter(domain for _, domain in vms))

    def _share_factor(self, local_count: int, vm_counts: Counter[str]) -> float:
        """Return this VM's part of the shared budgets, as a multiple of an equal part."""
        if not self.gatherers:
            return 1.0
        gatherer_count = len(self.gatherers)
        if self.is_gatherer:
            return GATHERERS_SHARE * local_count / gatherer_count
        return (1 - GATHERERS_SHARE) * local_count / (local_count - gatherer_count)

    def dump(self) -> dict[str, object]:
        """Return the gatherers of the domain and this VM's part of the budgets."""
        return {"gatherers": list(self.gatherers), "share_factor": round(self.share_factor, 3)}


def choose_gatherers(vm_ids: list[str]) -> tuple[str, ...]:
    """Return the gatherers among the VMs of a domain; none if the domain is small."""
    if len(vm_ids) < MIN_VMS:
        return ()
    ranked = sorted(vm_ids, key=lambda vm_id: xxhash.xxh64_intdigest(vm_id.encode()))
    return tuple(ranked[: math.ceil(len(vm_ids) / VMS_PER_GATHERER)])
