"""Connection monitor: distinguishes silent connections from targets that are slow or down."""

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

# Share of the reconnect budget that is reserved for targets that are not down.
RETRY_RESERVE_SHARE = 0.5

# Relative step of the p99 estimate. A slower reply raises the estimate 99 times as much as a faster
# one lowers it, so it converges to the value that 1% of the replies exceed.
_P99_STEP = 0.1


@attrs.define
class _Conn:
    """An open connection."""

    opened_at: float
    last_message_at: float
    in_flight: int = 0
    waiting_since: float = 0.0
    unanswered_since: float | None = None  # first request since the last message
    ping_id: int = 0
    pinged_at: float = 0.0


@attrs.define
class _Check:
    """A check of a connection that has been silent for too long."""

    conn_id: int
    since: float
    open_at: float


class ConnectionMonitor:
    """Monitors the connections to one target and decides when to open, ping and close them.

    A check proceeds in these steps: send a ping on the silent connection; after `ping_grace_s`
    without a reply, open a second connection if both budgets allow it; close the checked
    connection if the second one opens and the checked one does not reply within `ping_timeout_s`.
    A message on the checked connection ends the check at any time. If no second connection can be
    opened, the target is down. With a share of one connection, the checked connection is closed
    before the new one opens.

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
        self._has_opened = False
        self._retry_at = now
        self._failures = 0
        self._check: _Check | None = None
        self._p99_s = cfg.silence_min_s / cfg.silence_factor
        self._last_ping_id = 0
        self._next_tick_at = now

    # Events.

    def on_open(self, conn_id: int, now: float) -> list[Action]:
        """Handle a new connection on which the target has responded."""
        self._opening = False
        self._has_opened = True
        self._next_tick_at = now
        self._conns[conn_id] = _Conn(opened_at=now, last_message_at=now)
        actions: list[Action] = []
        if self._check is None and len(self._conns) > 1:
            del self._conns[conn_id]
            actions.append(CloseConnection(conn_id, CloseReason.NOT_NEEDED))
        return [*actions, *self._set_up(), *self._replace_checked(now)]

    def on_open_failed(self, now: float, *, refused: bool = False) -> list[Action]:
        """Handle a connection attempt that failed.

        Parameters
        ----------
        now : float
            Current time in seconds.
        refused : bool, optional
            Whether the target refused the connection because of its limit. The target is alive
            then, so the checked connection is silent and is closed to free its share.
        """
        self._opening = False
        self._failures += 1
        self._schedule_retry(now)
        if self._check is not None and refused:
            return self._close_checked()
        if self._conns and self._check is None:
            return []  # the target has responded on the other connection
        return self._set_down()

    def on_sent(self, conn_id: int, now: float, count: int = 1) -> list[Action]:
        """Handle sub-requests that were sent on a connection."""
        conn = self._conns.get(conn_id)
        if conn is not None:
            if conn.in_flight == 0:
                conn.waiting_since = now
            if conn.unanswered_since is None:
                conn.unanswered_since = now
                self._next_tick_at = min(self._next_tick_at, now + self.silence_s)
            conn.in_flight += count
        return []

    def on_done(self, conn_id: int, now: float, latency_s: float | None = None) -> list[Action]:
        """Handle the end of a sub-request, with its latency if the target replied."""
        conn = self._conns.get(conn_id)
        if conn is not None and conn.in_flight:
            conn.in_flight -= 1
        if latency_s is not None:
            direction = 0.99 if latency_s > self._p99_s else -0.01
            self._p99_s = max(1e-4, self._p99_s * (1 + direction * _P99_STEP))
        return []

    def on_bytes(self, conn_id: int, now: float) -> list[Action]:
        """Handle a message on a connection."""
        conn = self._conns.get(conn_id)
        if conn is None:
            return []
        conn.last_message_at = now
        conn.unanswered_since = None
        conn.ping_id = 0
        if self._check is None or self._check.conn_id != conn_id:
            return []
        return self._end_check(conn_id)

    def on_pong(self, conn_id: int, ping_id: int, now: float) -> list[Action]:
        """Handle the reply to a ping."""
        return self.on_bytes(conn_id, now)

    def on_closed(self, conn_id: int, now: float) -> list[Action]:
        """Handle a connection that the target or the network closed."""
        conn = self._conns.pop(conn_id, None)
        if conn is None:
            return []
        self._next_tick_at = now
        # Back off from a target that accepts and closes immediately, to keep budget for the others.
        stable = now - conn.opened_at >= self._cfg.retry_max_s
        self._failures = 0 if stable else self._failures + 1
        if self._check is not None and self._check.conn_id == conn_id:
            self._check = None
        if not self._conns and not self._opening:
            self._schedule_retry(now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Perform the actions that are due."""
        if now < self._next_tick_at:
            return []
        actions: list[Action] = []
        for conn_id, conn in self._conns.items():
            actions += self._check_or_ping(conn_id, conn, now)
        actions += self._advance_check(now)
        if not self._conns:
            actions += self._open(now)
        self._next_tick_at = self._next_due(now)
        return actions

    # Decisions.

    @property
    def silence_s(self) -> float:
        """Silence in seconds after which a connection with requests in flight is checked."""
        silence_s = self._cfg.silence_factor * self._p99_s
        return min(max(silence_s, self._cfg.silence_min_s), self._cfg.silence_max_s)

    @property
    def ready_conn(self) -> int | None:
        """Connection for new sub-requests; None if there is none or one is being checked.

        During a check, the second connection is not used either, since it is closed if the
        target responds on the first one.
        """
        if self._check is not None:
            return None
        return next(iter(self._conns), None)

    @property
    def connection_pending(self) -> bool:
        """Whether the connection for new sub-requests is still being opened or checked."""
        return not self.down and self.ready_conn is None

    def _check_or_ping(self, conn_id: int, conn: _Conn, now: float) -> list[Action]:
        """Start a check or an idle ping, if one is due."""
        if self._check is not None and self._check.conn_id == conn_id:
            return []
        if conn.ping_id:
            if now - conn.pinged_at >= self._cfg.ping_grace_s:
                self._start_check(conn_id, conn.pinged_at)
            return []
        if self._is_silent(conn, now):
            return self._start_check(conn_id, now, ping=conn)
        if now >= self._ping_due(conn):
            return [self._ping(conn_id, conn, now)]
        return []

    def _ping_due(self, conn: _Conn) -> float:
        """Return when to ping a connection without requests in flight.

        The ping is sent before the idle interval ends if requests were cancelled before any reply.
        If hedges at other targets always win, no request is in flight for long enough to start a
        check.
        """
        idle_at = conn.last_message_at + self._cfg.idle_ping_s
        if conn.unanswered_since is None:
            return idle_at
        return min(idle_at, conn.unanswered_since + self.silence_s)

    def _is_silent(self, conn: _Conn, now: float) -> bool:
        if not conn.in_flight:
            return False
        return now - max(conn.last_message_at, conn.waiting_since) >= self.silence_s

    def _start_check(self, conn_id: int, since: float, ping: _Conn | None = None) -> list[Action]:
        # Jitter spreads the reconnects of VMs that lost their connections at the same time.
        grace_s = self._cfg.ping_grace_s * self._rng.uniform(1.0, 1.5)
        if self._check is None:
            self._check = _Check(conn_id, since, since + grace_s)
        return [self._ping(conn_id, ping, since)] if ping is not None else []

    def _ping(self, conn_id: int, conn: _Conn, now: float) -> SendPing:
        self._last_ping_id += 1
        conn.ping_id, conn.pinged_at = self._last_ping_id, now
        return SendPing(conn_id, self._last_ping_id)

    def _advance_check(self, now: float) -> list[Action]:
        check = self._check
        if check is None:
            return []
        actions = self._replace_checked(now)
        if self._check is None:
            return actions
        check_age_s = now - check.since
        if len(self._conns) == 1 and self._share() < 2:
            if check_age_s >= self._cfg.ping_timeout_s:
                actions += self._close_checked()
        elif len(self._conns) == 1 and now >= check.open_at:
            actions += self._open(now)
        if check_age_s >= self._cfg.open_timeout_s and not self._opening:
            # The reconnect budget is used up or the attempt failed; use other targets.
            actions += self._set_down()
        return actions

    def _replace_checked(self, now: float) -> list[Action]:
        """Close the checked connection if a second one is open and `ping_timeout_s` has passed."""
        check = self._check
        if check is None or len(self._conns) < 2:
            return []
        if now - check.since < self._cfg.ping_timeout_s:
            return []
        return self._close_checked()

    def _close_checked(self) -> list[Action]:
        conn_id, self._check = self._check.conn_id, None
        del self._conns[conn_id]
        return [CloseConnection(conn_id, CloseReason.SILENT)]

    def _end_check(self, conn_id: int) -> list[Action]:
        """Keep the connection on which the target responded and close a second one."""
        self._check = None
        surplus = [other for other in self._conns if other != conn_id]
        for other in surplus:
            del self._conns[other]
        return [
            *(CloseConnection(other, CloseReason.NOT_NEEDED) for other in surplus),
            *self._set_up(),
        ]

    def _open(self, now: float) -> list[Action]:
        if self._opening or now < self._retry_at:
            return []
        # The first connection is not a reconnect. A check without budget is retried by `tick`.
        reconnect = self._has_opened or self._failures > 0
        reserve = RETRY_RESERVE_SHARE if self.down else 0.0
        if reconnect and not self._reconnects.try_acquire(now, reserve=reserve):
            return []
        self._opening = True
        return [OpenConnection(self.target_id)]

    def _schedule_retry(self, now: float) -> None:
        self._next_tick_at = now
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

    def _set_up(self) -> list[Action]:
        if not self.down:
            return []
        self.down = False
        return [TargetUp(self.target_id)]

    def _next_due(self, now: float) -> float:
        """Compute when `tick` is due next."""
        times = [now + self._cfg.idle_ping_s]
        for conn in self._conns.values():
            times.append(self._ping_due(conn))
            if conn.in_flight:
                times.append(max(conn.last_message_at, conn.waiting_since) + self.silence_s)
            if conn.ping_id:
                times.append(conn.pinged_at + self._cfg.ping_grace_s)
        if self._check is not None:
            times.append(now + self._cfg.ping_grace_s / 2)
        if not self._conns and not self._opening:
            times.append(max(self._retry_at, now + self._cfg.ping_grace_s / 2))
        return min(times)

    def next_deadline(self) -> float:
        """Return when `tick` is due next."""
        return self._next_tick_at

    def dump(self, now: float) -> dict[str, object]:
        """Return the state of the monitor and its connections."""
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
                    "quiet_for_s": round(now - conn.last_message_at, 3),
                }
                for conn_id, conn in self._conns.items()
            },
        }
