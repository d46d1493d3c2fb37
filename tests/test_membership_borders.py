"""Large groups in a few failure domains: what crosses the borders, and that all learn in time."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from membership_fleet import LEAVE_BOUND_S, Fleet
from test_state_follower import World as Followers

from bramleycrank.daemon.config_controller import RELAY_FANOUT
from bramleycrank.daemon.domain_isolation import ISOLATION_SILENCE_S
from bramleycrank.membership import MembershipConfig
from bramleycrank.membership.borders import CARRIERS, PARTNERS, Ring, spread_sample
from bramleycrank.membership.gossip import HEARD_ENOUGH, GossipQueue
from bramleycrank.proto.peer_pb2 import VmRecord
from bramleycrank.state.types import ConfigInForce

CFG = MembershipConfig(probe_period_s=0.5, sync_period_s=4.0, push_retry_s=0.3)
BUDGET_BYTES_PER_S = 2000
"""The users' bound for the control traffic of a VM."""


def fleet_of(per_domain, domains="abc", targets=12):
    fleet = Fleet(7, len(domains) * per_domain, targets, len(domains), domains, CFG, len(domains))
    for number, target in enumerate(fleet.targets):
        target.home = number % len(domains)
    fleet.run_for(12.0)
    return fleet


def spread(fleet, vm_id="vm-20"):
    """Change the record of a VM; return how many copies of the change crossed a border."""
    copies = Counter()
    count = fleet.count

    def note(source, target, message, calls):
        gossip = message.gossip
        carried = any(rec.vm_id == vm_id and rec.incarnation > 1 for rec in gossip.vms)
        copies[source.domain != target.domain] += carried
        count(source, target, message, calls)

    fleet.count = note
    vm = next(vm for vm in fleet.vms if vm.vm_id == vm_id)
    fleet.execute(vm, vm.core.drain(fleet.now))
    fleet.run_for(8.0)
    known = {vm.core._view.vms.get(vm_id).incarnation for vm in fleet.vms}
    assert known == {2}, "all VMs learned of the change"
    return copies[True]


def test_copies_of_a_change_that_cross_borders_do_not_grow_with_the_vms():
    """Load pattern: hundreds of VMs, each of which passes each change on."""
    small, large = spread(fleet_of(10)), spread(fleet_of(24))
    bound = 3 * 2 * CARRIERS * 3  # domains, others, carriers and room for chance
    assert small <= bound and large <= bound


def test_a_calm_vm_stays_within_the_bound_for_control_traffic():
    fleet = fleet_of(20)
    before = fleet.far_bytes + fleet.near_bytes, fleet.far_calls + fleet.near_calls
    fleet.run_for(10.0)
    size = fleet.far_bytes + fleet.near_bytes - before[0]
    calls = fleet.far_calls + fleet.near_calls - before[1]
    assert (size + 230 * calls) / len(fleet.vms) / 10.0 < BUDGET_BYTES_PER_S


@pytest.mark.parametrize("dead", [0, 6])
def test_a_leaving_target_is_known_in_all_domains_in_time(dead):
    """The home VM tells a few VMs of a domain, of which some may have just died."""
    fleet = fleet_of(16)
    for vm in Random(3).sample([vm for vm in fleet.vms if not vm.control_only], dead):
        vm.core = None
    fleet.leave(fleet.targets[0])
    fleet.run_for(LEAVE_BOUND_S)
    left = fleet.targets[0].target_id
    users = [
        vm.vm_id
        for vm in fleet.running()
        if left in {rec.target_id for rec in vm.registry.usable("s", fleet.now)}
    ]
    assert not users


def test_every_vm_hears_of_other_domains_within_the_silence_of_a_cut():
    fleet = fleet_of(14)
    heard = {vm.vm_id: fleet.now for vm in fleet.vms}
    gaps = []
    count = fleet.count

    def note(source, target, message, calls):
        if source.domain != target.domain:
            gaps.append(fleet.now - heard[target.vm_id])
            heard[target.vm_id] = fleet.now
        count(source, target, message, calls)

    fleet.count = note
    fleet.run_for(15.0)
    assert max([*gaps, *(fleet.now - at for at in heard.values())]) < ISOLATION_SILENCE_S


