"""Tests when a VM counts as cut off from all targets, on the decision core."""

from __future__ import annotations

import random

import pytest

from bramleycrank.connections.reach import CONFIRM_S, RETURN_S, Reach, ReachMonitor

TICK_S = 0.05
DOMAINS = {"x": ["x1", "x2", "x3"], "y": ["y1", "y2"], "z": ["z1"]}


class Links:
    """Plays the ticks of a VM."""

    def __init__(self) -> None:
        self.now = 10.0
        self.monitor = ReachMonitor(random.Random(3), self.now)
        self.probes: list[tuple[float, str]] = []

    def play(self, seconds: float, *, overdue: int = 0, heard: bool = False) -> Reach:
        """Play ticks in which targets are overdue, or one is heard, and return the state."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            if heard:
                self.monitor.on_heard(self.now)
            self.monitor.check(overdue, self.now)
            targets = self.monitor.targets_to_probe(DOMAINS, self.now)
            self.probes += [(self.now, target_id) for target_id in targets]
        return self.monitor.state


def test_links_that_hang_are_noticed_within_a_third_of_a_second():
    """Load pattern: all targets of requests in flight become silent at once, without an error."""
    links = Links()
    links.play(1.0, heard=True)
    assert links.play(0.35, overdue=10) is Reach.CUT
    assert {target_id[0] for _, target_id in links.probes} == set("xyz"), "one of each domain"


@pytest.mark.parametrize(("overdue", "heard"), [(2, False), (30, True)])
def test_slow_targets_are_no_cut(overdue, heard):
    """Load pattern: a few targets pause, or most are slow while others reply."""
    links = Links()
    links.play(1.0, heard=True)
    assert links.play(5.0, overdue=overdue, heard=heard) is Reach.CONNECTED


def test_a_lost_domain_is_no_cut():
    """Load pattern: all targets with requests in flight are in a domain that has failed."""
    links = Links()
    links.play(1.0, heard=True)
    states = set()
    for _ in range(20):
        states.add(links.play(TICK_S, overdue=10))
        if links.monitor.state is Reach.SUSPECT:
            links.monitor.on_heard(links.now)  # the probe of another domain
    assert Reach.CUT not in states
    assert len(links.probes) <= 3, "one suspicion a second"


def test_the_pause_of_a_frozen_vm_is_no_silence_of_its_targets():
    links = Links()
    links.play(1.0, heard=True)
    links.now += 5.0
    assert links.play(TICK_S, overdue=10) is Reach.CONNECTED
    assert links.play(0.1, heard=True) is Reach.CONNECTED


def test_a_vm_with_one_request_at_a_time_suspects_a_cut_once_its_target_is_down():
    links = Links()
    links.play(1.0, heard=True)
    links.play(0.75, overdue=1)
    links.monitor.on_target_down(links.now)
    assert links.play(CONFIRM_S + TICK_S, overdue=0) is Reach.CUT


def test_cut_vms_probe_a_few_targets_at_times_of_their_own():
    """Load pattern: hundreds of VMs lose their targets and look for them until the cut ends."""
    monitors = [Links() for _ in range(2)]
    monitors[1].monitor = ReachMonitor(random.Random(4), 10.0)
    for links in monitors:
        links.play(1.0, heard=True)
        links.play(10.0, overdue=10)
        assert len(links.probes) <= 3 * 10.0 / 0.3
    times = [{time for time, _ in links.probes[6:]} for links in monitors]
    assert len(times[0] ^ times[1]) > len(times[0] & times[1])


def test_a_vm_takes_its_work_back_step_by_step_after_a_cut():
    """Load pattern: a cut ends, and the VMs that did the work of others hand it back."""
    links = Links()
    links.play(1.0, heard=True)
    links.play(1.0, overdue=10)
    assert not links.monitor.serves_locally(links.now)
    links.monitor.on_heard(links.now)
    shares = []
    for _ in range(4):
        served = [links.monitor.serves_locally(links.now) for _ in range(400)]
        shares.append(sum(served) / len(served))
        links.play(RETURN_S / 4, heard=True)
    assert shares == sorted(shares) and shares[0] < 0.1 and 0.6 < shares[3] < 0.9
    assert links.play(2 * TICK_S, heard=True) is Reach.CONNECTED


def test_a_second_cut_is_noticed_while_the_work_returns():
    links = Links()
    links.play(1.0, heard=True)
    links.play(1.0, overdue=10)
    links.monitor.on_heard(links.now)
    links.play(0.5, heard=True)
    assert links.play(0.8, overdue=10) is Reach.CUT
