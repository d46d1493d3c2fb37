"""Order of the sub-requests of a request that may crash its targets, and the verdict on it."""

from __future__ import annotations

import itertools

import pytest
from scatter_fakes import FakePolicy, gather_route, single_route, target_reply

from bramleycrank.membership.suspects import SuspectTable
from bramleycrank.scatter import (
    FailureKind,
    Forward,
    Merged,
    Refusal,
    ReportLosses,
    ScatterExecution,
    SubFailure,
)
from bramleycrank.scatter.progress import Attempts, Shard
from bramleycrank.scatter.quarantine import (
    BURST_CANARY_S,
    BURST_SERVICES,
    CANARY_S,
    MAX_QUARANTINE_TRIAL_S,
    QUARANTINE_TRIAL_S,
    SUSPECT_TRIAL_S,
    Canary,
    Quarantine,
    Verdict,
)

LOST = SubFailure(FailureKind.LOST)
REQUEST = 8


class Attempt:
    """One attempt of a request; collects what it sends and reports."""

    def __init__(self, route, table: SuspectTable, now: float = 0.0, **policy) -> None:
        self.policy = FakePolicy(**policy)
        self.sent: list[Forward] = []
        self.reported: list[ReportLosses] = []
        self.final = None
        self.execution = ScatterExecution(
            route,
            self.policy,
            itertools.count(1),
            now,
            now + 2.0,
            canary=Canary(Quarantine(table), REQUEST),
        )
        self.apply(self.execution.start(now))

    def apply(self, actions) -> None:
        self.sent += [a for a in actions if isinstance(a, Forward)]
        self.reported += [a for a in actions if isinstance(a, ReportLosses)]
        self.final = next((a for a in actions if isinstance(a, Merged | Refusal)), self.final)

    def lose_all(self, now: float) -> None:
        """Lose each sub-request, those that follow included."""
        for forward in self.sent:
            self.apply(self.execution.on_failure(forward.sub_id, LOST, now))


def table_with(crashes: int, service: str = "s0", now: float = 0.0) -> SuspectTable:
    table = SuspectTable()
    for crash_id in range(crashes):
        table.report(REQUEST, crash_id, service, now)
    return table


def test_an_attempt_that_loses_every_sub_request_ends_after_three_rounds():
    """Load pattern: a request crashes what runs it; it went to two replicas of each shard."""
    attempt = Attempt(gather_route(10), SuspectTable())
    attempt.lose_all(0.05)
    assert len(attempt.sent) == 10 + 2
    assert [len(report.losses) for report in attempt.reported] == [10, 1, 1]
    assert isinstance(attempt.final, Refusal) and not attempt.final.not_run


def test_lost_shards_are_retried_together_once_a_target_has_replied():
    """Load pattern: some targets crash, and not because of this request."""
    attempt = Attempt(gather_route(4), SuspectTable())
    for forward in attempt.sent[:2]:
        attempt.apply(attempt.execution.on_failure(forward.sub_id, LOST, 0.02))
    assert len(attempt.sent) == 4
    attempt.apply(attempt.execution.on_reply(attempt.sent[2].sub_id, target_reply(), 0.03))
    assert [forward.target_id for forward in attempt.sent[4:]] == ["s0-1", "s1-1"]
    for forward in attempt.sent[3:]:
        attempt.apply(attempt.execution.on_reply(forward.sub_id, target_reply(), 0.04))
    assert attempt.final.missing == 0 and not attempt.reported


@pytest.mark.parametrize("crashes", [1, 2])
def test_a_suspect_goes_to_one_target_first_and_is_not_hedged(crashes):
    attempt = Attempt(gather_route(10), table_with(crashes, "another"))
    attempt.apply(attempt.execution.tick(0.5))
    assert len(attempt.sent) == 1
    attempt.apply(attempt.execution.on_reply(attempt.sent[0].sub_id, target_reply(), 0.6))
    assert len(attempt.sent) == 10


def test_while_targets_crash_other_gathers_send_a_canary_with_hedges():
    table = SuspectTable()
    table.report(REQUEST + 1, 1, "s3", 0.0)
    attempt = Attempt(gather_route(10), table, now=CANARY_S / 2)
    assert len(attempt.sent) == 1
    attempt.apply(attempt.execution.tick(CANARY_S / 2 + 0.06))
    assert len(attempt.sent) == 2
    attempt.apply(
        attempt.execution.on_reply(attempt.sent[1].sub_id, target_reply(), CANARY_S / 2 + 0.07)
    )
    assert len(attempt.sent) == 10
    assert len(Attempt(gather_route(10), table, now=CANARY_S + 0.1).sent) == 10
    assert len(Attempt(single_route(), table, now=0.1).sent) == 1


