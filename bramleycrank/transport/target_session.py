"""One connection to a target with its `Target.Session` stream."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

import h2.exceptions
from grpclib.client import Channel, Stream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.stream import recv_message

from bramleycrank.proto.target_grpc import TargetStub
from bramleycrank.proto.target_pb2 import SessionReply, SessionRequest, SubRequest

log = logging.getLogger(__name__)

# Id of the ping in the first message; the ids of the monitor start at 1 and never reach it.
OPEN_PING_ID = 2**63

# Limits a message, so that a large one does not delay the pings behind it.
MAX_MESSAGE_BYTES = 256 * 1024

_STREAM_ERRORS = (
    OSError,
    StreamTerminatedError,
    GRPCError,
    h2.exceptions.ProtocolError,
    AssertionError,  # grpclib raises it if a stream ends within a message
    AttributeError,  # grpclib raises it if a closed connection is used
)


class SessionEvents(Protocol):
    """Receives the events of a session."""

    def on_open(self, session: TargetSession) -> None:
        """Handle the first message of the target, which opens the session."""

    def on_message(self, session: TargetSession, message: SessionReply) -> None:
        """Handle a message of the target."""

    def on_sent(self, session: TargetSession, requests: list[SubRequest]) -> None:
        """Handle requests that are about to be written; from now on they may run."""

    def on_closed(self, session: TargetSession, unsent: list[SubRequest], *, refused: bool) -> None:
        """Handle the end of the session; the requests in `unsent` were never written."""


class TargetSession:
    """A connection to a target that carries one bidirectional stream.

    Requests, cancellations and pings of one event loop iteration are sent in one message. While the
    target's flow control blocks a message, all later ones are combined. A request counts as sent as
    soon as grpclib starts to write its message.

    Parameters
    ----------
    conn_id : int
        Id of the connection in the connection monitor.
    host, port
        Address of the target.
    vm_id : str
        Id of this VM, sent in the first message.
    events : SessionEvents
        Receiver of the events.
    """

    def __init__(
        self, conn_id: int, host: str, port: int, vm_id: str, events: SessionEvents
    ) -> None:
        self.conn_id = conn_id
        self.opened = False
        self.closed = False
        self._vm_id = vm_id
        self._events = events
        self._channel = Channel(host, port)
        self._unsent: dict[int, SubRequest] = {}
        self._unsent_cancels: list[int] = []
        self._unsent_ping = 0
        self._has_output = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._refused = False

    def start(self, open_timeout_s: float) -> None:
        """Connect; calls `on_open`, or `on_closed` after a failure or `open_timeout_s`."""
        self._task = asyncio.ensure_future(self._run(open_timeout_s))
        # Not a `finally` in `_run`, which a task that is cancelled before its start never runs.
        self._task.add_done_callback(self._on_task_done)

    def send(self, request: SubRequest) -> None:
        """Send a request with the next message."""
        self._unsent[request.sub_id] = request
        self._has_output.set()

    def cancel(self, sub_id: int) -> None:
        """Cancel a request; one that is still unsent is dropped."""
        if self._unsent.pop(sub_id, None) is None:
            self._unsent_cancels.append(sub_id)
            self._has_output.set()

    def ping(self, ping_id: int) -> None:
        """Send a ping with the next message."""
        self._unsent_ping = ping_id
        self._has_output.set()

    def close(self, *, abort: bool = False) -> None:
        """Close the connection; `on_closed` is called in a later event loop iteration.

        Parameters
        ----------
        abort : bool, optional
            Whether to discard unsent data. Otherwise a silent connection would keep its file
            descriptor until TCP times out.
        """
        if abort and (protocol := self._channel._protocol) is not None:
            protocol.connection._transport.abort()
        if self._task is not None:
            self._task.cancel()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self, open_timeout_s: float) -> None:
        try:
            await self._run_stream(open_timeout_s)
        except _STREAM_ERRORS as exc:
            if isinstance(exc, GRPCError) and exc.status is Status.RESOURCE_EXHAUSTED:
                self._refused = True
            log.debug("sessions: connection %d ended: %r", self.conn_id, exc)
        except TimeoutError:
            log.debug("sessions: connection %d timed out before it was open", self.conn_id)
        except Exception:
            log.exception("sessions: connection %d failed", self.conn_id)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.closed = True
        self._channel.close()
        unsent, self._unsent = list(self._unsent.values()), {}
        self._events.on_closed(self, unsent, refused=self._refused)

    async def _run_stream(self, open_timeout_s: float) -> None:
        async with asyncio.timeout(open_timeout_s) as open_timeout:
            stream = TargetStub(self._channel).Session.open()
            await stream.__aenter__()
            try:
                await stream.send_message(SessionRequest(vm_id=self._vm_id, ping=OPEN_PING_ID))
                writer = asyncio.ensure_future(self._write(stream))
                try:
                    await self._read(stream, open_timeout)
                finally:
                    writer.cancel()
            finally:
                self._reset_stream(stream)

    @staticmethod
    def _reset_stream(stream: Stream) -> None:
        """Reset the stream; `Stream.__aexit__` would wait for the trailers of a lost connection."""
        inner = getattr(stream, "_stream", None)
        if inner is not None and inner.closable:
            inner.reset_nowait()

    async def _read(self, stream: Stream, open_timeout: asyncio.Timeout) -> None:
        try:
            while (message := await stream.recv_message()) is not None:
                self._deliver(message, open_timeout)
        except StreamTerminatedError:
            self._refused = _is_refusal(stream)
            await self._deliver_buffered(stream, open_timeout)
            raise

    async def _deliver_buffered(self, stream: Stream, open_timeout: asyncio.Timeout) -> None:
        """Deliver the messages that arrived before the connection was lost.

        grpclib cancels the reader when the connection ends, although its buffer may still contain
        replies.
        """
        inner = stream._stream
        # A lost connection needs no acknowledgement.
        inner.buffer._ack_callback = lambda size: None
        inner.buffer.eof()
        while (message := await recv_message(inner, stream._codec, stream._recv_type)) is not None:
            self._deliver(message, open_timeout)

    def _deliver(self, message: SessionReply, open_timeout: asyncio.Timeout) -> None:
        if not self.opened:
            self.opened = True
            open_timeout.reschedule(None)
            self._events.on_open(self)
        self._events.on_message(self, message)

    async def _write(self, stream: Stream) -> None:
        try:
            while True:
                await self._has_output.wait()
                self._has_output.clear()
                await stream.send_message(self._next_message())
        except StreamTerminatedError:
            pass  # the reader ends as well, after it has delivered the buffered messages
        except _STREAM_ERRORS as exc:
            log.debug("sessions: write to connection %d failed: %r", self.conn_id, exc)
            self.close()

    def _pop_requests(self) -> list[SubRequest]:
        """Remove and return the requests of the next message, at least one if any are pending."""
        requests = []
        size = 0
        while self._unsent and size < MAX_MESSAGE_BYTES:
            request = next(iter(self._unsent.values()))
            del self._unsent[request.sub_id]
            requests.append(request)
            size += request.ByteSize()
        if self._unsent:
            self._has_output.set()
        return requests

    def _next_message(self) -> SessionRequest:
        message = SessionRequest(cancel_sub_ids=self._unsent_cancels, ping=self._unsent_ping)
        self._unsent_cancels, self._unsent_ping = [], 0
        requests = self._pop_requests()
        if requests:
            message.requests.extend(requests)
            self._events.on_sent(self, requests)
        return message


def _is_refusal(stream: Stream) -> bool:
    """Return whether a reset stream has the status for "too many connections"."""
    inner = stream._stream
    headers = dict(inner.trailers or inner.headers or ())
    return headers.get("grpc-status") == str(Status.RESOURCE_EXHAUSTED.value)
