"""Peer service: checks of proposals, redirects to the leader, consensus messages."""

import asyncio
from types import SimpleNamespace

import pytest
from grpclib.server import Server

from bramleycrank.exceptions import InvalidRequest, NotLeader, Outcome
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.transport.peer_client import PeerClients
from bramleycrank.transport.peer_service import PeerService


def call(consensus, method, request):
    async def body():
        server = Server([PeerService(None, None, consensus)])
        await server.start("127.0.0.1", 0)
        clients = PeerClients()
        try:
            port = server._server.sockets[0].getsockname()[1]
            return await getattr(clients.stub(f"127.0.0.1:{port}"), method)(request, timeout=1.0)
        finally:
            clients.close()
            server.close()

    return asyncio.run(body())


def test_proposal_without_an_id_is_refused():
    # An entry without an id, such as the first one of a new leader, would resolve the proposal.
    with pytest.raises(InvalidRequest) as exc_info:
        call(SimpleNamespace(), "Propose", peer_pb2.ProposeRequest())
    assert exc_info.value.outcome is Outcome.NOT_RUN


def test_vm_that_is_not_the_leader_returns_its_address():
    async def propose_local(*_):
        raise NotLeader(leader_address="127.0.0.1:9")

    request = peer_pb2.ProposeRequest(proposal_id="p")
    with pytest.raises(NotLeader) as exc_info:
        call(SimpleNamespace(propose_local=propose_local), "Propose", request)
    assert exc_info.value.leader_address == "127.0.0.1:9"


def test_consensus_message_is_acknowledged_without_waiting_for_a_reply():
    received = []
    message = log_pb2.ConsensusMessage(term=3)
    call(SimpleNamespace(on_message=received.append), "Consensus", message)
    assert received == [message]
