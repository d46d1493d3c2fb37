"""Tests the choice of the VM that serves a request for one that is cut off."""

from __future__ import annotations

import random
from collections import Counter

from bramleycrank.scatter.delegation import (
    MAX_PARTNERS,
    MAX_PEERS_TRIED,
    REPORT_MAX_AGE_S,
    RETURNED_PAUSE_S,
    Peer,
    PeerChoice,
)
from bramleycrank.scatter.peer_watch import CHECK_AFTER_S, CHECK_TIMEOUT_S, DOUBT_AFTER_S


def choice(own: str, count: int, seed: int = 1) -> PeerChoice:
    """Return the choice of a VM among `count` VMs."""
    peers = PeerChoice(own, random.Random(seed))
    peers.set_peers(Peer(f"vm{n}", "10.0.0.1", 7741) for n in range(count))
    return peers


def test_the_work_of_a_domain_is_spread_over_all_other_vms():
    """Load pattern: the 39 VMs of one of five domains lose their targets, 10 requests each."""
    taken: Counter[str] = Counter()
    for n in range(39):
        peers = choice(f"vm{n}", 195, seed=n)
        for cut in range(39):
            peers.on_report(f"vm{cut}", 36, 0.0)
        partners = set()
        for _ in range(10):
            peer = peers.choose(36, (), 0.1)
            peers.on_sent(peer.vm_id, 0.1)
            partners.add(peer.vm_id)
        taken.update(partners)
        assert len(partners) <= MAX_PARTNERS
    assert not {f"vm{n}" for n in range(39)} & set(taken), "no cut VM is chosen"
    assert max(taken.values()) <= 8 and len(taken) > 100


def test_nobody_is_chosen_if_the_others_reach_no_more():
    """Load pattern: all targets of a service are down, which is nobody's cut."""
    peers = choice("vm0", 4)
    for n in range(1, 4):
        peers.on_report(f"vm{n}", 1, 0.0)
    assert peers.choose(1, (), 0.5) is None
    peers.on_report("vm2", 0, 0.6)
    assert peers.choose(1, (), 0.6).vm_id == "vm2"


def test_what_a_vm_told_of_itself_ages():
    peers = choice("vm0", 2)
    peers.on_report("vm1", 12, 0.0)
    assert peers.choose(12, (), REPORT_MAX_AGE_S - 0.1) is None
    assert peers.choose(12, (), REPORT_MAX_AGE_S + 0.1).vm_id == "vm1"


def test_a_vm_that_returned_a_request_is_left_alone_for_a_while():
    peers = choice("vm0", 2)
    peers.on_returned("vm1", 1.0)
    assert peers.choose(12, (), 1.0 + RETURNED_PAUSE_S / 2) is None
    assert peers.choose(12, (), 1.0 + RETURNED_PAUSE_S).vm_id == "vm1"


def test_a_request_is_offered_to_a_few_vms_and_to_each_once():
    peers = choice("vm0", 10)
    tried: list[str] = []
    while (peer := peers.choose(12, tried, 0.0)) is not None:
        tried.append(peer.vm_id)
    assert len(tried) == len(set(tried)) == MAX_PEERS_TRIED


def test_a_vm_with_fewer_requests_of_this_one_is_preferred():
    peers = choice("vm0", 3)
    for _ in range(8):
        peers.on_sent(peers.choose(12, (), 0.0).vm_id, 0.0)
    counts = {vm_id: entry["in_flight"] for vm_id, entry in peers.dump(0.0).items()}
    assert counts == {"vm1": 4, "vm2": 4}
    peers.on_ended("vm1")
    assert peers.choose(12, (), 0.0).vm_id == "vm1"


def test_a_vm_that_owes_an_answer_and_says_nothing_is_offered_nothing_more():
    """Load pattern: a VM freezes with the requests of others; one request is enough to notice."""
    peers = choice("vm0", 2)
    peers.on_report("vm1", 0, 9.9)
    peers.watch.on_heard("vm1", 9.9)
    assert not peers.on_sent("vm1", 10.0), "it was heard a moment ago"
    assert peers.watch.due(10.0 + CHECK_AFTER_S - 0.01) == []
    checked_at = 10.01 + CHECK_AFTER_S
    assert peers.watch.due(checked_at) == ["vm1"]
    peers.watch.on_checked("vm1", checked_at)
    assert peers.choose(12, (), checked_at + DOUBT_AFTER_S / 2).vm_id == "vm1"
    assert peers.choose(12, (), checked_at + DOUBT_AFTER_S + 0.01) is None
    assert peers.watch.newly_silent(checked_at + CHECK_TIMEOUT_S - 0.01) == []
    assert peers.watch.newly_silent(checked_at + CHECK_TIMEOUT_S + 0.01) == ["vm1"]
    assert peers.watch.newly_silent(checked_at + 5.0) == [], "it is told once"
    peers.on_ended("vm1")
    assert peers.choose(12, (), checked_at + 9.0) is None
    assert peers.watch.due(checked_at + 9.0) == ["vm1"], "a request needs it"
    assert peers.watch.due(checked_at + 20.0) == [], "nobody needs it"
    assert peers.watch.on_heard("vm1", checked_at + 30.0)
    assert peers.choose(12, (), checked_at + 30.0).vm_id == "vm1"


def test_a_vm_that_answers_checks_keeps_its_requests():
    """Guards against requests that are withdrawn because their work takes long."""
    peers = choice("vm0", 2)
    assert peers.on_sent("vm1", 0.0), "nothing was heard from it yet"
    peers.watch.on_checked("vm1", 0.0)
    now = 0.0
    for _ in range(20):
        peers.watch.on_heard("vm1", now + 0.05)
        now += CHECK_AFTER_S + 0.06
        assert peers.watch.newly_silent(now) == []
        assert peers.watch.due(now) == ["vm1"]
        peers.watch.on_checked("vm1", now)


def test_a_pause_of_the_own_vm_makes_no_other_one_silent():
    """Guards against requests that are withdrawn because this VM did not run for a moment."""
    peers = choice("vm0", 2)
    peers.on_sent("vm1", 10.0)
    peers.watch.on_checked("vm1", 10.0)
    peers.watch.on_own_pause(0.7)
    assert peers.watch.newly_silent(10.72) == []
    assert peers.choose(12, (), 10.72).vm_id == "vm1"
    assert peers.watch.newly_silent(10.72 + CHECK_TIMEOUT_S) == ["vm1"]


def test_a_burst_at_the_moment_of_a_cut_is_not_refused_for_want_of_a_check():
    """Load pattern: links to all targets fail under many requests, which all move at once."""
    peers = choice("vm0", 195)
    offered = [peers.choose(36, (), 5.0) for _ in range(200)]
    assert None not in offered
    for peer in offered[:50]:
        peers.on_sent(peer.vm_id, 5.0)
        peers.watch.on_checked(peer.vm_id, 5.0)
    assert peers.choose(36, (), 5.0 + DOUBT_AFTER_S / 2) is not None


def test_a_vm_that_is_no_longer_known_is_still_watched_while_it_holds_requests():
    peers = choice("vm0", 2)
    peers.on_sent("vm1", 0.0)
    peers.set_peers([])
    assert peers.watch.due(1.0) == ["vm1"]
    peers.on_ended("vm1")
    peers.set_peers([])
    assert peers.watch.due(1.0) == []
