"""Connections, sub-requests and connection monitor of one VM for one target."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Protocol

import attrs

from bramleycrank.connections import (
    CloseConnection,
    CloseReason,
    ConnectionConfig,
    ConnectionMonitor,
    OpenConnection,
    ReconnectBudget,
    SendPing,
    TargetDown,
    TargetUp,
)
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto.target_pb2 import (
    SUB_STATUS_LEAVING,
    LoadReport,
    SessionReply,
    SubReply,
    SubRequest,
    TargetRecord,
)
from bramleycrank.query.types import FailureReason
from bramleycrank.transport.target_session import OPEN_PING_ID, TargetSession

log = logging.getLogger(__name__)

# One connection for sub-requests and one to replace it. HTTP/2 multiplexes, so two are enough.
MAX_CONNECTIONS = 2

# Longest wait of a sub-request for a connection that is being opened or checked, in seconds.
QUEUE_LIMIT_S = 0.5

# Time after its timeout at which a sub-request without a reply is reported as failed, in seconds.
REPLY_GRACE_S = 2.0

_conn_ids = itertools.count(1)


class Listener(Protocol):
    """Receives the outcome of a sub-request."""

    def on_reply(self, reply: SubReply) -> None:
        """Process the reply."""

    def on_failure(self, sub_id: int, reason: str) -> None:
        """Process the failure; `reason` is a `FailureReason`."""


@attrs.frozen
class LinkContext:
    """Dependencies that all links of a VM share."""

    vm_id: str
    cfg: ConnectionConfig
    clock: Callable[[], float]
    rng: Random
    reconnects: ReconnectBudget
    share: Callable[[int], int]
    on_down: Callable[[str, bool], None]
    on_load: Callable[[str, LoadReport], None]
    on_leaving: Callable[[str, int], None]
    metrics: Metrics


@attrs.define
class _OpenSubRequest:
    """A sub-request that has not ended."""

    request: SubRequest
    listener: Listener
    started: float
    session: TargetSession | None = None  # None: waits for a connection
    sent: bool = False


class TargetLink:
    """The connections and sub-requests of one VM to one incarnation of a target.

    Parameters
    ----------
    record : TargetRecord
        The target.
    context : LinkContext
        Dependencies that all links share.
    """

    def __init__(self, record: TargetRecord, context: LinkContext) -> None:
        self.target_id = record.target_id
        self._record = record
        self._context = context
        self._cfg = context.cfg
        self._clock = context.clock
        self._subs: dict[int, _OpenSubRequest] = {}
        self._queued: dict[int, None] = {}
        self._sessions: dict[int, TargetSession] = {}
        self._closing: set[TargetSession] = set()
        self._retired = False
        self._next_overdue_check = 0.0
        self.monitor = ConnectionMonitor(
            record.target_id,
            context.cfg,
            context.reconnects,
            self._share,
            context.rng,
            context.clock(),
        )

    def _share(self) -> int:
        return min(MAX_CONNECTIONS, self._context.share(self._record.connections))

    # Life cycle.

    def matches(self, record: TargetRecord) -> bool:
        """Return whether a record describes the process that the link connects to."""
        own = self._record
        return (own.host, own.port, own.incarnation) == (
            record.host,
            record.port,
            record.incarnation,
        )

    def update(self, record: TargetRecord) -> None:
        """Replace the record by a newer one of the same process."""
        self._record = record

    def retire(self) -> bool:
        """Refuse new sub-requests, fail unsent ones, and return whether the link is in use."""
        if self.monitor.down:
            # The next link of the target starts as up, so nothing else would report the target up.
            self._report_down(False)
        self._retired = True
        for sub_id in [i for i, sub in self._subs.items() if not sub.sent]:
            self._abort(sub_id)
        self._close_if_idle()
        return not self.finished

    def resume(self) -> None:
        """Accept sub-requests again, because a second link would need further connections."""
        self._retired = False
        if self.monitor.down:
            self._report_down(True)

    def _report_down(self, down: bool) -> None:
        if not self._retired:
            self._context.on_down(self.target_id, down)

    @property
    def busy(self) -> bool:
        """Whether sub-requests are open."""
        return bool(self._subs)

    @property
    def finished(self) -> bool:
        """Whether the link is retired and all its connections are closed."""
        return self._retired and not self._sessions and not self._closing

    async def close(self) -> None:
        """Close all connections; sub-requests in flight are reported as failed."""
        self._retired = True
        sessions = [*self._sessions.values(), *self._closing]
        for session in sessions:
            session.close()
        await asyncio.gather(*(session.wait_closed() for session in sessions))
        for sub_id in list(self._subs):
            self._fail(sub_id, FailureReason.NOT_SENT)

    def _close_if_idle(self) -> None:
        if self._retired and not self._subs:
            for session in self._sessions.values():
                session.close()

    # Sub-requests.

    def send(self, request: SubRequest, listener: Listener) -> None:
        """Send a sub-request, or queue it while a connection is being opened or checked."""
        sub_id = request.sub_id
        conn_id = self.monitor.ready_conn
        self._subs[sub_id] = sub = _OpenSubRequest(request, listener, self._clock())
        if conn_id is not None:
            sub.session = self._sessions[conn_id]
            sub.session.send(request)
        elif self.monitor.connection_pending:
            self._queued[sub_id] = None
        else:
            self._fail(sub_id, FailureReason.NOT_SENT)

    def cancel(self, sub_id: int) -> None:
        """Cancel a sub-request without a call to its listener."""
        sub = self._subs.pop(sub_id, None)
        if sub is None:
            return
        self._queued.pop(sub_id, None)
        if sub.session is not None:
            sub.session.cancel(sub_id)
            self._record_end(sub, None)
        self._close_if_idle()

    def _record_end(self, sub: _OpenSubRequest, latency_s: float | None) -> None:
        if sub.sent:
            self.monitor.on_done(sub.session.conn_id, self._clock(), latency_s)

    def _fail(self, sub_id: int, reason: FailureReason) -> None:
        sub = self._subs.pop(sub_id, None)
        if sub is None:
            return
        self._queued.pop(sub_id, None)
        self._record_end(sub, None)
        try:
            sub.listener.on_failure(sub_id, reason)
        except Exception:
            log.exception("sessions: a listener raised an exception")

    def _send_queued(self) -> None:
        """Send the queued sub-requests on a ready connection, or fail them if none is expected."""
        conn_id = self.monitor.ready_conn
        if conn_id is not None:
            for sub_id in self._queued:
                sub = self._subs[sub_id]
                sub.session = self._sessions[conn_id]
                sub.session.send(sub.request)
            self._queued.clear()
        elif not self.monitor.connection_pending:
            for sub_id in list(self._queued):
                self._fail(sub_id, FailureReason.NOT_SENT)

    # Session events.

    def on_open(self, session: TargetSession) -> None:
        """Process the first message of the target on a new connection."""
        self._context.metrics.incr("connections.opened")
        self._execute(self.monitor.on_open(session.conn_id, self._clock()))

    def on_sent(self, session: TargetSession, requests: list[SubRequest]) -> None:
        """Record that sub-requests are being written."""
        subs = self._subs
        count = 0
        for request in requests:
            sub = subs.get(request.sub_id)
            if sub is not None:
                sub.sent = True
                count += 1
        self._execute(self.monitor.on_sent(session.conn_id, self._clock(), count))

    def on_message(self, session: TargetSession, message: SessionReply) -> None:
        """Deliver the replies of a message."""
        now = self._clock()
        if message.pong and message.pong != OPEN_PING_ID:
            actions = self.monitor.on_pong(session.conn_id, message.pong, now)
        else:
            actions = self.monitor.on_bytes(session.conn_id, now)
        for reply in message.replies:
            self._deliver(reply, now)
        if message.HasField("load"):
            self._context.on_load(self.target_id, message.load)
        if actions:
            self._execute(actions)
        self._close_if_idle()

    def _deliver(self, reply: SubReply, now: float) -> None:
        sub = self._subs.pop(reply.sub_id, None)
        if sub is None:
            return  # Cancelled, or already reported as failed.
        self._record_end(sub, now - sub.started)
        if reply.status == SUB_STATUS_LEAVING:
            self._context.on_leaving(self.target_id, self._record.incarnation)
        try:
            sub.listener.on_reply(reply)
        except Exception:
            log.exception("sessions: a listener raised an exception")

    def on_closed(self, session: TargetSession, unsent: list[SubRequest], *, refused: bool) -> None:
        """Report sent sub-requests as failed and queue unsent ones for another connection."""
        now = self._clock()
        known = self._sessions.pop(session.conn_id, None) is not None
        self._closing.discard(session)
        if known:
            if session.opened:
                actions = self.monitor.on_closed(session.conn_id, now)
            else:
                actions = self.monitor.on_open_failed(now, refused=refused)
        else:
            actions = []
        self._requeue_or_fail(session, unsent)
        self._execute(actions)

    def _requeue_or_fail(self, session: TargetSession, unsent: list[SubRequest]) -> None:
        for request in unsent:
            sub = self._subs.get(request.sub_id)
            if sub is not None:
                sub.session = None
                self._queued[request.sub_id] = None
        lost = [sub_id for sub_id, sub in self._subs.items() if sub.session is session]
        for sub_id in lost:
            self._fail(sub_id, FailureReason.CONNECTION_LOST)
        if self._retired:
            for sub_id in list(self._queued):
                self._fail(sub_id, FailureReason.NOT_SENT)

    # Actions of the monitor.

    def tick(self, now: float) -> None:
        """Run the monitor and fail overdue sub-requests."""
        if self._subs or not self._retired:
            self._execute(self.monitor.tick(now))
        if now >= self._next_overdue_check:
            self._next_overdue_check = now + 0.25
            self._fail_overdue(now)

    def _fail_overdue(self, now: float) -> None:
        overdue = [i for i in self._queued if now - self._subs[i].started > self._queue_limit_s(i)]
        for sub_id in overdue:
            self._fail(sub_id, FailureReason.NOT_SENT)
        unanswered = [
            sub_id
            for sub_id, sub in self._subs.items()
            if now - sub.started > sub.request.timeout_ms / 1000 + REPLY_GRACE_S
        ]
        for sub_id in unanswered:
            self._fail(sub_id, FailureReason.CONNECTION_LOST)
        self._close_if_idle()

    def _queue_limit_s(self, sub_id: int) -> float:
        return min(QUEUE_LIMIT_S, self._subs[sub_id].request.timeout_ms / 1000)

    def _execute(self, actions: Iterable[Any]) -> None:
        for action in actions:
            match action:
                case SendPing(conn_id=conn_id, ping_id=ping_id):
                    self._sessions[conn_id].ping(ping_id)
                case OpenConnection():
                    self._open()
                case CloseConnection(conn_id=conn_id, reason=reason):
                    self._close(conn_id, reason)
                case TargetDown():
                    self._on_target_down()
                case TargetUp():
                    self._report_down(False)
        if self._queued:
            self._send_queued()

    def _open(self) -> None:
        if self._retired:
            # A retired link opens no connections. Reported as a failure, this lets the monitor
            # declare the target down, so that reads on a silent connection run elsewhere.
            return self._execute(self.monitor.on_open_failed(self._clock()))
        session = TargetSession(
            next(_conn_ids), self._record.host, self._record.port, self._context.vm_id, self
        )
        self._sessions[session.conn_id] = session
        session.start(self._cfg.open_timeout_s)

    def _close(self, conn_id: int, reason: CloseReason) -> None:
        session = self._sessions.pop(conn_id)
        log.info("sessions: connection %d to %s closed: %s", conn_id, self.target_id, reason)
        self._closing.add(session)
        silent = reason is CloseReason.SILENT
        if silent:
            self._context.metrics.incr("connections.silent")
        session.close(abort=silent)

    def _on_target_down(self) -> None:
        """Report idempotent sub-requests as failed, so that they run elsewhere.

        A non-idempotent one (with a request key) stays open: the target may only be frozen, and
        only its reply shows the outcome.
        """
        self._report_down(True)
        for sub_id, sub in list(self._subs.items()):
            if not sub.request.request_key:
                self._abort(sub_id)

    def _abort(self, sub_id: int) -> None:
        """Cancel a sub-request on its connection, if it has one, and report it as failed."""
        sub = self._subs[sub_id]
        if sub.session is not None:
            sub.session.cancel(sub_id)
        self._fail(sub_id, FailureReason.TARGET_DOWN if sub.sent else FailureReason.NOT_SENT)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of connections and sub-requests in JSON form."""
        return {
            "target_id": self.target_id,
            "incarnation": self._record.incarnation,
            "retired": self._retired,
            "in_flight": len(self._subs) - len(self._queued),
            "held": len(self._queued),
            **self.monitor.dump(now),
        }
