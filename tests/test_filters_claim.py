"""Runs attempts of one non-idempotent request through several VMs with faults in the log.

Guards against a second run, an error that says "not run" although an attempt may have run, answers
that differ between resends, and claims that stay open after a VM gave up before dispatching.
"""

from __future__ import annotations

import asyncio
import json
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from query_fakes import SERVICE, FakeLog, run_virtual

from bramleycrank.exceptions import (
    BramleycrankError,
    DeadlineExceeded,
    Outcome,
    OutcomeUnknown,
    TargetFailed,
)
from bramleycrank.filters.chain import settle_outcome
from bramleycrank.filters.claim import MAX_STORED_ANSWER, ClaimFilter
from bramleycrank.filters.types import RequestContext
from bramleycrank.query.types import Answer, Attempts, Coverage, QueryRequest, Snapshot

FAULTS = ("", "", "slow", "no_quorum", "lost", "unknown")
ENDS = ("answer", "answer", "large answer", "refused", "failed", "lost", "no targets")


@attrs.define
class FakeExecution:
    """What the claim filter asks of an execution."""

    not_run: bool


def answer_with(text: str) -> Answer:
    return Answer(
        "complete", text, Snapshot(1, 1), Coverage(1, 1), Attempts(1, 1), request_key="key"
    )


