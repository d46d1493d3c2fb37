"""Tests which failed proposals are reported as not run and which as of unknown outcome."""

import asyncio
import random

import pytest

from bramleycrank.daemon import proposal_router
from bramleycrank.daemon.proposal_router import ProposalRouter
from bramleycrank.exceptions import (
    InternalError,
    NoQuorum,
    NotLeader,
    Outcome,
    PeerUnreachable,
    ProposalOutcomeUnknown,
)
from bramleycrank.proto import log_pb2, peer_pb2

OK = log_pb2.CommandResult(code=log_pb2.RESULT_CODE_OK, revision=7)
NOT_SENT = PeerUnreachable("refused", outcome=Outcome.NOT_RUN)
LOST = PeerUnreachable("reset")
FROZEN = object()
UNRESOLVED = ProposalOutcomeUnknown("leadership was lost")


class Cluster:
    """Replies to proposals from a script for each address; the last step of a script repeats."""

    def __init__(self, leader="", **script):
        self.leader = leader
        self.script = {name: list(steps) for name, steps in script.items()}
        self.calls = []

    def stub(self, address):
        self.address = address
        return self

    async def Propose(self, request, *, timeout):  # noqa: N802
        if self.script[self.address] == [FROZEN]:
            self.leader = "b"  # Elected while the call is open.
            await asyncio.sleep(timeout)
            raise LOST
        return peer_pb2.ProposeReply(result=self.step(self.address, request.proposal_id))

    async def local(self, proposal_id, command, timeout_s):
        return self.step("own", proposal_id)

    def step(self, address, proposal_id):
        self.calls.append((address, proposal_id))
        steps = self.script[address]
        step = steps.pop(0) if len(steps) > 1 else steps[0]
        if isinstance(step, Exception):
            raise step
        return step

    def propose(self, timeout_s=0.3, candidates=("a", "b")):
        async def body():
            router = ProposalRouter(
                "own",
                self.local,
                lambda: self.leader,
                lambda: list(candidates),
                self,
                random.Random(1),
            )
            return await router.propose(log_pb2.Command(), timeout_s)

        return asyncio.run(body())


def test_leader_on_this_vm_is_called_directly():
    cluster = Cluster("own", own=[OK])
    assert cluster.propose().revision == 7


def test_router_follows_a_leader_hint():
    cluster = Cluster("a", a=[NotLeader(leader_address="b")], b=[OK])
    assert cluster.propose().revision == 7
    assert [address for address, _ in cluster.calls] == ["a", "b"]


def test_vms_that_name_each_other_as_leader_are_not_called_without_delay():
    # Without a leader, each VM may still name the other one. All VMs with a proposal would call
    # both in a busy loop.
    a, b = NotLeader(leader_address="b"), NotLeader(leader_address="a")
    cluster = Cluster("a", a=[a], b=[b])
    with pytest.raises(NoQuorum):
        cluster.propose()
    assert 5 < len(cluster.calls) < 30


def test_retries_keep_the_proposal_id():
    # With another id, a second copy of a claim counts as a competing claim and could win.
    cluster = Cluster("a", a=[LOST, UNRESOLVED, NOT_SENT, OK])
    assert cluster.propose(1.0).revision == 7
    assert len({proposal_id for _, proposal_id in cluster.calls}) == 1


@pytest.mark.parametrize("error", [NOT_SENT, NotLeader(), NotLeader(leader_address="a")])
def test_command_that_reached_no_log_fails_with_no_quorum(error):
    with pytest.raises(NoQuorum) as caught:
        Cluster("a", a=[error]).propose()
    assert caught.value.outcome is Outcome.NOT_RUN


def test_proposal_without_any_known_vm_fails_with_no_quorum():
    with pytest.raises(NoQuorum):
        Cluster().propose(candidates=())


@pytest.mark.parametrize("error", [LOST, UNRESOLVED])
def test_command_that_may_be_in_a_log_has_unknown_outcome(error):
    # Later attempts that certainly reached no log do not settle the outcome of the first one.
    with pytest.raises(ProposalOutcomeUnknown):
        Cluster("a", a=[error, NOT_SENT]).propose()


def test_frozen_leader_leaves_time_for_the_next_leader(monkeypatch):
    monkeypatch.setattr(proposal_router, "ATTEMPT_TIMEOUT_S", 0.1)
    assert Cluster("a", a=[FROZEN], b=[OK]).propose(2.0).revision == 7


def test_other_errors_are_not_retried():
    cluster = Cluster("a", a=[InternalError("broken")])
    with pytest.raises(InternalError):
        cluster.propose()
    assert len(cluster.calls) == 1
