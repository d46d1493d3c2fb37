"""Tests of typed errors across remote procedure calls, with a real server on loopback."""

import asyncio
from types import SimpleNamespace

import pytest
from grpclib.server import Server

from bramleycrank import exceptions
from bramleycrank.exceptions import Outcome
from bramleycrank.proto import peer_pb2
from bramleycrank.proto.peer_grpc import PeerBase
from bramleycrank.transport.grpc_errors import call, unary
from bramleycrank.transport.peer_client import PeerClients


class FailingPeer(PeerBase):
    """Peer whose `Identity` method raises the error that the test sets."""

    def __init__(self):
        self.error = None
        self.delay_s = 0.0

    @unary
    async def Identity(self, request):  # noqa: N802
        await asyncio.sleep(self.delay_s)
        if self.error is not None:
            raise self.error
        return peer_pb2.IdentityReply(vm_id="vm-1")

    Probe = Sync = FetchConfig = Propose = Consensus = Bootstrap = Join = Grant = Identity


async def start_peer():
    """Start a server and return it with its service, its address and a client."""
    peer = FailingPeer()
    server = Server([peer])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    return server, peer, f"127.0.0.1:{port}", PeerClients()


def every_error():
    types = {**exceptions.error_types(), 900: exceptions.InternalError}
    for cls in types.values():
        if cls is exceptions.NotLeader:
            yield cls("not the leader", leader_address="10.0.0.1:7070")
        elif cls is exceptions.VersionConflict:
            yield cls("other version", current_version=17)
        elif cls is exceptions.InvalidSettings:
            yield cls(["vm.id is missing", "listen.grpc: bad port"])
        else:
            yield cls("größer, 100% of\nit", outcome=Outcome.NOT_RUN, retry_after_ms=250)


def test_every_error_arrives_with_its_type_and_fields():
    """Guards against an error that loses its type, outcome or retry-after between VMs."""

    async def scenario():
        server, peer, address, clients = await start_peer()
        for error in every_error():
            peer.error = error
            with pytest.raises(type(error)) as caught:
                await clients.stub(address).Identity(peer_pb2.IdentityRequest())
            assert type(caught.value) is type(error)
            assert vars(caught.value) == vars(error)
        clients.close()
        server.close()
        await server.wait_closed()

    asyncio.run(scenario())


def test_unknown_exception_becomes_internal_error(caplog):
    """Guards against an unexpected exception that the server does not log."""

    async def scenario():
        server, peer, address, clients = await start_peer()
        peer.error = ZeroDivisionError("x")
        with pytest.raises(exceptions.InternalError):
            await clients.stub(address).Identity(peer_pb2.IdentityRequest())
        clients.close()
        server.close()
        await server.wait_closed()

    asyncio.run(scenario())
    assert "ZeroDivisionError" in caplog.text


def test_peer_with_an_ipv6_address_is_reachable():
    """Guards against VMs whose settings are valid but that cannot connect to each other."""

    async def scenario():
        server = Server([FailingPeer()])
        await server.start("::1", 0)
        port = server._server.sockets[0].getsockname()[1]
        clients = PeerClients()
        reply = await clients.stub(f"[::1]:{port}").Identity(peer_pb2.IdentityRequest())
        assert reply.vm_id == "vm-1"
        clients.close()
        server.close()
        await server.wait_closed()

    asyncio.run(scenario())


def test_outcome_is_not_run_only_if_the_request_was_never_sent():
    """Guards against "not_run" for a request that was sent, and against calls that hang."""

    async def scenario():
        server, peer, address, clients = await start_peer()
        peer.delay_s = 5.0
        with pytest.raises(exceptions.PeerUnreachable) as caught:
            await clients.stub(address).Identity(peer_pb2.IdentityRequest(), timeout=0.1)
        assert caught.value.outcome is Outcome.UNKNOWN
        assert clients.dump() == {}, "the silent channel is replaced"
        peer.delay_s = 0.0
        await clients.stub(address).Identity(peer_pb2.IdentityRequest())
        clients.close()
        server.close()
        await server.wait_closed()
        clients = PeerClients()
        with pytest.raises(exceptions.PeerUnreachable) as caught:
            await clients.stub(address).Identity(peer_pb2.IdentityRequest())
        assert caught.value.outcome is Outcome.NOT_RUN
        clients.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "step, outcome",
    [
        ("send_request", Outcome.NOT_RUN),
        ("send_message", Outcome.UNKNOWN),
        ("recv_message", Outcome.UNKNOWN),
    ],
)
@pytest.mark.parametrize("error", [AttributeError, AssertionError])
def test_exceptions_inside_grpclib_become_typed_errors(step, outcome, error):
    """Guards against a proposal or the completion of a claim that is not retried.

    grpclib raises these errors if a connection closes during a call, as when a leader restarts.
    """

    class Stream:
        trailing_metadata = None

        async def __aenter__(self):
            return self

        async def __aexit__(self, *_):
            return None

        def __getattr__(self, name):
            async def method(*_, **__):
                if name == step:
                    raise error("connection")

            return method

    method = SimpleNamespace(name="Propose", open=lambda timeout: Stream())
    with pytest.raises(exceptions.PeerUnreachable) as caught:
        asyncio.run(call(method, None, timeout_s=1.0))
    assert caught.value.outcome is outcome
