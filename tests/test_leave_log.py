"""Leaves of targets: committed before their acknowledgement, and read before the first report."""

from __future__ import annotations

import asyncio

import pytest

from bramleycrank.daemon import leave_log
from bramleycrank.daemon.control_service import ControlService
from bramleycrank.daemon.leave_log import LeaveLog
from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.exceptions import InvalidRequest, NoQuorum, Refused
from bramleycrank.membership import MembershipConfig, PushRecords
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.proto import log_pb2, peer_pb2, target_pb2
from bramleycrank.state import LeaveTable, ReplicatedState, with_leaves
from bramleycrank.transport.peer_client import PeerClients

SERVING, LEAVING = target_pb2.TARGET_STATE_SERVING, target_pb2.TARGET_STATE_LEAVING


class FakeLog:
    """A replicated log that commits at once, or not at all."""

    has_log = True

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.applied_index = 0
        self.quorum = True
        self.commands: list[log_pb2.Command] = []

    def has_left(self, target_id: str, incarnation: int) -> bool:
        return self.state.leaves.covers(target_id, incarnation)

    async def propose(self, command: log_pb2.Command, timeout_s: float) -> log_pb2.CommandResult:
        self.commands.append(command)
        await asyncio.sleep(0.01)
        if not self.quorum:
            raise NoQuorum("no majority")
        data = command.SerializeToString()
        return self.state.apply(log_pb2.Entry(index=1, command=data))

    async def confirmed_index(self) -> int:
        if not self.quorum:
            raise NoQuorum("no majority")
        return 7


class Vm:
    """The registry of targets of a voter that has started."""

    def __init__(self) -> None:
        local = peer_pb2.VmRecord(vm_id="own", host="127.0.0.1", port=7000)
        self.log = FakeLog()
        self.leaves = LeaveLog(self.log, self.log.confirmed_index, NullMetrics())
        self.membership = MembershipController(MembershipConfig(), local, [], PeerClients())
        self.membership.core._joined = True
        self.membership.set_leave_log(self.leaves)
        self.control = ControlService(None, None, self.membership, None)
        self.leaves.start()

    @property
    def usable(self) -> set[str]:
        return {record.target_id for record in self.membership.targets("s")}

    async def report(self, target_id="t", incarnation=3, sequence=1, state=SERVING) -> None:
        record = target_pb2.TargetRecord(
            target_id=target_id,
            incarnation=incarnation,
            sequence=sequence,
            state=state,
            service="s",
            host="h",
            port=9000,
        )
        await self.membership.announce(target_pb2.AnnounceRequest(record=record))


def run(steps):
    async def body():
        vm = Vm()
        await asyncio.wait_for(steps(vm), 10)
        vm.leaves.stop()
        await vm.membership.stop()

    asyncio.run(body())


def leave(target_id="t", incarnation=3):
    return target_pb2.LeaveRequest(target_id=target_id, incarnation=incarnation)


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(leave_log, "COMMIT_WAIT_S", 0.1)
    monkeypatch.setattr("bramleycrank.daemon.target_calls.JOIN_WAIT_S", 0.1)


@pytest.mark.parametrize("by_report", [False, True])
def test_a_leave_without_a_quorum_is_obeyed_and_not_acknowledged(by_report):
    """Guards against a promise that a loss of all processes breaks, on each call of a target."""

    async def steps(vm):
        vm.log.applied_index = 7
        await vm.report()
        vm.log.quorum = False
        with pytest.raises(NoQuorum) as caught:
            if by_report:
                await vm.report(sequence=2, state=LEAVING)
            else:
                await vm.control.leave("t", 3)
        assert caught.value.retry_after_ms and vm.usable == set()
        vm.log.quorum = True
        await vm.control.leave("t", None)
        assert vm.log.has_left("t", 3)
        sent = len(vm.log.commands)
        await vm.membership.leave_target(leave())
        assert len(vm.log.commands) == sent, "a leave that is committed needs no further entry"

    run(steps)


def test_targets_that_leave_together_share_log_entries():
    """Load pattern: a release, all targets of a service leave at once."""

    async def steps(vm):
        await asyncio.gather(*(vm.membership.leave_target(leave(f"t-{n}")) for n in range(100)))
        assert len(vm.log.commands) <= 2 and len(vm.log.state.leaves) == 100

    run(steps)


