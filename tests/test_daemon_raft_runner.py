"""Raft runner: order of actions, group commit, disk failures and results of proposals."""

import asyncio
from types import SimpleNamespace

import pytest

from bramleycrank.consensus import types
from bramleycrank.daemon.raft_runner import COMPACT_ENTRIES, RaftRunner
from bramleycrank.exceptions import NoQuorum, ProposalOutcomeUnknown, StorageError
from bramleycrank.observability.metrics import NullMetrics
from bramleycrank.proto import log_pb2
from bramleycrank.state import ReplicatedState

SEND = types.Send(log_pb2.ConsensusMessage(recipient="x"))
PERSIST = types.Persist(entries=(log_pb2.Entry(index=1),))


class RunnerFixture:
    """A runner with a fake Raft node that returns `actions`; `trace` lists executed actions."""

    def __init__(self):
        self.trace = []
        self.disk_fails = False
        self.batches = []
        self.actions = [PERSIST, SEND]
        self.compacted = []
        self.node = SimpleNamespace(
            propose=self.propose,
            receive=lambda msg, now: self.actions,
            next_deadline=lambda: asyncio.get_running_loop().time() + 60,
            compact=self.compact,
            needs_compaction=False,
            dump=dict,
        )
        self.store = SimpleNamespace(persist=self.persist, dump=dict)
        self.links = SimpleNamespace(
            send=lambda message: self.trace.append("send"), dump=lambda now: {}
        )
        self.listener = SimpleNamespace(on_applied=lambda: None, on_role=lambda: None)
        self.runner = RaftRunner(
            self.node, self.store, ReplicatedState(), self.links, self.listener, NullMetrics()
        )

    def propose(self, batch, now):
        self.batches.append([proposal.proposal_id for proposal in batch])
        return self.actions

    def persist(self, action):
        if self.disk_fails:
            raise OSError("no space left")
        self.trace.append("persist")

    def compact(self, index, image):
        self.compacted.append(index)
        return []


def run(scenario):
    async def body():
        await scenario(RunnerFixture())

    asyncio.run(body())


async def run_iterations():
    for _ in range(3):
        await asyncio.sleep(0)


def test_proposals_of_one_loop_iteration_share_one_sync_before_messages_are_sent():
    async def scenario(fixture):
        futures = [fixture.runner.propose(name, log_pb2.Command()) for name in "abc"]
        await run_iterations()
        assert fixture.batches == [["a", "b", "c"]]
        assert fixture.trace == ["persist", "send"]
        assert not any(future.done() for future in futures)

    run(scenario)


def test_resent_proposal_shares_the_future_of_the_first():
    async def scenario(fixture):
        first = fixture.runner.propose("a", log_pb2.Command())
        assert fixture.runner.propose("a", log_pb2.Command()) is first
        await run_iterations()
        assert fixture.batches == [["a"]]

    run(scenario)


def test_disk_failure_stops_the_node_before_it_sends_a_message():
    # A vote or an acknowledgement that is sent before it is durable can lose a committed entry.
    async def scenario(fixture):
        fixture.disk_fails = True
        waiting = fixture.runner.propose("a", log_pb2.Command())
        await run_iterations()
        assert fixture.trace == []
        with pytest.raises(ProposalOutcomeUnknown, match="no space left"):
            await waiting
        fixture.disk_fails = False
        fixture.runner.receive(log_pb2.ConsensusMessage())
        with pytest.raises(NoQuorum):
            await fixture.runner.propose("b", log_pb2.Command())
        await run_iterations()
        assert fixture.trace == [] and "no space left" in fixture.runner.dump()["failure"]

    run(scenario)


def test_bootstrap_that_is_not_durable_is_not_acknowledged():
    # Otherwise the operator counts the VM as a voter, which does not know the cluster after a
    # restart.
    async def scenario(fixture):
        fixture.disk_fails = True
        fixture.node.bootstrap = lambda membership, now: [PERSIST]
        for _ in range(2):
            with pytest.raises(StorageError, match="no space left"):
                fixture.runner.bootstrap(log_pb2.Membership())

    run(scenario)


def test_each_outcome_resolves_the_proposal_with_its_id():
    async def scenario(fixture):
        futures = {name: fixture.runner.propose(name, log_pb2.Command()) for name in "abc"}
        entry = log_pb2.Entry(index=1, proposal_id="a", command=b"")
        fixture.actions = [
            types.Apply((entry,)),
            types.ProposalRejected("b", NoQuorum()),
            types.ProposalUnresolved("c"),
        ]
        await run_iterations()
        assert (await futures["a"]).code == log_pb2.RESULT_CODE_INVALID  # The command is empty.
        with pytest.raises(NoQuorum):
            await futures["b"]
        with pytest.raises(ProposalOutcomeUnknown):
            await futures["c"]

    run(scenario)


def test_log_is_compacted_every_thousand_entries():
    async def scenario(fixture):
        entries = [log_pb2.Entry(index=n + 1) for n in range(COMPACT_ENTRIES)]
        fixture.actions = [types.Apply(tuple(entries[:-1]))]
        fixture.runner.receive(log_pb2.ConsensusMessage())
        await run_iterations()
        assert fixture.compacted == []
        fixture.actions = [types.Apply(tuple(entries[-1:]))]
        fixture.runner.receive(log_pb2.ConsensusMessage())
        await run_iterations()
        assert fixture.compacted == [COMPACT_ENTRIES]

    run(scenario)


def test_closing_fails_pending_proposals_with_outcome_unknown():
    async def scenario(fixture):
        waiting = fixture.runner.propose("a", log_pb2.Command())
        fixture.runner.close()
        with pytest.raises(ProposalOutcomeUnknown):
            await waiting

    run(scenario)


def test_an_image_of_a_build_without_leaves_is_completed_before_it_is_stored():
    """Guards against a landed leader whose snapshot takes the leaves of targets away."""

    async def scenario(fixture):
        leave = log_pb2.TargetLeave(target_id="t", incarnation=3)
        fixture.runner.state.leaves.record([leave])
        received = []
        fixture.node.receive = lambda message, now: received.append(message) or []
        message = log_pb2.ConsensusMessage()
        message.install_snapshot.snapshot.index = 9
        fixture.runner.receive(message)
        await asyncio.sleep(0.01)
        image = received[0].install_snapshot.snapshot.image
        assert ReplicatedState.from_image(image).leaves.covers("t", 3)

    run(scenario)
