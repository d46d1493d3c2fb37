"""Waiting for the log as the leader: callers that share a proposal do not disturb each other."""

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


def member():
    identity = Identity(vm_id="own", domain="a", host="127.0.0.1", port=1)
    directory = SimpleNamespace(leader_address=str)
    return ConsensusController(identity, directory, None, random.Random(1))


def test_subscriber_that_fails_does_not_stop_the_core():
    # The runner takes an exception while it executes actions for a failure of the core.
    controller, told = member(), []

    def fail():
        raise ValueError("subscriber")

    controller.subscribe(fail)
    controller.subscribe(lambda: told.append(1))
    controller.on_applied()
    assert told == [1]


def test_floor_of_claims_is_proposed_again_after_a_failure(monkeypatch):
    # Without further proposals the claims of all coming days stay in memory.
    monkeypatch.setattr(claim_floors, "FLOOR_PERIOD_S", 0.01)
    calls = []

    def floor_proposal(now_ms):
        calls.append(now_ms)
        raise ValueError("floor")

    async def body():
        controller = member()
        state = SimpleNamespace(floor_proposal=floor_proposal)
        node = SimpleNamespace(membership=log_pb2.Membership(members=[log_pb2.Member()]))
        controller._host.runner = SimpleNamespace(node=node, failure=None, state=state)
        task = asyncio.ensure_future(controller._floors._run())
        async with asyncio.timeout(2):
            while len(calls) < 2 and not task.done():
                await asyncio.sleep(0.01)
        assert not task.done()
        task.cancel()

    asyncio.run(body())


def test_resent_bootstrap_is_refused_by_a_core_that_stopped():
    # The core had taken over the members when its disk failed, and took the resend for done.
    def bootstrap(membership):
        raise StorageError("no space left")

    controller = member()
    membership = log_pb2.Membership(cluster_id="c")
    controller._host.runner = SimpleNamespace(
        node=SimpleNamespace(membership=membership), failure=OSError(), bootstrap=bootstrap
    )
    with pytest.raises(StorageError):
        controller.on_bootstrap(membership)


def test_caller_that_gives_up_does_not_end_the_wait_of_a_resend():
    # A resend of a proposal shares the future of the first attempt. The time-out of the first one
    # cancelled it, and the resend ended without any typed error.
    async def body():
        result = asyncio.get_running_loop().create_future()
        controller = member()
        controller._host.runner = SimpleNamespace(
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
