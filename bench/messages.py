"""Measures the processor time per sub-request by the number of sub-requests in a message."""

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

BATCH_SIZES = (1, 10, 100)
ROUNDS = 200
HITS = [Hit(id=f"record-{n}", score=0.5, body="cracked clapper") for n in range(10)]


class EchoTarget(TargetBase):
    """Target that replies to every sub-request immediately with ten hits."""

    async def Session(self, stream: Any) -> None:  # noqa: N802
        """Serve one session."""
        while (message := await stream.recv_message()) is not None:
            replies = [
                SubReply(
                    sub_id=request.sub_id,
                    status=SUB_STATUS_OK,
                    snapshot=request.snapshot,
                    hits=HITS,
                )
                for request in message.requests
            ]
            await stream.send_message(SessionReply(replies=replies, pong=message.ping))


class RoundEvents:
    """Session events that count replies and signal the end of a round."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.complete = asyncio.Event()
        self.remaining = 0

    def on_open(self, session: TargetSession) -> None:
        """Signal that the session is open."""
        self.opened.set()

    def on_message(self, session: TargetSession, message: SessionReply) -> None:
        """Count the replies and signal when the last one of the round arrives."""
        self.remaining -= len(message.replies)
        if self.remaining <= 0:
            self.complete.set()

    def on_sent(self, session: TargetSession, requests: list[SubRequest]) -> None:
        """Ignore sent requests."""

    def on_closed(self, session: TargetSession, unsent: list[SubRequest], *, refused: bool) -> None:
        """Ignore the end of the session."""


async def _measure_cost(session: TargetSession, events: RoundEvents, batch_size: int) -> float:
    """Return the processor time per sub-request of client and server together, in seconds."""
    snapshot = Snapshot(version=7, shard_count=500)
    start = time.process_time()
    for round_index in range(ROUNDS):
        events.remaining = batch_size
        events.complete.clear()
        for number in range(batch_size):
            session.send(
                SubRequest(
                    sub_id=round_index * batch_size + number + 1,
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
    return (time.process_time() - start) / (ROUNDS * batch_size)


async def _measure() -> dict[str, float]:
    port = free_port()
    server = Server([EchoTarget()])
    await server.start(HOST, port)
    events = RoundEvents()
    session = TargetSession(1, HOST, port, "vm1", events)
    session.start(5.0)
    await asyncio.wait_for(events.opened.wait(), 5.0)
    costs = {
        f"sub_request_s_in_messages_of_{n}": await _measure_cost(session, events, n)
        for n in BATCH_SIZES
    }
    session.close()
    await session.wait_closed()
    server.close()
    return costs


def measure() -> dict[str, float]:
    """Measure all batch sizes with client and server in one process."""
    return asyncio.run(_measure())
