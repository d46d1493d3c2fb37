"""Replays of overload over several VMs that share their targets, and tests of the exchange."""

from __future__ import annotations

import functools
import heapq
import itertools
import random

import attrs
import pytest
from test_customers_shares import ByShares, Kind, Outcome, Replay, load, rates

from bramleycrank.customers import Customer
from bramleycrank.customers.fleet_use import (
    MAX_REPORTED,
    REPORT_BYTES_PER_S,
    VALID_S,
    FleetSums,
    read_pairs,
    write_pairs,
)
from bramleycrank.customers.shares import Shares
from bramleycrank.proto.peer_pb2 import GrantReply, GrantRequest

VMS, DOMAIN_VMS = 12, 4
HOMES = 2  # VMs that the callers of a small customer use, in one domain
EXCHANGE_S = 0.8  # between two messages to the issuer
DELAY_S = 0.02
DEAR = Kind("dear", 0.036, 0.42, 1.2)
CHEAP = Kind("cheap", 0.012, 0.15, 0.78, 0)


class Fleet:
    """VMs with equal parts of the targets' slots; callers of the large customer use all of them."""

    def __init__(self, callers, slots, *, exchange):
        customers = {caller.customer.name: caller.customer for caller in callers}
        rng, self.sums = random.Random(2), FleetSums()
        self.events, self.ties = [], itertools.count()
        domains = [range(start, start + DOMAIN_VMS) for start in range(0, VMS, DOMAIN_VMS)]
        homes = {name: rng.sample(rng.choice(domains), HOMES) for name in customers}
        homes["large"] = range(VMS)
        by_vm = [[] for _ in range(VMS)]
        for caller in callers:
            by_vm[rng.choice(homes[caller.customer.name])].append(caller)
        for number, own in enumerate(by_vm):
            policy = ByShares(customers.values())
            policy.shares.fleet.set_routes([("s",)])
            replay = Replay(policy, own, functools.partial(slots, number))
            self.events += replay.events
            replay.events, replay.ties = self.events, self.ties
            if exchange:
                self.push(rng.uniform(0, EXCHANGE_S), self.report, (number, policy.shares))
        heapq.heapify(self.events)

    def push(self, at, handler, subject):
        heapq.heappush(self.events, (at, next(self.ties) - 1e9, handler, subject))

    def report(self, vm, now):
        number, shares = vm
        pairs = shares.report(now)
        if pairs is not None:
            reply = self.sums.on_report(f"vm{number}", pairs, now)
            self.push(now + DELAY_S, shares.fleet.on_reply, reply)
        if now < 10.0:
            self.push(now + EXCHANGE_S, self.report, vm)

    def run(self):
        while self.events:
            now, _, handler, subject = heapq.heappop(self.events)
            handler(subject, now)


def fleet_load(surge, usual=None, kinds=(DEAR,), **fields):
    """Return callers that use 0.78 of two slots at each VM, and more from 1 s to 4 s of 8 s."""
    scale = VMS * 2 / DEAR.work_s * 0.78 / sum(rates().values())
    usual = rates() if usual is None else usual
    usual, surge = ({c: per_s * scale for c, per_s in r.items()} for r in (usual, surge))
    return load(usual, surge, kinds, **fields)


def after_loss_of_power():
    """Return the usual callers, of which those of the first second come within 0.2 s after it."""
    callers = fleet_load(rates())
    for caller in callers:
        if caller.first_at < 1.0:
            caller.first_at = 1.0 + 0.2 * caller.first_at
    return callers


def sold(times):
    """Return a load of a customer that sends `times` its usual, and bought so much."""
    return fleet_load(rates(large=times, sold=1.6 * times), rates(sold=1.6 * times))


BUSY = {"c0", "c1", "c2"}


def busy_few():
    """Return the load of three small customers that send ten times their usual by few VMs."""
    return fleet_load({c: per_s * (10 if c.name in BUSY else 1) for c, per_s in rates().items()})


def two_slots(vm, now):
    return 2


def half_the_slots(vm, now):
    return 1 if 1 <= now < 4 else 2


def half_in_a_domain(vm, now):
    return half_the_slots(vm, now) if vm < DOMAIN_VMS else 2


SLOTS = {
    "half of the targets": half_the_slots,
    "half of a domain's targets": half_in_a_domain,
    "the same beside 5 times": half_in_a_domain,
}


