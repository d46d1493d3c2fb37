"""A fleet of stand-in targets, a client session and a fake registry for the stand-in's tests."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from grpclib.client import Channel
from grpclib.server import Server

from bramleycrank.proto import target_pb2 as pb
from bramleycrank.proto.standin_grpc import StandInStub
from bramleycrank.proto.target_grpc import RegistryBase, TargetStub
from bramleycrank.standin.fleet import Fleet
from bramleycrank.standin.settings import StandInSettings
from bramleycrank.transport.grpc_errors import unary

HOST = "127.0.0.1"
SNAPSHOT = pb.Snapshot(version=1, shard_count=1)

# Generous, because CI machines can be busy.
WAIT_LIMIT_S = 10.0


@contextlib.asynccontextmanager
async def run_fleet(**sections):
    """Run a fleet; without settings it has one target."""
    started_fleet = Fleet(StandInSettings.from_dict(sections))
    await started_fleet.start()
    try:
        yield started_fleet
    finally:
        await started_fleet.close()


@contextlib.asynccontextmanager
async def connect_control(started_fleet):
    """Connect to the control service of a fleet."""
    host, _, port = started_fleet.control_address.rpartition(":")
    channel = Channel(host, int(port))
    try:
        yield StandInStub(channel)
    finally:
        channel.close()


class SessionClient:
    """One session with a target; replies are collected in the order of arrival."""

    def __init__(self, stream):
        self.stream = stream
        self.replies = []
        self.pongs = []
        self.loads = []
        self._next_sub_ids = iter(range(1, 1_000_000))

    async def send(self, count=1, **fields):
        """Send sub-requests in one message and return their ids."""
        defaults = {
            "service": "demo",
            "kind": "search",
            "snapshot": SNAPSHOT,
            "timeout_ms": 5000,
            "query": "bell",
            "limit": 3,
        }
        requests = [
            pb.SubRequest(sub_id=next(self._next_sub_ids), **{**defaults, **fields})
            for _ in range(count)
        ]
        await self.stream.send_message(pb.SessionRequest(requests=requests))
        return [request.sub_id for request in requests]

    async def ping(self, number):
        """Send a ping."""
        await self.stream.send_message(pb.SessionRequest(ping=number))

    async def cancel(self, *sub_ids):
        """Cancel sub-requests."""
        await self.stream.send_message(pb.SessionRequest(cancel_sub_ids=sub_ids))

    async def receive(self, condition, timeout_s=WAIT_LIMIT_S):
        """Read messages until the condition is true of this client."""
        async with asyncio.timeout(timeout_s):
            while not condition(self):
                message = await self.stream.recv_message()
                assert message is not None, "the target ended the session"
                self.replies += message.replies
                if message.pong:
                    self.pongs.append(message.pong)
                if message.HasField("load"):
                    self.loads.append(message.load)

    async def request(self, count=1, **fields):
        """Send sub-requests and return their replies in the order of their ids."""
        ids = await self.send(count, **fields)
        await self.receive(lambda c: set(ids) <= {r.sub_id for r in c.replies})
        return sorted((r for r in self.replies if r.sub_id in ids), key=lambda r: r.sub_id)


@contextlib.asynccontextmanager
async def open_session(target):
    """Open a session on a new connection."""
    channel = Channel(target.record.host, target.record.port)
    try:
        async with TargetStub(channel).Session.open() as stream:
            await stream.send_message(pb.SessionRequest(vm_id="test"))
            yield SessionClient(stream)
            await stream.cancel()
    finally:
        channel.close()


class FakeRegistry(RegistryBase):
    """Records what targets announce."""

    def __init__(self):
        self.announced = []
        self.left = []
        self.frozen = False
        self._server = Server([self])
        self._sock = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._sock.getsockname()[1]}"

    async def start(self):
        """Accept calls."""
        await self._server.start(sock=self._sock)

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        await self._server.wait_closed()

    @unary
    async def Announce(self, request):  # noqa: N802
        """Record an announcement, or never reply while frozen."""
        if self.frozen:
            await asyncio.Event().wait()
        self.announced.append(request.record)
        return pb.AnnounceReply(lease_ms=300, renew_ms=50, home_vm=self.address)

    @unary
    async def Leave(self, request):  # noqa: N802
        """Record the id of a target that leaves."""
        self.left.append(request.target_id)
        return pb.LeaveReply()


async def wait_until(condition):
    """Wait until a condition is true."""
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.01)
