"""Replays of overload on the order, shares and early refusals of waiting requests."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable
from statistics import mean

import attrs
import pytest

from bramleycrank.customers import Customer
from bramleycrank.customers.returns import (
    MAX_RETURNS,
    EarlyRefusals,
    Queue,
    RefusedRequests,
    ReturnTimes,
    next_check,
)
from bramleycrank.customers.shares import Room, Shares, Waiter

SMALL_CUSTOMERS = 39


@attrs.frozen
class Kind:
    """A kind of request; times in seconds."""

    name: str
    work_s: float
    objective_s: float
    budget_s: float
    rank: int = 1


CHEAP = Kind("cheap", 0.004, 0.05, 0.26, 0)
DEAR = Kind("dear", 0.012, 0.14, 0.4)


@attrs.define(eq=False)
class Caller:
    """One request of a customer over its attempts."""

    number: int
    customer: Customer
    kind: Kind
    first_at: float
    attempts: int = 2
    repeat_s: float | None = None  # returns after this time, whatever it was told
    sent_at: float = 0.0
    waiter: Waiter | None = None
    latency_s: float = math.inf  # of the attempt that was answered
    refused_s: float = 0.0  # longest time for which a refused attempt was held

    def answered(self) -> bool:
        return self.latency_s < math.inf

    @property
    def met(self) -> bool:
        """Whether an attempt met the objective, after refusals that came early."""
        objective_s = self.kind.objective_s
        return self.latency_s <= objective_s and self.refused_s <= objective_s / 4


class NewestFirst:
    """The order without customers, in which each request waits until its deadline."""

    def __init__(self, customers):
        self.shares = Shares()
        self.shares.set_customers(customers)
        self.refusals = EarlyRefusals(self.shares)
        self.refused = RefusedRequests()

    def order(self, waiters, now):
        return sorted(waiters, key=lambda w: (now >= w.answer_at, w.rank, -w.arrived))

    def decide(self, waiter, waiting, room, now):
        return None


class ByShares(NewestFirst):
    """The order, shares and early refusals of customers."""

    def order(self, waiters, now):
        return self.shares.order("s", waiters, CHEAP.work_s, now)

    def decide(self, waiter, waiting, room, now):
        others = [other for other in waiting if other is not waiter]
        return self.refusals.decide(waiter, Queue("s", room, others), now)


class Replay:
    """Serves callers with the slots that `slots` returns at a time.

    A caller returns after a refusal as it was told, or after 50 ms if it was told nothing.
    """

    def __init__(self, policy, callers, slots, patience_s=math.inf):
        self.policy, self.slots, self.patience_s = policy, slots, patience_s
        self.work_s = mean(caller.kind.work_s for caller in callers)
        self.waiting: dict[Waiter, Caller] = {}
        self.busy = 0
        self.ties = itertools.count()
        self.events = []
        for caller in callers:
            self.push(caller.first_at, self.attempt, caller)

    def push(self, at, handler, caller):
        heapq.heappush(self.events, (at, next(self.ties), handler, caller))

    def run(self):
        while self.events:
            now, _, handler, caller = heapq.heappop(self.events)
            handler(caller, now)

    def attempt(self, caller, now):
        kind, caller.sent_at = caller.kind, now
        caller.waiter = Waiter(
            caller.customer,
            kind.rank,
            now,
            now + kind.objective_s,
            min(now + kind.budget_s, caller.first_at + self.patience_s),
            now + kind.objective_s / 4,
            self.policy.refused.refused_at(caller.customer.name, caller.number, now),
        )
        self.waiting[caller.waiter] = caller
        self.check(caller, now)

    def fill(self, now):
        free = self.slots(now) - self.busy
        if free <= 0:
            return
        for waiter in self.policy.order(list(self.waiting), now):
            caller = self.waiting.pop(waiter)
            self.policy.shares.on_sent("s", caller.customer, caller.kind.work_s, now)
            self.policy.refused.discard(caller.customer.name, caller.number)
            self.push(now + caller.kind.work_s, self.complete, caller)
            self.busy += 1
            free -= 1
            if free <= 0:
                return

    def complete(self, caller, now):
        self.busy -= 1
        if now <= caller.waiter.deadline:
            caller.latency_s = now - caller.sent_at
        self.fill(now)

    def check(self, caller, now):
        self.fill(now)
        waiter = caller.waiter
        if waiter not in self.waiting:
            return
        room = Room(self.slots(now) / self.work_s, caller.kind.work_s)
        refusal = self.policy.decide(waiter, self.waiting, room, now)
        if refusal is None and now < waiter.deadline:
            self.push(min(waiter.deadline, next_check(waiter, now)), self.check, caller)
            return
        del self.waiting[waiter]
        return_s = 0.05 if refusal is None else refusal.return_s
        self.policy.refused.add(caller.customer.name, caller.number, return_s, now)
        caller.refused_s = max(caller.refused_s, now - caller.sent_at)
        caller.attempts -= 1
        again = now + (return_s if caller.repeat_s is None else caller.repeat_s)
        if caller.attempts and again < caller.first_at + self.patience_s:
            self.push(again, self.attempt, caller)


@attrs.frozen
class Outcome:
    """Shares of requests whose objective was met, and how refusals fell."""

    met: float
    worst_tenth: float  # of the customers
    worst_kind: float
    small: float  # all customers but the large one
    large: float
    least_answered: float  # worst customer's share of answers in relation to that of all
    refused_small: int
    refused_large: int
    held_s: float  # nine tenths of the refused requests were held for less

    @classmethod
    def from_callers(cls, callers):
        by_customer, by_kind = defaultdict(list), defaultdict(list)
        for caller in callers:
            by_customer[caller.customer.name].append(caller)
            by_kind[caller.kind.name].append(caller)

        def share(group, of=lambda caller: caller.met):
            return mean(map(of, group))

        small = [caller for caller in callers if caller.customer.name != "large"]
        customers = sorted(map(share, by_customer.values()))
        refused = [caller for caller in callers if not caller.answered()]
        held = sorted(caller.refused_s for caller in refused) or [0.0]
        return cls(
            share(callers),
            mean(customers[: len(customers) // 10]),
            min(map(share, by_kind.values())),
            share(small),
            share(by_customer["large"]),
            min(share(group, Caller.answered) for group in by_customer.values())
            / share(callers, Caller.answered),
            sum(caller.customer.name != "large" for caller in refused),
            sum(caller.customer.name == "large" for caller in refused),
            held[len(held) * 9 // 10],
        )


def rates(large=1.0, small=1.0, sold=1.6):
    """Return requests/s of a large customer, which bought 64 `sold` / 1.6, and of small ones."""
    customers = {Customer("large", None, 40.0 * sold): 40.0 * large}
    for number in range(SMALL_CUSTOMERS):
        customers[Customer(f"c{number}", None, 4.0 * 1.6)] = 4.0 * small
    return customers


def load(usual, surge, kinds=(DEAR,), seed=1, **large_fields):
    """Return Poisson arrivals over 8 s, from 1 s to 4 s with the rates of the surge."""
    rng, callers = random.Random(seed), []
    for customer, per_s in usual.items():
        at = 0.0
        while at < 8.0:
            at += rng.expovariate(surge[customer] if 1.0 <= at < 4.0 else per_s)
            fields = large_fields if customer.name == "large" else {}
            callers.append(Caller(len(callers), customer, rng.choice(kinds), at, **fields))
    return callers


def after_loss_of_power():
    """Return the usual callers, of which those of the first second come within 0.2 s after it."""
    callers = load(rates(), rates())
    for caller in callers:
        if caller.first_at < 1.0:
            caller.first_at = 1.0 + 0.2 * caller.first_at
    return callers


@attrs.frozen
class Load:
    """A load, and what callers need under it."""

    callers: list[Caller]
    slots: Callable[[float], int] = lambda now: 3
    patience_s: float = math.inf  # for which callers return after their first attempt
    least_small: float = 0.0  # share of objectives that customers inside their shares need
    gains: bool = True  # whether returns can be served, so that more objectives can be met


def sold(times):
    """Return a load of a customer that sends `times` its usual, and bought so much."""
    return load(rates(sold=1.6 * times), rates(large=times, sold=1.6 * times))


LOADS = {
    "5 times, beyond its allowance": Load(load(rates(), rates(large=5)), least_small=0.95),
    "50 times, beyond its allowance": Load(load(rates(), rates(large=50)), least_small=0.95),
    "5 times, inside": Load(sold(5)),
    "50 times, inside": Load(sold(50)),
    "repeats at once and often": Load(
        load(rates(), rates(large=3), attempts=30, repeat_s=0.02), least_small=0.95
    ),
    "many at once": Load(load(rates(), rates(2.5, 2.5))),
    "urgent and cheap beside dear": Load(
        load(rates(), rates(2.5, 2.5), (CHEAP, DEAR)), lambda now: 2
    ),
    "half of the targets": Load(load(rates(), rates()), lambda now: 2 if 1 <= now < 4 else 4),
    "return after a loss of power": Load(after_loss_of_power()),
    "5 times, callers leave early": Load(
        load(rates(), rates(large=5)), patience_s=DEAR.budget_s, least_small=0.95, gains=False
    ),
}


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_room_is_shared_and_refusals_come_early(load):
    """Guards against customers that lose their room to a flood, and callers that wait in vain.

    `pytest -s` prints the outcomes without and with customers.
    """
    customers = {caller.customer.name: caller.customer for caller in load.callers}.values()
    outcomes = []
    for policy in (NewestFirst(customers), ByShares(customers)):
        callers = [attrs.evolve(caller) for caller in load.callers]
        Replay(policy, callers, load.slots, load.patience_s).run()
        outcomes.append(Outcome.from_callers(callers))
        figures = attrs.asdict(outcomes[-1]).items()
        print(type(policy).__name__, {name: round(value, 3) for name, value in figures})
    before, after = outcomes
    assert after.least_answered >= 0.25
    assert after.small >= load.least_small
    assert after.worst_tenth > before.worst_tenth
    assert after.held_s < before.held_s
    assert not load.gains or (after.met > before.met and after.worst_kind > before.worst_kind)


def waiter(name="a", rank=1, arrived=0.0, answer_at=1.0, refused_at=math.inf):
    return Waiter(Customer(name), rank, arrived, answer_at, deadline=2.0, refused_at=refused_at)


def test_order_goes_by_objective_rank_use_and_return():
    """Guards against a customer's rank or use that is weighed in the wrong order."""
    shares = Shares()
    shares.on_sent("s", Customer("used"), 0.1, 0.0)
    late = waiter(rank=0, answer_at=0.0)
    ranked, used = waiter(rank=0), waiter("used")
    old, new, returned = waiter(arrived=0.1), waiter(arrived=0.2), waiter(refused_at=0.0)
    waiting = [late, old, used, new, returned, ranked]
    expected = [ranked, returned, new, old, used, late]
    assert list(shares.order("s", waiting, 0.01, 0.3)) == expected
    others = [[w for w in waiting if w is not own] for own in expected]
    counts = [
        shares.count_ahead("s", w, o, 0.01, 0.3) for w, o in zip(expected, others, strict=True)
    ]
    assert counts == list(range(6))


