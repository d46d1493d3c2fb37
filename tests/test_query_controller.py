"""Runs the query controller with the whole filter chain on an event loop with virtual time.

Guards against answers to the wrong request, requests that hang or exceed their deadline, work that
is lost or not cleaned up after a cancellation, and a drain that interrupts requests.
"""

from __future__ import annotations

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from query_fakes import (
    SERVICE,
    FakeConfiguration,
    FakeLog,
    FakeSessions,
    FakeTargets,
    grid,
    reply_to,
    run_virtual,
)

from bramleycrank.daemon.query_controller import QueryController
from bramleycrank.exceptions import (
    BramleycrankError,
    ClassNotAllowed,
    Draining,
    InvalidRequest,
    NoTargets,
    Outcome,
    UnknownKind,
    UnknownService,
)
from bramleycrank.proto.target_pb2 import (
    SUB_STATUS_FAILED,
    SUB_STATUS_LEAVING,
    SUB_STATUS_OK,
    SUB_STATUS_SHED,
    SUB_STATUS_SNAPSHOT_GONE,
    Hit,
)
from bramleycrank.query.types import FailureReason, QueryConfig, QueryRequest, Snapshot


class System:
    """A controller with fake sessions, targets, configuration and log."""

    def __init__(self, seed: int = 1, policy: str = "adaptive", shards: int = 3) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.sessions, self.log = FakeSessions(), FakeLog()
        self.configuration = FakeConfiguration()
        self.targets = FakeTargets(grid(Snapshot(1, shards), 3))
        self.runs: dict[str, int] = {}
        self.controller = QueryController(
            vm_id="vm1",
            domain="a",
            cfg=QueryConfig(policy=policy),
            configuration=self.configuration,
            targets=self.targets,
            sessions=self.sessions,
            proposer=self.log,
            rng=random.Random(seed),
            clock=self.loop.time,
            wall_ms=lambda: 1_000_000,
        )
        self.sessions.on_send = self.reply_correctly

    def reply_correctly(self, target_id: str, request, listener) -> None:
        """Reply after 10 ms, as a correct target does."""
        self.loop.call_later(0.01, listener.on_reply, self.make_reply(request))

    def make_reply(self, request, status: int = SUB_STATUS_OK):
        reply = reply_to(request, status)
        if status == SUB_STATUS_OK:
            reply.ClearField("hits")
            reply.hits.append(Hit(id=f"{request.shard}", body=request.query, score=1.0))
        if status in (SUB_STATUS_OK, SUB_STATUS_FAILED):
            self.count_run(request)
        return reply

    def count_run(self, request) -> None:
        """Count a run, or a possible run, of a non-idempotent request."""
        if request.request_key:
            self.runs[request.request_key] = self.runs.get(request.request_key, 0) + 1

    def reply_with_faults(self, target_id: str, request, listener) -> None:
        """Reply late, twice, with an error, synchronously or never."""
        rng, later = self.rng, self.loop.call_later
        fault_draw = rng.random()
        if fault_draw < 0.05:
            listener.on_failure(request.sub_id, FailureReason.NOT_SENT)
        elif fault_draw < 0.10:
            self.count_run(request)
            later(rng.random(), listener.on_failure, request.sub_id, FailureReason.CONNECTION_LOST)
        elif fault_draw < 0.15:
            self.count_run(request)
        elif fault_draw < 0.30:
            refusals = (
                SUB_STATUS_SHED,
                SUB_STATUS_FAILED,
                SUB_STATUS_LEAVING,
                SUB_STATUS_SNAPSHOT_GONE,
            )
            later(
                rng.random() * 0.05,
                listener.on_reply,
                self.make_reply(request, rng.choice(refusals)),
            )
        elif fault_draw < 0.35:
            listener.on_reply(self.make_reply(request))
        else:
            reply = self.make_reply(request)
            for _ in range(rng.choice((1, 1, 2))):
                later(rng.choice((0.005, 0.02, 0.7)), listener.on_reply, reply)

    async def execute(self, kind: str = "search", **fields):
        """Return the answer or the error."""
        fields = {"query": "q", "key": "k"} | fields
        try:
            return await self.controller.execute(QueryRequest(SERVICE, kind, **fields))
        except BramleycrankError as exc:
            return exc

    def execute_order(self, key: str = "r1", **fields):
        return self.execute("work_order", request_key=key, issued_at_ms=1_000_000, **fields)


