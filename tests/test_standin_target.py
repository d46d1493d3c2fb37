"""Tests of the sessions, slots and faults of stand-in targets."""

import asyncio
import json

import pytest
from grpclib.exceptions import GRPCError
from standin_fakes import SNAPSHOT, connect_control, open_session, run_fleet, wait_until

from bramleycrank.proto import standin_pb2
from bramleycrank.proto import target_pb2 as pb
from bramleycrank.standin import data

FAST = {"latency_ms": 0}
SLOW = {"latency_ms": 60_000, "sigma": 0}


def run(scenario, **sections):
    async def body():
        async with run_fleet(**{"timing": FAST, **sections}) as running:
            (target, *_) = running.targets.values()
            async with open_session(target) as client:
                await scenario(running, target, client)

    asyncio.run(body())


def statuses(replies):
    return [pb.SubStatus.Name(reply.status).removeprefix("SUB_STATUS_") for reply in replies]


def test_hits_belong_to_the_requested_snapshot():
    """Guards against replies in which tests cannot detect mixed snapshots."""

    async def scenario(running, target, client):
        (reply,) = await client.request()
        assert statuses([reply]) == ["OK"] and reply.snapshot == SNAPSHOT
        assert list(reply.hits) == list(data.search("demo", SNAPSHOT, 0, "bell", 3))
        scores = [hit.score for hit in reply.hits]
        assert scores == sorted(scores, reverse=True) and len(scores) == 3
        body = json.loads(reply.hits[0].body)
        assert (body["version"], body["shard_count"], body["shard"]) == (1, 1, 0)
        newer = pb.Snapshot(version=2, shard_count=1)
        assert data.search("demo", newer, 0, "bell", 3) != tuple(reply.hits)

    run(scenario)


def test_a_snapshot_that_is_not_held_is_refused():
    """Guards against replies from a snapshot that the target no longer holds."""

    async def scenario(running, target, client):
        newer = pb.Snapshot(version=2, shard_count=2)
        assert statuses(await client.request(snapshot=newer)) == ["SNAPSHOT_GONE"]
        async with connect_control(running) as stub:
            replicas = [pb.Replica(snapshot=newer, shard=1)]
            request = standin_pb2.SetReplicasRequest(target_id="demo-0-0", replicas=replicas)
            await stub.SetReplicas(request)
        assert statuses(await client.request()) == ["SNAPSHOT_GONE"]
        assert statuses(await client.request(snapshot=newer, shard=1)) == ["OK"]
        assert target.record.sequence > 1

    run(scenario)


def test_fetch_checks_that_the_key_is_in_the_shard():
    """Guards against routing errors that send keys to the wrong shard undetected."""

    async def scenario(running, target, client):
        snapshot = pb.Snapshot(version=1, shard_count=4)
        shard = data.shard_of("clapper", 4)
        fields = {"kind": "fetch", "key": "clapper", "snapshot": snapshot}
        target.set_replicas([pb.Replica(snapshot=snapshot, shard=n) for n in range(4)])
        replies = [(await client.request(**fields, shard=n))[0] for n in range(4)]
        assert [n for n, r in enumerate(replies) if r.status == pb.SUB_STATUS_OK] == [shard]
        assert replies[shard].hits[0].id == "clapper"

    run(scenario)


def test_sub_requests_beyond_slots_and_queue_are_shed():
    """Guards against a target without limits, which overload tests could not saturate."""

    async def scenario(running, target, client):
        ids = await client.send(10, timeout_ms=60_000)
        await client.receive(lambda c: len(c.replies) == 10 - 3 - 2)
        assert statuses(client.replies) == ["SHED"] * 5
        assert [r.sub_id for r in client.replies] == ids[5:]
        assert all(reply.retry_after_ms > 0 for reply in client.replies)
        assert target.load() == pb.LoadReport(in_flight=3, queued=2, slots=3)
        await client.cancel(ids[0])
        await wait_until(lambda: target.load().queued == 1)
        assert target.load().in_flight == 3 and target.counts.cancelled == 1

    run(scenario, timing=SLOW, capacity={"slots": 3, "queue_limit": 2})


def test_a_deadline_ends_queued_and_running_sub_requests():
    """Guards against slots that expired sub-requests occupy."""

    async def scenario(running, target, client):
        assert statuses(await client.request(3, timeout_ms=50)) == ["DEADLINE"] * 3
        assert target.idle and target.counts.executed == 0
        assert statuses(await client.request(timeout_ms=0)) == ["DEADLINE"]

    run(scenario, timing=SLOW, capacity={"slots": 1})


