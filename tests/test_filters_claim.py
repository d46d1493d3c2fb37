"""Attempts of one non-idempotent request through several VMs, with faults in the log.

Guards against a second run, a "not run" error although an attempt may have run, answers that
differ between resends, and claims that stay open after a VM aborted before the dispatch.
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
from bramleycrank.filters.chain import set_error_outcome
from bramleycrank.filters.claim import MAX_STORED_ANSWER_BYTES, ClaimFilter
from bramleycrank.filters.types import RequestContext
from bramleycrank.query.types import Answer, Attempts, Coverage, QueryRequest, Snapshot

FAULTS = ("", "", "slow", "no_quorum", "lost", "unknown")
ATTEMPT_ENDS = ("answer", "answer", "large answer", "refused", "failed", "lost", "no targets")


@attrs.define
class FakeExecution:
    """The part of an execution that the claim filter uses."""

    not_run: bool


def answer_with(text: str) -> Answer:
    return Answer(
        "complete", text, Snapshot(1, 1), Coverage(1, 1), Attempts(1, 1), request_key="key"
    )


class Simulation:
    """Simulates VMs that share a log and counts the runs of the request."""

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

    async def wait_for_tasks(self) -> None:
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    async def attempt(self, end: str, cancel_after_s: float | None, deadline_s: float):
        """Return the answer, the error, or None if the caller disconnected."""
        req = QueryRequest(SERVICE, "work_order", request_key="key", issued_at_ms=5, key="k")
        now = self.loop.time()
        ctx = RequestContext(req, received_at=now, deadline=now + deadline_s)

        async def run(ctx: RequestContext) -> Answer:
            assert self.loop.time() < ctx.deadline
            return await self._run(ctx, end)

        task = asyncio.ensure_future(self.rng.choice(self.filters)(ctx, run))
        if cancel_after_s is not None:
            await asyncio.wait([task], timeout=cancel_after_s)
            if not ctx.dispatched:  # the controller doesn't cancel a dispatched request
                task.cancel()
        try:
            return await task
        except BramleycrankError as exc:
            set_error_outcome(ctx, exc)
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
        if end == "lost":  # outcome unknown; count a run as the worst case
            self.runs += 1
            raise DeadlineExceeded
        if end == "failed":
            self.runs += 1
            raise TargetFailed
        self.runs += 1
        return answer_with("x" * (MAX_STORED_ANSWER_BYTES if end == "large answer" else 5))


@given(
    seed=st.integers(0, 2**32),
    attempts=st.lists(
        st.tuples(
            st.sampled_from(ATTEMPT_ENDS),
            st.sampled_from([None, None, 0.0, 0.01, 0.06]),
            st.sampled_from([1.0, 1.0, 0.12, 0.0]),
            st.lists(st.sampled_from(FAULTS), max_size=4),
            st.booleans(),
        ),
        min_size=1,
        max_size=7,
    ),
)
def test_a_request_runs_at_most_once_and_all_answers_are_equal(seed: int, attempts: list) -> None:
    async def scenario() -> None:
        simulation = Simulation(seed)
        open_attempts, results = [], []
        for end, cancel_after_s, deadline_s, faults, concurrent in attempts:
            simulation.log.faults.extend(faults)
            task = asyncio.ensure_future(simulation.attempt(end, cancel_after_s, deadline_s))
            open_attempts.append(task)
            if not concurrent:
                runs_before = simulation.runs
                result = await task
                # Without concurrent attempts, "not run" means that the number of runs is unchanged.
                if isinstance(result, BramleycrankError) and result.outcome is Outcome.NOT_RUN:
                    assert simulation.runs == runs_before or len(open_attempts) > 1
        results = [await task for task in open_attempts]
        await simulation.wait_for_tasks()
        assert simulation.runs <= 1
        answers = [item for item in results if isinstance(item, Answer)]
        assert all(item == answers[0] for item in answers)
        claim = next(iter(simulation.log.claims.values()), None)
        if answers and claim and claim["answer"]:
            assert Answer.from_dict(json.loads(claim["answer"])) == answers[0]
        if not simulation.runs and claim:
            assert claim["abandoned"], "the claim stayed open although nothing was dispatched"

    run_virtual(scenario())


def run_attempt(prepare, **changes):
    """Prepare the log, run one attempt; return its result, the simulation and the commands."""

    async def scenario():
        simulation = Simulation(1)
        prepare(simulation.log)
        values = {"end": "answer", "cancel_after_s": None, "deadline_s": 1.0} | changes
        result = await simulation.attempt(**values)
        commands = [command.WhichOneof("body") for command in simulation.log.commands]
        await simulation.wait_for_tasks()
        return result, simulation, commands

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
def test_an_error_states_the_known_outcome(fault, floor_ms, end, name, outcome, abandoned) -> None:
    def prepare(log: FakeLog) -> None:
        log.faults.append(fault)
        log.floor_ms = floor_ms

    result, simulation, _ = run_attempt(prepare, end=end)
    assert (result.name, result.outcome) == (name, outcome)
    assert [claim["abandoned"] for claim in simulation.log.claims.values()] == abandoned


def test_a_proposal_with_unknown_outcome_is_retried_with_the_same_attempt_id() -> None:
    result, simulation, _ = run_attempt(lambda log: log.faults.extend(["unknown", "lost"]))
    assert result.result == "xxxxx"
    ids = [c.claim_open.attempt_id for c in simulation.log.commands if c.HasField("claim_open")]
    assert len(ids) == 2
    assert len(set(ids)) == 1


@pytest.mark.parametrize(
    ("end", "name"),
    [("answer", None), ("large answer", "AnswerTooLargeToRepeat"), ("lost", "OutcomeUnknown")],
)
def test_a_resend_gets_the_stored_answer_or_an_unknown_outcome(end: str, name: str | None) -> None:
    async def scenario() -> None:
        simulation = Simulation(2)
        first = await simulation.attempt(end, None, 1.0)
        await simulation.wait_for_tasks()
        second = await simulation.attempt("answer", None, 1.0)
        assert simulation.runs == 1
        if name is None:
            assert second == first
        else:
            assert isinstance(second, OutcomeUnknown)
            assert (second.name, second.outcome) == (name, Outcome.UNKNOWN)

    run_virtual(scenario())


def test_a_completion_is_retried_until_it_is_committed() -> None:
    def prepare(log: FakeLog) -> None:
        log.faults.extend(["", "no_quorum", "lost", "unknown"])

    result, simulation, commands = run_attempt(prepare)
    assert commands == ["claim_open"], "the answer must not wait for the completion"
    assert result.result == "xxxxx"
    assert [claim["completed"] for claim in simulation.log.claims.values()] == [True]


def test_a_completion_is_retried_after_an_unexpected_error() -> None:
    """Guards against an unexpected error that ends the retries; no resend got the answer."""

    def prepare(log: FakeLog) -> None:
        log.faults.extend(["", "broken"])

    _, simulation, _ = run_attempt(prepare)
    assert [claim["completed"] for claim in simulation.log.claims.values()] == [True]
