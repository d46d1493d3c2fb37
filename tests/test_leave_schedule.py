"""Seeded schedules of leaving targets and of losses of VMs, disks and links, in virtual time."""

from __future__ import annotations

import attrs
import pytest
from membership_fleet import CFG, LEAVE_BOUND_S, Fleet

from bramleycrank.daemon.leave_log import CATCH_UP_LIMIT_S, SPREAD_CHECK_S
from bramleycrank.membership import MembershipConfig
from bramleycrank.proto.log_pb2 import Command, Entry, TargetLeave, TargetLeaves
from bramleycrank.proto.target_pb2 import LeaveRequest
from bramleycrank.state import LeaveTable, ReplicatedState

VOTERS, ENTRIES, TARGETS = 3, 2, 6
COMPACT_ENTRIES = 4
SERVED_AGAIN_S = 12.0
"""Time after the last fault by which each live target is in service at each VM."""


def log_entry(target) -> Entry:
    """Return the log entry of a target's leave."""
    leave = TargetLeave(target_id=target.target_id, incarnation=target.incarnation)
    command = Command(target_leaves=TargetLeaves(leaves=[leave]))
    return Entry(index=1, term=1, command=command.SerializeToString())


@attrs.define
class Disk:
    """What a voter keeps: an image and the entries after it, not all of them committed."""

    image: bytes = b""
    entries: list[Entry] = attrs.field(factory=list)
    empty: bool = False

    def write(self, entry: Entry) -> None:
        self.entries.append(entry)
        if len(self.entries) > COMPACT_ENTRIES:
            self.image, self.entries = self.state().image(), []

    def state(self) -> ReplicatedState:
        state = ReplicatedState.from_image(self.image)
        for entry in self.entries:
            state.apply(entry)
        return state


class LeaveFleet(Fleet):
    """A fleet whose first VMs are voters: they take reports, and have a log with a quorum.

    A voter that was cut off or down gets the newest log from the others once it reaches a quorum.
    """

    def __init__(self, seed: int) -> None:
        self.disks = {f"vm-{n}": Disk() for n in range(VOTERS)}
        self.behind: set[str] = set()
        self.started_at: dict[str, float] = {}
        self.caught_up: set[str] = set()
        self.unchecked: list[tuple[float, str, int]] = []
        self.acknowledged: dict[tuple[str, int], float] = {}
        cfg = attrs.evolve(CFG, lease_s=6.0, leaving_retention_s=MembershipConfig().lease_s * 25)
        super().__init__(seed, VOTERS + ENTRIES, TARGETS, control_only=VOTERS, cfg=cfg)
        for target in self.targets:
            target.home %= VOTERS

    def start_vm(self, vm, incarnation):
        super().start_vm(vm, incarnation)
        self.started_at[vm.vm_id] = self.now
        self.caught_up.discard(vm.vm_id)
        disk = self.disks.get(vm.vm_id)
        if disk is not None:
            vm.registry.has_left = lambda i, n: disk.state().leaves.covers(i, n)

    def quorum(self, vm=None):
        """Return the voters that reach a majority of intact logs, or an empty list."""
        cut = vm is not None and vm.vm_id in self.partitioned
        voters = [
            item
            for item in self.running()
            if item.control_only
            and item.paused_until <= self.now
            and (item.vm_id in self.partitioned) == cut
        ]
        intact = [item for item in voters if not self.disks[item.vm_id].empty]
        return voters if len(intact) > VOTERS // 2 else []

    def tick(self, vm):
        super().tick(vm)
        if vm.core is None or vm.paused_until > self.now or not vm.control_only:
            return
        voters = self.quorum(vm)
        if vm in voters:
            self.catch_up(vm, voters)
            self.caught_up.add(vm.vm_id)
        elif self.now - self.started_at[vm.vm_id] > CATCH_UP_LIMIT_S:
            self.caught_up.add(vm.vm_id)
        for item in list(self.unchecked):
            if self.now - item[0] > SPREAD_CHECK_S and vm in voters:
                self.unchecked.remove(item)
                for voter in voters:
                    self.execute(voter, voter.registry.spread_leave(*item[1:], self.now))

    def catch_up(self, vm, voters) -> None:
        """Copy the image of a voter that has all committed entries."""
        if vm.vm_id not in self.behind:
            return
        source = next(item for item in voters if item.vm_id not in self.behind)
        disk = self.disks[vm.vm_id]
        disk.image, disk.entries = self.disks[source.vm_id].state().image(), []
        disk.empty = False
        self.behind.discard(vm.vm_id)

    def deliver_report(self, vm, request):
        if not vm.control_only or vm.vm_id not in self.caught_up:
            return False
        return super().deliver_report(vm, request)

    def leave(self, target):
        """Send a leave to the voters in turn until one acknowledges it."""
        target.left_at = self.now
        request = LeaveRequest(target_id=target.target_id, incarnation=target.incarnation)
        for vm in self.vms[:VOTERS]:
            if vm.core is None or vm.paused_until > self.now:
                continue
            self.execute(vm, vm.registry.leave(request, self.now))
            voters = self.quorum(vm)
            for voter in voters or [vm]:
                if voters:
                    self.catch_up(voter, voters)
                self.disks[voter.vm_id].write(log_entry(target))
            if voters:
                missed = {item.vm_id for item in self.vms[:VOTERS] if item not in voters}
                self.behind |= missed
                self.unchecked.append((self.now, target.target_id, target.incarnation))
                self.acknowledged[target.target_id, target.incarnation] = self.now
                return

    def kill(self, vm) -> None:
        vm.core = None
        self.mark_disturbed()

    def lose_disk(self, vm) -> None:
        """Lose the disk of a voter if the others hold all that was committed."""
        others = [item for item in self.vms[:VOTERS] if item is not vm]
        if any(item.vm_id in self.behind or self.disks[item.vm_id].empty for item in others):
            return
        self.kill(vm)
        self.disks[vm.vm_id] = Disk(empty=True)
        self.behind.add(vm.vm_id)

    def check(self) -> None:
        """Check that no VM uses a target later than the bound after its acknowledged leave."""
        if not self.calm or len(self.quorum()) < VOTERS:
            return
        started_at = max(self.started_at.values())
        for (target_id, incarnation), left_at in self.acknowledged.items():
            if self.now - max(left_at, self.calm_since, started_at) <= LEAVE_BOUND_S:
                continue
            for vm in self.running():
                used = {r.target_id: r.incarnation for r in vm.registry.usable("s", self.now)}
                assert used.get(target_id, incarnation + 1) > incarnation, (vm.vm_id, target_id)

    def late_reports(self, count: int) -> None:
        """Deliver old reports again, each one at two voters in a row."""
        for _, request in self.rng.sample(self.sent_reports, min(count, len(self.sent_reports))):
            for vm in self.rng.sample(self.vms[:VOTERS], 2):
                self.schedule(
                    self.rng.uniform(0, 3), lambda vm=vm, r=request: self.deliver_report(vm, r)
                )

    def disturb(self) -> None:
        """Apply one random event."""
        rng, voters = self.rng, self.vms[:VOTERS]
        match rng.choice(["leave"] * 4 + ["late"] * 3 + ["all"] * 2 + ["disk", "cut", "restart"]):
            case "leave":
                target = rng.choice(self.targets)
                if target.running and target.left_at is None:
                    self.leave(target)
                else:
                    self.start_target(target)
            case "late":
                self.late_reports(6)
            case "all":
                for vm in self.vms:
                    self.kill(vm)
                if rng.random() < 0.4:
                    self.lose_disk(rng.choice(voters))
                self.run_for(0.5)
                for vm in self.vms:
                    self.schedule(rng.uniform(0, 1.5), lambda vm=vm: self.restart(vm))
                self.run_for(1.6)
                self.late_reports(8)
            case "disk":
                self.lose_disk(rng.choice(voters))
            case "cut":
                self.partitioned = frozenset({rng.choice(self.vms).vm_id})
                self.mark_disturbed()
            case "restart":
                self.restore()

    def restart(self, vm) -> None:
        if vm.core is None:
            self.start_vm(vm, incarnation=int(self.now * 1000))
            self.mark_disturbed()

    def restore(self) -> None:
        """End all disturbances."""
        self.partitioned = frozenset()
        for vm in self.vms:
            self.restart(vm)
        self.mark_disturbed()


