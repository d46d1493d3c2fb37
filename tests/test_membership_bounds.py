"""Tests of single mechanisms of membership, each over many random schedules."""

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
few_examples = settings(max_examples=8)


def usable_on(vm, now):
    return {record.target_id for record in vm.registry.usable("s", now)}


@few_examples
@given(SEEDS)
def test_a_leaving_target_is_pushed_to_all_vms_immediately(seed):
    """Guards against a LEAVING record that spreads only by gossip or by an exchange."""
    fleet = Fleet(seed, vm_count=12)
    fleet.run_for(10.0)
    fleet.leave(fleet.targets[0])
    fleet.run_for(0.1)
    assert not any("t-0" in usable_on(vm, fleet.now) for vm in fleet.vms)


@few_examples
@given(SEEDS)
def test_changes_spread_by_gossip_alone(seed):
    """Guards against changes that spread only by push or by anti-entropy."""
    fleet = Fleet(seed, vm_count=8)
    fleet.run_for(6.0)
    fleet.sync = lambda vm, action: None
    fleet.targets[0].running = False
    fleet.start_target(fleet.targets[0])
    fleet.announce(fleet.targets[0], attempts=8)
    fleet.run_for(6.0)
    for vm in fleet.vms:
        assert vm.registry.get("t-0").incarnation == 2, vm.vm_id


@few_examples
@given(SEEDS)
def test_an_exchange_transfers_records_whose_gossip_was_lost(seed):
    """Guards against records that stay different after their gossip was lost."""
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
def test_a_leave_during_a_partition_is_known_soon_after_it_heals(seed, duration, size):
    """Guards against a healed partition that is detected only after seconds."""
    fleet = Fleet(seed, vm_count=6)
    fleet.run_for(10.0)
    fleet.partitioned = frozenset(f"vm-{5 - i}" for i in range(size))
    fleet.targets[0].home = 0
    fleet.run_for(duration / 2)
    fleet.leave(fleet.targets[0])
    fleet.run_for(duration / 2)
    fleet.partitioned = frozenset()
    fleet.run_for(LEAVE_BOUND_S)
    for vm in fleet.vms:
        assert "t-0" not in usable_on(vm, fleet.now), vm.vm_id


@settings(max_examples=15)
@given(SEEDS, st.floats(4.0, 6.0))
def test_a_leave_is_known_soon_after_a_short_partition(seed, duration):
    """Guards against a VM that misses a push and its retries and waits for the next exchange."""
    fleet = Fleet(seed)
    fleet.run_for(10.0)
    fleet.partitioned = frozenset({"vm-3"})
    fleet.targets[0].home = 0
    fleet.leave(fleet.targets[0])
    fleet.run_for(duration)
    for vm in fleet.vms:
        vm.registry.queue.discard("target/t-0")  # its transmissions by gossip are used up
    fleet.partitioned = frozenset()
    fleet.run_for(LEAVE_BOUND_S)
    assert "t-0" not in usable_on(fleet.vms[3], fleet.now)


@few_examples
@given(SEEDS)
def test_targets_of_a_dead_home_vm_are_usable_for_the_grace_time_only(seed):
    """Guards against losing targets with their home VM, and against using dead targets for long."""
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


@few_examples
@given(SEEDS)
def test_a_restarted_home_vm_expires_targets_that_do_not_renew(seed):
    """Guards against a dead target that stays usable because its home VM lost the lease."""
    fleet = Fleet(seed)
    fleet.run_for(8.0)
    home = fleet.vms[fleet.targets[0].home]
    fleet.targets[0].running = False
    home.core = None
    fleet.run_for(0.5)
    fleet.start_vm(home, incarnation=2)
    fleet.run_for(20.0)
    assert not any("t-0" in usable_on(vm, fleet.now) for vm in fleet.vms)


def count_pushes_of_leaving_targets(leaving, seed):
    """Let targets leave one by one within 0.2 s, each twice; return the number of pushes."""
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
    """Load pattern: all targets of a service leave, and each repeats its leave request."""
    other_vms = 11
    assert count_pushes_of_leaving_targets(60, seed) < 60 * other_vms


@few_examples
@given(SEEDS)
def test_control_only_vms_take_no_share_of_connection_budgets(seed):
    """Guards against budgets that shrink with each VM that is reserved for control."""
    fleet = Fleet(seed, vm_count=5, control_only=2)
    fleet.run_for(8.0)
    assert all(vm.core.budget_count(fleet.now) == 3 for vm in fleet.vms)
    assert all(len(vm.core.live_vms(fleet.now)) == 5 for vm in fleet.vms)


@few_examples
@given(SEEDS)
def test_a_dead_vm_counts_for_budgets_and_is_then_removed_by_all(seed):
    """Guards against shares that grow too early, and dead records that are never removed."""
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


