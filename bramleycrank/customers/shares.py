"""Order and shares of the requests that wait for room at the targets of a service."""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

import attrs

from bramleycrank.customers.decay import DecayingSum
from bramleycrank.customers.fleet_use import USE_DECAY_S, WORK_UNIT_S, FleetUse
from bramleycrank.customers.types import Customer

MIN_WORK_S = 0.001
"""Least work that a sub-request counts as, in seconds, also for a route without any reply yet."""

TIMER_DELAY_S = 0.01
"""How late a timer may fire on a busy VM, in seconds; a refusal is then still better than none."""

MAX_USES = 20_000
"""Largest number of pairs of service and customer whose use is kept."""

MAX_DUMPED = 20
"""Largest number of customers in a dump."""

NO_CUSTOMER = ""
"""Name under which requests of all callers without a customer count together."""


@attrs.frozen
class Room:
    """What the targets of a service can take from this VM.

    Parameters
    ----------
    per_s : float
        Sub-requests per second; 0 if none are taken or no reply has shown the latency yet.
    latency_s : float
        Least time that one sub-request needs, in seconds.
    """

    per_s: float = 0.0
    latency_s: float = 0.0


@attrs.define(eq=False)
class Waiter:
    """A request that waits for room, as far as decisions depend on it.

    Parameters
    ----------
    customer : Customer or None
        Customer of the caller.
    rank : int
        Priority rank; 0 is the most urgent.
    arrived : float
        Time at which the caller sent the request, in seconds.
    answer_at : float
        Time at which the answer must be ready to meet the objective; infinite without objective.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    refuse_by : float
        Time until which a refusal leaves the caller time for another attempt, in seconds.
    refused_at : float
        Time of the first refusal of this request, if it has returned at its time; else infinite.
    checked_at : float
        Time of the last check whether it can be served, in seconds; infinite before the first one.
    checked_ahead : int
        Number of requests that were before it at that check.
    """

    customer: Customer | None
    rank: int
    arrived: float
    answer_at: float
    deadline: float
    refuse_by: float = -math.inf
    refused_at: float = math.inf
    checked_at: float = math.inf
    checked_ahead: int = 0

    @property
    def name(self) -> str:
        """Name under which the use of room counts."""
        return self.customer.name if self.customer is not None else NO_CUSTOMER

    @property
    def has_returned(self) -> bool:
        """Whether the request was refused before and has returned at its time."""
        return self.refused_at < math.inf

    def may_return(self, now: float) -> bool:
        """Return whether a refusal leaves the caller its first time for another attempt."""
        return now <= self.refuse_by + TIMER_DELAY_S and not self.has_returned

    def is_late(self, latency_s: float, now: float) -> bool:
        """Return whether the request can no longer meet its objective."""
        return now + latency_s >= self.answer_at

    def order_in_share(self) -> tuple[float, float]:
        """Return the sort key among requests of one customer and priority; the lowest goes first.

        Load pattern: sustained overload. Those that have waited longest since their first refusal
        precede first attempts. Of these the newest precedes, because oldest first would make every
        request late.
        """
        return self.refused_at, -self.arrived


