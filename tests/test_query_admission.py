"""Tests of admission control, with a state machine of arbitrary offers and releases.

Guards against leaked capacity, exceeded limits, requests that get no decision or more than one, and
requests that stay queued although they can no longer meet their deadline.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bramleycrank.exceptions import Outcome
from bramleycrank.query.admission import CLASS_WEIGHTS, RECHECK_INTERVAL_S, Admission
from bramleycrank.query.limit import MIN_LIMIT, AdaptiveLimit
from bramleycrank.query.types import CLASSES, Admit, Refuse, Ticket

QUEUE_LIMIT = 6
LIMITS = {"archivio": (0, 0), "preventivi": (2, 0), "fonderia": (0, 2)}


class AdmissionMachine(RuleBasedStateMachine):
    """State machine with offers, releases, withdrawals and time."""

    @initialize(seed=st.integers(0, 99))
    def set_up(self, seed: int) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.admission = Admission(AdaptiveLimit(6, 40), QUEUE_LIMIT)
        self.running: list[Ticket] = []
        self.queued: list[Ticket] = []
        self.final: Counter[Ticket] = Counter()
        self.cut = False

    def _apply(self, actions: list) -> None:
        for action in actions:
            ticket = action.ticket
            self.final[ticket] += 1
            if ticket in self.queued:
                self.queued.remove(ticket)
            if isinstance(action, Admit):
                older = [t for t in self.queued if t.offered_at < ticket.offered_at]
                same = (ticket.service, ticket.priority)
                assert same not in {(t.service, t.priority) for t in older}, "superseded"
                self.running.append(ticket)
            else:
                assert action.error.outcome is Outcome.NOT_RUN
                assert action.error.retry_after_ms > 0

    @rule(
        priority=st.sampled_from(CLASSES),
        service=st.sampled_from(sorted(LIMITS)),
        remaining_s=st.sampled_from([0.02, 0.2, 1.0, 10.0]),
        count=st.integers(1, 8),
    )
    def offer(self, priority: str, service: str, remaining_s: float, count: int) -> None:
        for _ in range(count):
            self.now += 1e-6
            most, queue = LIMITS[service]
            ticket = Ticket(0, service, priority, self.now + remaining_s, most, queue)
            before = len([t for t in self.queued if t.priority == priority])
            actions = self.admission.offer(ticket, self.now)
            if not actions:
                assert before < QUEUE_LIMIT
                self.queued.append(ticket)
            self._apply(actions)

    @rule(count=st.integers(1, 8), latency=st.sampled_from([0.01, 0.05, 0.4]), shed=st.booleans())
    def release(self, count: int, latency: float, shed: bool) -> None:
        self.now += latency / 4
        for _ in range(min(count, len(self.running))):
            ticket = self.running.pop(self.rng.randrange(len(self.running)))
            self._apply(self.admission.release(ticket, latency, shed, self.now))
            assert self.admission.release(ticket, latency, shed, self.now) == []

    @rule()
    def withdraw(self) -> None:
        if self.queued:
            ticket = self.queued.pop(self.rng.randrange(len(self.queued)))
            self.admission.withdraw(ticket)
            self.final[ticket] += 1

    @rule(step=st.sampled_from([0.005, 0.03, 0.5]))
    def wait(self, step: float) -> None:
        self.now += step
        due = self.admission.next_deadline()
        if due is not None and due <= self.now:
            self._apply(self.admission.tick(self.now))
            assert all(ticket.deadline >= self.now for ticket in self.queued), (
                "queued past its deadline"
            )

    @invariant()
    def limits_are_kept(self) -> None:
        if not hasattr(self, "admission"):
            return
        assert self.admission.in_flight == len(self.running)
        assert self.admission.queued == len(self.queued)
        assert MIN_LIMIT <= self.admission.limit.value <= 40
        by_service = Counter(ticket.service for ticket in self.running)
        assert by_service["preventivi"] <= 2
        queued = Counter((ticket.service, ticket.priority) for ticket in self.queued)
        assert all(queued["fonderia", name] <= 2 for name in CLASSES)
        assert all(count == 1 for count in self.final.values())
        due = self.admission.next_deadline()
        assert (due is None) == (not self.queued)
        assert due is None or due <= self.now + RECHECK_INTERVAL_S

    @invariant()
    def no_capacity_stays_unused(self) -> None:
        if not hasattr(self, "admission") or len(self.running) >= int(self.admission.limit.value):
            return
        waiting = {ticket.service for ticket in self.queued}
        assert waiting <= {"preventivi"}
        if waiting:
            assert sum(ticket.service == "preventivi" for ticket in self.running) == 2


TestAdmission = AdmissionMachine.TestCase


def saturated(limit: int = 10, queue_limit: int = 10_000) -> tuple[Admission, list[Ticket]]:
    """Return an admission at its limit, with a service time of 10 ms, and its running tickets."""
    admission = Admission(AdaptiveLimit(limit, limit), queue_limit)
    for _ in range(200):
        ticket = Ticket(0, "archivio", "normal", 1e9)
        admission.offer(ticket, 0.0)
        admission.release(ticket, 0.01, False, 0.0)
    running = [Ticket(0, "archivio", "normal", 1e9) for _ in range(limit)]
    for ticket in running:
        assert admission.offer(ticket, 0.0)
    return admission, running


def test_classes_share_by_weight_and_bulk_is_not_starved() -> None:
    admission, running = saturated()
    for name in CLASSES:
        for _ in range(300):
            assert not admission.offer(Ticket(0, "archivio", name, 1e9), 0.0)
    served: Counter[str] = Counter()
    for _ in range(120):
        [action] = admission.release(running.pop(0), 0.01, False, 0.0)
        served[action.ticket.priority] += 1
        running.append(action.ticket)
    assert served == {name: weight * 10 for name, weight in CLASS_WEIGHTS.items()}


def test_a_request_that_cannot_be_answered_in_time_is_refused_at_once() -> None:
    admission, _ = saturated()
    assert not admission.offer(Ticket(0, "archivio", "normal", 0.1), 0.0)
    for _ in range(200):
        admission.offer(Ticket(0, "archivio", "normal", 1e9), 0.0)
    [refusal] = admission.offer(Ticket(0, "archivio", "normal", 0.1), 0.0)
    assert refusal.error.name == "DeadlineUnreachable"
    assert 100 <= refusal.error.retry_after_ms <= 400  # 200 requests, 10 at once, 10 ms each


def test_estimated_wait_includes_the_limit_of_the_service() -> None:
    admission, _ = saturated(limit=100)
    tickets = [Ticket(0, "preventivi", "normal", 0.1, max_concurrency=1) for _ in range(12)]
    refused = [ticket for ticket in tickets if state_after_offer(admission, ticket) == "refused"]
    assert len(refused) in (2, 3)  # one at a time, 10 ms each, 100 ms to the deadline


def state_after_offer(admission: Admission, ticket: Ticket) -> str:
    admission.offer(ticket, 0.0)
    return ticket.state


def test_a_queued_request_is_refused_before_its_deadline_passes() -> None:
    admission, _ = saturated()
    ticket = Ticket(0, "archivio", "urgent", 0.1)
    assert not admission.offer(ticket, 0.0)
    assert not admission.tick(0.05)
    [refusal] = admission.tick(0.095)
    assert refusal.ticket is ticket


def test_the_limit_falls_on_overload_and_recovers() -> None:
    limit, now = AdaptiveLimit(100, 200), 0.0
    for _ in range(400):
        now += 0.005
        limit.on_end(0.01, True, 100, now)
    low = limit.value
    assert low < 30
    for _ in range(4000):
        now += 0.005
        limit.on_end(0.01, False, 100, now)
    assert limit.value > low + 50
    for _ in range(400):
        now += 0.005
        limit.on_end(0.03, False, 100, now)
    assert "long-term median" in limit.dump()["why"]


def test_a_service_that_was_slow_is_probed() -> None:
    """Guards against refusing a service permanently because of a short period of high latency."""
    admission = Admission(AdaptiveLimit(10, 10), 10)
    for _ in range(20):
        ticket = Ticket(0, "archivio", "normal", 1e9)
        admission.offer(ticket, 0.0)
        admission.release(ticket, 5.0, False, 0.0)
    probe, second = (Ticket(0, "archivio", "normal", 1.0) for _ in range(2))
    assert admission.offer(probe, 0.0) == [Admit(probe)]
    [refusal] = admission.offer(second, 0.0)
    assert refusal.error.retry_after_ms == pytest.approx(5000, rel=0.1)
    assert admission.offer(other := Ticket(0, "fonderia", "normal", 1.0), 0.0) == [Admit(other)]
    admission.release(probe, 0.01, False, 0.0)
    assert admission.offer(third := Ticket(0, "archivio", "normal", 1.0), 0.0) == [Admit(third)]


def test_a_service_that_was_slow_is_probed_while_others_fill_the_vm() -> None:
    """Guards against refusing a service while the VM is full, since only a run updates its latency.

    Shortly after a request has run, its latency must still refuse one that has to queue.
    """
    admission = Admission(AdaptiveLimit(1, 1), 10)
    for service, latency_s in (("archivio", 5.0), ("fonderia", 0.01)) * 20:
        ticket = Ticket(0, service, "normal", 1e9)
        admission.offer(ticket, 0.0)
        admission.release(ticket, latency_s, False, 0.0)
    holder = Ticket(0, "fonderia", "normal", 1e9)
    assert admission.offer(holder, 0.1) == [Admit(holder)]
    [refusal] = admission.offer(Ticket(0, "archivio", "normal", 1.1), 0.1)
    assert isinstance(refusal, Refuse)
    probe = Ticket(0, "archivio", "normal", 3.0)
    assert admission.offer(probe, 2.0) == []
    assert admission.tick(2.05) == []
    assert admission.release(holder, 0.01, False, 2.1) == [Admit(probe)]


def test_only_the_overloaded_service_is_limited() -> None:
    """Guards against a service with stalled targets that uses up the capacity of all others."""
    admission, now = Admission(AdaptiveLimit(32, 1024), 10), 0.0

    def load(seconds: float, stalled: set[str], latency_s: float = 0.01) -> None:
        nonlocal now
        until, running = now + seconds, []
        for count in itertools.count():
            now += 0.002
            if now >= until and not running:
                break
            service = "archivio" if count % 10 else "fonderia"
            late = service in stalled
            ticket = Ticket(0, service, "normal", 1e9)
            if now < until and admission.offer(ticket, now) == [Admit(ticket)]:
                running.append((now + (1.0 if late else latency_s), late, ticket))
            for end in [end for end in running if end[0] <= now]:
                running.remove(end)
                admitted = admission.release(end[2], now - end[0] + latency_s, end[1], now)
                running += [(now + latency_s, False, action.ticket) for action in admitted]

    load(2.0, set())
    load(10.0, {"fonderia"})
    limits = admission.dump(now)
    assert limits["limit"] >= 32
    assert limits["limit_by_service"]["fonderia"]["limit"] < 10
    load(10.0, set(), latency_s=0.1)
    own = admission.dump(now)["limit_by_service"].get("fonderia", {"limit": 32})
    assert own["limit"] > 5, "the limit of the service must rise again; 5 requests are in flight"
    load(10.0, {"fonderia", "archivio"})
    assert admission.limit.value < 32, "overload of all services must lower the limit of the VM"


def test_overload_of_many_services_is_not_attributed_to_one() -> None:
    """Guards against limiting one service after another without lowering the limit of the VM."""
    limit, rng, now = AdaptiveLimit(100, 200), random.Random(1), 0.0
    for _ in range(4000):
        now += 0.005
        overloaded_service = limit.on_end(
            0.01, rng.random() < 0.1, 100, now, f"service-{rng.randrange(25)}"
        )
        assert overloaded_service is None
    assert limit.value < 40
