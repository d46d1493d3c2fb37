"""Sub-requests to HTTP targets, and the interfaces of connections and listeners."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any, Protocol

import attrs


class Connection(Protocol):
    """A connection to a target, as implemented by `transport.http1.TargetConnection`."""

    closed: bool
    idle_until: float | None

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""

    @property
    def busy(self) -> bool:
        """Whether a request is in progress."""

    def send(self, data: bytes, *, head: bool = False) -> None:
        """Send a request."""

    def close(self) -> None:
        """Close the connection immediately."""


class CancelOutcome(enum.Enum):
    """Outcome of a cancelled sub-request."""

    ANSWERED = enum.auto()  # the target responded after the cancellation
    CANCELLED = enum.auto()  # it was not sent, or its connection was closed immediately
    SILENT = enum.auto()  # no response within the time limit, or the connection was lost


class SubListener(Protocol):
    """Listener for the end of a sub-request; exactly one call ends it."""

    def on_response(self, sub: PooledSubRequest, response: Any) -> bool:
        """Handle a response; return whether it belongs to the request.

        If it does not, the connection is closed, since later responses would not match either.
        """

    def on_lost(self, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Handle a sub-request that ended without a complete response."""

    def on_late(self, sub: PooledSubRequest, response: Any) -> None:
        """Handle the response to a cancelled sub-request; `on_cancel_completed` follows."""

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        """Handle the end of a cancelled sub-request, which no longer occupies its target."""


@attrs.define(eq=False)
class PooledSubRequest:
    """A sub-request that was handed to the pool.

    Parameters
    ----------
    sub_id : int
        Identifier for the listener.
    target_id : str
        The target.
    encode : callable
        Returns the bytes of the request. It is called on sending, since they contain the time left.
    head : bool
        Whether it is a HEAD request.
    listener : SubListener
        Receives the end of the sub-request.
    started : float
        Time at which it was handed to the pool, in seconds.
    incarnation : int
        Incarnation of the target to which it is sent.
    """

    sub_id: int
    target_id: str
    encode: Callable[[], bytes]
    head: bool
    listener: SubListener
    started: float = 0.0
    incarnation: int = 0
    conn: Connection | None = None
    sent: bool = False
    sent_at: float = 0.0
    linger_until: float | None = None