class Shares:
    """Divides the room at each service among customers by their recent use.

    The customer with the least use in relation to its weight goes first, so that each customer gets
    what it asks for up to its share, and what it leaves goes to the others (weighted max-min). The
    weight is the rate that the customer may use; one without a rate has the mean weight.

    All VMs send to the same targets, so the use is that at all VMs as far as it is known.
    """

    def __init__(self) -> None:
        self.fleet = FleetUse()
        self._customers = 0
        self._mean_rate = 1.0
        self._uses: dict[tuple[str, str], DecayingSum] = {}

    def set_customers(self, customers: Iterable[Customer]) -> None:
        """Apply the customers of a route table."""
        customers = list(customers)
        rates = [customer.per_s for customer in customers if customer.is_limited]
        self._customers = len(customers)
        self._mean_rate = sum(rates) / len(rates) if rates else 1.0

    @property
    def in_force(self) -> bool:
        """Whether room is divided among customers."""
        return self._customers > 0

    def weight(self, customer: Customer | None) -> float:
        """Return the weight of a customer, 1 for the mean rate."""
        limited = customer is not None and customer.is_limited
        return customer.per_s / self._mean_rate if limited else 1.0

    def on_sent(self, service: str, customer: Customer | None, work_s: float, now: float) -> None:
        """Count the expected work of a sub-request, in seconds, as use of a service."""
        name = customer.name if customer is not None else NO_CUSTOMER
        added = max(MIN_WORK_S, work_s) / self.weight(customer)
        if len(self._uses) >= MAX_USES and (service, name) not in self._uses:
            self._forget(now)
        use = self._uses.get((service, name))
        if use is None:
            use = self._uses[service, name] = DecayingSum(USE_DECAY_S)
        use.add(added, now)

    def use(self, service: str, name: str, now: float) -> float:
        """Return a customer's recent use of a service, in seconds of work per weight."""
        return self.own_use(service, name, now) + self.fleet.elsewhere(service, name, now)

    def own_use(self, service: str, name: str, now: float) -> float:
        """Return the part of the use that this VM has sent, in seconds of work per weight."""
        use = self._uses.get((service, name))
        return use.at(now) if use is not None else 0.0

    def report(self, now: float) -> list[tuple[int, int]] | None:
        """Return the pairs that other VMs need, or None while no report is due."""
        if not self.in_force or not self.fleet.is_due(now):
            return None
        uses = {key: use.at(now) for key, use in self._uses.items()}
        self._uses = {key: self._uses[key] for key in uses if uses[key] >= WORK_UNIT_S / 2}
        return self.fleet.report(((*key, used_s) for key, used_s in uses.items()), now)

    def dump(self, now: float) -> dict[str, float]:
        """Return the customers with the greatest use at all services, in seconds of work."""
        by_customer: dict[str, float] = defaultdict(float)
        for service, name in self._uses:
            by_customer[name] += self.own_use(service, name, now)
        greatest = heapq.nlargest(MAX_DUMPED, by_customer.items(), key=lambda item: item[1])
        return {name: round(used_s, 4) for name, used_s in greatest}

    def _forget(self, now: float) -> None:
        """Remove the lesser half of the uses."""
        uses = sorted(self._uses, key=lambda key: self.own_use(*key, now), reverse=True)
        self._uses = {key: self._uses[key] for key in uses[: MAX_USES // 2]}

    def order(
        self, service: str, waiters: Iterable[Waiter], latency_s: float, now: float
    ) -> Iterator[Waiter]:
        """Yield the requests in the order in which they get room.

        The use that is counted between two steps moves a customer behind the others.

        Parameters
        ----------
        service : str
            The service that has room.
        waiters : iterable of Waiter
            Requests that wait for it.
        latency_s : float
            Least time that a sub-request needs, in seconds.
        now : float
            Current time in seconds.
        """
        groups: dict[tuple[bool, int, str], list[Waiter]] = defaultdict(list)
        for waiter in waiters:
            groups[waiter.is_late(latency_s, now), waiter.rank, waiter.name].append(waiter)
        heap = [(late, rank, self.use(service, name, now), name) for late, rank, name in groups]
        heapq.heapify(heap)
        for group in groups.values():
            group.sort(key=Waiter.order_in_share, reverse=True)
        while heap:
            late, rank, _, name = heapq.heappop(heap)
            group = groups[late, rank, name]
            yield group.pop()
            if group:
                heapq.heappush(heap, (late, rank, self.use(service, name, now), name))

    def count_ahead(
        self, service: str, waiter: Waiter, others: Sequence[Waiter], latency_s: float, now: float
    ) -> int:
        """Return how many of the other requests will get room before this one."""
        late, rank, name = waiter.is_late(latency_s, now), waiter.rank, waiter.name
        work_s, own_key = max(MIN_WORK_S, latency_s), waiter.order_in_share()
        ahead, own_ahead, rivals = 0, 0, defaultdict(list)
        for other in others:
            urgency = (other.is_late(latency_s, now), other.rank)
            if urgency < (late, rank):
                ahead += 1
            elif urgency == (late, rank) and other.name != name:
                rivals[other.name].append(other)
            elif urgency == (late, rank) and other.order_in_share() < own_key:
                own_ahead += 1
        # Each rival goes first until its use exceeds that of this customer at its turn.
        level = self.use(service, name, now) + own_ahead * work_s / self.weight(waiter.customer)
        for rival, waiting in rivals.items():
            lead_s = (level - self.use(service, rival, now)) * self.weight(waiting[0].customer)
            ahead += min(len(waiting), max(0, math.ceil(lead_s / work_s)))
        return ahead + own_ahead