class World:
    """VMs that share a log; counts the runs of the request."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.log = FakeLog()
        self.runs = 0
        self.tasks: set[asyncio.Task] = set()
        self.loop = asyncio.get_running_loop()
        self.filters = [
            ClaimFilter(self.log, f"vm{n}", self._spawn, self.loop.time) for n in range(3)
        ]

    def _spawn(self, coro) -> None:
        task = self.loop.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def settle(self) -> None:
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    async def attempt(self, end: str, cancel_after: float | None, deadline_s: float):
        """Return the answer, the error, or None if the caller went away."""
        req = QueryRequest(SERVICE, "work_order", request_key="key", issued_at_ms=5, key="k")
        now = self.loop.time()
        ctx = RequestContext(req, received_at=now, deadline=now + deadline_s)

        async def run(ctx: RequestContext) -> Answer:
            assert self.loop.time() < ctx.deadline
            return await self._run(ctx, end)

        task = asyncio.ensure_future(self.rng.choice(self.filters)(ctx, run))
        if cancel_after is not None:
            await asyncio.wait([task], timeout=cancel_after)
            if not ctx.dispatched:  # the controller lets a dispatched one end
                task.cancel()
        try:
            return await task
        except BramleycrankError as exc:
            settle_outcome(ctx, exc)
            return exc
        except asyncio.CancelledError:
            return None

    async def _run(self, ctx: RequestContext, end: str) -> Answer:
        if end == "no targets":
            raise TargetFailed
        ctx.dispatched = True
        ctx.execution = FakeExecution(not_run=False)
        await asyncio.sleep(self.rng.random() * 0.1)
        if end == "refused":
            ctx.execution.not_run = True
            raise TargetFailed
        if end == "lost":  # it may have run; the worst case is that it did
            self.runs += 1
            raise DeadlineExceeded
        if end == "failed":
            self.runs += 1
            raise TargetFailed
        self.runs += 1
        return answer_with("x" * (MAX_STORED_ANSWER if end == "large answer" else 5))


@given(
    seed=st.integers(0, 2**32),
    attempts=st.lists(
        st.tuples(
            st.sampled_from(ENDS),
            st.sampled_from([None, None, 0.0, 0.01, 0.06]),
            st.sampled_from([1.0, 1.0, 0.12, 0.0]),
            st.lists(st.sampled_from(FAULTS), max_size=4),
            st.booleans(),
        ),
        min_size=1,
        max_size=7,
    ),
)
def test_it_runs_at_most_once_and_every_answer_is_true(seed: int, attempts: list) -> None:
    async def scenario() -> None:
        world = World(seed)
        open_attempts, results = [], []
        for end, cancel_after, deadline_s, faults, together in attempts:
            world.log.faults.extend(faults)
            task = asyncio.ensure_future(world.attempt(end, cancel_after, deadline_s))
            open_attempts.append(task)
            if not together:
                before = world.runs
                result = await task
                # Alone in the system, "not run" must mean that nothing ran meanwhile.
                if isinstance(result, BramleycrankError) and result.outcome is Outcome.NOT_RUN:
                    assert world.runs == before or len(open_attempts) > 1
        results = [await task for task in open_attempts]
        await world.settle()
        assert world.runs <= 1
        answers = [item for item in results if isinstance(item, Answer)]
        assert all(item == answers[0] for item in answers)
        claim = next(iter(world.log.claims.values()), None)
        if answers and claim and claim["answer"]:
            assert Answer.from_dict(json.loads(claim["answer"])) == answers[0]
        if not world.runs and claim:
            assert claim["abandoned"], "a claim stayed open although nothing was dispatched"

    run_virtual(scenario())


def attempt_after(prepare, **changes):
    """Return the result of one attempt after `prepare` changed the log."""

    async def scenario():
        world = World(1)
        prepare(world.log)
        values = {"end": "answer", "cancel_after": None, "deadline_s": 1.0} | changes
        result = await world.attempt(**values)
        commands = [command.WhichOneof("body") for command in world.log.commands]
        await world.settle()
        return result, world, commands

    return run_virtual(scenario())


@pytest.mark.parametrize(
    ("fault", "floor_ms", "end", "name", "outcome", "abandoned"),
    [
        ("no_quorum", 0, "answer", "NoQuorum", Outcome.UNKNOWN, []),
        ("", 6, "answer", "KeyExpired", Outcome.UNKNOWN, []),
        ("", 0, "no targets", "TargetFailed", Outcome.NOT_RUN, [True]),
        ("", 0, "refused", "TargetFailed", Outcome.NOT_RUN, [True]),
        ("", 0, "failed", "TargetFailed", Outcome.UNKNOWN, [False]),
        ("", 0, "lost", "DeadlineExceeded", Outcome.UNKNOWN, [False]),
    ],
)
def test_an_error_says_what_is_known(fault, floor_ms, end, name, outcome, abandoned) -> None:
    def prepare(log: FakeLog) -> None:
        log.faults.append(fault)
        log.floor_ms = floor_ms

    result, world, _ = attempt_after(prepare, end=end)
    assert (result.name, result.outcome) == (name, outcome)
    assert [claim["abandoned"] for claim in world.log.claims.values()] == abandoned


def test_a_proposal_with_unknown_outcome_is_repeated_as_the_same_claim() -> None:
    result, world, _ = attempt_after(lambda log: log.faults.extend(["unknown", "lost"]))
    assert result.result == "xxxxx"
    ids = [c.claim_open.attempt_id for c in world.log.commands if c.HasField("claim_open")]
    assert len(ids) == 2
    assert len(set(ids)) == 1


@pytest.mark.parametrize(
    ("end", "name"),
    [("answer", None), ("large answer", "AnswerTooLargeToRepeat"), ("lost", "OutcomeUnknown")],
)
def test_a_resend_gets_what_the_claim_knows(end: str, name: str | None) -> None:
    async def scenario() -> None:
        world = World(2)
        first = await world.attempt(end, None, 1.0)
        await world.settle()
        second = await world.attempt("answer", None, 1.0)
        assert world.runs == 1
        if name is None:
            assert second == first
        else:
            assert isinstance(second, OutcomeUnknown)
            assert (second.name, second.outcome) == (name, Outcome.UNKNOWN)

    run_virtual(scenario())


def test_completion_is_repeated_until_it_is_committed() -> None:
    def prepare(log: FakeLog) -> None:
        log.faults.extend(["", "no_quorum", "lost", "unknown"])

    result, world, commands = attempt_after(prepare)
    assert commands == ["claim_open"], "the answer must not wait for the completion"
    assert result.result == "xxxxx"
    assert [claim["completed"] for claim in world.log.claims.values()] == [True]


def test_completion_is_repeated_after_an_unexpected_failure() -> None:
    """Guards against an answer that is lost to resends since one proposal failed untyped."""

    def prepare(log: FakeLog) -> None:
        log.faults.extend(["", "broken"])

    _, world, _ = attempt_after(prepare)
    assert [claim["completed"] for claim in world.log.claims.values()] == [True]