def test_reports_wait_for_the_leaves_of_the_log_and_are_not_lost():
    """Guards against a late report that comes before the log, and against a slower return."""

    async def steps(vm):
        vm.log.state.leaves.record([log_pb2.TargetLeave(target_id="t", incarnation=3)])
        for target_id in ("t", "live"):
            with pytest.raises(Refused):
                await vm.report(target_id)
        assert vm.usable == set()
        vm.log.applied_index = 7
        await asyncio.sleep(0.1)
        assert vm.usable == {"live"}
        with pytest.raises(InvalidRequest):
            await vm.report(sequence=2)
        await vm.report(incarnation=4)
        assert vm.usable == {"live", "t"}, "a newer incarnation is served at once"

    run(steps)


def test_a_vm_without_a_quorum_takes_reports_after_a_while(monkeypatch):
    """Guards against the loss of all targets while a majority of the voters is down."""
    monkeypatch.setattr(leave_log, "CATCH_UP_LIMIT_S", 0.3)

    async def steps(vm):
        vm.log.quorum = False
        with pytest.raises(Refused):
            await vm.report()
        await asyncio.sleep(0.4)
        assert vm.usable == {"t"}

    run(steps)


def test_a_leave_from_the_log_reaches_gossip_and_corrects_other_vms():
    """Guards against a leave that ends with the VM that took it, or returns by an old record."""

    async def steps(vm):
        vm.log.applied_index = 7
        await vm.report()
        vm.log.state.leaves.record([log_pb2.TargetLeave(target_id="t", incarnation=3)])
        assert vm.leaves.unspread(10.0) == []
        [(target_id, incarnation)] = vm.leaves.unspread(10.0 + leave_log.SPREAD_CHECK_S)
        registry = vm.membership.registry
        actions = registry.spread_leave(target_id, incarnation, 10.5)
        assert any(isinstance(item, PushRecords) for item in actions) and vm.usable == set()
        assert registry.spread_leave(target_id, incarnation, 10.6) == []
        record = target_pb2.TargetRecord(target_id="u", incarnation=1, state=SERVING, home_vm="x")
        vm.log.state.leaves.record([log_pb2.TargetLeave(target_id="u", incarnation=1)])
        corrections = [a for a in registry.merge([record], 11.0) if isinstance(a, PushRecords)]
        assert [item.records[0].state for item in corrections] == [LEAVING]
        assert not corrections[0].fanout, "all VMs are told"

    run(steps)


def test_a_leave_that_names_no_incarnation_of_an_unknown_target_is_not_acknowledged():
    """Guards against an acknowledgement that nothing keeps."""

    async def steps(vm):
        with pytest.raises(Refused):
            await vm.control.leave("t", None)
        await vm.control.leave("t", 3)
        await vm.control.leave("t", None)

    run(steps)


def test_images_of_a_build_without_leaves_get_those_of_the_log():
    """Guards against a leader of the landed build whose snapshot takes the leaves away."""
    state, logged = ReplicatedState(), LeaveTable()
    state.leaves.record([log_pb2.TargetLeave(target_id="t", incarnation=3)])
    logged.record([log_pb2.TargetLeave(target_id="u", incarnation=1)])
    other = with_leaves(log_pb2.StateImage(claims_floor_ms=5).SerializeToString(), logged)
    completed = ReplicatedState.from_image(with_leaves(b"", logged, state.leaves))
    assert completed.leaves.covers("t", 3) and completed.leaves.covers("u", 1)
    assert ReplicatedState.from_image(other).claims.floor_ms == 5
    assert with_leaves(other, state.leaves) == other, "an image with leaves stays as it is"
    assert ReplicatedState.from_image(state.image()).image() == state.image()


def test_leaves_in_the_log_count_before_they_are_committed():
    """Guards against a start that forgets what the log has but no leader has confirmed."""
    leaves = log_pb2.TargetLeaves(leaves=[log_pb2.TargetLeave(target_id="t", incarnation=3)])
    commands = [log_pb2.Command(target_leaves=leaves), log_pb2.Command(claim_floor={})]
    entries = [log_pb2.Entry(index=1, noop=True)]
    entries += [log_pb2.Entry(command=command.SerializeToString()) for command in commands]
    table = LeaveTable.from_entries(entries)
    assert table.covers("t", 3) and not table.covers("t", 4) and table.incarnation_of("u") is None
