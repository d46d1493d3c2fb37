"""Pool of the connections of one VM to HTTP targets, with one request at a time on each."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from bramleycrank.connections.http_types import CancelOutcome, Connection, PooledSubRequest

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection; a SYN that a target at its limit drops is resent after 1 s."""

LINGER_S = 1.0
"""How long a target may finish a superseded sub-request, in seconds."""

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.25, 1.0
"""First and longest interval between attempts to connect to a target that is down, in seconds."""

TARGET_SILENCE_S = 0.25
"""Silence of a target with sub-requests in flight after which a new connection is opened."""

PROBE_INTERVAL_S = 1.0
"""Interval between probe connections to a target that is silent or closed the last connection, in
seconds."""

RETRY_JITTER = 0.25
"""Random part of the interval between attempts to connect, so that VMs do not return together."""


@attrs.define(eq=False)
class _Target:
    """A target with its connections."""

    target_id: str
    host: str
    port: int
    limit: int
    idle: list[Connection] = attrs.field(factory=list)
    all: set[Connection] = attrs.field(factory=set)
    failures: int = 0
    down: bool = False
    refused: bool = False
    retry_at: float = 0.0
    replied_at: float = 0.0
    probed_at: float = 0.0
    retired: bool = False


class HttpPool:
    """Sends sub-requests on pooled connections within the connection limit of each target.

    A target to which no connection can be opened is down: its sub-requests in flight are lost, and
    it receives no others until a connection opens. If only new connections fail, while open ones
    give no sign of trouble, the open ones stay in use. If a target with sub-requests in flight is
    silent, a new connection is opened to distinguish a slow target from an unreachable one.

    The connection that became idle last is used first, so that surplus connections reach the idle
    timeout of the target.

    Parameters
    ----------
    open_connection : callable
        Called with the target's host, its port and the pool, which listens to the connection;
        starts to connect and returns the connection. Failures are reported to ``on_closed``.
    share : callable
        Returns how many connections this VM may open, given the target's connection limit.
    on_capacity : callable
        Called with the id of a target that can receive one more sub-request.
    on_down : callable
        Called with the id of a target and whether it is down, after each change.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Source of random choices.
    connect_timeout_s : float, optional
        Timeout for opening a connection, in seconds.
    """

    def __init__(
        self,
        open_connection: Callable[[str, int, HttpPool], Connection],
        share: Callable[[int], int],
        on_capacity: Callable[[str], None],
        on_down: Callable[[str, bool], None],
        clock: Callable[[], float],
        rng: random.Random,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._open_connection = open_connection
        self._share = share
        self._on_capacity = on_capacity
        self._on_down = on_down
        self._clock = clock
        self._rng = rng
        self.on_heard: Callable[[], None] = lambda: None
        """Called when a target accepts a connection or responds."""
        self.reconnecting = True
        """Whether targets that are down are connected again."""
        self._targets: dict[str, _Target] = {}
        self._sub_by_conn: dict[Connection, PooledSubRequest] = {}
        self._target_by_conn: dict[Connection, _Target] = {}
        self._connecting_since: dict[Connection, float] = {}
        self._failed: set[Connection] = set()
        self._lingering: set[PooledSubRequest] = set()
        self.opened = 0

    # Targets.

    def update(self, target_id: str, host: str, port: int, limit: int) -> None:
        """Add a target, or update its address and limit."""
        known = self._targets.get(target_id)
        if known is not None and (known.host, known.port) == (host, port):
            known.limit = limit
            return
        if known is not None:
            self.remove(target_id)
        self._targets[target_id] = _Target(target_id, host, port, limit)

    def remove(self, target_id: str) -> None:
        """Remove a target; its sub-requests in flight may finish."""
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        target.retired = True
        if target.down:
            self._on_down(target_id, False)  # a new target with this id starts as up
        for conn in list(target.idle):
            conn.close()

    def has_capacity(self, target_id: str) -> bool:
        """Return whether a target can receive one more sub-request now."""
        target = self._targets.get(target_id)
        if target is None or target.down:
            return False
        now = self._clock()
        if any(_is_usable(conn, now) for conn in target.idle):
            return True
        if target.failures:
            return False  # the last attempt to connect has failed
        # Expired idle connections do not count, since they are replaced by new ones.
        used = len(target.all) - len(target.idle)
        return used < self._share(target.limit)

    def is_down(self, target_id: str) -> bool:
        """Return whether no connection to a target opens, or it is gone."""
        target = self._targets.get(target_id)
        return target is None or target.down

    def has_ended(self, target_id: str) -> bool:
        """Return whether a target is gone, or its host refuses connections.

        A target that is cut off, or whose host is down, does not respond to a connect.
        """
        target = self._targets.get(target_id)
        return target is None or (target.down and target.refused)

    @property
    def connected(self) -> int:
        """Number of open connections."""
        return len(self._target_by_conn) - len(self._connecting_since)

    # Sub-requests.

    def send(self, sub: PooledSubRequest) -> None:
        """Send a sub-request on an idle connection or on a new one."""
        target = self._targets.get(sub.target_id)
        if target is None:
            sub.listener.on_lost(sub, sent=False, garbled=False)
            return
        conn = self._pop_idle(target) or self._open(target)
        sub.conn = conn
        self._sub_by_conn[conn] = sub
        if conn.connected:
            self._transmit(sub)

    def cancel_unsent(self, target_id: str) -> None:
        """Cancel the sub-requests that wait for a connection to a target; they count as lost."""
        for conn, sub in list(self._sub_by_conn.items()):
            if sub.target_id == target_id and not sub.sent:
                del self._sub_by_conn[conn]  # the connection becomes idle once it is open
                sub.listener.on_lost(sub, sent=False, garbled=False)

    def cancel(self, sub: PooledSubRequest, *, superseded: bool) -> None:
        """Cancel a sub-request; a superseded one may still finish within `LINGER_S`.

        The listener receives `on_cancel_completed`, preceded by `on_late` if a response arrives.
        """
        conn = sub.conn
        if conn is None or self._sub_by_conn.get(conn) is not sub:
            return
        if not sub.sent:
            del self._sub_by_conn[conn]  # the connection becomes idle once it is open
            sub.listener.on_cancel_completed(sub, CancelOutcome.CANCELLED)
        elif superseded:
            sub.linger_until = self._clock() + LINGER_S
            self._lingering.add(sub)
        else:
            del self._sub_by_conn[conn]
            conn.close()
            sub.listener.on_cancel_completed(sub, CancelOutcome.CANCELLED)

    def tick(self, paused_s: float = 0.0) -> None:
        """Enforce the timeouts, and connect to targets that are down or silent.

        Parameters
        ----------
        paused_s : float, optional
            Time for which this process did not run, in seconds; it does not count for connections
            that are being opened.
        """
        now = self._clock()
        for conn in self._connecting_since if paused_s else ():
            self._connecting_since[conn] += paused_s
        for sub in [s for s in self._lingering if now >= s.linger_until]:
            self._lingering.discard(sub)
            self._sub_by_conn.pop(sub.conn, None)
            sub.conn.close()
            sub.listener.on_cancel_completed(sub, CancelOutcome.SILENT)
        for conn, opened_at in list(self._connecting_since.items()):
            if now - opened_at >= self._connect_timeout_s:
                conn.close()
                self.on_closed(conn)
        for target in list(self._targets.values()):
            for conn in [c for c in target.idle if not _is_usable(c, now)]:
                conn.close()
            if target.failures and self.reconnecting and now >= target.retry_at:
                target.retry_at = now + self._with_jitter(MAX_BACKOFF_S)
                self._open(target)
        self._probe_silent_targets(now)

    def _with_jitter(self, interval_s: float) -> float:
        return interval_s * (1 + RETRY_JITTER * (2 * self._rng.random() - 1))

    def overdue_targets(self, patience: Callable[[str], float]) -> int:
        """Return how many targets owe a reply or a connection for longer than their patience.

        Parameters
        ----------
        patience : callable
            Returns the time in seconds for which a target may be silent.
        """
        now = self._clock()
        oldest: dict[str, float] = {}
        for sub in self._sub_by_conn.values():
            if sub.linger_until is None:
                started = oldest.setdefault(sub.target_id, sub.started)
                oldest[sub.target_id] = min(started, sub.started)
        return sum(now - started > patience(target_id) for target_id, started in oldest.items())

    def probe(self, target_ids: Iterable[str]) -> None:
        """Open a connection to each of these targets to find out whether it can be reached."""
        for target_id in target_ids:
            target = self._targets.get(target_id)
            if target is not None:
                target.probed_at = self._clock()
                self._open(target)

    def spread_reconnects(self) -> None:
        """Connect to the targets that are down at random times within the longest interval."""
        now = self._clock()
        for target in filter(lambda target: target.failures, self._targets.values()):
            target.retry_at = now + MAX_BACKOFF_S * self._rng.random()

    def _probe_silent_targets(self, now: float) -> None:
        """Open a probe connection to each silent target with sub-requests in flight."""
        silent = {
            sub.target_id
            for sub in self._sub_by_conn.values()
            if sub.sent and now - sub.sent_at > TARGET_SILENCE_S
        }
        for target_id in silent:
            target = self._targets.get(target_id)
            if target is None or target.down or now - target.replied_at <= TARGET_SILENCE_S:
                continue
            self._probe(target, now)

    def _probe(self, target: _Target, now: float) -> None:
        """Open a connection to find out whether a target has ended, unless it was done recently."""
        if now - target.probed_at > PROBE_INTERVAL_S:
            target.probed_at = now
            self._open(target)

    def _pop_idle(self, target: _Target) -> Connection | None:
        now = self._clock()
        while target.idle:
            conn = target.idle.pop()
            if _is_usable(conn, now):
                return conn
            conn.close()
        return None

    def _open(self, target: _Target) -> Connection:
        conn = self._open_connection(target.host, target.port, self)
        self.opened += 1
        target.all.add(conn)
        self._target_by_conn[conn] = target
        self._connecting_since[conn] = self._clock()
        return conn

    def _transmit(self, sub: PooledSubRequest) -> None:
        sub.sent = True
        sub.sent_at = self._clock()
        sub.conn.send(sub.encode(), head=sub.head)

    # Events of connections.

    def on_connected(self, conn: Connection) -> None:
        """Send the sub-request that waits for the connection."""
        if self._connecting_since.pop(conn, None) is None:
            conn.close()  # it opened after the connect timeout
            return
        target = self._target_by_conn[conn]
        self.on_heard()
        self._set_up(target)
        sub = self._sub_by_conn.get(conn)
        if sub is not None:
            self._transmit(sub)
        else:
            self._make_idle(conn)

    def on_response(self, conn: Connection, response: Any) -> None:
        """Pass a response to the listener and reuse the connection."""
        sub = self._sub_by_conn.pop(conn, None)
        self.on_heard()
        if sub is None:
            conn.close()
            return
        if conn in self._target_by_conn:
            self._target_by_conn[conn].replied_at = self._clock()
        if sub.linger_until is not None:
            self._lingering.discard(sub)
            sub.listener.on_late(sub, response)
            sub.listener.on_cancel_completed(sub, CancelOutcome.ANSWERED)
            self._make_idle(conn)
            return
        # The connection is released before the listener is called, which may send on it.
        self._make_idle(conn)
        if not sub.listener.on_response(sub, response):
            conn.close()

    def on_request_failed(self, conn: Connection, *, garbled: bool) -> None:
        """Handle a connection that failed during a response; `on_closed` follows."""
        self._failed.add(conn)
        self._report_lost(conn, garbled=garbled)

    def on_closed(self, conn: Connection, *, refused: bool = False) -> None:
        """Remove a closed connection.

        Parameters
        ----------
        conn : Connection
            The connection.
        refused : bool, optional
            Whether the target's host refused it.
        """
        target = self._target_by_conn.pop(conn, None)
        failed = conn in self._failed
        self._failed.discard(conn)
        if target is None:
            return
        target.all.discard(conn)
        if conn in target.idle:
            failed |= conn.idle_until is None or self._clock() < conn.idle_until
            target.idle.remove(conn)
        opening_since = self._connecting_since.pop(conn, None)
        self._report_lost(conn, garbled=False)
        if opening_since is not None:
            self._on_open_failed(target, opening_since, refused=refused)
        elif target.failures and not (target.all or target.down or target.retired):
            self._set_down(target)  # the last connection, and no new one opens
        elif failed and not (target.all or target.down or target.retired):
            self._probe(target, self._clock())
        if not target.retired:
            self._on_capacity(target.target_id)

    def _report_lost(self, conn: Connection, *, garbled: bool) -> None:
        sub = self._sub_by_conn.pop(conn, None)
        if sub is None:
            return
        if sub.linger_until is not None:
            self._lingering.discard(sub)
            sub.listener.on_cancel_completed(sub, CancelOutcome.SILENT)
        else:
            sub.listener.on_lost(sub, sent=sub.sent, garbled=garbled)

    def _on_open_failed(self, target: _Target, since: float, *, refused: bool) -> None:
        """Delay the next attempt, and set the target down unless its open connections work."""
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**target.failures)
        target.failures = min(target.failures + 1, 10)
        target.refused = refused
        target.retry_at = self._clock() + self._with_jitter(backoff_s)
        if not self._has_working_connection(target, since, refused=refused):
            self._set_down(target)

    def _has_working_connection(self, target: _Target, since: float, *, refused: bool) -> bool:
        if not any(conn.connected for conn in target.all):
            return False
        return target.replied_at > since or (refused and not self._is_silent(target))

    def _is_silent(self, target: _Target) -> bool:
        """Return whether a target has owed a reply for longer than `TARGET_SILENCE_S`."""
        now = self._clock()
        return now - target.replied_at > TARGET_SILENCE_S and any(
            sub.sent and now - sub.sent_at > TARGET_SILENCE_S
            for sub in map(self._sub_by_conn.get, target.all)
            if sub is not None
        )

    def _set_down(self, target: _Target) -> None:
        if target.down or target.retired:
            return
        target.down = True
        self._on_down(target.target_id, True)
        for conn in list(target.all):
            conn.close()
            self.on_closed(conn)

    def _set_up(self, target: _Target) -> None:
        target.failures = 0
        if target.down:
            target.down = False
            self._on_down(target.target_id, False)

    def _make_idle(self, conn: Connection) -> None:
        target = self._target_by_conn.get(conn)
        if target is None or conn.closed:
            return
        if target.retired:
            conn.close()
        elif _is_usable(conn, self._clock()):
            target.idle.append(conn)
            self._on_capacity(target.target_id)

    def dump(self) -> dict[str, Any]:
        """Return the state and the connections of each target."""
        return {
            target.target_id: {
                "address": f"{target.host}:{target.port}",
                "connections": len(target.all),
                "idle": len(target.idle),
                "share": self._share(target.limit),
                "down": target.down,
            }
            for target in self._targets.values()
        }


def _is_usable(conn: Connection, now: float) -> bool:
    return conn.connected and (conn.idle_until is None or now < conn.idle_until)
