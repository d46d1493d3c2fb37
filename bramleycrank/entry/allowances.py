"""Admits requests of limited customers: the holder's timers, clock and calls to the issuer."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from bramleycrank.customers import Customer
from bramleycrank.customers.allowances import Admit, AllowanceBounds, Ask, Holder, Refuse
from bramleycrank.entry.types import Routes
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto.peer_pb2 import GrantReply, GrantRequest
from bramleycrank.transport.grpc_errors import is_unimplemented

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.5
"""Time limit of a call to the issuer, in seconds."""

WAIT_S = 0.3
"""Longest time for which a request waits for a grant, in seconds; some round trips."""

MAX_DUMPED_CUSTOMERS = 20
"""Most customers in a dump, those with the most refusals first."""


def suspend_aware_clock() -> float:
    """Return a time in seconds that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Leader(Protocol):
    """Knows the VM that issues the allowances."""

    def leader_address(self) -> str:
        """Return ``host:port`` of the leader, or an empty string."""


class Peers(Protocol):
    """Calls other VMs."""

    async def call(
        self, address: str, method: str, request: Any, *, timeout_s: float, purpose: str
    ) -> Any:
        """Call one method of a peer."""


class UseExchange(Protocol):
    """Exchanges what customers use of the targets with other VMs; times in seconds."""

    def attach_use(self, request: GrantRequest, now: float) -> None:
        """Add what customers use here to a message, unless it was sent a short time ago."""

    def merge_use(self, reply: GrantReply, now: float) -> None:
        """Take over what customers use at other VMs."""


@attrs.define(eq=False)
class _Waiting:
    """A request that waits for a grant; `timer` ends the wait."""

    customer: str
    on_admitted: Callable[[], None]
    on_refused: Callable[[Refuse], None]
    wait_s: float = WAIT_S
    timer: asyncio.TimerHandle | None = None


