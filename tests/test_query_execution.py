"""Tests of query executions with arbitrary events against an oracle of the allowed answers.

Guards against answers that mix snapshots, wrong coverage, repeated non-idempotent work, errors that
report "not run" wrongly, hedges and retries beyond their budgets, and queries that hang.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter

import attrs
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from query_fakes import SERVICE, record, reply_to

from bramleycrank.exceptions import Cancelled, Outcome
from bramleycrank.proto.target_pb2 import (
    SUB_STATUS_DEADLINE,
    SUB_STATUS_FAILED,
    SUB_STATUS_LEAVING,
    SUB_STATUS_OK,
    SUB_STATUS_SHED,
    SUB_STATUS_SNAPSHOT_GONE,
    SubRequest,
)
from bramleycrank.query.budgets import TokenBudget
from bramleycrank.query.catalog import SnapshotCatalog
from bramleycrank.query.execution import MAX_RETRIES, QueryExecution
from bramleycrank.query.policy import AdaptivePolicy, PlainPolicy
from bramleycrank.query.replicas import ReplicaTable
from bramleycrank.query.types import (
    CancelSub,
    Dispatch,
    FailureReason,
    Finish,
    MissingReason,
    QueryConfig,
    QueryRequest,
    Snapshot,
)

KINDS = ("search", "quick_match", "fetch", "work_order", "lookup")
REFUSALS = {
    SUB_STATUS_SHED: MissingReason.SHED,
    SUB_STATUS_SNAPSHOT_GONE: MissingReason.NO_REPLICA,
    SUB_STATUS_LEAVING: MissingReason.NO_REPLICA,
    SUB_STATUS_FAILED: MissingReason.FAILED,
    SUB_STATUS_DEADLINE: MissingReason.TIMEOUT,
}
BURST = 2.0
UNBUDGETED_STATUSES = {SUB_STATUS_SNAPSHOT_GONE, SUB_STATUS_LEAVING}
NOT_RUN_STATUSES = {SUB_STATUS_SHED, *UNBUDGETED_STATUSES}


@attrs.define(eq=False)
class Sent:
    """State of one sub-request in the oracle."""

    target_id: str
    request: SubRequest
    open: bool = True
    proved_not_run: bool = False
    unbudgeted: bool = False


class Oracle:
    """Follows one execution and checks every action."""

    def __init__(self, execution: QueryExecution, idempotent: bool) -> None:
        self.execution = execution
        self.idempotent = idempotent
        self.sent: dict[int, Sent] = {}
        self.accepted: dict[int, object] = {}
        self.reasons: dict[int, MissingReason] = {}
        self.snapshot: Snapshot | None = None
        self.restarts = 0
        self.end: object = None

    def perform(self, actions: list, missing_reason: MissingReason | None = None) -> None:
        for action in actions:
            assert self.end is None, "action after the end of the query"
            if isinstance(action, Dispatch):
                self._on_dispatch(action)
            elif isinstance(action, CancelSub):
                sent = self.sent[action.sub_id]
                assert sent.open, "only open sub-requests are cancelled"
                sent.open = False
            else:
                self.end = action
                self._check_end(action, missing_reason)

    def _on_dispatch(self, action: Dispatch) -> None:
        request = action.request
        assert request.sub_id not in self.sent
        snapshot = Snapshot(request.snapshot.version, request.snapshot.shard_count)
        if snapshot != self.snapshot:
            assert not any(item.open for item in self.sent.values())
            if self.snapshot is not None:
                assert snapshot > self.snapshot, "a restart needs a newer snapshot"
                self.restarts += 1
                assert self.restarts <= 1
            self.snapshot = snapshot
            self.accepted.clear()
            self.reasons.clear()
        assert request.shard not in self.accepted
        if not self.idempotent:
            assert all(item.proved_not_run for item in self.sent.values()), (
                "a non-idempotent request may run twice"
            )
        siblings = [s for s in self.sent.values() if s.open and s.request.shard == request.shard]
        assert len(siblings) <= 1, "at most one hedge"
        before = [
            s
            for s in self.sent.values()
            if (s.request.shard, s.request.snapshot) == (request.shard, request.snapshot)
        ]
        assert len(before) <= 1 + MAX_RETRIES, "one more than the first, a hedge and the retries"
        assert action.target_id not in {s.target_id for s in siblings}
        self.sent[request.sub_id] = Sent(action.target_id, request)

    def _check_end(self, end: object, missing_reason: MissingReason | None) -> None:
        assert not any(item.open for item in self.sent.values()), (
            "sub-requests are open after the end"
        )
        if isinstance(end, Finish):
            self._check_answer(end.answer, missing_reason)
            return
        proved_not_run = all(item.proved_not_run for item in self.sent.values())
        assert (end.error.outcome is Outcome.NOT_RUN) == proved_not_run
        if proved_not_run and not isinstance(end.error, Cancelled):
            assert end.error.retry_after_ms > 0, "the error has no retry-after"

    def _check_answer(self, answer, missing_reason: MissingReason | None) -> None:
        req, coverage = self.execution.req, answer.coverage
        scatter = req.kind in ("search", "quick_match")
        assert answer.snapshot == self.snapshot
        assert coverage.total == (answer.snapshot.shard_count if scatter else 1)
        assert coverage.answered == len(self.accepted)
        assert coverage.answered + len(coverage.missing) == coverage.total
        assert (answer.outcome == "complete") == (not coverage.missing)
        assert req.allow_partial or not coverage.missing
        for item in coverage.missing:
            assert item.shard not in self.accepted
            if item.reason is MissingReason.EARLY_END:
                assert req.kind == "quick_match"
                assert sum(len(reply.hits) for reply in self.accepted.values()) >= req.limit
            else:
                expected = self.reasons.get(item.shard, MissingReason.NO_REPLICA)
                assert item.reason in (expected, missing_reason)
        assert answer.attempts.sent == len(self.sent)
        assert answer.attempts.restarts == self.restarts
        replies = self.accepted.values()
        if req.kind in ("search", "quick_match", "fetch"):
            hits = sorted((-h.score, h.id) for reply in replies for h in reply.hits)
            assert [(-h.score, h.id) for h in answer.result] == hits[: req.limit]
        else:
            assert answer.result == f"done {req.request_key}"

    def on_reply(self, reply, now: float) -> None:
        sent = self.sent.get(reply.sub_id)
        if sent is not None and sent.open:
            sent.open = False
            shard = sent.request.shard
            right = reply.shard == shard and reply.snapshot == sent.request.snapshot
            if reply.status in REFUSALS:
                sent.proved_not_run, sent.unbudgeted = (
                    reply.status in NOT_RUN_STATUSES,
                    reply.status in UNBUDGETED_STATUSES,
                )
                self.reasons[shard] = REFUSALS[reply.status]
            elif right:
                self.accepted[shard] = reply
            else:
                self.reasons[shard] = MissingReason.SNAPSHOT_MISMATCH
            self.perform(self.execution.on_reply(reply, now))
        else:
            assert self.execution.on_reply(reply, now) == [], "a stale reply caused actions"

    def on_failure(self, sub_id: int, reason: FailureReason, now: float) -> None:
        sent = self.sent[sub_id]
        if sent.open:
            sent.open = False
            sent.proved_not_run = sent.unbudgeted = reason is FailureReason.NOT_SENT
            self.reasons[sent.request.shard] = MissingReason.FAILED
        self.perform(self.execution.on_failure(sub_id, reason, now))


class QuerySimulation:
    """Several executions with one policy, whose targets join, leave and fail.

    Every operation has a parameter `pick`, which chooses one item of a sequence.
    """

    def __init__(self, seed: int, plain: bool) -> None:
        self.now = 1000.0
        self.catalog = SnapshotCatalog()
        self.table = ReplicaTable("a", random.Random(seed + 1), warmup_s=0.5)
        self.plain = plain
        self.policy = (
            PlainPolicy(self.table, random.Random(seed + 2))
            if plain
            else AdaptivePolicy(QueryConfig(), self.table)
        )
        self.next_sub_id = itertools.count(1).__next__
        self.oracles: list[Oracle] = []
        self.targets: dict[str, list] = {}
        self.sequence = self.version = 0
        self._add_snapshot(3, "abc")
        if not plain:
            # Small bursts, so that the budgets run out within one example.
            stats = self.policy.stats(SERVICE)
            stats.hedges = TokenBudget(stats.hedges.ratio, BURST)
            stats.retries = TokenBudget(stats.retries.ratio, BURST)
        for _ in range(60):  # enough latencies for hedging
            self.policy.on_reply(SERVICE, "a0", 0.01, True, self.now)

    def _add_snapshot(self, count: int, copies: str) -> None:
        self.version += 1
        for name, shard in itertools.product(copies, range(count)):
            replica = (Snapshot(self.version, count), shard)
            self.targets.setdefault(f"{name}{shard}", []).append(replica)
        self._publish()

    def _publish(self) -> None:
        self.sequence += 1
        records = [
            record(name, replicas[-3:], domain=name[0], sequence=self.sequence, slots=2)
            for name, replicas in self.targets.items()
        ]
        self.catalog.update(SERVICE, records, self.now)
        self.table.update(SERVICE, records, self.now)

    def begin(self, pick) -> None:
        snapshot = self.catalog.choose(SERVICE, 0, self.now)
        if snapshot is None:
            return
        kind, key = pick(KINDS), pick("klmnop")
        req = QueryRequest(
            SERVICE,
            kind,
            allow_partial=pick((True, True, False)),
            limit=pick((10, 1, 2, 3)),
            key=key,
            request_key=f"r{key}",
        )
        idempotent = kind != "work_order"
        execution = QueryExecution(
            req,
            snapshot=snapshot,
            policy=self.policy,
            catalog=self.catalog,
            next_sub_id=self.next_sub_id,
            deadline=self.now + pick((1.0, 1.0, 1.0, 0.05, 0.0)),
            idempotent=idempotent,
        )
        oracle = Oracle(execution, idempotent)
        self.oracles.append(oracle)
        oracle.perform(execution.start(self.now))

    def _sent(self, pick, only_open: bool) -> tuple[Oracle, Sent] | None:
        pool = [(o, s) for o in self.oracles for s in o.sent.values() if s.open or not only_open]
        return pick(pool[-40:]) if pool else None

    def reply(self, pick, status: int = SUB_STATUS_OK) -> None:
        if picked := self._sent(pick, only_open=True):
            oracle, sent = picked
            oracle.on_reply(reply_to(sent.request, status, hits=pick((1, 2, 0))), self.now)

    def reply_to_most(self, pick) -> None:
        self.now += 0.005
        for oracle in self.oracles:
            for sent in list(oracle.sent.values()):
                if sent.open and pick((True, True, True, False)):
                    oracle.on_reply(reply_to(sent.request), self.now)

    def duplicate_or_late_reply(self, pick) -> None:
        if picked := self._sent(pick, only_open=False):
            oracle, sent = picked
            oracle.on_reply(reply_to(sent.request, hits=pick((1, 0, 2))), self.now)

    def refuse(self, pick) -> None:
        self.reply(pick, pick(sorted(REFUSALS)))

    def reply_from_another_snapshot(self, pick) -> None:
        if picked := self._sent(pick, only_open=True):
            oracle, sent = picked
            reply = reply_to(sent.request)
            field = pick(("version", "shard_count", "shard"))
            owner = reply if field == "shard" else reply.snapshot
            setattr(owner, field, getattr(owner, field) + 1)
            oracle.on_reply(reply, self.now)

    def foreign_reply(self, pick) -> None:
        if picked := self._sent(pick, only_open=False):
            oracle, sent = picked
            other = pick(self.oracles)
            if other is not oracle:
                other.on_reply(reply_to(sent.request), self.now)

    def fail_sub_request(self, pick) -> None:
        if picked := self._sent(pick, only_open=True):
            oracle, sent = picked
            oracle.on_failure(sent.request.sub_id, pick(list(FailureReason)), self.now)

    def wait(self, pick) -> None:
        self.now += pick((0.02, 0.02, 0.001, 0.3, 2.0))
        for oracle in self.oracles:
            if oracle.end is None:
                late = self.now >= oracle.execution.deadline
                missing_reason = MissingReason.TIMEOUT if late else None
                oracle.perform(oracle.execution.tick(self.now), missing_reason)
                assert (oracle.end is not None) == late

    def cancel(self, pick) -> None:
        running = [oracle for oracle in self.oracles if oracle.end is None]
        if running and pick((True, False, False)):
            oracle = pick(running)
            oracle.perform(oracle.execution.cancel(self.now))
            assert oracle.end is not None

    def repartition(self, pick) -> None:
        self._add_snapshot(pick((3, 4, 2, 1)), pick(("abc", "ab", "a")))

    def drop_old_snapshots(self, pick) -> None:
        for name, held in self.targets.items():
            self.targets[name] = [item for item in held if item[0].version == self.version]
        self._publish()

    def lose_target(self, pick) -> None:
        if len(self.targets) > 2:
            del self.targets[pick(sorted(self.targets))]
            self._publish()

    def mark_down(self, pick) -> None:
        name, down = pick(sorted(self.targets)), pick((True, False))
        self.table.set_down(name, down, self.now)
        self.catalog.set_down(name, down, self.now)

    def check(self) -> None:
        """Check the invariants that hold after every operation."""
        for oracle in self.oracles:
            due = oracle.execution.next_deadline()
            assert (due is None) == (oracle.end is not None)
            if oracle.end is None:
                assert any(sent.open for sent in oracle.sent.values()), (
                    "the query has no open sub-request"
                )
        if self.oracles and not self.plain:
            counts = [oracle.execution.counts for oracle in self.oracles]
            first, hedges, retries, _ = (sum(column) for column in zip(*counts, strict=True))
            cfg = QueryConfig()
            assert hedges <= BURST + cfg.hedge_budget * first
            # Retries after an attempt that caused no work at a target are outside the budget.
            unbudgeted = sum(
                sent.unbudgeted for oracle in self.oracles for sent in oracle.sent.values()
            )
            assert retries <= BURST + cfg.retry_budget * first + unbudgeted
        self._check_in_flight()

    def _check_in_flight(self) -> None:
        """Check that no in-flight count leaks, which would block a healthy target permanently."""
        sent = [item for oracle in self.oracles for item in oracle.sent.values()]
        open_now = Counter(item.target_id for item in sent if item.open)
        for name, state in self.table.dump(self.now).get(SERVICE, {}).items():
            assert state["in_flight"] <= open_now[name]


OPERATIONS = {
    QuerySimulation.begin: 5,
    QuerySimulation.reply: 6,
    QuerySimulation.reply_to_most: 3,
    QuerySimulation.wait: 4,
    QuerySimulation.refuse: 2,
    QuerySimulation.fail_sub_request: 2,
    QuerySimulation.duplicate_or_late_reply: 2,
    QuerySimulation.reply_from_another_snapshot: 1,
    QuerySimulation.foreign_reply: 1,
    QuerySimulation.cancel: 1,
    QuerySimulation.repartition: 1,
    QuerySimulation.drop_old_snapshots: 1,
    QuerySimulation.lose_target: 1,
    QuerySimulation.mark_down: 1,
}


class ExecutionMachine(RuleBasedStateMachine):
    """State machine of single operations, which shrink, and of long random sequences."""

    @initialize(seed=st.integers(0, 999), plain=st.sampled_from([False, False, False, True]))
    def set_up(self, seed: int, plain: bool) -> None:
        self.simulation = QuerySimulation(seed, plain)

    @rule(operation=st.sampled_from(list(OPERATIONS)), data=st.data())
    def step(self, operation, data) -> None:
        operation(self.simulation, lambda items: data.draw(st.sampled_from(items)))
        self.simulation.check()

    @rule(seed=st.integers(0, 2**32))
    def run_random_sequence(self, seed: int) -> None:
        rng = random.Random(seed)
        for operation in rng.choices(list(OPERATIONS), list(OPERATIONS.values()), k=30):
            operation(self.simulation, rng.choice)
            self.simulation.check()


TestExecution = ExecutionMachine.TestCase
