"""The holder's side of the allowances: admits requests from grants, from memory."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs

from bramleycrank.customers.allowances.limits import (
    FALLBACK_S,
    VALID_S,
    VALIDITY_MARGIN,
    AllowanceBounds,
)
from bramleycrank.customers.decay import DecayingSum
from bramleycrank.customers.types import Customer
from bramleycrank.proto.peer_pb2 import AllowanceGrant, AllowanceUse, GrantReply, GrantRequest

MIN_GAP_S = 0.02
"""Least time between two messages while requests wait, in seconds."""

BATCH_GAP_S = 0.1
"""Least time between two messages while no request waits, in seconds."""

REFRESH_S = 0.8
"""Time after which the use of a customer is reported again, in seconds."""

RETRY_S = 0.25
"""Time after which a holder asks again if it reached no issuer, in seconds; a part of the time in
which a new leader is elected."""

KEEP_S = 10.0
"""Time after its last request for which a grant is kept ready for a customer, in seconds; callers
of small customers send one in several seconds, and stay with one VM."""

AHEAD_S = 0.4
"""Time for which grants are kept ready, in seconds of the present demand at this VM; several round
trips."""

DEMAND_S = 2.0
"""Time over which the present demand is averaged, in seconds."""

SCARCE_S = 0.4
"""Time after a reply with fewer grants than wanted in which none are asked for in advance, in
seconds."""

MAX_DENIAL_S = 1.0
"""Longest time for which requests are refused without asking again, in seconds."""

MAX_RETRY_AFTER_S = 5.0
"""Longest time that a refused caller is told, in seconds."""

MIN_SHARE_LEFT_S = 5.0
"""Least validity of a fallback share that is reported to an issuer, in seconds, so that no late
message renews one that has expired."""

UNSUPPORTED_S = 5.0
"""Time for which requests are admitted without limit after a leader that knows no grants answered,
in seconds."""


@attrs.frozen
class Admit:
    """The request may run."""


@attrs.frozen
class Ask:
    """The request waits for the next reply of the issuer."""


@attrs.frozen
class Refuse:
    """The request is refused.

    Parameters
    ----------
    retry_after_s : float
        Time after which it may be admitted, in seconds.
    over_allowance : bool
        Whether the allowance is used up; otherwise no issuer was reached, or a new one does not
        grant the whole allowance yet.
    """

    retry_after_s: float
    over_allowance: bool


@attrs.define
class _Grants:
    """What this VM holds of one allowance.

    Parameters
    ----------
    left : int
        Requests that may be admitted until `expires`.
    admitted : int
        Requests admitted with grants of the present issuer, in total.
    asked_admitted, asked_left : int
        The same, and the grants left, at the time of the last request to the issuer.
    on_demand : int
        Requests that waited for the last reply and may be admitted until `on_demand_until`.
    denied_until : float
        Time until which the issuer has nothing to grant, in seconds.
    requests : DecayingSum
        Requests of the last seconds at this VM, whether admitted or not.
    scarce_until : float
        Time until which no further grants are asked for ahead of requests, in seconds.
    idle : bool
        Whether the issuer knows that this VM holds and wants nothing.
    usable_share : float
        Share in the fallback allowance before the last increase, which is in force a window after
        it: another holder may have used that part until now.
    accepted_sequence : int
        Number of the last request whose reply had grants for this customer.
    """

    left: int = 0
    expires: float = 0.0
    on_demand: int = 0
    on_demand_until: float = 0.0
    admitted: int = 0
    asked_admitted: int = 0
    asked_left: int = 0
    denied_until: float = 0.0
    retry_at: float = 0.0
    refused: int = 0
    refused_total: int = 0
    waiting: int = 0
    wanted: int = 0
    scarce_until: float = 0.0
    releasing: bool = False
    idle: bool = False
    requests: DecayingSum = attrs.field(factory=lambda: DecayingSum(DEMAND_S))
    last_at: float = -math.inf
    reported_at: float = -math.inf
    fallback_share: float = 0.0
    fallback_until: float = 0.0
    usable_share: float = 0.0
    increased_until: float = 0.0
    accepted_sequence: int = 0
    fallback_times: deque[float] = attrs.field(factory=deque)

    def count(self, now: float) -> None:
        """Count a request."""
        self.requests.add(1.0, now)
        self.last_at = now
        self.idle = False

    def demand(self, now: float) -> float:
        """Return the present demand in requests per second."""
        return self.requests.per_s(now)

    def mature_share(self, now: float) -> None:
        """Put the last increase of the fallback share in force once a window has passed."""
        if now >= self.increased_until:
            self.usable_share = self.fallback_share

    def ready(self, now: float) -> int:
        """Return the grants that can be used now."""
        return self.left if now < self.expires else 0

    def target(self, now: float) -> int:
        """Return the grants to hold ready besides those for requests that wait."""
        if now - self.last_at > KEEP_S:
            return 0
        return 1 + math.floor(AHEAD_S * self.demand(now))


class Holder:
    """Admits the requests of limited customers from grants, and decides when to ask for more.

    Load pattern: customers have dozens of callers, each of which keeps to one VM, and send from one
    request in several seconds to dozens in a second. A VM keeps a grant ready for each customer
    that sent recently, and asks for more before it needs them, in one message for all customers;
    requests beyond the allowance are refused from memory.

    Times are of a clock that goes on while the VM is suspended.

    Parameters
    ----------
    vm_id : str
        This VM.
    incarnation : int
        Number of this process that no earlier one of the VM had.
    bounds : AllowanceBounds
        The bound on the requests in each window.
    """

    def __init__(self, vm_id: str, incarnation: int, bounds: AllowanceBounds) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._bounds = bounds
        self._customers: dict[str, Customer] = {}
        self._version = 0
        self._grants: dict[str, _Grants] = {}
        self._admitted: dict[str, int] = {}  # of customers that were forgotten, in this term
        self._term = 0
        self._starting = False
        self._sequence = 0
        self._in_flight: tuple[int, float] | None = None
        self._sent_at = -math.inf
        self._failed = False
        self._unlimited_until = -math.inf
        self._replied_at = -math.inf

    def set_customers(self, customers: Iterable[Customer], version: int) -> None:
        """Apply the limited customers of a new route table."""
        self._version = version
        self._customers = {customer.name: customer for customer in customers}

    @property
    def is_reaching_issuer(self) -> bool:
        """Whether the last request to an issuer did not fail."""
        return not self._failed

    def admit(self, name: str, now: float, *, again: bool = False) -> Admit | Ask | Refuse:
        """Decide on a request of a customer.

        Parameters
        ----------
        name : str
            The customer.
        now : float
            Current time in seconds.
        again : bool, optional
            Whether the request has waited for a reply.
        """
        customer = self._customers.get(name)
        if customer is None:
            return Admit()
        grants = self._grants.get(name)
        if grants is None:
            grants = _Grants(admitted=self._admitted.get(name, 0))
            self._grants[name] = grants
        if not again:
            grants.count(now)
        if now < self._unlimited_until:
            return Admit()
        if again and grants.on_demand and now < grants.on_demand_until:
            grants.on_demand -= 1
            return Admit()
        if grants.ready(now):
            grants.left -= 1
            grants.admitted += 1
            return Admit()
        denied = now < grants.denied_until
        if not self._failed and not denied:
            grants.waiting += 1
            return Ask()
        if (self._failed or self._starting) and self._use_fallback(customer, grants, now):
            return Admit()
        return self._refuse(customer, grants, now)

    def give_up(self, name: str, now: float) -> Admit | Refuse:
        """Decide on a request that has waited for too long."""
        customer, grants = self._customers.get(name), self._grants.get(name)
        if customer is None or grants is None:
            return Admit()
        if self._use_fallback(customer, grants, now):
            return Admit()
        grants.refused_total += 1
        return Refuse(RETRY_S, over_allowance=False)

    def _refuse(self, customer: Customer, grants: _Grants, now: float) -> Refuse:
        grants.refused_total += 1
        if self._failed:
            return Refuse(2 * RETRY_S, over_allowance=False)
        # Each refused caller is told a later time, as far apart as the requests of the rate.
        wait_s = max(0.0, grants.retry_at - now) + grants.refused / customer.per_s
        grants.refused += 1
        # A new issuer grants less than the allowance for a while.
        over_allowance = not self._starting or grants.demand(now) > (
            customer.per_s + customer.burst / DEMAND_S
        )
        return Refuse(min(MAX_RETRY_AFTER_S, wait_s), over_allowance)

    def _use_fallback(self, customer: Customer, grants: _Grants, now: float) -> bool:
        """Use this VM's share in the fallback allowance, if there is one left in the window."""
        if now >= grants.fallback_until:
            return False
        grants.mature_share(now)
        times = grants.fallback_times
        while times and times[0] < now - self._bounds.window_s:
            times.popleft()
        limit = math.floor(grants.usable_share * self._bounds.fallback(customer) + 1e-6)
        if len(times) >= limit:
            return False
        times.append(now)
        return True

    # Messages.

    def due_at(self, now: float) -> float:
        """Return the time of the next request to the issuer, in seconds; infinity for none."""
        if self._in_flight is not None or not self._grants:
            return math.inf
        due = min(self._due_at(grants, now) for grants in self._grants.values())
        if due == math.inf:
            return due
        if now < self._unlimited_until:
            return max(due, self._unlimited_until)
        return max(due, self._sent_at + (RETRY_S if self._failed else MIN_GAP_S))

    def _due_at(self, grants: _Grants, now: float) -> float:
        if grants.idle:
            return math.inf
        if grants.waiting:
            return now
        if self._is_low(grants, now):
            return self._sent_at + BATCH_GAP_S
        return grants.reported_at + REFRESH_S

    @staticmethod
    def _is_low(grants: _Grants, now: float) -> bool:
        """Whether the grants of a customer run out soon and the issuer may have more."""
        if now < max(grants.denied_until, grants.scarce_until):
            return False
        return 2 * grants.ready(now) < grants.target(now)

    def next_request(self, now: float) -> GrantRequest | None:
        """Return the request to send now, or None if none is due; its reply is awaited."""
        if self.due_at(now) > now:
            return None
        self._sequence += 1
        self._in_flight = (self._sequence, now)
        self._sent_at = now
        return GrantRequest(
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            sequence=self._sequence,
            routes_version=self._version,
            issuer_term=self._term,
            uses=[
                self._report(name, grants, now)
                for name, grants in self._grants.items()
                if not grants.idle
                and (
                    grants.waiting
                    or self._is_low(grants, now)
                    or now >= grants.reported_at + REFRESH_S / 2
                )
            ],
        )

    def _report(self, name: str, grants: _Grants, now: float) -> AllowanceUse:
        target = grants.target(now)
        # What is not needed any more goes back to the issuer.
        grants.left = min(grants.ready(now), 2 * target)
        if now > grants.fallback_until - MIN_SHARE_LEFT_S:
            grants.fallback_share = grants.usable_share = 0.0
        grants.asked_admitted, grants.asked_left = grants.admitted, grants.left
        grants.reported_at = now
        ahead = 0 if now < grants.denied_until else max(0, target - grants.left)
        grants.wanted = grants.waiting + ahead
        grants.releasing = not (target or grants.left or grants.waiting)
        return AllowanceUse(
            customer=name,
            admitted=grants.admitted,
            held=grants.left,
            waiting=grants.waiting,
            ahead=ahead,
            fallback_share=grants.fallback_share,
            accepted_sequence=grants.accepted_sequence,
        )

    def on_reply(self, sequence: int, reply: GrantReply, now: float) -> None:
        """Process the reply to a request; requests that waited are decided again after it."""
        if self._in_flight is None or self._in_flight[0] != sequence:
            return
        if not reply.issuing or reply.issuer_term < self._term:
            self.on_unreachable(sequence)
            return
        sent_at = self._in_flight[1]
        self._in_flight = None
        self._failed = False
        self._starting = reply.starting
        self._replied_at = now
        self._end_waits()
        if reply.issuer_term != self._term:
            self._term = reply.issuer_term
            self._admitted.clear()
            # The new issuer counts only what it has granted.
            for grants in self._grants.values():
                grants.left = grants.admitted = grants.asked_admitted = grants.asked_left = 0
        for grant in reply.grants:
            grants = self._grants.get(grant.customer)
            if grants is not None:
                self._apply(grants, grant, sent_at, now)
                grants.accepted_sequence = sequence
                grants.idle = grants.releasing and not (grants.left or grants.target(now))
        self._forget_idle(now)

    def _forget_idle(self, now: float) -> None:
        """Forget customers without requests once their fallback shares have expired."""
        for name, grants in list(self._grants.items()):
            if grants.idle and now >= grants.fallback_until:
                self._admitted[name] = grants.admitted
                del self._grants[name]

    def _apply(self, grants: _Grants, grant: AllowanceGrant, sent_at: float, now: float) -> None:
        valid = 1 - VALIDITY_MARGIN
        used = grants.admitted - grants.asked_admitted
        customer = self._customers.get(grant.customer)
        if customer is not None:
            on_demand_s = self._bounds.on_demand_s(customer)
            grants.on_demand_until = sent_at + on_demand_s * valid
        grants.on_demand = grant.on_demand
        if grant.requests + grant.on_demand < grants.asked_left + grants.wanted:
            grants.scarce_until = now + SCARCE_S
        grants.left = max(0, grant.requests - used)
        grants.expires = sent_at + VALID_S * valid
        grants.mature_share(now)
        if grant.fallback_share > grants.fallback_share:
            grants.increased_until = now + self._bounds.window_s
        else:
            grants.usable_share = min(grants.usable_share, grant.fallback_share)
        grants.fallback_share = grant.fallback_share
        grants.fallback_until = sent_at + FALLBACK_S * valid
        if grant.retry_after_ms:
            retry_after_s = grant.retry_after_ms / 1000
            grants.retry_at = now + retry_after_s
            grants.denied_until = now + min(MAX_DENIAL_S, retry_after_s)
            grants.refused = 0
        elif grant.on_demand or grants.left:
            grants.denied_until = 0.0
            grants.refused = 0

    def on_unreachable(self, sequence: int | None = None) -> None:
        """Process that a request failed, or that no issuer is known; its reply is ignored."""
        if sequence is not None and (self._in_flight is None or self._in_flight[0] != sequence):
            return
        self._in_flight = None
        self._failed = True
        self._end_waits()

    def on_unsupported(self, sequence: int, now: float) -> None:
        """Process the answer of a leader that knows no grants."""
        self.on_unreachable(sequence)
        self._failed = False
        self._unlimited_until = now + UNSUPPORTED_S

    def _end_waits(self) -> None:
        for grants in self._grants.values():
            grants.waiting = 0

    # What operators see.

    def refusals(self) -> dict[str, int]:
        """Return the refused requests by customer since it was last idle."""
        return {name: g.refused_total for name, g in self._grants.items() if g.refused_total}

    def describe(self, name: str, now: float) -> dict[str, Any]:
        """Return the grants of a customer and their age in JSON form, for logs and dumps."""
        customer, grants = self._customers.get(name), self._grants.get(name, _Grants())
        return {
            "per_s": customer.per_s if customer else 0.0,
            "burst": customer.burst if customer else 0.0,
            "held": grants.ready(now),
            "demand_per_s": round(grants.demand(now), 2),
            "refused": grants.refused_total,
            "fallback_share": grants.fallback_share if now < grants.fallback_until else 0.0,
            "reply_age_s": round(now - self._replied_at, 3) if self._term else None,
        }

    def dump(self, now: float) -> dict[str, Any]:
        """Return the grants of all customers with recent requests, in JSON form."""
        return {
            "reaching_issuer": not self._failed,
            "issuer_term": self._term,
            "without_limit": now < self._unlimited_until,
            "customers": {name: self.describe(name, now) for name in self._grants},
        }
