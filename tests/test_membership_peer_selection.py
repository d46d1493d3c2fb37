"""Large groups in a few failure domains: traffic across domain boundaries and time of spread."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from membership_fleet import LEAVE_BOUND_S, Fleet
from test_state_follower import FollowerSimulation

from bramleycrank.daemon.config_controller import RELAY_FANOUT
from bramleycrank.daemon.domain_isolation import ISOLATION_SILENCE_S
from bramleycrank.membership import MembershipConfig
from bramleycrank.membership.gossip import MAX_RECEIVED_COPIES, GossipQueue
from bramleycrank.membership.peer_selection import (
    CROSS_DOMAIN_SENDERS,
    PARTNERS_PER_DOMAIN,
    PeerSelection,
    sample_across_domains,
)
from bramleycrank.proto.peer_pb2 import VmRecord
from bramleycrank.state.types import ConfigInForce

CFG = MembershipConfig(probe_period_s=0.5, sync_period_s=4.0, push_retry_s=0.3)
MAX_CONTROL_BYTES_PER_S = 2000
"""Required limit for the control traffic of a VM."""


def make_fleet(per_domain, domains="abc", targets=12):
    fleet = Fleet(7, len(domains) * per_domain, targets, len(domains), domains, CFG, len(domains))
    for number, target in enumerate(fleet.targets):
        target.home = number % len(domains)
    fleet.run_for(12.0)
    return fleet


def count_cross_domain_copies(fleet, vm_id="vm-20"):
    """Change the record of a VM; return how many copies crossed a domain boundary."""
    copies = Counter()
    count = fleet.count

    def record_call(source, target, message, calls):
        gossip = message.gossip
        has_change = any(rec.vm_id == vm_id and rec.incarnation > 1 for rec in gossip.vms)
        copies[source.domain != target.domain] += has_change
        count(source, target, message, calls)

    fleet.count = record_call
    vm = next(vm for vm in fleet.vms if vm.vm_id == vm_id)
    fleet.execute(vm, vm.core.drain(fleet.now))
    fleet.run_for(8.0)
    known = {vm.core._view.vms.get(vm_id).incarnation for vm in fleet.vms}
    assert known == {2}, "all VMs received the change"
    return copies[True]


def test_copies_of_a_change_across_domain_boundaries_do_not_grow_with_the_number_of_vms():
    """Load pattern: hundreds of VMs, each of which forwards each change."""
    small, large = (
        count_cross_domain_copies(make_fleet(10)),
        count_cross_domain_copies(make_fleet(24)),
    )
    bound = (
        3 * 2 * CROSS_DOMAIN_SENDERS * 3
    )  # domains, other domains, senders, factor for random variation
    assert small <= bound and large <= bound


def test_an_idle_vm_stays_within_the_limit_for_control_traffic():
    fleet = make_fleet(20)
    before = fleet.remote_bytes + fleet.local_bytes, fleet.remote_calls + fleet.local_calls
    fleet.run_for(10.0)
    traffic_bytes = fleet.remote_bytes + fleet.local_bytes - before[0]
    calls = fleet.remote_calls + fleet.local_calls - before[1]
    assert (traffic_bytes + 230 * calls) / len(fleet.vms) / 10.0 < MAX_CONTROL_BYTES_PER_S


@pytest.mark.parametrize("failed_count", [0, 6])
def test_a_leaving_target_is_known_in_all_domains_within_the_bound(failed_count):
    """The home VM pushes the record to a few VMs of a domain, and some of them may have failed."""
    fleet = make_fleet(16)
    for vm in Random(3).sample([vm for vm in fleet.vms if not vm.control_only], failed_count):
        vm.core = None
    fleet.leave(fleet.targets[0])
    fleet.run_for(LEAVE_BOUND_S)
    target_id = fleet.targets[0].target_id
    vms_using_target = [
        vm.vm_id
        for vm in fleet.running()
        if target_id in {rec.target_id for rec in vm.registry.usable("s", fleet.now)}
    ]
    assert not vms_using_target


def test_every_vm_receives_messages_from_other_domains_within_the_silence_limit():
    fleet = make_fleet(14)
    last_received_at = {vm.vm_id: fleet.now for vm in fleet.vms}
    gaps = []
    count = fleet.count

    def record_call(source, target, message, calls):
        if source.domain != target.domain:
            gaps.append(fleet.now - last_received_at[target.vm_id])
            last_received_at[target.vm_id] = fleet.now
        count(source, target, message, calls)

    fleet.count = record_call
    fleet.run_for(15.0)
    assert max([*gaps, *(fleet.now - at for at in last_received_at.values())]) < ISOLATION_SILENCE_S


def test_a_partitioned_domain_is_detected_as_dead_and_rejoins():
    fleet = make_fleet(12)
    fleet.partitioned = frozenset(vm.vm_id for vm in fleet.vms if vm.domain == "a")
    fleet.run_for(20.0)
    for vm in fleet.vms:
        domains = {rec.domain for rec in vm.core.live_vms(fleet.now)}
        assert domains == ({"a"} if vm.domain == "a" else {"b", "c"})
    fleet.partitioned = frozenset()
    fleet.run_for(30.0)
    assert all(len(vm.core.live_vms(fleet.now)) == 36 for vm in fleet.vms)


def make_records(per_domain, domains="abcde"):
    return [VmRecord(vm_id=f"{d}{n}", domain=d) for d in domains for n in range(per_domain)]


def test_each_vm_is_a_partner_of_some_vms_of_other_domains():
    vms = make_records(40)
    partner_counts = Counter(
        rec.vm_id
        for local in vms
        for rec in PeerSelection.from_peers(
            local, [other for other in vms if other is not local]
        ).remote_peers
    )
    assert (
        len(partner_counts) == len(vms)
        and sum(partner_counts.values()) == len(vms) * 4 * PARTNERS_PER_DOMAIN
    )


def test_in_a_small_group_a_vm_probes_all_others():
    vms = make_records(PARTNERS_PER_DOMAIN, "abc")
    selection = PeerSelection.from_peers(vms[0], vms[1:])
    assert selection.is_complete and len(selection.members) == len(vms) - 1


def test_a_change_received_from_others_is_sent_less_but_still_to_other_domains():
    """Load pattern: hundreds of VMs join at once, and each sends the records of all others."""
    vms = make_records(40)
    selection = PeerSelection.from_peers(vms[0], vms[1:])
    sent_counts = Counter()
    for seed in range(200):
        queue = GossipQueue(f"vm-{seed}")
        queue.add("vm/x", (1, 1, 0, 0), 60)
        assert queue.select(selection, 1000, to_other_domain=False) == ["vm/x"]
        for _ in range(MAX_RECEIVED_COPIES):
            queue.count_received_copy("vm/x")
        assert not queue.select(selection, 1000, to_other_domain=False)
        sent_counts[
            sum(bool(queue.select(selection, 1000, to_other_domain=True)) for _ in range(9))
        ] += 1
        assert not len(queue)
    assert set(sent_counts) == {0, selection.remote_domain_count}
    assert (
        0.5 * CROSS_DOMAIN_SENDERS
        < sent_counts[selection.remote_domain_count] / 200 * 40
        < 2 * CROSS_DOMAIN_SENDERS
    )


def test_a_sample_is_spread_over_the_domains():
    vms = [*make_records(30, "abc"), *make_records(1, "de")]
    sample = sample_across_domains(vms[0], vms[1:], 10, Random(1))
    assert len({rec.vm_id for rec in sample}) == 10
    counts = Counter(rec.domain for rec in sample)
    assert counts["d"] == counts["e"] == 1 and min(counts[d] for d in "abc") >= 2


class DomainFollowers(FollowerSimulation):
    """Followers in three domains; each sends its status to some of its domain after a fetch."""

    def __init__(self, size, seed):
        self.domains = {f"10.0.0.{n}:7070": n % 3 for n in range(size)}
        self.fetch_counts = Counter()  # successful fetches, by whether they crossed a boundary
        super().__init__(size, seed)

    def start(self, vm):
        super().start(vm)
        own = self.domains[vm.address]
        vm.follower._hints._is_remote = lambda address: self.domains[address] != own

    def execute(self, vm, actions):
        super().execute(vm, actions)
        if any(isinstance(action, ConfigInForce) for action in actions):
            local_peers = [
                v for v in self.vms if self.domains[v.address] == self.domains[vm.address]
            ]
            status = vm.follower.status(vm.clock(self.time))
            for other in self.rng.sample(local_peers, RELAY_FANOUT):
                self.schedule_delivery(lambda o=other: self.deliver_status(o, vm, status))

    def deliver_status(self, vm, peer, status):
        self.execute(vm, vm.follower.on_status(peer.address, status, vm.clock(self.time)))

    def fetch(self, vm, action):
        peer = next(other for other in self.vms if other.address == action.peer_address)
        if peer.follower.config.revision > action.from_revision:
            self.fetch_counts[self.domains[vm.address] != self.domains[peer.address]] += 1
        super().fetch(vm, action)


def test_a_new_revision_crosses_domain_boundaries_only_a_few_times():
    """Load pattern: the route table changes, and dozens of VMs in each domain fetch it."""
    simulation = DomainFollowers(60, 5)
    simulation.run(10.0)
    simulation.fetch_counts.clear()
    simulation.commit()
    simulation.run(6.0)
    assert {vm.in_force for vm in simulation.vms} == {1}
    # Without the wait for a peer of the own domain, two thirds of the fetches cross a boundary.
    assert simulation.fetch_counts[True] <= simulation.fetch_counts[False] / 2
