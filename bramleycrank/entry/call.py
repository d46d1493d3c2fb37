"""A caller's request in progress, and the interface that receives sub-request outcomes."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

import attrs

from bramleycrank.connections.http_types import CancelOutcome, PooledSubRequest
from bramleycrank.customers import ANONYMOUS, Customer, Identity
from bramleycrank.customers.returns import EarlyRefusal
from bramleycrank.customers.shares import Waiter
from bramleycrank.entry.types import CallerMeta
from bramleycrank.scatter import ScatterExecution
from bramleycrank.transport.http1 import Exchange, RequestTemplate, Response


@attrs.define(eq=False)
class Call:
    """A caller's request in progress, with its open sub-requests.

    Parameters
    ----------
    identity : Identity
        Who sends the request.
    delegated : bool
        Whether the caller is another VM, which offered the request to this one.
    waiter : Waiter or None
        The request as decisions see it while it waits for room.
    check_at : float
        When to decide next whether it is refused early, in seconds.
    early_refusal : EarlyRefusal or None
        Its early refusal.
    """

    exchange: Exchange
    meta: CallerMeta
    execution: ScatterExecution
    identity: Identity = ANONYMOUS
    fingerprint: int = 0
    delegated: bool = False
    offered: bool = False  # to other VMs, none of which has started it
    template: RequestTemplate | None = None
    subs: dict[int, PooledSubRequest] = attrs.field(factory=dict)
    timer: asyncio.TimerHandle | None = None
    timer_at: float = 0.0
    sends: int = 0
    queued_at: set[str] = attrs.field(factory=set)  # services that it has waited for
    failures: list[str] = attrs.field(factory=list)
    waiter: Waiter | None = None
    check_at: float = math.inf
    early_refusal: EarlyRefusal | None = None

    @property
    def customer(self) -> Customer | None:
        """Customer that sends the request, or None if it is not known."""
        return self.identity.customer


class SubRequestObserver(Protocol):
    """Receives the outcomes of the sub-requests of all requests."""

    def on_response(self, call: Call, sub: PooledSubRequest, response: Response) -> bool:
        """Process a response; return whether it belongs to the request."""

    def on_lost(self, call: Call, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Process the loss of a response."""

    def on_late(self, call: Call, sub: PooledSubRequest, response: Response) -> None:
        """Process the response to a cancelled sub-request."""

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        """Record that a cancelled sub-request no longer occupies a slot of its target."""


class CallListener:
    """Forwards the outcomes of one request's sub-requests together with the request."""

    __slots__ = ("_call", "_controller")

    def __init__(self, controller: SubRequestObserver, call: Call) -> None:
        self._controller = controller
        self._call = call

    def on_response(self, sub: PooledSubRequest, response: Response) -> bool:
        """Forward a response."""
        return self._controller.on_response(self._call, sub, response)

    def on_lost(self, sub: PooledSubRequest, *, sent: bool, garbled: bool) -> None:
        """Process the loss of a response."""
        self._controller.on_lost(self._call, sub, sent=sent, garbled=garbled)

    def on_late(self, sub: PooledSubRequest, response: Response) -> None:
        """Process the response to a cancelled sub-request."""
        self._controller.on_late(self._call, sub, response)

    def on_cancel_completed(self, sub: PooledSubRequest, outcome: CancelOutcome) -> None:
        """Forward the end of a cancelled sub-request."""
        self._controller.on_cancel_completed(sub, outcome)
