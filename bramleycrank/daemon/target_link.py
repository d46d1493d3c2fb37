"""Everything that one VM has open towards one target: connections, requests, the monitor."""

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

# One connection for work and one for replacement: HTTP/2 multiplexes, so more give nothing.
MAX_CONNECTIONS = 2

# How long a request waits for a connection that is being opened or checked.
HOLD_S = 0.5

# A request without a reply is dropped this long after its own timeout.
ABANDONED_AFTER_S = 2.0

_conn_ids = itertools.count(1)


class Listener(Protocol):
    """Receives the end of a sub-request."""

    def on_reply(self, reply: SubReply) -> None:
        """Take the reply."""

    def on_failure(self, sub_id: int, reason: str) -> None:
        """Take the failure; `reason` is a `FailureReason`."""


@attrs.frozen
class LinkContext:
    """What all links of a VM share."""

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
class _Sub:
    """A sub-request without an end."""

    request: SubRequest
    listener: Listener
    started: float
    session: TargetSession | None = None  # None while it waits for a connection
    sent: bool = False


class TargetLink:
    """The connections and sub-requests of one VM to one target in one incarnation.

    Parameters
    ----------
    record : TargetRecord
        The target.
    context : LinkContext
        What all links share.
    """

    def __init__(self, record: TargetRecord, context: LinkContext) -> None:
        self.target_id = record.target_id
        self._record = record
        self._context = context
        self._cfg = context.cfg
        self._clock = context.clock
        self._subs: dict[int, _Sub] = {}
        self._held: dict[int, None] = {}
        self._sessions: dict[int, TargetSession] = {}
        self._closing: set[TargetSession] = set()
        self._retired = False
        self._next_sweep = 0.0
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

    # Life.

    def serves(self, record: TargetRecord) -> bool:
        """Return whether the link leads to the process that the record describes."""
        own = self._record
        return (own.host, own.port, own.incarnation) == (
            record.host,
            record.port,
            record.incarnation,
        )

    def update(self, record: TargetRecord) -> None:
        """Take a newer record of the same process."""
        self._record = record

    def retire(self) -> bool:
        """Take no more work and drop what is not written; return whether something is open."""
        if self.monitor.down:
            # Nothing else would end this state: the next link of the target begins as up.
            self._report(False)
        self._retired = True
        for sub_id in [i for i, sub in self._subs.items() if not sub.sent]:
            self._give_up(sub_id)
        self._close_if_idle()
        return not self.finished

    def resume(self) -> None:
        """Take new work again; a second link would need connections of its own."""
        self._retired = False
        if self.monitor.down:
            self._report(True)

    def _report(self, down: bool) -> None:
        if not self._retired:
            self._context.on_down(self.target_id, down)

    @property
    def busy(self) -> bool:
        """Whether sub-requests have not ended."""
        return bool(self._subs)

    @property
    def finished(self) -> bool:
        """Whether a retired link has nothing open any more."""
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
        """Send a sub-request, or hold it while a connection is being opened or checked."""
        sub_id = request.sub_id
        conn_id = self.monitor.ready_conn
        self._subs[sub_id] = sub = _Sub(request, listener, self._clock())
        if conn_id is not None:
            sub.session = self._sessions[conn_id]
            sub.session.send(request)
        elif self.monitor.connection_pending:
            self._held[sub_id] = None
        else:
            self._fail(sub_id, FailureReason.NOT_SENT)

    def cancel(self, sub_id: int) -> None:
        """Give up a sub-request without telling its listener."""
        sub = self._subs.pop(sub_id, None)
        if sub is None:
            return
        self._held.pop(sub_id, None)
        if sub.session is not None:
            sub.session.cancel(sub_id)
            self._note_done(sub, None)
        self._close_if_idle()

    def _note_done(self, sub: _Sub, latency_s: float | None) -> None:
        if sub.sent:
            self.monitor.on_done(sub.session.conn_id, self._clock(), latency_s)

    def _fail(self, sub_id: int, reason: FailureReason) -> None:
        sub = self._subs.pop(sub_id, None)
        if sub is None:
            return
        self._held.pop(sub_id, None)
        self._note_done(sub, None)
        try:
            sub.listener.on_failure(sub_id, reason)
        except Exception:
            log.exception("sessions: a listener failed")

    def _flush(self) -> None:
        """Send the held requests, if there is a connection, or fail them, if there will be none."""
        conn_id = self.monitor.ready_conn
        if conn_id is not None:
            for sub_id in self._held:
                sub = self._subs[sub_id]
                sub.session = self._sessions[conn_id]
                sub.session.send(sub.request)
            self._held.clear()
        elif not self.monitor.connection_pending:
            for sub_id in list(self._held):
                self._fail(sub_id, FailureReason.NOT_SENT)

    # Session events.

    def on_open(self, session: TargetSession) -> None:
        """Note that the target answered on a new connection."""
        self._context.metrics.incr("connections.opened")
        self._execute(self.monitor.on_open(session.conn_id, self._clock()))

    def on_sent(self, session: TargetSession, requests: list[SubRequest]) -> None:
        """Note that requests are being written."""
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
            return  # cancelled, or reported as failed before
        self._note_done(sub, now - sub.started)
        if reply.status == SUB_STATUS_LEAVING:
            self._context.on_leaving(self.target_id, self._record.incarnation)
        try:
            sub.listener.on_reply(reply)
        except Exception:
            log.exception("sessions: a listener failed")

    def on_closed(self, session: TargetSession, unsent: list[SubRequest], *, refused: bool) -> None:
        """Report what was sent as failed; what was not is sent on another connection."""
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
        self._release(session, unsent)
        self._execute(actions)

    def _release(self, session: TargetSession, unsent: list[SubRequest]) -> None:
        for request in unsent:
            sub = self._subs.get(request.sub_id)
            if sub is not None:
                sub.session = None
                self._held[request.sub_id] = None
        lost = [sub_id for sub_id, sub in self._subs.items() if sub.session is session]
        for sub_id in lost:
            self._fail(sub_id, FailureReason.CONNECTION_LOST)
        if self._retired:
            for sub_id in list(self._held):
                self._fail(sub_id, FailureReason.NOT_SENT)

    # Actions of the monitor.

    def tick(self, now: float) -> None:
        """Run the monitor, and end requests that wait too long."""
        if self._subs or not self._retired:
            self._execute(self.monitor.tick(now))
        if now >= self._next_sweep:
            self._next_sweep = now + 0.25
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        overdue = [i for i in self._held if now - self._subs[i].started > self._hold_s(i)]
        for sub_id in overdue:
            self._fail(sub_id, FailureReason.NOT_SENT)
        abandoned = [
            sub_id
            for sub_id, sub in self._subs.items()
            if now - sub.started > sub.request.timeout_ms / 1000 + ABANDONED_AFTER_S
        ]
        for sub_id in abandoned:
            self._fail(sub_id, FailureReason.CONNECTION_LOST)
        self._close_if_idle()

    def _hold_s(self, sub_id: int) -> float:
        return min(HOLD_S, self._subs[sub_id].request.timeout_ms / 1000)

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
                    self._on_down()
                case TargetUp():
                    self._report(False)
        if self._held:
            self._flush()

    def _open(self) -> None:
        if self._retired:
            # Without a new connection to a target that leaves, reads give up its quiet one.
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

    def _on_down(self) -> None:
        """Report reads in flight as failed, so that they run elsewhere.

        A non-idempotent request (one with a key) waits on: the target may only be frozen, and its
        reply is the only way to learn the outcome.
        """
        self._report(True)
        for sub_id, sub in list(self._subs.items()):
            if not sub.request.request_key:
                self._give_up(sub_id)

    def _give_up(self, sub_id: int) -> None:
        """Drop a request that is not written, or cancel it, and report it as failed."""
        sub = self._subs[sub_id]
        if sub.session is not None:
            sub.session.cancel(sub_id)
        self._fail(sub_id, FailureReason.TARGET_DOWN if sub.sent else FailureReason.NOT_SENT)

    def dump(self, now: float) -> dict[str, object]:
        """Return connections and sub-requests with the reason of their state."""
        return {
            "target_id": self.target_id,
            "incarnation": self._record.incarnation,
            "retired": self._retired,
            "in_flight": len(self._subs) - len(self._held),
            "held": len(self._held),
            **self.monitor.dump(now),
        }
