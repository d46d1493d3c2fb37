"""Suspicions about requests: merging, clearing, lifetimes and their way to all VMs."""

from __future__ import annotations

import random

import pytest

from bramleycrank.daemon.membership_controller import SUSPECTS_FANOUT
from bramleycrank.entry.suspect_exchange import SuspectExchange
from bramleycrank.membership.suspects import (
    CRASHES_TO_QUARANTINE,
    FRESH_S,
    MAX_SUSPECTS,
    QUARANTINE_S,
    SUSPICION_S,
    SuspectTable,
)
from bramleycrank.proto.peer_pb2 import Gossip, ProbeRequest


class Group:
    """VMs that spread suspicions to a few others and with probes, some of them unreachable."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = 0.0
        self.sent = 0
        self.rng = random.Random(seed)
        self.unreachable: set[int] = set()
        self.pending: list[tuple[int, bytes]] = []
        self.vms = [
            SuspectExchange(lambda: self.now, lambda vm=vm: self._spread(vm)) for vm in range(count)
        ]

    def _spread(self, sender: int) -> None:
        gossip = Gossip()
        self.vms[sender].attach(gossip, complete=False)
        others = [vm for vm in range(len(self.vms)) if vm != sender]
        for vm in self.rng.sample(others, min(SUSPECTS_FANOUT, len(others))):
            self.sent += 1
            self.pending.append((vm, gossip.SerializeToString()))

    def probe(self, seconds: int) -> None:
        """Let each VM exchange messages with one other VM a second."""
        for _ in range(seconds):
            self.now += 1.0
            for prober in range(len(self.vms)):
                peer = self.rng.randrange(len(self.vms))
                for sender, receiver in ((prober, peer), (peer, prober)):
                    gossip = Gossip()
                    self.vms[sender].attach(gossip, complete=False)
                    self.pending.append((receiver, gossip.SerializeToString()))
            self.deliver()

    def deliver(self) -> None:
        """Deliver all messages, those that follow included."""
        while self.pending:
            receiver, data = self.pending.pop(0)
            if receiver not in self.unreachable:
                self.vms[receiver].merge(Gossip.FromString(data))


@pytest.mark.parametrize("count", [2, 9, 200])
def test_crashes_that_several_vms_report_put_a_request_in_quarantine_on_all(count):
    """Guards against BUDGET: each VM alone would need three crashes of its own."""
    group = Group(count)
    for number in range(CRASHES_TO_QUARANTINE):
        assert not any(vm.table.in_quarantine(7) for vm in group.vms)
        group.vms[number % count].report(7, "s")
        group.deliver()
    assert sum(vm.table.in_quarantine(7) for vm in group.vms) > 0.9 * count
    group.probe(3)
    assert all(vm.table.in_quarantine(7) for vm in group.vms)
    assert group.sent <= CRASHES_TO_QUARANTINE * SUSPECTS_FANOUT * (count + 1)


@pytest.mark.parametrize("count", [3, 65])
def test_losses_of_equal_requests_in_flight_count_as_one_crash_at_all_vms(count):
    """Guards against RECOVER: one crash of a service put a popular request in quarantine."""
    group = Group(count)
    for wave in range(CRASHES_TO_QUARANTINE):
        for vm in group.vms * 4:
            vm.report(7, "s", sent_at=10.0 * wave - 1.0)
        group.deliver()
        group.probe(3)
        group.vms[0].report(7, "s", sent_at=10.0 * wave - 1.0)
        assert {vm.table.crashes(7) for vm in group.vms} == {wave + 1}
        group.now = 10.0 * (wave + 1)
    assert all(vm.table.in_quarantine(7) for vm in group.vms)


def test_an_answer_clears_what_others_reported_in_any_order():
    group = Group(9)
    group.unreachable = {8}
    group.vms[0].report(7, "s")
    group.vms[1].report(7, "s")
    group.deliver()
    old = Gossip()
    group.vms[2].attach(old, complete=True)
    group.vms[3].clear(7)
    group.deliver()
    group.probe(3)
    assert not any(vm.table.crashes(7) for vm in group.vms)
    complete = Gossip()
    group.vms[3].attach(complete, complete=True)
    for gossip in (complete, old):
        group.vms[8].merge(gossip)
    assert group.vms[8].table.crashes(7) == 0
    group.vms[8].report(7, "s")
    assert group.vms[8].table.crashes(7) == 1, "a later crash counts again"


def test_a_vm_that_was_cut_off_receives_all_suspicions_in_an_exchange():
    group = Group(3)
    group.unreachable = {2}
    for _ in range(3):
        group.vms[0].report(7, "s")
    group.deliver()
    group.now = FRESH_S + 1.0
    probe, exchange = Gossip(), Gossip()
    group.vms[1].attach(probe, complete=False)
    group.vms[1].attach(exchange, complete=True)
    assert not probe.suspects
    group.vms[2].merge(exchange)
    assert group.vms[2].table.in_quarantine(7)


@pytest.mark.parametrize(("crashes", "lifetime_s"), [(1, SUSPICION_S), (3, QUARANTINE_S)])
def test_a_suspicion_ends_some_time_after_the_last_crash_or_attempt(crashes, lifetime_s):
    table = SuspectTable()
    for crash_id in range(crashes):
        record = table.report(7, crash_id, "s", 0.0)
    table.renew(7, 10.0)
    table.outgoing(lifetime_s + 9.0, fresh_only=False)
    assert table.crashes(7) == crashes
    late = SuspectTable()
    record.age_s = 5
    late.merge([record], 5.0)
    assert late.crashes(7) == crashes
    record.age_s = int(lifetime_s)
    assert not SuspectTable().merge([record], 0.0), "it would spread again"
    for known in (table, late):
        assert not known.outgoing(lifetime_s + 11.0, fresh_only=False)
        assert known.crashes(7) == 0


def test_the_number_of_suspicions_is_bounded():
    table = SuspectTable()
    for fingerprint in range(2 * MAX_SUSPECTS):
        table.report(fingerprint, 1, "s", float(fingerprint) / 1000)
    assert len(table.outgoing(1.0, fresh_only=False)) == MAX_SUSPECTS
    assert 2 * MAX_SUSPECTS - 1 in table and 0 not in table


def test_a_message_with_suspicions_is_a_plain_probe_for_a_build_without_them():
    """Guards against an upgrade in which old and new VMs no longer understand each other."""
    exchange = SuspectExchange(lambda: 0.0)
    exchange.report(7, "s")
    request = ProbeRequest(gossip=Gossip(), status_only=True)
    exchange.attach(request.gossip, complete=True)
    plain = ProbeRequest(gossip=Gossip(), status_only=True)
    stripped = ProbeRequest.FromString(request.SerializeToString())
    stripped.gossip.ClearField("suspects")
    assert stripped == plain
    exchange.merge(plain.gossip)
    assert exchange.table.crashes(7) == 1
