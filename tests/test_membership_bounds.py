"""Directed tests of single mechanisms of the membership cores, over many random schedules."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from membership_fleet import CFG, LEAVE_BOUND_S, SERVING, TICK_S, Fleet

from bramleycrank.exceptions import InvalidRequest
from bramleycrank.membership import PushRecords, TargetRegistry
from bramleycrank.membership.records import state_name, vm_key
from bramleycrank.membership.vm_table import VmTable
from bramleycrank.proto import peer_pb2, target_pb2

SEEDS = st.integers(0, 2**32)
few = settings(max_examples=8)


def usable_on(vm, now):
    return {record.target_id for record in vm.registry.usable("s", now)}


@few
@given(SEEDS)
def test_leave_reaches_all_vms_at_once(seed):
    """Guards against a leave that waits for gossip or for an exchange."""
    fleet = Fleet(seed, vm_count=12)
    fleet.run_for(10.0)
    fleet.leave(fleet.targets[0])
    fleet.run_for(0.1)
    assert not any("t-0" in usable_on(vm, fleet.now) for vm in fleet.vms)


@few
@given(SEEDS)
def test_changes_spread_by_gossip_alone(seed):
    """Guards against changes that only travel by push or by anti-entropy."""
    fleet = Fleet(seed, vm_count=8)
    fleet.run_for(6.0)
    fleet.sync = lambda vm, action: None
    fleet.targets[0].running = False
    fleet.start_target(fleet.targets[0])
    fleet.announce(fleet.targets[0], attempts=8)
    fleet.run_for(6.0)
    for vm in fleet.vms:
        assert vm.registry.get("t-0").incarnation == 2, vm.vm_id


@few
@given(SEEDS)
def test_exchange_repairs_what_gossip_missed(seed):
    """Guards against records that stay different when the gossip about them was lost."""
    fleet = Fleet(seed)
    fleet.run_for(8.0)
    fleet.start_target(fleet.targets[0])
    fleet.announce(fleet.targets[0], attempts=4)
    for vm in fleet.vms:
        vm.registry.queue.discard("target/t-0")
    fleet.run_for(1.5 * CFG.sync_period_s * 2)
    for vm in fleet.vms:
        assert vm.registry.get("t-0").incarnation == 2, vm.vm_id


@settings(max_examples=15)
@given(SEEDS, st.floats(15.0, 60.0), st.integers(1, 2))
def test_leave_during_a_cut_is_known_soon_after_it_heals(seed, duration, size):
    """Guards against two sides that take seconds to notice that they can reach each other."""
    fleet = Fleet(seed, vm_count=6)
    fleet.run_for(10.0)
    fleet.cut = frozenset(f"vm-{5 - i}" for i in range(size))
    fleet.targets[0].home = 0
    fleet.run_for(duration / 2)
    fleet.leave(fleet.targets[0])
    fleet.run_for(duration / 2)
    fleet.cut = frozenset()
    fleet.run_for(LEAVE_BOUND_S)
    for vm in fleet.vms:
        assert "t-0" not in usable_on(vm, fleet.now), vm.vm_id


@settings(max_examples=15)
@given(SEEDS, st.floats(4.0, 6.0))
def test_leave_is_known_soon_after_a_short_cut(seed, duration):
    """Guards against a VM that missed the push and its retries and waits for an exchange."""
    fleet = Fleet(seed)
    fleet.run_for(10.0)
    fleet.cut = frozenset({"vm-3"})
    fleet.targets[0].home = 0
    fleet.leave(fleet.targets[0])
    fleet.run_for(duration)
    for vm in fleet.vms:
        vm.registry.queue.discard("target/t-0")  # gossip has used up its retransmissions
    fleet.cut = frozenset()
    fleet.run_for(LEAVE_BOUND_S)
    assert "t-0" not in usable_on(fleet.vms[3], fleet.now)


@few
@given(SEEDS)
def test_targets_of_a_dead_home_are_usable_for_the_grace_time_only(seed):
    """Guards against losing targets with their home VM, and against using dead ones for long."""
    fleet = Fleet(seed)
    fleet.run_for(8.0)
    home = fleet.targets[0].home
    fleet.targets[0].running = False
    fleet.vms[home].core = None
    fleet.run_for(4.0)
    others = fleet.running()
    assert all("t-0" in usable_on(vm, fleet.now) for vm in others)
    fleet.run_for(20.0)
    assert not any("t-0" in usable_on(vm, fleet.now) for vm in others)


@few
@given(SEEDS)
def test_restarted_home_expires_targets_that_do_not_renew(seed):
    """Guards against a dead target that stays usable since its home VM lost the lease."""
    fleet = Fleet(seed)
    fleet.run_for(8.0)
    home = fleet.vms[fleet.targets[0].home]
    fleet.targets[0].running = False
    home.core = None
    fleet.run_for(0.5)
    fleet.start_vm(home, incarnation=2)
    fleet.run_for(20.0)
    assert not any("t-0" in usable_on(vm, fleet.now) for vm in fleet.vms)


def pushes_until_known(leaving, seed):
    """Let targets leave one by one within 0.2 s, each twice; return the pushes of all VMs."""
    fleet = Fleet(seed, vm_count=12, target_count=leaving)
    for target in fleet.targets:
        target.home = 0
    fleet.run_for(10.0)
    pushes = []
    probe = fleet.probe
    fleet.probe = lambda vm, action: (pushes.append(action.probe_id < 0), probe(vm, action))
    for _ in range(2):
        for target in fleet.targets:
            fleet.leave(target)
            fleet.run_for(0.1 / leaving)
    fleet.run_for(1.0)
    assert not any(usable_on(vm, fleet.now) for vm in fleet.vms)
    return sum(pushes)


@settings(max_examples=3)
@given(SEEDS)
def test_targets_that_leave_together_share_messages(seed):
    """Load pattern: a whole service leaves, and each target repeats its report."""
    other_vms = 11
    assert pushes_until_known(60, seed) < 60 * other_vms


@few
@given(SEEDS)
def test_vms_that_send_nothing_to_targets_take_no_share_of_their_budgets(seed):
    """Guards against budgets that shrink with each VM set aside for control."""
    fleet = Fleet(seed, vm_count=5, control_only=2)
    fleet.run_for(8.0)
    assert all(vm.core.budget_count(fleet.now) == 3 for vm in fleet.vms)
    assert all(len(vm.core.live_vms(fleet.now)) == 5 for vm in fleet.vms)


@few
@given(SEEDS)
def test_dead_vm_counts_for_budgets_and_is_then_forgotten_by_all(seed):
    """Guards against growing shares too early, and against dead records that never vanish."""
    fleet = Fleet(seed)
    fleet.run_for(8.0)
    fleet.vms[3].core = None
    fleet.run_for(25.0)
    others = fleet.running()
    assert all(vm.core.budget_count(fleet.now) == 4 for vm in others)
    assert all(len(vm.core.live_vms(fleet.now)) == 3 for vm in others)
    fleet.run_for(25.0)
    assert all(vm.core.budget_count(fleet.now) == 3 for vm in others)
    fleet.run_for(60.0)
    assert all(len(vm.core.all_vms()) == 3 for vm in others)


@few
@given(SEEDS, st.integers(4, 12))
def test_joining_vm_keeps_all_connections_within_the_limit(seed, limit):
    """Guards against VMs that use the places of one that joins before they know of it."""
    fleet = Fleet(seed)
    fleet.vms[3].core = None
    fleet.run_for(80.0)
    fleet.start_vm(fleet.vms[3], incarnation=2)
    for _ in range(150):
        fleet.run_for(TICK_S)
        shares = [min(2, vm.budget.share(limit, fleet.now)) for vm in fleet.vms]
        assert sum(shares) <= limit


@few
@given(SEEDS)
def test_many_changes_travel_in_bounded_messages(seed):
    """Guards against messages that grow with the number of changes; `Fleet.call` checks sizes."""
    fleet = Fleet(seed, vm_count=3, target_count=40)
    fleet.run_for(4.0)
    fleet.vms[2].core = None
    fleet.run_for(4.0)
    fleet.start_vm(fleet.vms[2], incarnation=2)
    while not fleet.vms[2].core.joined:
        fleet.run_for(TICK_S)
    assert len(usable_on(fleet.vms[2], fleet.now)) == 40, "it joins with all records"
    fleet.run_for(10.0)
    assert all(len(usable_on(vm, fleet.now)) == 40 for vm in fleet.vms)


RECORDS = st.builds(
    target_pb2.TargetRecord,
    target_id=st.just("t"),
    incarnation=st.integers(1, 2),
    sequence=st.integers(1, 2),
    state=st.sampled_from([1, 2, 3, 4]),
    service=st.just("s"),
    home_vm=st.sampled_from(["a", "b"]),
    port=st.integers(1, 2),
)


@given(st.lists(RECORDS, min_size=1, max_size=8), SEEDS)
def test_records_merge_to_the_same_in_any_order(records, seed):
    """Guards against VMs that disagree for good since they heard of changes in another order."""
    shuffled = [*records, *records]
    Random(seed).shuffle(shuffled)
    first, second = (TargetRegistry.from_config(CFG, "vm", 0.0) for _ in range(2))
    first.merge(records, 1.0)
    second.merge(shuffled, 1.0)
    assert first.get("t") == second.get("t")
    assert first.get("t").incarnation == max(r.incarnation for r in records)


VM_RECORDS = st.builds(
    peer_pb2.VmRecord,
    vm_id=st.just("x"),
    incarnation=st.integers(1, 2),
    state=st.integers(1, 3),
    port=st.integers(1, 3),
)


@given(st.lists(VM_RECORDS, min_size=1, max_size=8), SEEDS)
def test_vm_records_merge_to_the_same_in_any_order(records, seed):
    """Guards against VMs that keep different addresses of the same VM for good."""
    shuffled = [*records, *records]
    Random(seed).shuffle(shuffled)
    tables = [VmTable(CFG, peer_pb2.VmRecord(vm_id="me")) for _ in range(2)]
    for table, order in zip(tables, (records, shuffled), strict=True):
        for record in order:
            table.merge(record, 1.0)
    assert tables[0].get("x") == tables[1].get("x") == max(records, key=vm_key)


def announcement(**fields):
    record = target_pb2.TargetRecord(
        target_id="t", incarnation=1, sequence=1, state=SERVING, service="s", host="h", port=1
    )
    record.MergeFrom(target_pb2.TargetRecord(**fields))
    return target_pb2.AnnounceRequest(record=record)


def test_only_changes_travel_and_a_left_target_cannot_announce():
    """Guards against gossip for each renewal, and against a renewal that undoes a leave."""
    registry = TargetRegistry.from_config(CFG, "vm", 0.0)
    assert registry.announce(announcement(), 0.0)[1]
    assert registry.announce(announcement(sequence=2), 2.0)[1] == []
    assert registry.announce(announcement(sequence=1, port=9), 2.5)[1] == [], "late"
    assert registry.announce(announcement(sequence=3, port=2), 4.0)[1]
    left = registry.leave(target_pb2.LeaveRequest(target_id="t", incarnation=1), 5.0)
    assert any(isinstance(action, PushRecords) for action in left)
    with pytest.raises(InvalidRequest):
        registry.announce(announcement(sequence=9), 6.0)
    assert registry.usable("s", 6.0) == []
    registry.announce(announcement(incarnation=2), 7.0)
    assert len(registry.usable("s", 7.0)) == 1
    registry.leave(target_pb2.LeaveRequest(target_id="t", incarnation=1), 8.0)
    assert len(registry.usable("s", 8.0)) == 1, "a late leave of an earlier incarnation"
    with pytest.raises(InvalidRequest):
        registry.announce(announcement(incarnation=0, sequence=9, state=2, service=""), 9.0)


def test_all_vms_forget_a_left_target_at_the_same_time():
    """Guards against records that VMs hand to each other forever, each with a new age."""
    registries = [TargetRegistry.from_config(CFG, f"vm-{i}", 0.0) for i in range(2)]
    first, second = registries
    first.announce(announcement(), 0.0)
    first.leave(target_pb2.LeaveRequest(target_id="t", incarnation=1), 0.0)
    late = CFG.leaving_retention_s - 10.5
    second.merge([first.outgoing("t", late)], late)
    assert second.get("t") is not None
    for now in (late + 11.0, late + 11.5):
        for registry, other in ((first, second), (second, first)):
            registry.tick(now)
            if (record := registry.outgoing("t", now)) is not None:
                other.merge([record], now)
    assert [registry.get("t") for registry in registries] == [None, None]


def test_dumps_name_states_and_survive_unknown_ones():
    """Guards against a dump that a record of a newer version breaks."""
    names = [state_name(peer_pb2.VmRecord(state=1)), state_name(target_pb2.TargetRecord(state=4))]
    assert names == ["alive", "leaving"]
    assert state_name(target_pb2.TargetRecord(state=99)) == "99"


def test_a_target_that_said_that_it_leaves_stays_gone_in_its_incarnation():
    """Guards against an older report, or a VM that has not heard, that brings it back."""
    registry, other = (TargetRegistry.from_config(CFG, vm, 0.0) for vm in ("vm", "other"))
    registry.announce(announcement(sequence=4), 0.0)
    other.announce(announcement(sequence=4), 0.0)
    assert registry.mark_leaving("t", 2, 1.0) == [] == registry.mark_leaving("u", 1, 1.0)
    actions = registry.mark_leaving("t", 1, 1.0)
    assert [a.fanout for a in actions if isinstance(a, PushRecords)], "a few VMs are told"
    assert registry.mark_leaving("t", 1, 1.1) == [], "they are told once"
    other.announce(announcement(sequence=9), 2.0)
    registry.merge([other.outgoing("t", 2.0)], 2.0)
    with pytest.raises(InvalidRequest):
        registry.announce(announcement(sequence=10), 3.0)
    assert registry.usable("s", 3.0) == []
    other.merge([registry.outgoing("t", 3.0)], 3.0)
    assert other.usable("s", 3.0) == [], "the VM that had not heard hears it"
    registry.announce(announcement(incarnation=2), 4.0)
    assert len(registry.usable("s", 4.0)) == 1, "a new incarnation is free of it"