@given(seed=st.integers(0, 2**32), policy=st.sampled_from(["adaptive", "adaptive", "plain"]))
def test_every_caller_gets_the_answer_to_its_own_request_within_the_deadline(
    seed: int, policy: str
) -> None:
    async def scenario() -> None:
        system = System(seed, policy)
        system.sessions.on_send = system.reply_with_faults
        await system.controller.start()
        rng = system.rng

        async def send_read(number: int) -> None:
            await asyncio.sleep(rng.random())
            started, deadline_ms = system.loop.time(), rng.choice((50, 300, 1000))
            kind = rng.choice(("search", "quick_match", "fetch"))
            result = await system.execute(kind, query=f"q{number}", deadline_ms=deadline_ms)
            assert system.loop.time() <= started + deadline_ms / 1e3 + 0.001, "after the deadline"
            if isinstance(result, BramleycrankError):
                return
            assert {hit.body for hit in result.result} == {f"q{number}"}
            assert len({hit.id for hit in result.result}) == result.coverage.answered
            assert result.coverage.total == (1 if kind == "fetch" else 3)
            json.dumps(result.as_dict(), allow_nan=False)

        async def resend_order(number: int) -> None:
            """Send the same request three times, as a caller that lost the answers."""
            first = None
            for _ in range(3):
                await asyncio.sleep(rng.random())
                before = system.runs.get(f"r{number}", 0)
                result = await system.execute_order(
                    f"r{number}", deadline_ms=rng.choice((100, 1000))
                )
                if isinstance(result, BramleycrankError):
                    if result.outcome is Outcome.NOT_RUN:
                        assert system.runs.get(f"r{number}", 0) == before == 0
                else:
                    first = first or result
                    assert result == first

        work = [send_read(n) for n in range(60)] + [resend_order(n) for n in range(10)]
        tasks = [asyncio.ensure_future(coro) for coro in work]
        for task in rng.sample(tasks, 8):
            system.loop.call_later(rng.random(), task.cancel)
        for shards in (3, 3, 2):
            await asyncio.sleep(0.3)
            version = 2 + round(system.loop.time() * 10)
            if shards == 3:
                system.targets.replace(grid(Snapshot(version, 3), 3, sequence=version))
        done = await asyncio.gather(*tasks, return_exceptions=True)
        errors = [item for item in done if isinstance(item, Exception)]
        assert not errors, errors
        assert await system.controller.drain(40.0)
        assert all(runs == 1 for runs in system.runs.values())
        json.dumps(system.controller.dump(), allow_nan=False)
        await system.controller.stop()

    run_virtual(scenario())


def run_with(scenario, **options):
    """Run `scenario(system)` in virtual time."""

    async def main():
        system = System(**options)
        await system.controller.start()
        result = await scenario(system)
        await system.controller.stop()
        return result

    return run_virtual(main())


REFUSALS = [
    ({"service": "nowhere"}, UnknownService, Outcome.NOT_RUN),
    ({"service": "nowhere", "kind": "work_order"}, UnknownService, Outcome.UNKNOWN),
    ({"kind": "carve"}, UnknownKind, Outcome.UNKNOWN),
    ({"priority": "bulk"}, ClassNotAllowed, Outcome.NOT_RUN),
    ({"limit": 51}, InvalidRequest, Outcome.NOT_RUN),
    ({"kind": "work_order"}, InvalidRequest, Outcome.UNKNOWN),
    (
        {"kind": "work_order", "request_key": "r", "issued_at_ms": 4_700_000},
        InvalidRequest,
        Outcome.UNKNOWN,
    ),
]


@pytest.mark.parametrize(("fields", "error", "outcome"), REFUSALS)
def test_refusals_have_the_expected_type_and_outcome(fields: dict, error: type, outcome) -> None:
    async def scenario(system: System) -> None:
        system.configuration.config.classes.extend(["urgent", "normal"])
        system.configuration.config.hits_limit = 50
        values = {"service": SERVICE, "kind": "search", "query": "q"} | fields
        with pytest.raises(error) as exc_info:
            await system.controller.execute(QueryRequest(**values))
        assert type(exc_info.value) is error
        assert exc_info.value.outcome is outcome
        assert not system.sessions.sent

    run_with(scenario)


def test_sub_requests_of_a_cancelled_read_are_cancelled() -> None:
    async def scenario(system: System) -> None:
        system.sessions.on_send = None
        task = asyncio.ensure_future(system.execute())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.01)
        ids = [request.sub_id for _, request in system.sessions.sent]
        assert sorted(system.sessions.cancelled) == sorted(ids)
        assert system.controller.in_flight == 0
        assert system.controller.dump()["admission"]["in_flight"] == 0

    run_with(scenario)


def test_a_dispatched_order_is_completed_after_its_caller_disconnected() -> None:
    async def scenario(system: System) -> None:
        task = asyncio.ensure_future(system.execute_order())
        while not system.sessions.sent:
            await asyncio.sleep(0.001)
        task.cancel()
        assert await system.controller.drain(5.0)
        assert not system.sessions.cancelled
        assert [claim["completed"] for claim in system.log.claims.values()] == [True]

    run_with(scenario)