def test_a_gather_without_any_reply_hedges_one_shard():
    """Guards against hedges that double what a deadly request crashes (trial 0.594 of worth)."""
    attempt = Attempt(gather_route(10), SuspectTable())
    attempt.apply(attempt.execution.tick(0.06))
    assert len(attempt.sent) == 11
    attempt.apply(attempt.execution.on_reply(attempt.sent[0].sub_id, target_reply(), 0.061))
    attempt.apply(attempt.execution.tick(attempt.execution.next_deadline()))
    assert len(attempt.sent) == 11 + 9


def test_a_request_in_quarantine_is_refused_at_once():
    for route in (gather_route(4), single_route()):
        attempt = Attempt(route, table_with(3, "elsewhere"))
        assert not attempt.sent
        assert attempt.final.not_run and attempt.final.retry_after_s > 60.0


def test_targets_of_many_services_that_end_at_once_make_gathers_send_a_canary():
    """Load pattern: another VM sent the request; its report has not arrived yet."""
    quarantine = Quarantine(SuspectTable())
    for number in range(BURST_SERVICES):
        assert quarantine.verdict(1, ["s0", "s1"], 1.0) is Verdict.FREE
        quarantine.on_target_ended(f"s{number}", 1.0 + number / 10)
    assert quarantine.verdict(1, ["s0", "s1"], 1.5) is Verdict.CANARY
    assert quarantine.verdict(1, ["s0"], 1.5) is Verdict.FREE
    assert quarantine.verdict(1, ["x0", "x1"], 1.5) is Verdict.FREE
    assert quarantine.verdict(1, ["s0", "s1"], 1.3 + BURST_CANARY_S) is Verdict.FREE


def test_a_part_of_one_service_that_ends_is_no_sign_of_a_deadly_request():
    """Guards against canaries, which make answers late, while targets crash by themselves."""
    quarantine = Quarantine(SuspectTable())
    for number in range(10):
        quarantine.on_target_ended("s0", 1.0 + number / 20)
    assert quarantine.verdict(1, ["s0", "s1"], 1.5) is Verdict.FREE


def test_a_canary_goes_to_the_shard_that_can_best_bear_a_loss():
    """Guards against attempts that end the last targets of one shard after another."""
    counts = {"s0": 1, "s1": 2, "s2": 3, "s3": 2}
    canary = Canary(Quarantine(SuspectTable()), REQUEST)
    canary.defer([Shard(service, Attempts(1, repeatable=True)) for service in counts])
    order = [canary.next_deferred(counts.get).service for _ in counts]
    assert order[0] == "s2" and order[-1] == "s0"


