"""Tells where a request would go now, and why, without any effect."""

from __future__ import annotations

import copy
import itertools
from typing import Any

from bramleycrank.customers import Customer
from bramleycrank.customers.returns import EarlyRefusal
from bramleycrank.entry.customer_gate import CustomerGate
from bramleycrank.entry.targets import EntryTargets
from bramleycrank.entry.waiting import WaitingCalls
from bramleycrank.routing import Route, RouteIndex
from bramleycrank.scatter import ScatterExecution
from bramleycrank.scatter.delivery import DeliveryEstimate
from bramleycrank.scatter.policy import TargetPolicy
from bramleycrank.scatter.quarantine import Quarantine
from bramleycrank.transport.http1.messages import Request


class Placement:
    """Runs the decisions of a request on copies of their state.

    Parameters
    ----------
    gate : CustomerGate
        Knows the customers and their allowances.
    targets : EntryTargets
        Chooses the targets.
    quarantine : Quarantine
        Knows the requests that are suspected to crash targets.
    waiting : WaitingCalls
        Knows the requests that wait, and refuses those that would get room too late.
    delivery : DeliveryEstimate
        Estimates the time that answers need to callers.
    """

    def __init__(
        self,
        gate: CustomerGate,
        targets: EntryTargets,
        quarantine: Quarantine,
        waiting: WaitingCalls,
        delivery: DeliveryEstimate,
    ) -> None:
        self._gate = gate
        self._targets = targets
        self._quarantine = quarantine
        self._waiting = waiting
        self._delivery = delivery

    def explain(
        self, index: RouteIndex | None, request: Request, customer_name: str, now: float
    ) -> dict[str, Any]:
        """Return the steps of the decision, and for each service its targets in order of choice.

        Parameters
        ----------
        index : RouteIndex or None
            Routes in force.
        request : Request
            The request, without the caller's key.
        customer_name : str
            Customer that sends it; empty for a caller without a key.
        now : float
            Current time in seconds.
        """
        steps: dict[str, str] = {}
        result: dict[str, Any] = {"steps": steps, "services": {}}
        if index is None:
            steps["route"] = "no route table is in force: 503"
            return result
        host = request.host.decode("latin-1")
        route = index.find(host, request.path)
        if route is None:
            steps["route"] = f"no route of version {index.version} matches: 404"
            return result
        steps["route"] = f"{route.name or route.prefix} of version {index.version}"
        customer = index.customers.by_name(customer_name) if customer_name else None
        if customer is None and customer_name:
            steps["customer"] = f"version {index.version} has no customer {customer_name!r}: 401"
            return result
        if customer is None and index.customers.in_use and not route.public:
            steps["customer"] = "the route needs a key: 401"
            return result
        steps["customer"] = _describe_customer(customer, route)
        steps["allowance"] = self._gate.describe_allowance(customer)
        if self._quarantine.in_quarantine(request.fingerprint):
            steps["admission"] = "the request crashes targets: 503"
            return result
        refusal = self._find_refusal(route, customer, request, now)
        if refusal is not None:
            steps["admission"] = _describe_refusal(refusal)
            return result
        steps["admission"] = self._describe_admission(route, request, now)
        result["services"] = self._choices(route, now)
        return result

    def _describe_admission(self, route: Route, request: Request, now: float) -> str:
        if not self._targets.serves(route, now):
            unreached = sorted(self._targets.unreached_of(route))
            return f"offered to another VM; not reached: {', '.join(unreached) or 'all services'}"
        if self._quarantine.is_suspect(request.fingerprint):
            return "sent to one target first, since targets ended under the request"
        return "served by this VM"

    def _find_refusal(
        self, route: Route, customer: Customer | None, request: Request, now: float
    ) -> EarlyRefusal | None:
        """Return the refusal of a request that this VM serves, as of a new connection."""
        if not self._targets.serves(route, now):
            return None
        rank = customer.rank if customer is not None else None
        network_s = self._delivery.network_time(route, None)
        with self._targets.policy.preview() as policy:
            execution = ScatterExecution(
                copy.copy(route),
                policy,
                itertools.count(),
                now,
                now + route.timeout_s,
                network_s,
                rank=rank,
            )
            return self._waiting.preview_refusal(execution, customer, request.fingerprint, now)

    def _choices(self, route: Route, now: float) -> dict[str, list[dict[str, Any]]]:
        """Return the targets of each service of a request in the order of choice."""
        services = route.services if route.gather else (copy.copy(route).choose_service(),)
        with self._targets.policy.preview() as policy:
            excluded = {name: self._excluded(policy, route, name) for name in services}
            # The first choices of all services precede the others, as when a request is sent.
            first = {name: policy.choose(name, excluded[name], now) for name in services}
            return {
                name: [
                    {"target": target_id, "why": policy.table.state(target_id).dump(now)}
                    for target_id in _in_order(policy, name, excluded[name], first[name], now)
                ]
                for name in services
            }

    @staticmethod
    def _excluded(policy: TargetPolicy, route: Route, service: str) -> list[str]:
        return policy.outside(service, route.regions) if route.regions else []


def _describe_refusal(refusal: EarlyRefusal) -> str:
    return (
        f"no room in time for the {refusal.rule}: 503, return after {refusal.return_s:.3g} s; "
        f"{refusal.ahead} requests go before it at {refusal.service}"
    )


def _in_order(
    policy: TargetPolicy, service: str, excluded: list[str], first: str | None, now: float
) -> list[str]:
    chosen: list[str] = []
    target_id = first
    while target_id is not None:
        chosen.append(target_id)
        target_id = policy.choose(service, [*excluded, *chosen], now)
    return chosen


def _describe_customer(customer: Customer | None, route: Route) -> str:
    if customer is None:
        return f"none; rank {route.rank} of the route"
    if customer.rank is None:
        return f"{customer.name}; rank {route.rank} of the route"
    return f"{customer.name}; rank {customer.rank} of the customer"
