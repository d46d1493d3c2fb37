"""Sub-requests on connections to HTTP targets, and who hears of their ends."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any, Protocol

import attrs


class Connection(Protocol):
    """A connection to a target; `transport.http1.TargetConnection`."""

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
        """Close at once."""


class Ending(enum.Enum):
    """How a sub-request ended that was given up."""

    ANSWERED = enum.auto()  # the target answered, too late to be used
    CANCELLED = enum.auto()  # it was not sent, or its connection was closed at once
    SILENT = enum.auto()  # the target had its time, or closed the connection


class SubListener(Protocol):
    """Hears how a sub-request ends; one of the calls comes once."""

    def on_response(self, sub: PoolSub, response: Any) -> bool:
        """Take the response; return whether it belongs to the request.

        The connection is closed if not, because the next response would be another stray one.
        """

    def on_lost(self, sub: PoolSub, *, sent: bool, garbled: bool) -> None:
        """Take note that there is no whole response."""

    def on_late(self, sub: PoolSub, response: Any) -> None:
        """Take the response to a cancelled sub-request; `on_given_up` follows."""

    def on_given_up(self, sub: PoolSub, ending: Ending) -> None:
        """Take note that a cancelled sub-request occupies its target no more."""


@attrs.define(eq=False)
class PoolSub:
    """A sub-request on its way.

    Parameters
    ----------
    sub_id : int
        Identifier for the listener.
    target_id : str
        The target.
    encode : callable
        Returns the bytes of the request; called when they are sent, since they tell the time left.
    head : bool
        Whether it is a HEAD request.
    listener : SubListener
        Hears of the end.
    started : float
        When it was handed to the pool, in seconds.
    incarnation : int
        Incarnation of the target that it is meant for.
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
