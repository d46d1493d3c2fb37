"""Measures what a sub-request costs against the number that share a message."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from grpclib.server import Server

from bramleycrank.proto.target_grpc import TargetBase
from bramleycrank.proto.target_pb2 import (
    SUB_STATUS_OK,
    Hit,
    SessionReply,
    Snapshot,
    SubReply,
    SubRequest,
)
from bramleycrank.transport.target_session import TargetSession
from harness.processes import HOST, free_port

SIZES = (1, 10, 100)
ROUNDS = 200
HITS = [Hit(id=f"record-{n}", score=0.5, body="cracked clapper") for n in range(10)]


class EchoTarget(TargetBase):
    """Answers every sub-request at once with ten hits."""

    async def Session(self, stream: Any) -> None:  # noqa: N802
        """Serve one session."""
        while (message := await stream.recv_message()) is not None:
            replies = [
                SubReply(sub_id=r.sub_id, status=SUB_STATUS_OK, snapshot=r.snapshot, hits=HITS)
                for r in message.requests
            ]
            await stream.send_message(SessionReply(replies=replies, pong=message.ping))


class Events:
    """Counts replies and tells when a round is complete."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.complete = asyncio.Event()
        self.left = 0

    def on_open(self, session: TargetSession) -> None:
        """Note that the session is open."""
        self.opened.set()

    def on_message(self, session: TargetSession, message: SessionReply) -> None:
        """Count the replies."""
        self.left -= len(message.replies)
        if self.left <= 0:
            self.complete.set()

    def on_sent(self, session: TargetSession, requests: list[SubRequest]) -> None:
        """Ignore what was written."""

    def on_closed(self, session: TargetSession, unsent: list[SubRequest], *, refused: bool) -> None:
        """Ignore the end."""


async def _cost(session: TargetSession, events: Events, size: int) -> float:
    """Return the processor time in seconds of a sub-request, both sides, in messages of a size."""
    snapshot = Snapshot(version=7, shard_count=500)
    start = time.process_time()
    for turn in range(ROUNDS):
        events.left = size
        events.complete.clear()
        for number in range(size):
            session.send(
                SubRequest(
                    sub_id=turn * size + number + 1,
                    service="archivio",
                    kind="search",
                    snapshot=snapshot,
                    shard=number,
                    timeout_ms=200,
                    query="cracked clapper",
                    limit=10,
                )
            )
        await events.complete.wait()
    return (time.process_time() - start) / (ROUNDS * size)


async def _measure() -> dict[str, float]:
    port = free_port()
    server = Server([EchoTarget()])
    await server.start(HOST, port)
    events = Events()
    session = TargetSession(1, HOST, port, "vm1", events)
    session.start(5.0)
    await asyncio.wait_for(events.opened.wait(), 5.0)
    costs = {f"sub_request_s_in_messages_of_{n}": await _cost(session, events, n) for n in SIZES}
    session.close()
    await session.wait_closed()
    server.close()
    return costs


def measure() -> dict[str, float]:
    """Measure all sizes in one process, client and server together."""
    return asyncio.run(_measure())
