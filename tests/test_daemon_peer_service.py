"""Calls of other VMs that must not be trusted or must not wait."""

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
    # Entries without an id, such as that of a new leader, would resolve it.
    with pytest.raises(InvalidRequest) as caught:
        call(SimpleNamespace(), "Propose", peer_pb2.ProposeRequest())
    assert caught.value.outcome is Outcome.NOT_RUN


def test_vm_that_does_not_lead_names_the_leader():
    async def propose_local(*_):
        raise NotLeader(leader_address="127.0.0.1:9")

    request = peer_pb2.ProposeRequest(proposal_id="p")
    with pytest.raises(NotLeader) as caught:
        call(SimpleNamespace(propose_local=propose_local), "Propose", request)
    assert caught.value.leader_address == "127.0.0.1:9"


def test_consensus_message_is_acknowledged_without_its_reply():
    taken = []
    message = log_pb2.ConsensusMessage(term=3)
    call(SimpleNamespace(on_message=taken.append), "Consensus", message)
    assert taken == [message]
