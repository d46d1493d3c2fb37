"""A request of a caller in progress, and who hears of its sub-requests."""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs

from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.daemon.entry_types import CallerMeta
from bramleycrank.scatter import ScatterExecution
from bramleycrank.transport.http1 import Exchange, RequestTemplate, Response


@attrs.define(eq=False)
class Call:
    """A request in progress."""

    exchange: Exchange
    meta: CallerMeta
    execution: ScatterExecution
    template: RequestTemplate | None = None
    subs: dict[int, PooledSubRequest] = attrs.field(factory=dict)
    timer: asyncio.TimerHandle | None = None
    timer_at: float = 0.0
    sends: int = 0
    failures: list[str] = attrs.field(factory=list)


class SubEnds(Protocol):
    """Hears of the ends of all requests' sub-requests."""

    def on_response(self, call: Call, sub: PooledSubRequest, response: Response) -> bool:
        """Take a response; return whether it belongs to the request."""

    def on_lost(self, call: Call, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Take the loss of a response."""

    def on_late(self, call: Call, sub: PooledSubRequest, response: Response) -> None:
        """Take the response to a cancelled sub-request."""

    def on_cancel_completed(self, sub: PooledSubRequest, ending: CancelOutcome) -> None:
        """Take note that a cancelled sub-request occupies its target no more."""


class CallListener:
    """Passes the ends of one request's sub-requests on."""

    __slots__ = ("_call", "_controller")

    def __init__(self, controller: SubEnds, call: Call) -> None:
        self._controller = controller
        self._call = call

    def on_response(self, sub: PooledSubRequest, response: Response) -> bool:
        """Take a response."""
        return self._controller.on_response(self._call, sub, response)

    def on_lost(self, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Take the loss of a response."""
        self._controller.on_lost(self._call, sub, sent=sent, garbled=garbled)

    def on_late(self, sub: PooledSubRequest, response: Response) -> None:
        """Take the response to a cancelled sub-request."""
        self._controller.on_late(self._call, sub, response)

    def on_cancel_completed(self, sub: PooledSubRequest, ending: CancelOutcome) -> None:
        """Take the end of a cancelled sub-request."""
        self._controller.on_cancel_completed(sub, ending)
