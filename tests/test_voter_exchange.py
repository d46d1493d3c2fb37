"""Simulated clusters whose leader exchanges voters, while VMs are replaced, killed and wiped."""

from __future__ import annotations

import os
import random

import attrs
import pytest
from consensus_cluster import Cluster, SimNode, put_service_command

from bramleycrank.consensus import Demote, Remove
from bramleycrank.daemon import voter_choice, voter_manager
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto import log_pb2 as pb

CATCH_UP_S = 4.0
"""Time after which a VM that is back or new counts no longer as lost, in seconds."""

REMOVED_AFTER_S = 2.0
"""Longest time between the start of a successor and the end of the VM that it succeeds."""

STEP_S = 0.02
SEEDS = range(int(os.environ.get("EXCHANGE_SEEDS", "25")))


@attrs.define(eq=False)
class Vm:
    """A core VM: its node, if it runs, and what its voter manager knows."""

    name: str
    domain: str
    node: SimNode
    recent: voter_choice.RecentMembers
    started_at: float
    disks: int = 1
    newcomers: dict[str, pb.Member] = attrs.field(factory=dict)
    pending: str = ""
    check_at: float = 0.0
    lost_until: float = 0.0


class ManagedCluster:
    """A simulated cluster in which each VM does what `VoterManager` does."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(size, seed)
        self.departed: set[str] = set()
        self.vms: list[Vm] = []
        for member in self.cluster.initial_membership.members:
            self._add(member.host, member.domain, self.cluster.nodes[member.node_id])
        self.changes = 0
        self.started = size

    def _add(self, name: str, domain: str, node: SimNode, *, forms_cluster: bool = True) -> Vm:
        recent = voter_choice.RecentMembers(forms_cluster, own_vm=name)
        self.vms.append(Vm(name, domain, node, recent, self.cluster.now))
        return self.vms[-1]

    def start_successor(self, removed: Vm) -> Vm:
        """Start a VM at a new address with an empty disk, mostly in the domain of another one."""
        name = f"vm{self.started}"
        self.started += 1
        others = sorted({vm.domain for vm in self.vms})
        domain = removed.domain if self.rng.random() < 0.7 else self.rng.choice(others)
        return self._add(name, domain, self.cluster.add(f"{name}/0"), forms_cluster=False)

    def stop(self, vm: Vm, *, announced: bool) -> None:
        """End a VM for good, as by SIGTERM or by a kill."""
        if announced:
            self.departed.add(vm.name)
            self.cluster.execute(vm.node, vm.node.raft.transfer_leadership(self.cluster.now))
            self.run(0.15)
        self.cluster.crash(vm.node)
        self.vms.remove(vm)

    def restart(self, vm: Vm, *, wiped: bool) -> None:
        if wiped:
            vm.node = self.cluster.add(f"{vm.name}/{vm.disks}")
            vm.disks += 1
        else:
            self.cluster.restart(vm.node)
        own_vm = vm.name if wiped else ""
        vm.recent, vm.newcomers = voter_choice.RecentMembers(False, own_vm), {}
        vm.started_at, vm.pending = self.cluster.now, ""

    def run(self, seconds: float) -> None:
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(STEP_S)
            for vm in self.vms:
                if vm.node.alive and self._is_due(vm):
                    self._check(vm)

    def _is_due(self, vm: Vm) -> bool:
        if vm.pending in self.cluster.outcomes:
            outcome = self.cluster.outcomes[vm.pending]
            vm.pending = ""
            vm.check_at = (
                self.cluster.now + voter_manager.CHECK_PERIOD_S
                if isinstance(outcome, BramleycrankError)
                else 0.0
            )
        return self.cluster.now >= vm.check_at and not (vm.pending and self._leads(vm))

    def _leads(self, vm: Vm) -> bool:
        return vm.node.raft.leader_id == vm.node.node_id

    def _check(self, vm: Vm) -> None:
        """Do what `VoterManager` does in each of its checks."""
        now, node = self.cluster.now, vm.node.raft
        vm.check_at = now + voter_manager.CHECK_PERIOD_S
        members = node.membership.members
        if members:
            vm.recent.update(members, now)
        if vm.node.node_id not in {m.node_id for m in members} or (
            not self._leads(vm) and now - node.heard_at > voter_manager.LEADER_SILENCE_S
        ):
            self._join(vm)
        elif self._leads(vm):
            self._change_members(vm)

    def _join(self, vm: Vm) -> None:
        leader = self.cluster.leader()
        if leader is not None:
            newcomer = pb.Member(node_id=vm.node.node_id, host=vm.name, domain=vm.domain)
            next(v for v in self.vms if v.node is leader).newcomers[vm.name] = newcomer

    def _change_members(self, vm: Vm) -> None:
        node, now = vm.node.raft, self.cluster.now
        ids = {m.node_id for m in node.membership.members}
        vm.newcomers = {k: m for k, m in vm.newcomers.items() if m.node_id not in ids}
        signals = voter_choice.MemberSignals(
            {i: now - at for i, at in node.members_last_reply_at.items()},
            vm.recent.ids(),
            node.unsynced_members,
            self.departed,
            CATCH_UP_S,
        )
        change = voter_choice.next_membership_change(
            node.membership.members, vm.node.node_id, signals, list(vm.newcomers.values())
        )
        if change in (Demote(vm.node.node_id), Remove(vm.node.node_id)):
            self.cluster.execute(vm.node, node.transfer_leadership(now))
        elif change is not None:
            self.changes += 1
            vm.pending = self.cluster.change(vm.node, change)

    def acknowledge(self, limit_s: float = 10.0) -> str:
        """Propose a command until one is acknowledged; return its id."""
        end, name = self.cluster.now + limit_s, f"s{next(self.cluster.ids)}"
        while self.cluster.now < end:
            leader = self.cluster.leader()
            if leader is not None:
                proposal = self.cluster.propose(leader, put_service_command(name, 0, name))
                for _ in range(50):
                    self.run(STEP_S)
                    if proposal in self.cluster.oracle.acknowledged:
                        return proposal
            self.run(0.1)
        raise AssertionError(f"no command is acknowledged within {limit_s} s")

    def check_kept(self, proposals: list[str]) -> None:
        """Check that a leader is elected that has applied all acknowledged commands."""
        self.acknowledge()
        leader = self.cluster.leader()
        indexes = [self.cluster.oracle.acknowledged[proposal][0] for proposal in proposals]
        assert max(indexes) <= leader.applied

    def wait_until_whole(self) -> None:
        """Wait until no VM counts as lost, and none that was removed."""
        self.run(max(0.0, *(vm.lost_until - self.cluster.now for vm in self.vms)))

    def replace(self) -> None:
        """Replace a VM as planned; it counts until its successor has caught up."""
        removed = self.rng.choice(self.vms)
        successor = self.start_successor(removed)
        successor.lost_until = self.cluster.now + CATCH_UP_S
        self.run(self.rng.uniform(0.0, REMOVED_AFTER_S))
        self.stop(removed, announced=self.rng.random() < 0.5)

    def lose(self, *, wiped: bool) -> None:
        """Kill a VM and start it again, with its disk or with an empty one."""
        vm = self.rng.choice([vm for vm in self.vms if vm.lost_until <= self.cluster.now])
        self.cluster.crash(vm.node)
        if wiped:
            self.cluster.nodes.pop(vm.node.node_id)
        self.run(self.rng.uniform(0.1, 6.0))
        self.restart(vm, wiped=wiped)
        vm.lost_until = self.cluster.now + CATCH_UP_S

    def freeze(self) -> None:
        """Cut a VM off from the others."""
        vm = self.rng.choice(self.vms)
        ids = set(self.cluster.nodes) - {vm.node.node_id}
        links = {(vm.node.node_id, i) for i in ids} | {(i, vm.node.node_id) for i in ids}
        self.cluster.partitioned_links = links
        self.run(self.rng.uniform(0.3, 6.0))
        self.cluster.partitioned_links = set()
        vm.lost_until = self.cluster.now + CATCH_UP_S


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", SEEDS)
def test_planned_replacements_and_one_loss_at_a_time_lose_no_change(seed, size):
    """Guards against a quorum that counts removed VMs when the next loss is allowed."""
    fleet = ManagedCluster(size, seed)
    fleet.cluster.max_delay_s = fleet.rng.choice((0.02, 0.1))
    fleet.run(5.0)
    acknowledged = [fleet.acknowledge()]
    for _ in range(12):
        fleet.wait_until_whole()
        acknowledged.append(fleet.acknowledge())
        event = fleet.rng.choice(("replace", "replace", "wipe", "kill", "freeze"))
        if event == "replace":
            fleet.replace()
        elif event == "freeze":
            fleet.freeze()
        else:
            fleet.lose(wiped=event == "wipe")
    fleet.wait_until_whole()
    fleet.check_kept(acknowledged)


@pytest.mark.parametrize("size", [3, 4, 5])
def test_a_rolling_restart_exchanges_no_voters(size):
    fleet = ManagedCluster(3, 7)
    for number in range(size - 3):
        node = fleet.cluster.add(f"spare{number}/0")
        fleet._add(f"spare{number}", f"d{number}", node)
    fleet.run(6.0)
    before = fleet.changes
    for vm in list(fleet.vms):
        fleet.cluster.crash(vm.node)
        fleet.departed.add(vm.name)
        fleet.run(1.5)
        fleet.restart(vm, wiped=False)
        fleet.run(2.0)
    assert fleet.changes == before
    fleet.acknowledge()
