"""Tests of consensus links: message order, queue limits and independence of peers."""

import asyncio

from grpclib.server import Server

from bramleycrank.consensus.bounds import LARGE_BYTES
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.proto.peer_grpc import PeerBase
from bramleycrank.transport import consensus_links
from bramleycrank.transport.consensus_links import ConsensusLinks
from bramleycrank.transport.grpc_errors import unary

ELECTION_TIMEOUT_S = 0.6
"""Shortest time without a heartbeat after which a follower starts an election, in seconds."""


class Peer(PeerBase):
    """Receives consensus messages; does not reply while `frozen` is set.

    While `slow` is set, it does not reply to large ones.
    """

    def __init__(self):
        self.terms = []
        self.frozen = self.slow = False

    @unary
    async def Consensus(self, request):  # noqa: N802
        while self.frozen or (self.slow and request.ByteSize() >= LARGE_BYTES):
            await asyncio.sleep(0.01)
        self.terms.append(request.term)
        return peer_pb2.Ack()

    Probe = Sync = FetchConfig = Propose = Identity = Bootstrap = Join = Grant = Consensus


def message(recipient, term):
    return log_pb2.ConsensusMessage(recipient=recipient, term=term)


async def wait_until(condition, timeout_s=5.0):
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def run(scenario, names=("a", "b"), max_large_bytes=7 * LARGE_BYTES):
    async def body():
        peers, servers, addresses = {}, [], {}
        for name in names:
            peers[name] = Peer()
            server = Server([peers[name]])
            await server.start("127.0.0.1", 0)
            servers.append(server)
            addresses[name] = f"127.0.0.1:{server._server.sockets[0].getsockname()[1]}"
        links = ConsensusLinks(addresses.get, max_large_bytes=max_large_bytes)
        try:
            await scenario(links, peers)
        finally:
            links.close()
            for server in servers:
                server.close()

    asyncio.run(body())


def test_messages_arrive_in_order():
    async def scenario(links, peers):
        for term in range(50):
            links.send(message("a", term))
        await wait_until(lambda: len(peers["a"].terms) == 50)
        assert peers["a"].terms == list(range(50))

    run(scenario)


def test_queue_of_a_silent_peer_is_bounded_and_delays_no_other_peer():
    async def scenario(links, peers):
        peers["a"].frozen = True
        for term in range(1000):
            links.send(message("a", term))
        links.send(message("b", 1))
        await wait_until(lambda: peers["b"].terms == [1], 0.3)
        state = links.dump(asyncio.get_running_loop().time())["a"]
        assert state["queued"] <= consensus_links.QUEUE_LIMIT
        assert state["dropped"] >= 1000 - consensus_links.QUEUE_LIMIT - 1

    run(scenario)


def test_old_messages_are_dropped_when_the_peer_replies_again(monkeypatch):
    # A burst of old heartbeats would only delay newer messages.
    monkeypatch.setattr(consensus_links, "MAX_AGE_S", 0.2)
    monkeypatch.setattr(consensus_links, "SEND_TIMEOUT_S", 0.3)

    async def scenario(links, peers):
        peers["a"].frozen = True
        for term in range(10):
            links.send(message("a", term))
        now = asyncio.get_running_loop().time
        sent = consensus_links.MAX_IN_FLIGHT
        await wait_until(lambda: links.dump(now())["a"]["dropped"] == 10 - sent)
        peers["a"].frozen = False
        links.send(message("a", 99))
        await wait_until(lambda: 99 in peers["a"].terms)
        assert set(peers["a"].terms) <= {*range(sent), 99}

    run(scenario)


def large_message(recipient, term):
    entry = log_pb2.Entry(command=b"x" * 2 * LARGE_BYTES)
    append = log_pb2.AppendRequest(entries=[entry])
    return log_pb2.ConsensusMessage(recipient=recipient, term=term, append_request=append)


def test_large_messages_to_a_silent_peer_are_bounded_in_bytes():
    """Guards against copies of large messages that wait for a peer or outlive a timeout."""

    async def scenario(links, peers):
        peers["a"].frozen = True
        for term in range(40):
            links.send(large_message("a", term))
            await asyncio.sleep(0.002)
            queued, in_flight = links.held_bytes()
            assert max(queued["a",], in_flight["a",]) <= 7 * LARGE_BYTES
        peers["a"].frozen = False
        links.send(message("a", 99))
        await wait_until(lambda: 99 in peers["a"].terms)
        await wait_until(lambda: links.held_bytes() == ({("a",): 0}, {("a",): 0}))
        assert 0 in peers["a"].terms

    run(scenario)


def test_heartbeats_pass_large_messages_that_a_peer_does_not_answer():
    """Guards against elections because large messages take all calls to a busy peer."""

    async def scenario(links, peers):
        peers["a"].slow = True
        for term in range(6):
            links.send(large_message("a", term))
        await asyncio.sleep(0.05)
        links.send(message("a", 99))
        await wait_until(lambda: 99 in peers["a"].terms, ELECTION_TIMEOUT_S)
        assert peers["a"].terms == [99]

    run(scenario, max_large_bytes=32 * LARGE_BYTES)


def test_unknown_address_is_reported():
    async def scenario(links, peers):
        links.send(message("nobody", 1))
        now = asyncio.get_running_loop().time
        await wait_until(lambda: links.dump(now())["nobody"]["last_error"] == "address unknown")

    run(scenario)