def test_a_flood_puts_off_only_its_own_returns():
    """Guards against times of return that grow for all while one customer is refused."""
    times = ReturnTimes()

    def told(name):
        return_s = times.estimate("s", waiter(name), 0.0, 100.0, 0.0)
        times.reserve("s", waiter(name), return_s, 0.0)
        return return_s

    flood = [told("flood") for _ in range(50)]
    assert flood == sorted(flood) and flood[-1] == pytest.approx(50 * 0.04)
    assert told("other") < 0.1


def test_memory_of_refused_requests_is_bounded_and_ignores_early_returns():
    """Guards against memory that grows under a flood, and callers that gain by returning early."""
    refused = RefusedRequests()
    refused.add("a", 1, 0.5, 0.0)
    refused.add("a", 1, 0.5, 0.1)
    assert refused.refused_at("a", 1, 0.3) == math.inf
    assert refused.refused_at("a", 1, 0.5) == 0.0
    assert refused.refused_at("b", 1, 0.5) == math.inf
    for number in range(2 * MAX_RETURNS):
        refused.add("flood", number, 0.5, 0.2)
        refused.add(f"c{number}", 0, 0.5, 0.2)
    assert len(refused) <= MAX_RETURNS
    refused.add("late", 1, 0.5, 100.0)
    assert len(refused) == 1


def test_a_refusal_after_a_forgotten_one_is_a_first_refusal():
    """Guards against a caller that gains by an old refusal behind one that is not forgotten yet."""
    refused = RefusedRequests()
    refused.add("b", 1, 5.0, 0.0)
    refused.add("a", 1, 0.5, 0.0)
    refused.add("a", 1, 0.5, 3.0)
    assert refused.refused_at("a", 1, 3.5) == 3.0
    assert len(refused) == 2
