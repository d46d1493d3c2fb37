"""Connections of one VM to HTTP targets, with one request at a time on each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from bramleycrank.connections.http_types import Connection, Ending, PoolSub

CONNECT_TIMEOUT_S = 0.5
"""Limit for opening a connection; a target that drops packets at its limit resends after 1 s."""

LINGER_S = 1.0
"""How long a target may finish a sub-request that another target has answered, in seconds."""

BACKOFF_S, BACKOFF_MAX_S = 0.25, 1.0
"""First and longest pause between attempts to connect to a target that is down, in seconds."""

SILENCE_S = 0.25
"""Silence of a target with sub-requests in flight after which a new connection is tried."""

PROBE_PAUSE_S = 1.0
"""Time after such an attempt until the next one to a target that is silent but reachable."""


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
    retry_at: float = 0.0
    answered_at: float = 0.0
    probed_at: float = 0.0
    retired: bool = False


class HttpPool:
    """Gives sub-requests to connections within each target's limit.

    A target to which no connection can be opened is down: what is in flight there is lost, and it
    gets nothing more until a connection opens. A target that is silent with sub-requests in flight
    is tried with a new connection, which tells a slow target from one that is cut off.

    The last connection that became idle is used first, so that those beyond the need reach the idle
    time of the target.

    Parameters
    ----------
    open_connection : callable
        Called with the target's host, port and a listener of the connection; starts to connect and
        returns the connection. Failures are reported by ``on_closed``.
    share : callable
        Returns how many of a target's connections this VM may open.
    on_room : callable
        Called with a target's id when it can take one more sub-request.
    on_down : callable
        Called with a target's id and whether it is down, after each change.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        open_connection: Callable[[str, int, HttpPool], Connection],
        share: Callable[[int], int],
        on_room: Callable[[str], None],
        on_down: Callable[[str, bool], None],
        clock: Callable[[], float],
    ) -> None:
        self._open_connection = open_connection
        self._share = share
        self._on_room = on_room
        self._on_down = on_down
        self._clock = clock
        self._targets: dict[str, _Target] = {}
        self._subs: dict[Connection, PoolSub] = {}
        self._owners: dict[Connection, _Target] = {}
        self._opened_at: dict[Connection, float] = {}
        self._lingering: set[PoolSub] = set()
        self.opened = 0

    # Targets.

    def update(self, target_id: str, host: str, port: int, limit: int) -> None:
        """Add a target, or take its new address."""
        known = self._targets.get(target_id)
        if known is not None and (known.host, known.port) == (host, port):
            known.limit = limit
            return
        if known is not None:
            self.remove(target_id)
        self._targets[target_id] = _Target(target_id, host, port, limit)

    def remove(self, target_id: str) -> None:
        """Send nothing more to a target; what is in flight may finish."""
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        target.retired = True
        if target.down:
            self._on_down(target_id, False)  # the next target of this name begins as up
        for conn in list(target.idle):
            conn.close()

    def has_room(self, target_id: str) -> bool:
        """Return whether a target can take one more sub-request now."""
        target = self._targets.get(target_id)
        if target is None or target.down:
            return False
        now = self._clock()
        if any(_is_fresh(conn, now) for conn in target.idle):
            return True
        # Idle connections that may not be used again make room for new ones.
        used = len(target.all) - len(target.idle)
        return used < self._share(target.limit)

    # Sub-requests.

    def send(self, sub: PoolSub) -> None:
        """Send on an idle connection, or on a new one."""
        target = self._targets.get(sub.target_id)
        if target is None:
            sub.listener.on_lost(sub, sent=False, garbled=False)
            return
        conn = self._take_idle(target) or self._open(target)
        sub.conn = conn
        self._subs[conn] = sub
        if conn.connected:
            self._transmit(sub)

    def recall(self, target_id: str) -> None:
        """Take back the sub-requests that wait for a connection to a target."""
        for conn, sub in list(self._subs.items()):
            if sub.target_id == target_id and not sub.sent:
                del self._subs[conn]  # the connection becomes idle once it is open
                sub.listener.on_lost(sub, sent=False, garbled=False)

    def cancel(self, sub: PoolSub, *, superseded: bool) -> None:
        """Give a sub-request up; its listener hears only `on_given_up`."""
        conn = sub.conn
        if conn is None or self._subs.get(conn) is not sub:
            return
        if not sub.sent:
            del self._subs[conn]  # the connection becomes idle once it is open
            sub.listener.on_given_up(sub, Ending.CANCELLED)
        elif superseded:
            sub.linger_until = self._clock() + LINGER_S
            self._lingering.add(sub)
        else:
            del self._subs[conn]
            conn.close()
            sub.listener.on_given_up(sub, Ending.CANCELLED)

    def tick(self) -> None:
        """End what takes too long, and report targets whose pause has ended."""
        now = self._clock()
        for sub in [s for s in self._lingering if now >= s.linger_until]:
            self._lingering.discard(sub)
            self._subs.pop(sub.conn, None)
            sub.conn.close()
            sub.listener.on_given_up(sub, Ending.SILENT)
        for conn, opened_at in list(self._opened_at.items()):
            if now - opened_at >= CONNECT_TIMEOUT_S:
                conn.close()
                self.on_closed(conn)
        for target in list(self._targets.values()):
            for conn in [c for c in target.idle if not _is_fresh(c, now)]:
                conn.close()
            if target.down and now >= target.retry_at:
                target.retry_at = now + BACKOFF_MAX_S
                self._open(target)
        self._probe_silent(now)

    def _probe_silent(self, now: float) -> None:
        """Try a new connection to each target that owes an answer and says nothing."""
        silent = {
            sub.target_id
            for sub in self._subs.values()
            if sub.sent and now - sub.sent_at > SILENCE_S
        }
        for target_id in silent:
            target = self._targets.get(target_id)
            if target is None or target.down or now - target.answered_at <= SILENCE_S:
                continue
            if now - target.probed_at > PROBE_PAUSE_S:
                target.probed_at = now
                self._open(target)

    def _take_idle(self, target: _Target) -> Connection | None:
        now = self._clock()
        while target.idle:
            conn = target.idle.pop()
            if _is_fresh(conn, now):
                return conn
            conn.close()
        return None

    def _open(self, target: _Target) -> Connection:
        conn = self._open_connection(target.host, target.port, self)
        self.opened += 1
        target.all.add(conn)
        self._owners[conn] = target
        self._opened_at[conn] = self._clock()
        return conn

    def _transmit(self, sub: PoolSub) -> None:
        sub.sent = True
        sub.sent_at = self._clock()
        sub.conn.send(sub.encode(), head=sub.head)

    # Events of connections.

    def on_connected(self, conn: Connection) -> None:
        """Send what waits for the connection."""
        if self._opened_at.pop(conn, None) is None:
            conn.close()  # it took too long and was given up
            return
        target = self._owners[conn]
        self._set_up(target)
        sub = self._subs.get(conn)
        if sub is not None:
            self._transmit(sub)
        else:
            self._release(conn)

    def on_response(self, conn: Connection, response: Any) -> None:
        """Pass a response on and use the connection again."""
        sub = self._subs.pop(conn, None)
        if sub is None:
            conn.close()
            return
        if conn in self._owners:
            self._owners[conn].answered_at = self._clock()
        if sub.linger_until is not None:
            self._lingering.discard(sub)
            sub.listener.on_late(sub, response)
            sub.listener.on_given_up(sub, Ending.ANSWERED)
            self._release(conn)
            return
        # Before the listener: what it sends next may use the connection.
        self._release(conn)
        if not sub.listener.on_response(sub, response):
            conn.close()

    def on_broken(self, conn: Connection, *, garbled: bool) -> None:
        """Report the loss of a response."""
        self._lose(conn, garbled=garbled)

    def on_closed(self, conn: Connection) -> None:
        """Forget a connection."""
        target = self._owners.pop(conn, None)
        if target is None:
            return
        target.all.discard(conn)
        if conn in target.idle:
            target.idle.remove(conn)
        refused = self._opened_at.pop(conn, None) is not None
        self._lose(conn, garbled=False)
        if refused:
            self._set_down(target)
        if not target.retired:
            self._on_room(target.target_id)

    def _lose(self, conn: Connection, *, garbled: bool) -> None:
        sub = self._subs.pop(conn, None)
        if sub is None:
            return
        if sub.linger_until is not None:
            self._lingering.discard(sub)
            sub.listener.on_given_up(sub, Ending.SILENT)
        else:
            sub.listener.on_lost(sub, sent=sub.sent, garbled=garbled)

    def _set_down(self, target: _Target) -> None:
        pause_s = min(BACKOFF_MAX_S, BACKOFF_S * 2**target.failures)
        target.failures = min(target.failures + 1, 10)
        target.retry_at = self._clock() + pause_s
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

    def _release(self, conn: Connection) -> None:
        target = self._owners.get(conn)
        if target is None or conn.closed:
            return
        if target.retired:
            conn.close()
        elif _is_fresh(conn, self._clock()):
            target.idle.append(conn)
            self._on_room(target.target_id)

    def dump(self) -> dict[str, Any]:
        """Return the connections of each target."""
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


def _is_fresh(conn: Connection, now: float) -> bool:
    return conn.connected and (conn.idle_until is None or now < conn.idle_until)
