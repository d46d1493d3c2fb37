"""Stateful property test of several VMs of a group under faults of any kind."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from membership_fleet import LEAVE_BOUND_S, REPLAY_AGE_S, TICK_S, Fleet

from bramleycrank.proto import target_pb2


class FleetMachine(RuleBasedStateMachine):
    """Applies faults in any order."""

    @initialize(seed=st.integers(0, 2**32))
    def start_fleet(self, seed):
        self.fleet = Fleet(seed)
        self.fleet.run_for(8.0)

    @rule(duration=st.floats(0.05, 12.0))
    def advance(self, duration):
        self.fleet.run_for(duration)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        duplicates=st.sampled_from([0.0, 0.3]),
        latency_s=st.sampled_from([0.003, 0.3]),
    )
    def change_network(self, loss, duplicates, latency_s):
        fleet = self.fleet
        fleet.loss, fleet.duplicates, fleet.latency_s = loss, duplicates, latency_s
        fleet.mark_disturbed()

    @rule(members=st.sets(st.integers(0, 3), max_size=2))
    def partition(self, members):
        self.fleet.partitioned = frozenset(f"vm-{i}" for i in members)
        self.fleet.mark_disturbed()

    @rule(index=st.integers(0, 3), duration=st.floats(0.5, 20.0))
    def pause(self, index, duration):
        self.fleet.vms[index].paused_until = self.fleet.now + duration
        self.fleet.calm_since = self.fleet.now + duration

    @precondition(lambda self: len(self.fleet.running()) > 2)
    @rule(index=st.integers(0, 3))
    def kill(self, index):
        self.fleet.vms[index].core = None
        self.fleet.mark_disturbed()

    @rule(index=st.integers(0, 3), incarnation=st.sampled_from([1, 2, 50]))
    def restart(self, index, incarnation):
        """Start a VM again, sometimes with an incarnation that is not higher than before."""
        vm = self.fleet.vms[index]
        if vm.core is None:
            self.fleet.start_vm(vm, incarnation)
            self.fleet.mark_disturbed()

    @rule(index=st.integers(0, 2))
    def leave(self, index):
        target = self.fleet.targets[index]
        if target.running and target.left_at is None:
            self.fleet.leave(target)

    @rule(index=st.integers(0, 2), partitioned_index=st.integers(0, 3), delay=st.floats(0.0, 30.0))
    def leave_while_a_partitioned_vm_receives_late_reports(self, index, partitioned_index, delay):
        """Let a target leave on one side of a partition while the other gets its reports."""
        fleet = self.fleet
        target = fleet.targets[index]
        if not target.running or target.left_at is not None:
            return
        self.partition({partitioned_index})
        incarnation_key = (target.target_id, target.incarnation)
        reports = [
            r
            for _, r in fleet.sent_reports
            if (r.record.target_id, r.record.incarnation) == incarnation_key
        ]
        if not reports:
            return
        target.home = (partitioned_index + 1) % len(fleet.vms)
        fleet.leave(target)
        for sequence in range(1, 4):
            late = target_pb2.AnnounceRequest()
            late.CopyFrom(reports[-1])
            late.record.sequence += sequence
            late.record.port = 9000 + sequence
            fleet.deliver_report(fleet.vms[partitioned_index], late)
        fleet.run_for(delay)
        self.partition(set())
        fleet.run_for(LEAVE_BOUND_S + TICK_S)

    @rule(index=st.integers(0, 2))
    def stop_target(self, index):
        self.fleet.targets[index].running = False

    @rule(index=st.integers(0, 2))
    def start_target(self, index):
        target = self.fleet.targets[index]
        if not target.running or target.left_at is not None:
            self.fleet.start_target(target)

    @rule(index=st.integers(0, 3), data=st.data())
    def replay_report(self, index, data):
        """Deliver a report again, late and to any VM."""
        fleet = self.fleet
        recent = [r for at, r in fleet.sent_reports if fleet.now - at < REPLAY_AGE_S]
        if recent:
            fleet.deliver_report(fleet.vms[index], data.draw(st.sampled_from(recent[-40:])))

    @rule()
    def settle(self):
        self.fleet.settle()

    @invariant()
    def leaving_targets_are_not_used(self):
        if hasattr(self, "fleet"):
            self.fleet.check_leave_bound()

    def teardown(self):
        if hasattr(self, "fleet"):
            self.fleet.settle()


FleetMachine.TestCase.settings = settings(
    settings.default,
    max_examples=25 if settings.default.max_examples <= 100 else settings.default.max_examples,
    stateful_step_count=20,
)
TestFleet = FleetMachine.TestCase