def test_effects_are_counted_once_for_each_execution():
    """Guards against a second execution that the at-most-once tests could not detect."""

    async def scenario(running, target, client):
        work_order = {"kind": "work_order", "key": "k", "request_key": "r1"}
        (first,) = await client.request(**work_order)
        (second,) = await client.request(**work_order)
        assert [json.loads(r.payload)["run"] for r in (first, second)] == [1, 2]
        await client.request()
        async with connect_control(running) as stub:
            stats = (await stub.Stats(standin_pb2.StatsRequest())).targets[0]
            await stub.SetFault(standin_pb2.FaultRequest(shed_share=1))
            assert statuses(await client.request(**work_order)) == ["SHED"]
        assert dict(stats.effects) == {"r1": 2} and stats.executed == 3
        assert target.effects["r1"] == 2

    run(scenario)


def test_a_work_order_cancelled_during_execution_counts_as_executed():
    """Guards against an execution that is not counted because it was cancelled."""

    async def scenario(running, target, client):
        ids = await client.send(kind="work_order", key="k", request_key="r1")
        await wait_until(lambda: target.effects["r1"] == 1)
        await client.cancel(*ids)
        await wait_until(lambda: target.idle)
        assert target.effects["r1"] == 1

    run(scenario, timing=SLOW)


def test_a_lost_session_frees_its_slots():
    """Guards against slots that sub-requests of lost VMs occupy."""

    async def scenario(running, target, client):
        async with open_session(target) as other:
            await other.send(5)
            await wait_until(lambda: target.load().queued == 4)
        await wait_until(lambda: target.idle)
        assert len(target.sinks) == 1

    run(scenario, timing=SLOW, capacity={"slots": 1})


def test_connections_beyond_the_limit_are_refused():
    """Guards against VMs that exceed the connection limit undetected."""

    async def scenario(running, target, client):
        await client.request()
        with pytest.raises(GRPCError, match="too many connections"):
            async with open_session(target) as other:
                await other.request()
        assert target.counts.peak_connections == 1

    run(scenario, capacity={"connections": 1})


def test_faults_accumulate_until_they_are_reset():
    """Guards against a fault that clears another one, or that cannot be cleared."""

    async def scenario(running, target, client):
        async with connect_control(running) as stub:
            await stub.SetFault(standin_pb2.FaultRequest(fail_share=1))
            await stub.SetFault(standin_pb2.FaultRequest(latency_ms=40))
            started = asyncio.get_running_loop().time()
            assert statuses(await client.request()) == ["FAILED"]
            assert asyncio.get_running_loop().time() - started > 0.01
            await stub.SetFault(standin_pb2.FaultRequest(reset=True, shed_share=1))
            assert statuses(await client.request()) == ["SHED"]
            await stub.SetFault(standin_pb2.FaultRequest(reset=True))
            assert statuses(await client.request()) == ["OK"]
            with pytest.raises(GRPCError):
                await stub.SetFault(standin_pb2.FaultRequest(shed_share=2))

    run(scenario)


def test_stragglers_are_slower_by_their_factor():
    """Guards against straggler measurements in which no sub-request is slow."""

    async def scenario(running, target, client):
        target.set_fault(standin_pb2.FaultRequest(straggler_share=0.5, straggler_factor=1000))
        ids = await client.send(200)
        await asyncio.sleep(0.5)
        await client.receive(lambda c: len(c.replies) >= 60)
        assert target.load().in_flight > 60
        await client.cancel(*ids)

    run(scenario, timing={"latency_ms": 20, "sigma": 0}, capacity={"slots": 200})


def test_a_frozen_target_replies_after_it_resumes():
    """Guards against a frozen target that still answers pings."""

    async def scenario(running, target, client):
        await client.request()
        target.set_fault(standin_pb2.FaultRequest(frozen=True))
        await client.ping(7)
        with pytest.raises(TimeoutError):
            await client.receive(lambda c: c.pongs, timeout_s=0.2)
        target.set_fault(standin_pb2.FaultRequest(reset=True))
        await client.receive(lambda c: c.pongs == [7])

    run(scenario)


def test_a_silent_connection_stays_silent_while_a_new_one_works():
    """Guards against a silent connection that replies again on a new stream."""

    async def scenario(running, target, client):
        await client.request()
        target.set_fault(standin_pb2.FaultRequest(silent_share=1))
        target.set_fault(standin_pb2.FaultRequest(reset=True))
        await client.ping(1)
        with pytest.raises(TimeoutError):
            await client.receive(lambda c: c.pongs, timeout_s=0.2)
        async with open_session(target) as fresh:
            await fresh.ping(2)
            await fresh.receive(lambda c: c.pongs == [2])

    run(scenario)


def test_a_leaving_target_refuses_new_sub_requests_and_finishes_open_ones():
    """Guards against a drain that aborts requests in flight."""

    async def scenario(running, target, client):
        await client.send()
        await wait_until(lambda: target.load().in_flight == 1)
        async with connect_control(running) as stub:
            await stub.Drain(standin_pb2.DrainRequest())
        await client.send()
        await client.receive(lambda c: len(c.replies) == 2)
        assert statuses(client.replies) == ["LEAVING", "OK"]
        assert target.stats().received_while_leaving == 1

    run(scenario, timing={"latency_ms": 100, "sigma": 0})
