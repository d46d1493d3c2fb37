"""Options and actions of the connection cores."""

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
        Longest such silence; bounds the time to find a silent connection of a slow target.
    silence_factor : float
        Silence as a multiple of the observed p99 of the latency.
    ping_grace_s : float
        Wait for the answer to a ping before a second connection is opened. A slow target answers
        within it, which saves the reconnect budget.
    ping_timeout_s : float
        A connection that gave no answer for this long beside a working one is silent.
    open_timeout_s : float
        Limit for opening a connection, first answer included.
    idle_ping_s : float
        Time between pings of an idle connection.
    reconnects_per_s : float
        Refill rate of the reconnect budget.
    reconnect_burst : int
        Size of the reconnect budget.
    retry_min_s, retry_max_s : float
        Bounds of the growing wait between attempts to open a connection to a target that is down.
    budget_retention_s : float
        How long a higher number of VMs keeps reducing the share of a target's connections.
    join_s : float
        How long a VM that joined opens one connection per target only.
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

    SILENT = "silent"  # it carries nothing, while the target answers elsewhere or may do so
    NOT_NEEDED = "not_needed"  # the older connection works


@attrs.frozen
class SendPing:
    """Send a ping on a connection."""

    conn_id: int
    ping_id: int


@attrs.frozen
class OpenConnection:
    """Open a connection; answer with `on_open` or `on_open_failed` within `open_timeout_s`."""

    target_id: str


@attrs.frozen
class CloseConnection:
    """Close a connection; the monitor has forgotten it already."""

    conn_id: int
    reason: CloseReason


@attrs.frozen
class TargetDown:
    """The target answers on no connection."""

    target_id: str


@attrs.frozen
class TargetUp:
    """The target answers again."""

    target_id: str


Action: TypeAlias = SendPing | OpenConnection | CloseConnection | TargetDown | TargetUp