class PopularRequest:
    """An equal request that callers send to all VMs at a constant rate, in steps of 10 ms."""

    step_s = 0.01
    confirm_s = 0.12
    spread_s = 0.05

    def __init__(self, vms: int, requests_per_s: float) -> None:
        self.tables = [SuspectTable() for _ in range(vms)]
        self.quarantines = [Quarantine(t, f"vm{n}") for n, t in enumerate(self.tables)]
        self.now = 0.0
        self.sent = 0
        self._interval_s = 1 / requests_per_s
        self._due_at = 0.0
        self._pending: list[tuple[float, int, int, float]] = []

    def report(self, vm: int, sent_at: float) -> None:
        """Let a VM confirm the loss of a request that it sent."""
        confirmed_at = self.now + self.confirm_s
        self._pending += [
            (confirmed_at + (self.spread_s if receiver != vm else 0.0), vm, receiver, sent_at)
            for receiver in range(len(self.tables))
        ]

    def run(self, seconds: float, *, crashes: bool) -> None:
        """Send requests, each of which ends its target or is answered at once."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.step_s
            self._deliver()
            while self._due_at <= self.now:
                self._due_at += self._interval_s
                self._attempt(int(self._due_at / self._interval_s) % len(self.tables), crashes)

    def _attempt(self, vm: int, crashes: bool) -> None:
        quarantine = self.quarantines[vm]
        if quarantine.verdict(REQUEST, ["s"], self.now) is Verdict.REFUSE:
            return
        if quarantine.is_suspect(REQUEST):
            quarantine.on_trial(REQUEST, self.now)
        self.sent += 1
        if crashes:
            self.report(vm, self.now)
            return
        record = self.tables[vm].clear(REQUEST, self.now)
        for table in self.tables if record is not None else ():
            table.merge([record], self.now)

    def _deliver(self) -> None:
        due = [item for item in self._pending if item[0] <= self.now]
        self._pending = [item for item in self._pending if item[0] > self.now]
        for _, vm, receiver, sent_at in due:
            crash_id = self.tables[vm].crash_id(REQUEST, sent_at)
            if not self.tables[receiver].knows_crash(REQUEST, crash_id):
                self.tables[receiver].report(REQUEST, crash_id, "s", self.now)


@pytest.mark.parametrize("vms", [3, 9, 65])
def test_a_popular_request_that_crashes_targets_is_tried_more_and_more_rarely(vms):
    """Load pattern: 70 of the same deadly request a second, at all VMs and for ten minutes.

    Guards against trials that end a target at each VM again and again.
    """
    load = PopularRequest(vms, 70.0)
    load.run(2.0, crashes=True)
    assert all(table.in_quarantine(REQUEST) for table in load.tables)
    first = load.sent
    assert first < 70.0 * (load.confirm_s + load.spread_s) + 2.0 + 2 * min(vms, 20)
    load.run(60.0, crashes=True)
    minute = load.sent
    load.run(540.0, crashes=True)
    assert 2 <= minute - first <= 10 and load.sent - minute <= 10


@pytest.mark.parametrize("vms", [3, 9, 65])
@pytest.mark.parametrize("outages", [1, 3])
def test_a_popular_request_is_served_soon_after_its_targets_are_back(vms, outages):
    """Load pattern: all targets of a service end while they run the same request many times.

    Guards against RECOVER: such a request was refused as long as anybody sent it.
    """
    load = PopularRequest(vms, 70.0)
    for _ in range(outages):
        for vm in range(vms):
            load.report(vm, load.now)
        load.now += 1.0
        load.run(0.0, crashes=False)
        load._deliver()
    assert any(table.in_quarantine(REQUEST) for table in load.tables) == (outages == 3)
    load.run(0.1 + (2 * QUARANTINE_TRIAL_S if outages == 3 else SUSPECT_TRIAL_S), crashes=False)
    assert not any(table.crashes(REQUEST) for table in load.tables)
    before = load.sent
    load.run(1.0, crashes=False)
    assert load.sent - before >= 69


def test_a_trial_without_an_outcome_is_repeated_and_a_crash_postpones_the_next():
    table = table_with(3)
    quarantine = Quarantine(table, "vm1")
    first = quarantine.next_trial_at(REQUEST)
    assert QUARANTINE_TRIAL_S <= first <= 2 * QUARANTINE_TRIAL_S
    assert quarantine.verdict(REQUEST, ["s0"], first - 0.1) is Verdict.REFUSE
    assert quarantine.verdict(REQUEST, ["s0"], first) is Verdict.CANARY
    assert quarantine.verdict(REQUEST, ["s0"], first) is Verdict.CANARY, "nothing was sent"
    quarantine.on_trial(REQUEST, first)
    assert quarantine.verdict(REQUEST, ["s0"], first + 0.1) is Verdict.REFUSE
    assert quarantine.next_trial_at(REQUEST) < first + QUARANTINE_TRIAL_S
    table.report(REQUEST, 99, "s0", first + 0.2)
    assert quarantine.next_trial_at(REQUEST) >= first + 2 * QUARANTINE_TRIAL_S
    for crash_id in range(100, 120):
        table.report(REQUEST, crash_id, "s0", first + 0.2)
    assert quarantine.next_trial_at(REQUEST) <= first + 0.2 + 2 * MAX_QUARANTINE_TRIAL_S


def test_a_trial_goes_to_one_target_and_is_not_retried():
    attempt = Attempt(gather_route(10), table_with(3), now=2 * QUARANTINE_TRIAL_S)
    assert len(attempt.sent) == 1
    attempt.lose_all(2 * QUARANTINE_TRIAL_S + 0.1)
    assert len(attempt.sent) == 1 and isinstance(attempt.final, Refusal)
    assert attempt.reported[0].sent_at == 2 * QUARANTINE_TRIAL_S