# Callers; least share of objectives met of small customers; least gain of their worst tenth.
LOADS = {
    "5 times, beyond its allowance": (fleet_load(rates(large=5)), 0.95, 0.03),
    "50 times, beyond its allowance": (fleet_load(rates(large=50)), 0.95, 0.03),
    "5 times, inside": (sold(5), 0.0, 0.0),
    "50 times, inside": (sold(50), 0.0, -0.01),
    "repeats at once": (fleet_load(rates(large=3), attempts=30, repeat_s=0.02), 0.95, 0.03),
    "many at once": (fleet_load(rates(2.5, 2.5)), 0.0, 0.03),
    "urgent and cheap beside dear": (fleet_load(rates(3.5, 3.5), kinds=(CHEAP, DEAR)), 0.0, 0.0),
    "half of the targets": (fleet_load(rates()), 0.0, 0.0),
    "half of a domain's targets": (fleet_load(rates()), 0.0, 0.0),
    "the same beside 5 times": (fleet_load(rates(large=5)), 0.92, 0.03),
    "return after a loss of power": (after_loss_of_power(), 0.0, 0.0),
    "10 times by few VMs": (busy_few(), 0.0, -0.01),
}


@pytest.mark.parametrize("name", LOADS)
def test_a_customer_with_callers_at_all_vms_takes_no_more_than_its_share(name):
    """Guards against a flood that seems small at each VM, by use with and without other VMs.

    `pytest -s` prints the outcomes; those of small customers that send more are left out.
    """
    load_callers, least_small, least_gain = LOADS[name]
    slots = SLOTS.get(name, two_slots)
    left_out = BUSY if name == "10 times by few VMs" else ()
    outcomes = []
    for exchanged in (False, True):
        callers = [attrs.evolve(caller) for caller in load_callers]
        Fleet(callers, slots, exchange=exchanged).run()
        others = [caller for caller in callers if caller.customer.name not in left_out]
        outcomes.append(Outcome.from_callers(others))
        figures = attrs.asdict(outcomes[-1]).items()
        print(name, exchanged, {name: round(value, 3) for name, value in figures})
    before, after = outcomes
    assert after.least_answered >= 0.25 and after.small >= least_small
    assert after.worst_tenth > before.worst_tenth + least_gain
    assert after.worst_kind > before.worst_kind - 0.03


def exchange(vms, sums, now):
    """Let each VM report; return the bytes that this takes at each VM."""
    sizes = []
    for number, vm in enumerate(vms):
        request, reply = GrantRequest(vm_id=f"vm{number}"), GrantReply()
        pairs = vm.report(now)
        if pairs is not None:
            write_pairs(request.work, pairs)
        size = request.work.ByteSize()
        sums.answer(request, reply, now)
        if reply.HasField("work"):
            vm.fleet.on_reply(read_pairs(reply.work), now)
        sizes.append(size + reply.work.ByteSize())
    return sizes


def make_vms(count, customers=("a", "b"), routes=(("s",),)):
    vms = [Shares() for _ in range(count)]
    for vm in vms:
        vm.set_customers(map(Customer, customers))
        vm.fleet.set_routes(routes)
    return vms


def test_use_at_other_vms_counts_once_and_ages():
    """Guards against use that counts twice, and decisions by reports of VMs that have ended."""
    shards, sums = ("x", "y"), FleetSums()
    vms = make_vms(3, routes=(shards, shards, ("s",)))
    for shard in shards:
        vms[0].on_sent(shard, Customer("a"), 1.0, 0.0)
    exchange(vms, sums, 0.0)
    assert exchange(vms, sums, 0.1) == [0, 0, 0], "reports are not repeated at once"
    exchange(vms, sums, 0.6)
    own = vms[0].own_use("x", "a", 0.6)
    assert vms[0].use("x", "a", 0.6) == own > 0.8, "its own use is not added again"
    assert vms[1].use("x", "a", 0.6) == pytest.approx(own, abs=1e-4)
    assert vms[1].use("x", "a", 1.6) == pytest.approx(vms[0].use("x", "a", 1.6), abs=1e-4)
    assert (vms[1].use("s", "a", 0.6), vms[1].use("x", "b", 0.6)) == (0.0, 0.0)
    late = 0.7 + VALID_S
    assert vms[1].use("x", "a", late) == 0.0, "an old reply is not used"
    sums.on_report("vm1", vms[1].report(late), late)
    sums.on_report("vm2", vms[2].report(late), late)
    assert not sums._sums, "an old report is not counted"
    reply = GrantReply()
    sums.answer(GrantRequest(vm_id="old"), reply, late)
    assert not reply.HasField("work"), "a VM of an older build gets none"


def test_bytes_stay_bounded_at_200_vms_with_76_busy_customers():
    """Load: all customers send by all VMs over three pools; idle ones take no bytes."""
    names = [f"customer-{number}" for number in range(76)]
    vms, sums, total, rng = make_vms(200, names, ("pqr")), FleetSums(), 0, random.Random(1)
    assert sum(exchange(vms, sums, 0.0)) == 200 * 0
    for step in range(1, 80):
        now = step / 8
        for vm, name in itertools.product(vms, names):
            vm.on_sent(rng.choice("pqr"), Customer(name), 0.01, now)
        total += exchange(vms, sums, now)[-1]
    assert total / 10.0 <= REPORT_BYTES_PER_S
    assert len(sums._sums) == 3 * 76
    assert len(vms[0].report(20.0)) <= MAX_REPORTED