def test_an_order_cancelled_before_dispatch_does_not_run_and_its_claim_is_abandoned() -> None:
    async def scenario(system: System) -> None:
        system.log.faults.extend(["lost"])
        task = asyncio.ensure_future(system.execute_order())
        await asyncio.sleep(0.01)
        task.cancel()
        assert await system.controller.drain(5.0)
        assert not system.sessions.sent
        assert system.log.commands[-1].HasField("claim_abandon")

    run_with(scenario)


def test_a_drain_completes_requests_in_flight_and_refuses_new_ones() -> None:
    async def scenario(system: System) -> None:
        task = asyncio.ensure_future(system.execute())
        await asyncio.sleep(0.001)
        drain = asyncio.ensure_future(system.controller.drain(5.0))
        await asyncio.sleep(0.001)
        refused, order = await system.execute(), await system.execute_order()
        assert (type(refused), refused.outcome) == (Draining, Outcome.NOT_RUN)
        assert (type(order), order.outcome) == (Draining, Outcome.UNKNOWN)
        assert await drain
        assert (await task).outcome == "complete"

    run_with(scenario)


def test_a_stop_fails_requests_in_flight_with_a_typed_error() -> None:
    """Guards against an interrupted request that a caller takes for one with an empty answer."""

    async def scenario(system: System) -> None:
        system.sessions.on_send = None
        tasks = [asyncio.ensure_future(run()) for run in (system.execute, system.execute_order)]
        await asyncio.sleep(0.1)
        assert not await system.controller.drain(0.1)
        await system.controller.stop()
        for error in await asyncio.wait_for(asyncio.gather(*tasks), 1.0):
            assert (type(error), error.outcome) == (Draining, Outcome.UNKNOWN)

    run_with(scenario)


def test_without_targets_an_order_is_not_run_and_its_claim_is_abandoned() -> None:
    async def scenario(system: System) -> None:
        system.targets.records = []
        read, order = await system.execute(), await system.execute_order()
        assert (type(read), read.outcome) == (NoTargets, Outcome.NOT_RUN)
        assert read.retry_after_ms > 0
        assert (type(order), order.outcome) == (NoTargets, Outcome.NOT_RUN)
        await system.controller.drain(5.0)
        assert [claim["abandoned"] for claim in system.log.claims.values()] == [True]

    run_with(scenario)


def test_a_removed_target_is_dropped_without_another_request() -> None:
    """Guards against hedges and retries of running requests to a target that left or expired."""

    async def scenario(system: System) -> None:
        await system.execute()
        for records in (system.targets.records[1:], system.targets.records[2:]):
            # The second change causes no event, as when the lease of a target expires.
            if len(records) == 8:
                system.targets.replace(records)
                await asyncio.sleep(0.1)
            else:
                system.targets.records = records
                await asyncio.sleep(1.1)
            assert len(system.controller.dump()["targets"][SERVICE]) == len(records)

    run_with(scenario)


def test_fast_failures_do_not_lower_the_concurrency_limit() -> None:
    """Guards against a concurrency limit that stays low after an outage of the targets.

    The latencies of failed requests lowered the long-term median, so that the usual latency looked
    like an overload afterwards.
    """

    async def scenario(system: System) -> None:
        limits = []

        async def load(seconds: float) -> None:
            until = system.loop.time() + seconds
            while system.loop.time() < until:
                await asyncio.gather(*(system.execute() for _ in range(10)))
                limits.append(system.controller.dump()["admission"]["limit"])
                await asyncio.sleep(0.01)

        await load(2.0)
        before = min(limits)
        system.sessions.on_send = lambda target_id, request, listener: system.loop.call_later(
            0.0005, listener.on_failure, request.sub_id, FailureReason.NOT_SENT
        )
        await load(2.0)
        system.sessions.on_send = system.reply_correctly
        await load(5.0)
        assert min(limits) >= before

    run_with(scenario)


def test_an_overloaded_vm_refuses_requests_above_its_queue_limit_at_once() -> None:
    async def scenario(system: System) -> None:
        system.configuration.config.max_concurrency = 2
        system.configuration.config.queue_limit = 3
        results = [asyncio.ensure_future(system.execute()) for _ in range(10)]
        await asyncio.sleep(0.001)
        refused = [task.result() for task in results if task.done()]
        assert [error.name for error in refused] == ["QueueFull"] * 5
        assert all(error.outcome is Outcome.NOT_RUN for error in refused)
        answers = await asyncio.gather(*results)
        assert sum(not isinstance(item, BramleycrankError) for item in answers) == 5

    run_with(scenario)
