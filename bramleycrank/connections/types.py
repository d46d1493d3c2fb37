"""Options and actions of the connection monitor and budgets."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs


@attrs.frozen
class ConnectionConfig:
    """Options of the monitor and the budgets; times in seconds.

    Parameters
    ----------
    silence_min_s : float
        Shortest silence with requests in flight after which a connection is checked.
    silence_max_s : float
        Longest such silence; bounds the time to detect a silent connection to a slow target.
    silence_factor : float
        Silence before a check, as a multiple of the observed p99 latency.
    ping_grace_s : float
        Time to wait for a pong before a second connection is opened. A slow target answers the
        ping in that time, which saves the reconnect budget.
    ping_timeout_s : float
        Time without a message after which a connection is silent if another one works.
    open_timeout_s : float
        Timeout for opening a connection, including the first message from the target.
    idle_ping_s : float
        Interval between pings on an idle connection.
    reconnects_per_s : float
        Refill rate of the reconnect budget.
    reconnect_burst : int
        Size of the reconnect budget.
    retry_min_s, retry_max_s : float
        Bounds of the back-off between attempts to connect to a target that is down.
    budget_retention_s : float
        How long a higher earlier number of VMs still reduces the share of a target's connections.
    join_s : float
        How long a new VM opens only one connection per target.
    """

    silence_min_s: float = 0.25
    silence_max_s: float = 1.0
    silence_factor: float = 4.0
    ping_grace_s: float = 0.1
    ping_timeout_s: float = 0.25
    open_timeout_s: float = 0.5
    idle_ping_s: float = 5.0
    reconnects_per_s: float = 10.0
    reconnect_burst: int = 20
    retry_min_s: float = 0.5
    retry_max_s: float = 5.0
    budget_retention_s: float = 30.0
    join_s: float = 5.0


class CloseReason(enum.StrEnum):
    """Why the monitor closes a connection."""

    SILENT = "silent"  # no message on it, while the target may respond on another one
    NOT_NEEDED = "not_needed"  # the older connection works


@attrs.frozen
class SendPing:
    """Send a ping on a connection."""

    conn_id: int
    ping_id: int


@attrs.frozen
class OpenConnection:
    """Open a connection; call `on_open` or `on_open_failed` within `open_timeout_s`."""

    target_id: str


@attrs.frozen
class CloseConnection:
    """Close a connection; the monitor has removed it already."""

    conn_id: int
    reason: CloseReason


@attrs.frozen
class TargetDown:
    """The target responds on no connection."""

    target_id: str


@attrs.frozen
class TargetUp:
    """The target responds again."""

    target_id: str


Action: TypeAlias = SendPing | OpenConnection | CloseConnection | TargetDown | TargetUp
