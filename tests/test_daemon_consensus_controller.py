"""Consensus controller: failing subscribers, claim floors, resent bootstraps and proposals."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from bramleycrank.consensus import Role
from bramleycrank.daemon import claim_floors
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.identity import Identity
from bramleycrank.exceptions import ProposalOutcomeUnknown, StorageError
from bramleycrank.proto import log_pb2


def make_controller():
    identity = Identity(vm_id="own", domain="a", host="127.0.0.1", port=1)
    directory = SimpleNamespace(leader_address=str)
    return ConsensusController(identity, directory, None, random.Random(1))


def test_failing_subscriber_does_not_stop_the_raft_node():
    # The runner treats an exception during the execution of actions as a failure of the Raft node.
    controller, notified = make_controller(), []

    def fail():
        raise ValueError("subscriber")

    controller.subscribe(fail)
    controller.subscribe(lambda: notified.append(1))
    controller.on_applied()
    assert notified == [1]


def test_floor_of_claims_is_proposed_again_after_a_failure(monkeypatch):
    # Without further proposals of a claim floor, all later claims stay in memory.
    monkeypatch.setattr(claim_floors, "FLOOR_PERIOD_S", 0.01)
    calls = []

    def floor_proposal(now_ms):
        calls.append(now_ms)
        raise ValueError("floor")

    async def body():
        controller = make_controller()
        state = SimpleNamespace(floor_proposal=floor_proposal)
        node = SimpleNamespace(membership=log_pb2.Membership(members=[log_pb2.Member()]))
        controller._log_host.runner = SimpleNamespace(node=node, failure=None, state=state)
        task = asyncio.ensure_future(controller._floor_proposer._run())
        async with asyncio.timeout(2):
            while len(calls) < 2 and not task.done():
                await asyncio.sleep(0.01)
        assert not task.done()
        task.cancel()

    asyncio.run(body())


def test_resent_bootstrap_is_refused_by_a_stopped_raft_node():
    # The disk failed after the node had set its members in memory, so it treated the resend
    # as already completed.
    def bootstrap(membership):
        raise StorageError("no space left")

    controller = make_controller()
    membership = log_pb2.Membership(cluster_id="c")
    controller._log_host.runner = SimpleNamespace(
        node=SimpleNamespace(membership=membership), failure=OSError(), bootstrap=bootstrap
    )
    with pytest.raises(StorageError):
        controller.on_bootstrap(membership)


def test_timeout_of_one_caller_does_not_cancel_a_resent_proposal():
    # A resent proposal shares the future of the first attempt. The timeout of the first attempt
    # cancelled the future, and the resend failed with an untyped error.
    async def body():
        result = asyncio.get_running_loop().create_future()
        controller = make_controller()
        controller._log_host.runner = SimpleNamespace(
            node=SimpleNamespace(role=Role.LEADER), failure=None, propose=lambda *_: result
        )
        first = asyncio.ensure_future(controller.propose_local("p", log_pb2.Command(), 0.05))
        resend = asyncio.ensure_future(controller.propose_local("p", log_pb2.Command(), 5.0))
        with pytest.raises(ProposalOutcomeUnknown):
            await first
        await asyncio.sleep(0.05)
        assert not resend.done()
        result.set_result(log_pb2.CommandResult(revision=7))
        assert (await resend).revision == 7

    asyncio.run(body())