class EntryAllowances:
    """Runs the `Holder` of a VM that serves callers.

    It has no timer and sends nothing while no customer with an allowance sends requests.

    Parameters
    ----------
    vm_id : str
        This VM.
    bounds : AllowanceBounds
        The bound on the requests in each window.
    routes : Routes
        Source of the customers in force.
    leader : Leader
        Knows the address of the leader.
    peers : Peers
        Calls other VMs.
    metrics : Metrics
        Receives the metrics.
    rng : random.Random
        Source of random choices.
    clock : callable, optional
        Time in seconds that goes on while the machine is suspended.
    """

    def __init__(
        self,
        vm_id: str,
        bounds: AllowanceBounds,
        routes: Routes,
        leader: Leader,
        peers: Peers,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = suspend_aware_clock,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._holder = Holder(vm_id, rng.getrandbits(63), bounds)
        self._routes = routes
        self._leader = leader
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._routes_version = -1
        self._waiting: list[_Waiting] = []
        self._timer: asyncio.TimerHandle | None = None
        self._call: asyncio.Task[None] | None = None
        self._unlimited = False
        self._stopped = False
        self._uses: UseExchange | None = None

    def start(self, uses: UseExchange | None = None) -> None:
        """Follow the customers in force; messages to the issuer carry the `uses`."""
        self._uses = uses
        self._routes.subscribe(self._on_routes)
        self._on_routes()

    def stop(self) -> None:
        """Drop the requests that wait, whose connections are closed, and end the call in flight."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._call is not None:
            self._call.cancel()
        for waiting in list(self._waiting):
            self._withdraw(waiting)

    def admit(
        self,
        customer: Customer,
        on_admitted: Callable[[], None],
        on_refused: Callable[[Refuse], None],
        wait_s: float = WAIT_S,
    ) -> Callable[[], None] | None:
        """Decide on a request, at once or after the issuer's next reply within `wait_s` seconds.

        Returns
        -------
        callable or None
            Withdraws the request; None if it is decided.
        """
        waiting = _Waiting(customer.name, on_admitted, on_refused, min(wait_s, WAIT_S))
        self._decide(waiting, again=False)
        self._schedule()
        return functools.partial(self._withdraw, waiting) if waiting in self._waiting else None

    def describe(self, customer: Customer) -> dict[str, Any]:
        """Return the rate, the grants and their age, for the log line of a refused request."""
        return self._holder.describe(customer.name, self._clock())

    def _decide(self, waiting: _Waiting, *, again: bool) -> None:
        decision = self._holder.admit(waiting.customer, self._clock(), again=again)
        if isinstance(decision, Ask):
            if waiting.timer is None:
                self._count("waited")
                waiting.timer = self._loop.call_later(waiting.wait_s, self._give_up, waiting)
            if waiting not in self._waiting:
                self._waiting.append(waiting)
            return
        self._end(waiting, decision)

    def _give_up(self, waiting: _Waiting) -> None:
        self._end(waiting, self._holder.give_up(waiting.customer, self._clock()))

    def _end(self, waiting: _Waiting, decision: Admit | Refuse) -> None:
        self._withdraw(waiting)
        if isinstance(decision, Refuse):
            self._count("refused" if decision.over_allowance else "no_issuer")
            waiting.on_refused(decision)
        else:
            waiting.on_admitted()

    def _count(self, event: str) -> None:
        self._metrics.incr(f"entry.allowances.{event}")

    def _withdraw(self, waiting: _Waiting) -> None:
        if waiting.timer is not None:
            waiting.timer.cancel()
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def _on_routes(self) -> None:
        table = self._routes.routes()
        if table is None or table.version == self._routes_version:
            return
        self._routes_version = table.version
        customers = (Customer.from_message(message) for message in table.customers)
        self._holder.set_customers((c for c in customers if c.is_limited), table.version)

    # Calls to the issuer.

    def _schedule(self) -> None:
        """Set the timer for the next request to the issuer, if there will be one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._call is not None or self._stopped:
            return
        now = self._clock()
        due = self._holder.due_at(now)
        if due <= now:
            self._poll()
        elif due != float("inf"):
            self._timer = self._loop.call_later(due - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._schedule()

    def _poll(self) -> None:
        request = self._holder.next_request(self._clock())
        if request is not None:
            if self._uses is not None:
                self._uses.attach_use(request, self._loop.time())
            self._call = asyncio.ensure_future(self._request(request))
            self._call.add_done_callback(self._on_call_done)

    async def _request(self, request: GrantRequest) -> None:
        reply = None
        address = self._leader.leader_address()
        try:
            if address:
                reply = await self._peers.call(
                    address, "Grant", request, timeout_s=CALL_TIMEOUT_S, purpose="grants"
                )
        except BramleycrankError as exc:
            if is_unimplemented(exc):
                self._on_unsupported(request.sequence, address)
                return
            log.debug("allowances: no grants from %s: %s", address, exc)
        self._on_reply(request.sequence, reply)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        self._call = None
        if task.cancelled():
            return
        if task.exception() is not None:
            log.error("allowances: a request for grants failed", exc_info=task.exception())
            self._holder.on_unreachable()
        self._decide_waiting()
        self._schedule()

    def _on_reply(self, sequence: int, reply: GrantReply | None) -> None:
        reached = self._holder.is_reaching_issuer
        if reply is None:
            self._holder.on_unreachable(sequence)
        else:
            self._unlimited = False
            self._holder.on_reply(sequence, reply, self._clock())
            if self._uses is not None:
                self._uses.merge_use(reply, self._loop.time())
        if self._holder.is_reaching_issuer != reached:
            log.info(
                "allowances: %s",
                "no issuer is reached" if reached else "an issuer is reached again",
                extra={"leader_address": self._leader.leader_address()},
            )

    def _on_unsupported(self, sequence: int, address: str) -> None:
        if not self._unlimited:
            log.warning(
                "allowances: the leader knows none, requests are admitted without limit",
                extra={"leader_address": address},
            )
        self._unlimited = True
        self._count("without_issuer")
        self._holder.on_unsupported(sequence, self._clock())

    def _decide_waiting(self) -> None:
        for waiting in list(self._waiting):
            if waiting in self._waiting:
                self._decide(waiting, again=True)

    def dump(self) -> dict[str, Any]:
        """Return the state of the holder in JSON form."""
        state = self._holder.dump(self._clock())
        names = sorted(state["customers"].items(), key=lambda item: -item[1]["refused"])
        state["customer_count"] = len(names)
        state["customers"] = dict(names[:MAX_DUMPED_CUSTOMERS])
        state["waiting"] = len(self._waiting)
        return state
