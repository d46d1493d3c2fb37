"""Which VMs of other failure domains a VM talks to, and how much crosses the border.

Load pattern: hundreds of VMs in a few failure domains, where bytes between domains are dear. With
partners drawn at random most messages cross a border, and each change crosses it once for each VM
and transmission. Here every VM talks to all VMs of its own domain and to a few fixed partners in
each other one, so the messages across a border grow with the number of VMs only, and the copies of
a change not at all.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from random import Random

import attrs
import xxhash

from bramleycrank.proto.peer_pb2 import VmRecord

PARTNERS = 4
"""VMs of each other domain that a VM probes and exchanges with; small domains are known whole."""

CARRIERS = 4
"""VMs of a domain that carry a change to each other domain, on average; one of them may be down."""

DIRECT_MEMBERS = 8
"""VMs of another domain up to which each is told of a leaving target directly."""

RELAYS = 3
"""VMs of a larger domain that are told of a leaving target and tell the others of their domain."""


@attrs.frozen
class Ring:
    """The VMs that a VM probes and exchanges with.

    Parameters
    ----------
    near : tuple of VmRecord
        All other VMs of the own domain.
    far : tuple of VmRecord
        Partners in other domains.
    far_domains : int
        Number of other domains.
    whole : bool
        Whether the ring has all VMs.
    """

    near: tuple[VmRecord, ...]
    far: tuple[VmRecord, ...]
    far_domains: int
    whole: bool

    @classmethod
    def from_peers(cls, local: VmRecord, peers: Iterable[VmRecord]) -> Ring:
        """Choose the partners by rendezvous hashing, so that each VM has about as many probers."""
        near, others = split_by_domain(local, peers)
        far = [
            record
            for members in others
            for record in sorted(members, key=lambda rec: _rank(local, rec))[:PARTNERS]
        ]
        whole = len(far) == sum(map(len, others))
        return cls(tuple(near), tuple(far), len(others), whole)

    @property
    def members(self) -> tuple[VmRecord, ...]:
        """Near and far members."""
        return self.near + self.far

    @property
    def carried_share(self) -> float:
        """Chance that this VM carries a change across the borders."""
        return min(1.0, CARRIERS / (len(self.near) + 1))


def split_by_domain(
    local: VmRecord, peers: Iterable[VmRecord]
) -> tuple[list[VmRecord], list[list[VmRecord]]]:
    """Return the VMs of the own domain, and those of each other one."""
    domains: dict[str, list[VmRecord]] = defaultdict(list)
    for record in peers:
        domains[record.domain].append(record)
    near = domains.pop(local.domain, [])
    return near, list(domains.values())


def direct_receivers(local: VmRecord, peers: Iterable[VmRecord], rng: Random) -> list[VmRecord]:
    """Return the VMs to tell of a leaving target; they reach the rest of their domains."""
    near, others = split_by_domain(local, peers)
    far = (
        members if len(members) <= DIRECT_MEMBERS else rng.sample(members, RELAYS)
        for members in others
    )
    return [*near, *(record for members in far for record in members)]


def spread_sample(
    local: VmRecord, peers: Iterable[VmRecord], count: int, rng: Random
) -> list[VmRecord]:
    """Return some VMs, as evenly over the domains as their sizes allow."""
    near, others = split_by_domain(local, peers)
    groups = [rng.sample(members, len(members)) for members in (near, *others)]
    rng.shuffle(groups)
    turns = max(map(len, groups), default=0)
    in_turn = (group[turn] for turn in range(turns) for group in groups if turn < len(group))
    return [record for _, record in zip(range(count), in_turn, strict=False)]


def _rank(local: VmRecord, record: VmRecord) -> int:
    return xxhash.xxh64_intdigest(f"{local.vm_id}\n{record.vm_id}".encode())
