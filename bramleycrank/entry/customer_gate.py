"""Lets the requests of callers pass: who sends them, and whether their allowance has room."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from bramleycrank.customers import Customer, Identity, KeyRefusal, identify
from bramleycrank.customers.allowances import Refuse
from bramleycrank.customers.counts import CustomerCounts
from bramleycrank.customers.returns import Rule
from bramleycrank.customers.usage import CustomerUsage, RefusalRule
from bramleycrank.entry.allowances import EntryAllowances
from bramleycrank.entry.types import CallerMeta, Routes
from bramleycrank.observability.metrics import Metrics
from bramleycrank.proto.entry_pb2 import CustomerUse, ListCustomersReply
from bramleycrank.routing import Route, RouteIndex
from bramleycrank.scatter import RefusalCause
from bramleycrank.scatter.retry_after import add_jitter
from bramleycrank.transport.http1 import Exchange

log = logging.getLogger(__name__)

MAX_WAIT_SHARE = 0.25
"""Part of the time that a request has left for which it may wait for a grant; the targets and a
second attempt need the rest."""


class RefuseRequest(Protocol):
    """Refuses a request and logs why."""

    def __call__(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        status: int,
        retry_s: float,
        reason: str,
        **fields: object,
    ) -> None:
        """Respond with a status, and with the time after which the caller may retry."""


class CustomerGate:
    """Identifies callers, applies the allowances of their customers, and counts their use.

    Parameters
    ----------
    routes : Routes
        Tells whether a newer route table may be in force elsewhere.
    allowances : EntryAllowances or None
        Admits the requests of customers with an allowance; without it all are admitted.
    refuse : RefuseRequest
        Refuses a request.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        routes: Routes,
        allowances: EntryAllowances | None,
        refuse: RefuseRequest,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._allowances = allowances
        self._refuse = refuse
        self._clock = clock
        self._rng = rng
        self._index: RouteIndex | None = None
        self._usage = CustomerUsage()
        self._counts = CustomerCounts()

    def set_index(self, index: RouteIndex) -> None:
        """Apply the customers of the route table in force."""
        self._index = index
        self._usage.retain(customer.name for customer in index.customers)
        self._counts.retain(customer.name for customer in index.customers)

    def identify(self, exchange: Exchange, meta: CallerMeta, route: Route) -> Identity | None:
        """Return who sends a request; refuse the request if it needs a key and has none."""
        result = identify(
            self._index.customers, meta.key, public=route.public, is_newest=self._routes.is_newest
        )
        if not isinstance(result, KeyRefusal):
            return result
        if result.final:
            self._refuse(exchange, meta, 401, 0.0, result.reason, rule=result.rule)
        else:
            retry_s = add_jitter(result.retry_after_s, self._rng)
            self._refuse(exchange, meta, 503, retry_s, result.reason, rule=result.rule)
        return None

    def admit(
        self,
        exchange: Exchange,
        meta: CallerMeta,
        identity: Identity,
        left_s: float,
        on_admitted: Callable[[], None],
    ) -> None:
        """Continue a request within its customer's allowance, which counts it once; refuse others.

        Parameters
        ----------
        exchange : Exchange
            The request.
        meta : CallerMeta
            Its metadata.
        identity : Identity
            Who sends it.
        left_s : float
            Time until the request ends, in seconds.
        on_admitted : callable
            Called now or after the issuer's next reply.
        """
        customer = identity.customer
        if customer is None:
            on_admitted()
            return
        use = self._usage[customer.name]

        def admitted() -> None:
            use.on_admitted(self._clock())
            try:
                on_admitted()
            except Exception:
                # After a wait, nobody else would answer the caller.
                log.exception("entry: a request failed")
                exchange.respond(500, [], b"", close=True)

        if not customer.is_limited or self._allowances is None:
            admitted()
            return

        def refused(refusal: Refuse) -> None:
            retry_s = add_jitter(refusal.retry_after_s, self._rng)
            if refusal.over_allowance:
                status, reason = 429, "beyond the customer's allowance"
                rule = RefusalRule.ALLOWANCE
            else:
                status, reason = 503, "no grant of the customer's allowance"
                rule = RefusalRule.ISSUER
            self.on_refused(customer, rule)
            fields = {**identity.log_fields(), **self.log_fields(customer)}
            self._refuse(exchange, meta, status, retry_s, reason, rule=str(rule), **fields)

        withdraw = self._allowances.admit(customer, admitted, refused, MAX_WAIT_SHARE * left_s)
        if withdraw is not None:
            exchange.on_disconnected = withdraw

    def on_refused(
        self, customer: Customer | None, rule: RefusalRule | Rule | RefusalCause
    ) -> None:
        """Count a request that was refused and did not run."""
        if customer is not None:
            self._usage[customer.name].on_refused(rule)
            self._counts.count(customer.name, str(rule), self._clock())

    def on_ended(self, customer: Customer | None, result: str) -> None:
        """Count a request that was admitted and was not refused."""
        if customer is not None:
            self._counts.count(customer.name, result, self._clock())

    def report(self, metrics: Metrics) -> None:
        """Set the metrics of customers, of which a bounded number are named."""
        values = self._counts.values(self._clock())
        if values:
            metrics.labelled("entry.customers", ("customer", "result"), values)

    def log_fields(self, customer: Customer | None) -> dict[str, Any]:
        """Return what this VM holds of a customer's allowance, and its age, for a refusal's log."""
        if customer is None or not customer.is_limited or self._allowances is None:
            return {}
        return {"allowance": self._allowances.describe(customer)}

    def describe_allowance(self, customer: Customer | None) -> str:
        """Return the rate of a customer, and what this VM holds of it with its age."""
        if customer is None or not customer.is_limited:
            return "not limited"
        text = f"{customer.per_s:g}/s and a burst of {customer.burst:g}"
        if self._allowances is None:
            return text
        held = self._allowances.describe(customer)
        return f"{text}; " + ", ".join(f"{name} {value}" for name, value in held.items())

    def uses(self, name: str) -> ListCustomersReply:
        """Return what the callers of one customer, or of all if `name` is empty, use here."""
        if self._index is None:
            return ListCustomersReply(vms=1)
        now = self._clock()
        customers = [c for c in self._index.customers if name in ("", c.name)]
        return ListCustomersReply(
            routes_version=self._index.version,
            vms=1,
            customers=[self._describe(customer, now) for customer in customers],
        )

    def _describe(self, customer: Customer, now: float) -> CustomerUse:
        use = self._usage.get(customer.name)
        held = 0
        if self._allowances is not None and customer.is_limited:
            held = self._allowances.describe(customer)["held"]
        return CustomerUse(
            name=customer.name,
            rank=customer.rank,
            per_s=customer.per_s,
            burst=customer.burst,
            keys=self._index.customers.key_count(customer.name),
            admitted=use.admitted,
            refused={str(rule): count for rule, count in use.refused.items()},
            recent_per_s=use.recent_per_s(now),
            vms=int(self._usage.has_seen(customer.name)),
            held=held,
        )
