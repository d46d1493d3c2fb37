"""Target side of `Target.Session`."""

from __future__ import annotations

import asyncio

import grpclib
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream

from bramleycrank.proto import target_pb2 as pb
from bramleycrank.proto.target_grpc import TargetBase
from bramleycrank.standin.target import StandInTarget

# Minimum interval between load reports, which are sent along with replies, per session.
LOAD_REPORT_INTERVAL_S = 0.05


class Session:
    """One open session; sends all output of one event loop iteration as one message.

    Parameters
    ----------
    target : StandInTarget
        Target that runs the sub-requests.
    stream : Stream
        The gRPC stream.
    """

    def __init__(self, target: StandInTarget, stream: Stream) -> None:
        self._loop = asyncio.get_running_loop()
        self._target = target
        self._stream = stream
        self._pending = pb.SessionReply()
        self._output_ready = asyncio.Event()
        self._next_load_report_at = 0.0
        self.silent = False

    def on_reply(self, reply: pb.SubReply) -> None:
        """Queue the reply of a sub-request."""
        self._pending.replies.append(reply)
        self._output_ready.set()

    def go_silent(self) -> None:
        """Stop sending replies and pongs while the connection stays open."""
        self.silent = True

    async def run(self) -> None:
        """Serve the session until the VM closes the stream."""
        writer = asyncio.ensure_future(self._write())
        self._output_ready.set()
        try:
            while (message := await self._stream.recv_message()) is not None:
                await self._target.resumed.wait()
                self._handle(message)
        finally:
            writer.cancel()

    def _handle(self, message: pb.SessionRequest) -> None:
        if self.silent:
            return
        for request in message.requests:
            self._target.submit(request, self)
        for sub_id in message.cancel_sub_ids:
            self._target.cancel(self, sub_id)
        if message.ping:
            self._pending.pong = message.ping
            self._output_ready.set()

    async def _write(self) -> None:
        """Send pending output; the first message contains only the load report."""
        while True:
            await self._output_ready.wait()
            await self._target.resumed.wait()
            self._output_ready.clear()
            message, self._pending = self._pending, pb.SessionReply()
            if self.silent:
                continue
            now = self._loop.time()
            if now >= self._next_load_report_at:
                self._next_load_report_at = now + LOAD_REPORT_INTERVAL_S
                message.load.CopyFrom(self._target.load())
            try:
                await self._stream.send_message(message)
            except (StreamTerminatedError, ConnectionError):
                return


class TargetService(TargetBase):
    """gRPC service of one target.

    Parameters
    ----------
    target : StandInTarget
        Target that runs the sub-requests.
    """

    def __init__(self, target: StandInTarget) -> None:
        self._target = target
        self._silent_peers: set[object] = set()

    async def Session(self, stream: Stream) -> None:  # noqa: N802
        """Serve one session, or refuse it at the connection limit."""
        session = Session(self._target, stream)
        peer = stream.peer.addr() if stream.peer else None
        # Silence applies to the connection, so it also covers later streams on it.
        session.silent = peer in self._silent_peers
        if not self._target.add_sink(session):
            raise grpclib.GRPCError(grpclib.const.Status.RESOURCE_EXHAUSTED, "too many connections")
        try:
            await asyncio.sleep(self._target.timing.connection_ms / 1000)
            await session.run()
        finally:
            if session.silent:
                self._silent_peers.add(peer)
            self._target.remove_sink(session)
