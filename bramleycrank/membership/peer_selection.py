"""Selection of the VMs that a VM probes and exchanges records with.

Load pattern: hundreds of VMs in a few failure domains, where traffic between domains is expensive.
With partners chosen at random most messages would cross a domain boundary, and each change would
cross it once for each VM and transmission. Instead every VM probes all VMs of its own domain and a
few fixed partners in each other domain. The messages across a boundary then grow linearly with the
number of VMs, and the copies of a change across it do not grow.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from random import Random

import attrs
import xxhash

from bramleycrank.proto.peer_pb2 import VmRecord

PARTNERS_PER_DOMAIN = 4
"""VMs of each other domain that a VM probes; of a smaller domain it probes all."""

CROSS_DOMAIN_SENDERS = 4
"""Mean number of VMs of a domain that send a change to other domains; one of them may be down."""

MAX_DIRECT_PUSH_DOMAIN_SIZE = 8
"""Largest size of another domain for which a leaving target is pushed to each of its VMs."""

RELAYS_PER_DOMAIN = 3
"""VMs of a larger domain to which a leaving target is pushed; they forward it in their domain."""


@attrs.frozen
class PeerSelection:
    """The VMs that a VM probes and exchanges records with.

    Parameters
    ----------
    local_peers : tuple of VmRecord
        All other VMs of the own domain.
    remote_peers : tuple of VmRecord
        Partners in other domains.
    remote_domain_count : int
        Number of other domains.
    is_complete : bool
        Whether all VMs are included.
    """

    local_peers: tuple[VmRecord, ...]
    remote_peers: tuple[VmRecord, ...]
    remote_domain_count: int
    is_complete: bool

    @classmethod
    def from_peers(cls, local: VmRecord, peers: Iterable[VmRecord]) -> PeerSelection:
        """Choose partners by rendezvous hashing, which spreads the probes evenly over the VMs."""
        local_peers, others = split_by_domain(local, peers)
        remote_peers = [
            record
            for members in others
            for record in sorted(members, key=lambda rec: _rendezvous_rank(local, rec))[
                :PARTNERS_PER_DOMAIN
            ]
        ]
        is_complete = len(remote_peers) == sum(map(len, others))
        return cls(tuple(local_peers), tuple(remote_peers), len(others), is_complete)

    @property
    def members(self) -> tuple[VmRecord, ...]:
        """All members, those of the own domain first."""
        return self.local_peers + self.remote_peers

    @property
    def cross_domain_sender_share(self) -> float:
        """Probability that this VM sends a change to other domains."""
        return min(1.0, CROSS_DOMAIN_SENDERS / (len(self.local_peers) + 1))


def split_by_domain(
    local: VmRecord, peers: Iterable[VmRecord]
) -> tuple[list[VmRecord], list[list[VmRecord]]]:
    """Return the VMs of the own domain, and a list of VMs for each other domain."""
    domains: dict[str, list[VmRecord]] = defaultdict(list)
    for record in peers:
        domains[record.domain].append(record)
    local_peers = domains.pop(local.domain, [])
    return local_peers, list(domains.values())


def direct_receivers(local: VmRecord, peers: Iterable[VmRecord], rng: Random) -> list[VmRecord]:
    """Return the VMs to push a leaving target to; they forward it in their domains."""
    local_peers, others = split_by_domain(local, peers)
    remote_peers = (
        members
        if len(members) <= MAX_DIRECT_PUSH_DOMAIN_SIZE
        else rng.sample(members, RELAYS_PER_DOMAIN)
        for members in others
    )
    return [*local_peers, *(record for members in remote_peers for record in members)]


def sample_across_domains(
    local: VmRecord, peers: Iterable[VmRecord], count: int, rng: Random
) -> list[VmRecord]:
    """Return random VMs, spread over the domains as evenly as the domain sizes allow."""
    local_peers, others = split_by_domain(local, peers)
    groups = [rng.sample(members, len(members)) for members in (local_peers, *others)]
    rng.shuffle(groups)
    rounds = max(map(len, groups), default=0)
    interleaved = (
        group[index] for index in range(rounds) for group in groups if index < len(group)
    )
    return [record for _, record in zip(range(count), interleaved, strict=False)]


def _rendezvous_rank(local: VmRecord, record: VmRecord) -> int:
    return xxhash.xxh64_intdigest(f"{local.vm_id}\n{record.vm_id}".encode())