@few_examples
@given(SEEDS, st.integers(4, 12))
def test_connections_stay_within_the_limit_while_a_vm_joins(seed, limit):
    """Guards against VMs that use the connections of a joining VM that is unknown to them."""
    fleet = Fleet(seed)
    fleet.vms[3].core = None
    fleet.run_for(80.0)
    fleet.start_vm(fleet.vms[3], incarnation=2)
    for _ in range(150):
        fleet.run_for(TICK_S)
        shares = [min(2, vm.budget.share(limit, fleet.now)) for vm in fleet.vms]
        assert sum(shares) <= limit


@few_examples
@given(SEEDS)
def test_many_changes_are_sent_in_messages_of_bounded_size(seed):
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
def test_target_records_merge_to_the_same_result_in_any_order(records, seed):
    """Guards against VMs that disagree permanently after changes in different orders."""
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
def test_vm_records_merge_to_the_same_result_in_any_order(records, seed):
    """Guards against VMs that permanently keep different addresses of the same VM."""
    shuffled = [*records, *records]
    Random(seed).shuffle(shuffled)
    tables = [VmTable(CFG, peer_pb2.VmRecord(vm_id="me")) for _ in range(2)]
    for table, order in zip(tables, (records, shuffled), strict=True):
        for record in order:
            table.merge(record, 1.0)
    assert tables[0].get("x") == tables[1].get("x") == max(records, key=vm_key)


def make_report(**fields):
    record = target_pb2.TargetRecord(
        target_id="t", incarnation=1, sequence=1, state=SERVING, service="s", host="h", port=1
    )
    record.MergeFrom(target_pb2.TargetRecord(**fields))
    return target_pb2.AnnounceRequest(record=record)


def test_only_changes_are_sent_and_a_target_that_left_cannot_renew():
    """Guards against gossip for each renewal, and against a renewal that reverts a leave."""
    registry = TargetRegistry.from_config(CFG, "vm", 0.0)
    assert registry.announce(make_report(), 0.0)[1]
    assert registry.announce(make_report(sequence=2), 2.0)[1] == []
    assert registry.announce(make_report(sequence=1, port=9), 2.5)[1] == [], "late"
    assert registry.announce(make_report(sequence=3, port=2), 4.0)[1]
    left = registry.leave(target_pb2.LeaveRequest(target_id="t", incarnation=1), 5.0)
    assert any(isinstance(action, PushRecords) for action in left)
    with pytest.raises(InvalidRequest):
        registry.announce(make_report(sequence=9), 6.0)
    assert registry.usable("s", 6.0) == []
    registry.announce(make_report(incarnation=2), 7.0)
    assert len(registry.usable("s", 7.0)) == 1
    registry.leave(target_pb2.LeaveRequest(target_id="t", incarnation=1), 8.0)
    assert len(registry.usable("s", 8.0)) == 1, "a late leave of an earlier incarnation"
    with pytest.raises(InvalidRequest):
        registry.announce(make_report(incarnation=0, sequence=9, state=2, service=""), 9.0)


def test_all_vms_remove_a_target_that_left_at_the_same_time():
    """Guards against records that VMs send to each other forever, each time with a new age."""
    registries = [TargetRegistry.from_config(CFG, f"vm-{i}", 0.0) for i in range(2)]
    first, second = registries
    first.announce(make_report(), 0.0)
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


def test_state_names_cover_unknown_states():
    """Guards against a dump that fails on a record of a newer version."""
    names = [state_name(peer_pb2.VmRecord(state=1)), state_name(target_pb2.TargetRecord(state=4))]
    assert names == ["alive", "leaving"]
    assert state_name(target_pb2.TargetRecord(state=99)) == "99"


def test_a_target_that_stated_in_a_reply_that_it_leaves_stays_unusable_in_its_incarnation():
    """Guards against an older report, or a VM without the LEAVING record, that reverts it."""
    registry, other = (TargetRegistry.from_config(CFG, vm, 0.0) for vm in ("vm", "other"))
    registry.announce(make_report(sequence=4), 0.0)
    other.announce(make_report(sequence=4), 0.0)
    assert registry.mark_leaving("t", 2, 1.0) == [] == registry.mark_leaving("u", 1, 1.0)
    actions = registry.mark_leaving("t", 1, 1.0)
    assert [a.fanout for a in actions if isinstance(a, PushRecords)], (
        "the record is pushed to a few VMs"
    )
    assert registry.mark_leaving("t", 1, 1.1) == [], "it is pushed once"
    other.announce(make_report(sequence=9), 2.0)
    registry.merge([other.outgoing("t", 2.0)], 2.0)
    with pytest.raises(InvalidRequest):
        registry.announce(make_report(sequence=10), 3.0)
    assert registry.usable("s", 3.0) == []
    other.merge([registry.outgoing("t", 3.0)], 3.0)
    assert other.usable("s", 3.0) == [], "the other VM receives the LEAVING record"
    registry.announce(make_report(incarnation=2), 4.0)
    assert len(registry.usable("s", 4.0)) == 1, "the leave does not apply to a new incarnation"