def test_a_whole_domain_that_is_cut_off_is_found_dead():
    fleet = fleet_of(12)
    fleet.cut = frozenset(vm.vm_id for vm in fleet.vms if vm.domain == "a")
    fleet.run_for(20.0)
    for vm in fleet.vms:
        domains = {rec.domain for rec in vm.core.live_vms(fleet.now)}
        assert domains == ({"a"} if vm.domain == "a" else {"b", "c"})
    fleet.cut = frozenset()
    fleet.run_for(30.0)
    assert all(len(vm.core.live_vms(fleet.now)) == 36 for vm in fleet.vms)


def records(per_domain, domains="abcde"):
    return [VmRecord(vm_id=f"{d}{n}", domain=d) for d in domains for n in range(per_domain)]


def test_each_vm_is_the_partner_of_some_vms_of_other_domains():
    vms = records(40)
    probed = Counter(
        rec.vm_id
        for local in vms
        for rec in Ring.from_peers(local, [other for other in vms if other is not local]).far
    )
    assert len(probed) == len(vms) and sum(probed.values()) == len(vms) * 4 * PARTNERS


def test_a_small_group_is_known_whole():
    vms = records(PARTNERS, "abc")
    ring = Ring.from_peers(vms[0], vms[1:])
    assert ring.whole and len(ring.members) == len(vms) - 1


def test_a_change_that_others_send_is_passed_on_less_but_still_carried_across():
    """Load pattern: hundreds of VMs join at once, and each tells of all others."""
    vms = records(40)
    ring = Ring.from_peers(vms[0], vms[1:])
    taken = Counter()
    for seed in range(200):
        queue = GossipQueue(f"vm-{seed}")
        queue.add("vm/x", (1, 1, 0, 0), 60)
        assert queue.take(ring, 1000, far=False) == ["vm/x"]
        for _ in range(HEARD_ENOUGH):
            queue.hear("vm/x")
        assert not queue.take(ring, 1000, far=False)
        taken[sum(bool(queue.take(ring, 1000, far=True)) for _ in range(9))] += 1
        assert not len(queue)
    assert set(taken) == {0, ring.far_domains}
    assert 0.5 * CARRIERS < taken[ring.far_domains] / 200 * 40 < 2 * CARRIERS


def test_a_sample_is_spread_over_the_domains():
    vms = [*records(30, "abc"), *records(1, "de")]
    sample = spread_sample(vms[0], vms[1:], 10, Random(1))
    assert len({rec.vm_id for rec in sample}) == 10
    counts = Counter(rec.domain for rec in sample)
    assert counts["d"] == counts["e"] == 1 and min(counts[d] for d in "abc") >= 2


class DomainFollowers(Followers):
    """Followers in three domains, of which each tells some of its own domain what it fetched."""

    def __init__(self, size, seed):
        self.domains = {f"10.0.0.{n}:7070": n % 3 for n in range(size)}
        self.carrying = Counter()  # fetches that brought a revision, by whether they crossed
        super().__init__(size, seed)

    def start(self, vm):
        super().start(vm)
        own = self.domains[vm.address]
        vm.follower._hints._is_far = lambda address: self.domains[address] != own

    def do(self, vm, actions):
        super().do(vm, actions)
        if any(isinstance(action, ConfigInForce) for action in actions):
            near = [v for v in self.vms if self.domains[v.address] == self.domains[vm.address]]
            status = vm.follower.status(vm.clock(self.time))
            for other in self.rng.sample(near, RELAY_FANOUT):
                self.later(lambda o=other: self.tell(o, vm, status))

    def tell(self, vm, peer, status):
        self.do(vm, vm.follower.on_status(peer.address, status, vm.clock(self.time)))

    def fetch(self, vm, action):
        peer = next(other for other in self.vms if other.address == action.peer_address)
        if peer.follower.config.revision > action.from_revision:
            self.carrying[self.domains[vm.address] != self.domains[peer.address]] += 1
        super().fetch(vm, action)


def test_a_new_revision_crosses_the_border_a_few_times_only():
    """Load pattern: a table changes, and dozens of VMs in each domain need it."""
    world = DomainFollowers(60, 5)
    world.run(10.0)
    world.carrying.clear()
    world.commit()
    world.run(6.0)
    assert {vm.in_force for vm in world.vms} == {1}
    # Without the wait for a near peer two thirds of the fetches cross a border.
    assert world.carrying[True] <= world.carrying[False] / 2
