"""Connection monitor: tells a silent connection from a slow target and from one that is down."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from bramleycrank.connections.budgets import ReconnectBudget
from bramleycrank.connections.types import (
    Action,
    CloseConnection,
    CloseReason,
    ConnectionConfig,
    OpenConnection,
    SendPing,
    TargetDown,
    TargetUp,
)

# Share of the reconnect budget that attempts to reach a target that is down leave to others.
RETRY_RESERVE = 0.5

# Relative step of the p99 estimate; a slower reply raises it 99 times as far as a faster one
# lowers it, so it settles where 1% of the replies are slower.
_QUANTILE_STEP = 0.1


@attrs.define
class _Conn:
    """An open connection."""

    opened_at: float
    last_bytes: float
    in_flight: int = 0
    waiting_since: float = 0.0
    unanswered_since: float | None = None  # first request after the last message
    ping_id: int = 0
    pinged_at: float = 0.0


@attrs.define
class _Check:
    """A connection that gave no answer in time."""

    conn_id: int
    since: float
    open_at: float


class ConnectionMonitor:
    """Watches the connections to one target and decides when to open, ping and close them.

    The order of a check is: ping on the quiet connection; after `ping_grace_s` without an answer
    open a second connection, if both budgets allow it; close the quiet one if the second one
    answers and the quiet one has not answered within `ping_timeout_s`. An answer on the quiet
    connection ends the check at any time. If the second one cannot be opened, the target is down.
    With a share of one connection, the quiet one is closed before the new one opens.

    Parameters
    ----------
    target_id : str
        The target.
    cfg : ConnectionConfig
        Options.
    reconnects : ReconnectBudget
        Budget shared by all monitors of the VM.
    share : callable
        Returns how many connections the VM may have to the target.
    rng : random.Random
        Source of jitter.
    now : float
        Current time in seconds.
    """

    def __init__(
        self,
        target_id: str,
        cfg: ConnectionConfig,
        reconnects: ReconnectBudget,
        share: Callable[[], int],
        rng: Random,
        now: float,
    ) -> None:
        self.target_id = target_id
        self.down = False
        self._cfg = cfg
        self._reconnects = reconnects
        self._share = share
        self._rng = rng
        self._conns: dict[int, _Conn] = {}
        self._opening = False
        self._opened_before = False
        self._retry_at = now
        self._failures = 0
        self._check: _Check | None = None
        self._p99_s = cfg.silence_min_s / cfg.silence_factor
        self._next_ping = 0
        self._wake_at = now

    # Events.

    def on_open(self, conn_id: int, now: float) -> list[Action]:
        """Note that a connection opened and the target answered on it."""
        self._opening = False
        self._opened_before = True
        self._wake_at = now
        self._conns[conn_id] = _Conn(opened_at=now, last_bytes=now)
        actions: list[Action] = []
        if self._check is None and len(self._conns) > 1:
            del self._conns[conn_id]
            actions.append(CloseConnection(conn_id, CloseReason.NOT_NEEDED))
        return [*actions, *self._up(), *self._conclude(now)]

    def on_open_failed(self, now: float, *, refused: bool = False) -> list[Action]:
        """Note that a connection could not be opened.

        Parameters
        ----------
        now : float
            Current time in seconds.
        refused : bool, optional
            Whether the target answered that it takes no more connections. It is alive then, and a
            quiet connection is a silent one, which makes room when it is closed.
        """
        self._opening = False
        self._failures += 1
        self._schedule_retry(now)
        if self._check is not None and refused:
            return self._close_quiet()
        if self._conns and self._check is None:
            return []  # the other connection has answered meanwhile
        return self._set_down()

    def on_sent(self, conn_id: int, now: float, count: int = 1) -> list[Action]:
        """Note that sub-requests were sent on a connection."""
        conn = self._conns.get(conn_id)
        if conn is not None:
            if conn.in_flight == 0:
                conn.waiting_since = now
            if conn.unanswered_since is None:
                conn.unanswered_since = now
                self._wake_at = min(self._wake_at, now + self.silence_s)
            conn.in_flight += count
        return []

    def on_done(self, conn_id: int, now: float, latency_s: float | None = None) -> list[Action]:
        """Note that a sub-request ended, with its latency if it was answered."""
        conn = self._conns.get(conn_id)
        if conn is not None and conn.in_flight:
            conn.in_flight -= 1
        if latency_s is not None:
            direction = 0.99 if latency_s > self._p99_s else -0.01
            self._p99_s = max(1e-4, self._p99_s * (1 + direction * _QUANTILE_STEP))
        return []

    def on_bytes(self, conn_id: int, now: float) -> list[Action]:
        """Note that a message arrived on a connection."""
        conn = self._conns.get(conn_id)
        if conn is None:
            return []
        conn.last_bytes = now
        conn.unanswered_since = None
        conn.ping_id = 0
        if self._check is None or self._check.conn_id != conn_id:
            return []
        return self._end_check(conn_id)

    def on_pong(self, conn_id: int, ping_id: int, now: float) -> list[Action]:
        """Note that a ping was answered."""
        return self.on_bytes(conn_id, now)

    def on_closed(self, conn_id: int, now: float) -> list[Action]:
        """Note that a connection was closed by the target or the network."""
        conn = self._conns.pop(conn_id, None)
        if conn is None:
            return []
        self._wake_at = now
        # A target that accepts and closes at once must not use up the budget of all others.
        stable = now - conn.opened_at >= self._cfg.retry_max_s
        self._failures = 0 if stable else self._failures + 1
        if self._check is not None and self._check.conn_id == conn_id:
            self._check = None
        if not self._conns and not self._opening:
            self._schedule_retry(now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        if now < self._wake_at:
            return []
        actions: list[Action] = []
        for conn_id, conn in self._conns.items():
            actions += self._watch(conn_id, conn, now)
        actions += self._advance_check(now)
        if not self._conns:
            actions += self._open(now)
        self._wake_at = self._deadline(now)
        return actions

    # Decisions.

    @property
    def silence_s(self) -> float:
        """Silence after which a connection with requests in flight is checked, in seconds."""
        silence_s = self._cfg.silence_factor * self._p99_s
        return min(max(silence_s, self._cfg.silence_min_s), self._cfg.silence_max_s)

    @property
    def ready_conn(self) -> int | None:
        """Connection for new work; None while there is none or one is being checked.

        During a check nothing is sent on the second connection either, since it is closed if the
        first one answers.
        """
        if self._check is not None:
            return None
        return next(iter(self._conns), None)

    @property
    def resolving(self) -> bool:
        """Whether there is no connection for new work, but may be soon."""
        return not self.down and self.ready_conn is None

    def _watch(self, conn_id: int, conn: _Conn, now: float) -> list[Action]:
        """Start a check or an idle ping, if one is due."""
        if self._check is not None and self._check.conn_id == conn_id:
            return []
        if conn.ping_id:
            if now - conn.pinged_at >= self._cfg.ping_grace_s:
                self._start_check(conn_id, conn.pinged_at)
            return []
        if self._is_quiet(conn, now):
            return self._start_check(conn_id, now, ping=conn)
        if now >= self._ping_due(conn):
            return [self._ping(conn_id, conn, now)]
        return []

    def _ping_due(self, conn: _Conn) -> float:
        """Return when to ping a connection without requests in flight.

        It is not the idle time if requests were cancelled before any answer: where hedges on other
        targets always win, nothing stays in flight for long enough to start a check.
        """
        idle_at = conn.last_bytes + self._cfg.idle_ping_s
        if conn.unanswered_since is None:
            return idle_at
        return min(idle_at, conn.unanswered_since + self.silence_s)

    def _is_quiet(self, conn: _Conn, now: float) -> bool:
        if not conn.in_flight:
            return False
        return now - max(conn.last_bytes, conn.waiting_since) >= self.silence_s

    def _start_check(self, conn_id: int, since: float, ping: _Conn | None = None) -> list[Action]:
        # Jitter spreads the reconnects of many VMs that lost their connections together.
        grace_s = self._cfg.ping_grace_s * self._rng.uniform(1.0, 1.5)
        if self._check is None:
            self._check = _Check(conn_id, since, since + grace_s)
        return [self._ping(conn_id, ping, since)] if ping is not None else []

    def _ping(self, conn_id: int, conn: _Conn, now: float) -> SendPing:
        self._next_ping += 1
        conn.ping_id, conn.pinged_at = self._next_ping, now
        return SendPing(conn_id, self._next_ping)

    def _advance_check(self, now: float) -> list[Action]:
        check = self._check
        if check is None:
            return []
        actions = self._conclude(now)
        if self._check is None:
            return actions
        quiet_s = now - check.since
        if len(self._conns) == 1 and self._share() < 2:
            if quiet_s >= self._cfg.ping_timeout_s:
                actions += self._close_quiet()
        elif len(self._conns) == 1 and now >= check.open_at:
            actions += self._open(now)
        if quiet_s >= self._cfg.open_timeout_s and not self._opening:
            # The reconnect budget is used up, or the attempt failed; new work goes elsewhere.
            actions += self._set_down()
        return actions

    def _conclude(self, now: float) -> list[Action]:
        """Close the quiet connection if the second one is open and the quiet one had its time."""
        check = self._check
        if check is None or len(self._conns) < 2:
            return []
        if now - check.since < self._cfg.ping_timeout_s:
            return []
        return self._close_quiet()

    def _close_quiet(self) -> list[Action]:
        conn_id, self._check = self._check.conn_id, None
        del self._conns[conn_id]
        return [CloseConnection(conn_id, CloseReason.SILENT)]

    def _end_check(self, conn_id: int) -> list[Action]:
        """Keep the connection that answered; a second one is not needed."""
        self._check = None
        spare = [other for other in self._conns if other != conn_id]
        for other in spare:
            del self._conns[other]
        return [
            *(CloseConnection(other, CloseReason.NOT_NEEDED) for other in spare),
            *self._up(),
        ]

    def _open(self, now: float) -> list[Action]:
        if self._opening or now < self._retry_at:
            return []
        # The first connection is not a reconnect; a check that found no budget asks again.
        reconnect = self._opened_before or self._failures > 0
        reserve = RETRY_RESERVE if self.down else 0.0
        if reconnect and not self._reconnects.take(now, reserve=reserve):
            return []
        self._opening = True
        return [OpenConnection(self.target_id)]

    def _schedule_retry(self, now: float) -> None:
        self._wake_at = now
        if self._failures == 0:
            self._retry_at = now + self._rng.uniform(0, 0.05)
            return
        wait_s = min(self._cfg.retry_max_s, self._cfg.retry_min_s * 2 ** (self._failures - 1))
        self._retry_at = now + wait_s * self._rng.uniform(0.5, 1.0)

    def _set_down(self) -> list[Action]:
        if self.down:
            return []
        self.down = True
        return [TargetDown(self.target_id)]

    def _up(self) -> list[Action]:
        if not self.down:
            return []
        self.down = False
        return [TargetUp(self.target_id)]

    def _deadline(self, now: float) -> float:
        """Return when `tick` has something to do."""
        times = [now + self._cfg.idle_ping_s]
        for conn in self._conns.values():
            times.append(self._ping_due(conn))
            if conn.in_flight:
                times.append(max(conn.last_bytes, conn.waiting_since) + self.silence_s)
            if conn.ping_id:
                times.append(conn.pinged_at + self._cfg.ping_grace_s)
        if self._check is not None:
            times.append(now + self._cfg.ping_grace_s / 2)
        if not self._conns and not self._opening:
            times.append(max(self._retry_at, now + self._cfg.ping_grace_s / 2))
        return min(times)

    def next_deadline(self) -> float:
        """Return when `tick` has something to do."""
        return self._wake_at

    def dump(self, now: float) -> dict[str, object]:
        """Return the connections with the reason of their state."""
        return {
            "down": self.down,
            "opening": self._opening,
            "failures": self._failures,
            "silence_s": round(self.silence_s, 3),
            "checked_conn": self._check and self._check.conn_id,
            "checked_for_s": self._check and round(now - self._check.since, 3),
            "conns": {
                conn_id: {
                    "in_flight": conn.in_flight,
                    "quiet_for_s": round(now - conn.last_bytes, 3),
                }
                for conn_id, conn in self._conns.items()
            },
        }
