"""Requests of callers that wait for free slots at targets."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any, Protocol

from bramleycrank.customers import Customer
from bramleycrank.customers.fleet_use import read_pairs, write_pairs
from bramleycrank.customers.returns import (
    EarlyRefusal,
    EarlyRefusals,
    Queue,
    RefusedRequests,
    estimate_wait,
    next_check,
)
from bramleycrank.customers.shares import NO_CUSTOMER, Room, Shares, Waiter
from bramleycrank.entry.call import Call
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto.peer_pb2 import GrantReply, GrantRequest
from bramleycrank.routing import Route
from bramleycrank.scatter import ScatterExecution

MAX_LOGGED_SERVICES = 3
"""Most services that a log line names; a request may wait for dozens."""


class RoomSource(Protocol):
    """Source of what the targets of a service can take."""

    def room(self, service: str, now: float) -> Room:
        """Return what the usable targets of a service can take from this VM."""

    def typical_latency(self, route: str) -> float:
        """Return the median latency of the sub-requests of a route, in seconds."""


class WaitingCalls:
    """Orders the requests that wait for a service, and decides which of them are refused.

    While there are customers, room is divided among them and what cannot be served is refused
    early. Otherwise the order is that of `ScatterExecution.wait_order`, and nothing is refused.

    Parameters
    ----------
    rooms : RoomSource
        Source of the room at each service.
    metrics : Metrics
        Receives the metrics.
    """

    def __init__(self, rooms: RoomSource, metrics: Metrics) -> None:
        self._rooms = rooms
        self._metrics = metrics
        self._calls: dict[str, dict[Call, None]] = defaultdict(dict)
        self._shares = Shares()
        self._refusals = EarlyRefusals(self._shares)
        self._refused = RefusedRequests()

    def set_customers(self, customers: Iterable[Customer], routes: Iterable[Route] = ()) -> None:
        """Apply the customers and the routes of the table in force."""
        self._shares.set_customers(customers)
        self._shares.fleet.set_routes(route.services for route in routes)

    # Use at other VMs, which goes with the messages to and from the issuer of allowances.

    def attach_use(self, request: GrantRequest, now: float) -> None:
        """Add what customers use here to a message, unless it was sent a short time ago."""
        pairs = self._shares.report(now)
        if pairs is not None:
            write_pairs(request.work, pairs)

    def merge_use(self, reply: GrantReply, now: float) -> None:
        """Take over what customers use at other VMs."""
        if reply.HasField("work"):
            self._shares.fleet.on_reply(read_pairs(reply.work), now)

    def add(self, call: Call) -> None:
        """Queue a request for each service that it waits for."""
        for service in call.execution.waiting:
            self._calls[service].setdefault(call)
            call.queued_at.add(service)

    def discard(self, call: Call) -> None:
        """Remove a request that has ended."""
        for service in call.queued_at:
            self._calls[service].pop(call, None)

    def in_order(self, service: str, now: float) -> Iterator[Call]:
        """Remove and yield the requests that wait for a service, in the order that they get slots.

        Use that is counted between two steps moves the requests of a customer behind others.
        """
        calls = self._calls.get(service)
        if not calls:
            return
        for call in [call for call in calls if service not in call.execution.waiting]:
            del calls[call]
        for call in self._sorted(service, list(calls), now):
            calls.pop(call, None)
            yield call

    def _sorted(self, service: str, calls: list[Call], now: float) -> Iterable[Call]:
        if not self._shares.in_force:
            return sorted(calls, key=lambda call: call.execution.wait_order(now))
        by_waiter = {self._waiter(call, now): call for call in calls}
        latency_s = self._rooms.room(service, now).latency_s
        return map(by_waiter.get, self._shares.order(service, by_waiter, latency_s, now))

    def _waiter(self, call: Call, now: float) -> Waiter:
        if call.waiter is None:
            call.waiter = self._new_waiter(call.execution, call.customer, call.fingerprint, now)
        return call.waiter

    def _new_waiter(
        self, execution: ScatterExecution, customer: Customer | None, fingerprint: int, now: float
    ) -> Waiter:
        return Waiter(
            customer,
            execution.rank,
            execution.arrived,
            execution.answer_at,
            execution.deadline,
            execution.refuse_by,
            self._refused.refused_at(_name(customer), fingerprint, now),
        )

    def next_check(self, call: Call) -> float:
        """Return when to decide next whether a request is refused, in seconds."""
        waits = self._shares.in_force and call.execution.waiting and call.execution.is_unsent
        return call.check_at if waits else math.inf

    def find_refusal(self, call: Call, now: float) -> EarlyRefusal | None:
        """Return the refusal of a request to which no target was offered, or None if it waits."""
        if not self._shares.in_force or not call.execution.is_unsent:
            return None
        waiter = self._waiter(call, now)
        call.check_at = next_check(waiter, now)
        refusal = self._refusals.decide(
            waiter, self._longest_needed(call.execution, call, now), now
        )
        if refusal is not None:
            call.early_refusal = refusal
            self._metrics.incr(f"entry.refused_early.{refusal.rule}")
        return refusal

    def preview_refusal(
        self, execution: ScatterExecution, customer: Customer | None, fingerprint: int, now: float
    ) -> EarlyRefusal | None:
        """Return the refusal of a request that has not arrived, without any effect.

        Parameters
        ----------
        execution : ScatterExecution
            The request.
        customer : Customer or None
            Customer that would send it; None for a caller without a key.
        fingerprint : int
            Its fingerprint.
        now : float
            Current time in seconds.
        """
        if not self._shares.in_force:
            return None
        waiter = self._new_waiter(execution, customer, fingerprint, now)
        queue = self._longest_needed(execution, None, now)
        return self._refusals.preview(waiter, queue, now)[1]

    def _longest_needed(
        self, execution: ScatterExecution, call: Call | None, now: float
    ) -> Queue | None:
        """Return the longest queue that a request must wait in; None if it needs none.

        An answer over many services needs only some of them, so the shorter queues count.
        """
        services = execution.open_services
        rooms = {
            service: self._rooms.room(service, now)
            for service in services
            if self._calls.get(service)
        }
        needed = execution.needed - (len(services) - len(rooms))
        if not 0 < needed <= len(rooms):
            return None
        by_wait = sorted(
            rooms, key=lambda name: estimate_wait(len(self._calls[name]), rooms[name].per_s)
        )
        service = by_wait[needed - 1]
        others = [
            self._waiter(other, now)
            for other in self._calls[service]
            if other is not call and service in other.execution.waiting
        ]
        if not others and service not in execution.waiting:
            return None
        return Queue(service, rooms[service], others)

    def on_sent(self, call: Call, service: str, now: float) -> None:
        """Count a sub-request as use of a service by the customer."""
        if not self._shares.in_force:
            return
        work_s = self._rooms.typical_latency(call.execution.route.name)
        self._shares.on_sent(service, call.customer, work_s, now)
        self._refused.discard(_name(call.customer), call.fingerprint)

    def on_refused(self, call: Call, return_s: float, now: float) -> None:
        """Remember a request that was refused, so that it precedes others when it returns."""
        if self._shares.in_force:
            self._refused.add(_name(call.customer), call.fingerprint, return_s, now)

    def describe_use(self, call: Call, now: float) -> dict[str, Any]:
        """Return the customer's recent use of the services waited for, for a refusal's log."""
        if not self._shares.in_force:
            return {}
        name = _name(call.customer)
        services = sorted(call.queued_at)[:MAX_LOGGED_SERVICES]
        return {
            "uses_ms": {s: round(self._shares.use(s, name, now) * 1e3) for s in services},
            "weight": round(self._shares.weight(call.customer), 3),
        }

    def explain(self, call: Call, now: float) -> dict[str, Any]:
        """Return the inputs of an early refusal, for the log."""
        refusal = call.early_refusal
        if refusal is None:
            return {}
        return {
            "rule": str(refusal.rule),
            "service": refusal.service,
            "ahead": refusal.ahead,
            "return_ms": round(refusal.return_s * 1e3),
            "use_ms": round(self._shares.use(refusal.service, _name(call.customer), now) * 1e3),
            "use_elsewhere_ms": round(
                self._shares.fleet.elsewhere(refusal.service, _name(call.customer), now) * 1e3
            ),
            "weight": round(self._shares.weight(call.customer), 3),
        }

    def dump(self, now: float) -> dict[str, Any]:
        """Return the waiting requests by service, the greatest uses and the refused requests."""
        return {
            "waiting": {service: len(calls) for service, calls in self._calls.items() if calls},
            "shares": self._shares.dump(now),
            "fleet_use": self._shares.fleet.dump(now),
            "refused": len(self._refused),
        }


def _name(customer: Customer | None) -> str:
    return customer.name if customer is not None else NO_CUSTOMER