@pytest.mark.parametrize("seed", range(30))
def test_acknowledged_leaves_survive_losses_and_live_targets_are_served(seed):
    """Guards against leaves that are forgotten when processes, disks or links are lost."""
    fleet = LeaveFleet(seed)
    fleet.run_for(4.0)
    fleet.leave(fleet.targets[0])
    for _ in range(25):
        fleet.disturb()
        for _ in range(fleet.rng.randrange(12)):
            fleet.run_for(0.5)
            fleet.check()
    fleet.restore()
    for _ in range(int(SERVED_AGAIN_S * 2)):
        fleet.run_for(0.5)
        fleet.check()
    live = {t.target_id for t in fleet.targets if t.running and t.left_at is None}
    for vm in fleet.running():
        assert {r.target_id for r in vm.registry.usable("s", fleet.now)} >= live
    assert fleet.acknowledged


def test_the_table_of_leaves_stays_within_its_bounds(monkeypatch):
    """Guards against records that a release after another adds without end."""
    monkeypatch.setattr("bramleycrank.state.target_leaves.MAX_LEAVES", 50)
    monkeypatch.setattr("bramleycrank.state.target_leaves.MAX_LEAVES_BYTES", 1200)
    table = LeaveTable()
    for number in range(500):
        table.record([TargetLeave(target_id=f"t-{number % 300}", incarnation=number)])
        table.record([TargetLeave(target_id="", incarnation=1)])
    assert len(table) <= 50 and len(table.message().SerializeToString()) <= 1200
    assert table.covers("t-199", 499) and not table.covers("t-199", 500)
    assert not table.covers("t-100", 100), "the oldest are dropped first"
    assert [i for i, _ in table.newest(2)] == ["t-199", "t-198"]
    assert LeaveTable.from_message(table.message()).message() == table.message()
