"""Real daemons: planned stops cut no request, and a work order runs at most once."""

import asyncio
import http.client
import json
import time

import pytest
from processes import run_fleet, until

from bramleycrank.proto import log_pb2

pytestmark = pytest.mark.process


class QueryStream:
    """Callers behind a load balancer: each asks the next VM whose readyz was ok last."""

    def __init__(self, vms, callers=4):
        self.vms = vms
        self.ready = list(vms)
        self.answered = 0
        self.failures = []
        self._tasks = [asyncio.ensure_future(self._watch())]
        self._tasks += [asyncio.ensure_future(self._call(n)) for n in range(callers)]

    async def _watch(self):
        while True:
            self.ready = [vm for vm in self.vms if await self._is_ready(vm)]
            await asyncio.sleep(0.05)

    async def _is_ready(self, vm):
        try:
            return await vm.ready()
        except OSError:
            return False

    async def _call(self, number):
        while True:
            number += 1
            if not self.ready:
                self.failures.append("no VM is ready")
                await asyncio.sleep(0.05)
                continue
            vm = self.ready[number % len(self.ready)]
            try:
                status, body = await vm.query()
                complete = status == 200 and body["outcome"] == "complete"
            except OSError as exc:
                complete, status, body = False, 0, repr(exc)
            if complete:
                self.answered += 1
            else:
                self.failures.append((vm.vm_id, status, body))
            await asyncio.sleep(0.005)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def test_rolling_restart_fails_no_request(tmp_path):
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c")
        await fleet.vms[0].put_service("demo")
        for vm in fleet.vms:
            await until(lambda vm=vm: complete(vm), f"{vm.vm_id} answers in full")
        stream = QueryStream(fleet.vms)
        for vm in fleet.vms:
            before = stream.answered
            await vm.stop()
            await until(lambda n=before: stream.answered > n + 20, "others go on answering")
            vm.start()
            await until(vm.ready, f"{vm.vm_id} is ready again")
            await until(lambda vm=vm: vm in stream.ready, "the balancer uses it again")
        before = stream.answered
        await until(lambda: stream.answered > before + 50, "all go on answering")
        await stream.stop()
        assert stream.failures == []

    run_fleet(tmp_path, scenario, timeout_s=90)


async def complete(vm):
    status, body = await vm.query()
    return status == 200 and body["outcome"] == "complete"


def test_slow_requests_outlast_a_stop(tmp_path):
    # The service time is longer than the notice, so the requests are in flight when the VM stops
    # listening.
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c", latency_ms=1200, sigma=0)
        kinds = [log_pb2.KindConfig(name="work_order")]
        reply = await fleet.vms[0].put_service("demo", kinds=kinds)
        await fleet.in_force(reply.revision)
        leader = await fleet.leader()
        await until(lambda: complete(leader), "the leader answers in full")
        calls = [asyncio.ensure_future(leader.query()) for _ in range(2)]
        calls.append(asyncio.ensure_future(leader.request("POST", "/v1/query", order_of("stop"))))
        await asyncio.sleep(0.1)  # The requests must reach the VM before the signal.
        await leader.stop()
        answers = await asyncio.gather(*calls)
        assert [status for status, _ in answers] == [200, 200, 200]
        again = await fleet.others(leader)[0].request("POST", "/v1/query", order_of("stop"))
        assert again[0] == 200 and again[1]["result"] == answers[2][1]["result"]

    run_fleet(tmp_path, scenario)


def test_persistent_connections_end_before_the_stop(tmp_path):
    # A caller that keeps its connection would otherwise have a request cut when the VM exits.
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c")
        reply = await fleet.vms[0].put_service("demo")
        await fleet.in_force(reply.revision)
        vm = fleet.vms[1]
        await until(lambda: complete(vm), "the VM answers in full")
        caller = asyncio.ensure_future(asyncio.to_thread(ask_until_told_to_close, vm.http))
        await asyncio.sleep(0.1)  # Some requests on the open connection.
        await vm.stop()
        statuses = await caller
        assert len(statuses) > 1 and set(statuses) == {200}

    run_fleet(tmp_path, scenario)


def ask_until_told_to_close(port):
    statuses = []
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    body = json.dumps({"service": "demo", "kind": "search", "query": "bell", "deadline_ms": 3000})
    while True:
        conn.request("POST", "/v1/query", body)
        response = conn.getresponse()
        response.read()
        statuses.append(response.status)
        if response.will_close:
            return statuses
        time.sleep(0.02)


ISSUED_AT_MS = time.time_ns() // 1_000_000


def order_of(key):
    return {
        "service": "demo",
        "kind": "work_order",
        "key": "bell-17",
        "request_key": key,
        "issued_at_ms": ISSUED_AT_MS,
        "deadline_ms": 4000,
    }


async def lost_at_once(vm, standin, call):
    vm.kill()


async def lost_during_its_claim(vm, standin, call):
    await asyncio.sleep(0.02)
    vm.kill()


async def lost_after_the_run_without_an_answer(vm, standin, call):
    await asyncio.sleep(0.25)
    vm.freeze()
    await until(lambda: ran_once(standin), "the target ran the order")
    vm.kill()


async def lost_after_the_answer(vm, standin, call):
    assert (await call)[0] == 200
    await asyncio.sleep(0.3)  # The completion follows the answer.
    vm.kill()


async def frozen_before_its_claim(vm, standin, call):
    vm.freeze()


async def ran_once(standin):
    return (await standin.effects()).get("order") == 1


@pytest.mark.parametrize(
    "fault, runs",
    [
        (lost_at_once, {0, 1}),
        (lost_during_its_claim, {0, 1}),
        (lost_after_the_run_without_an_answer, {1}),
        (lost_after_the_answer, {1}),
        (frozen_before_its_claim, {1}),
    ],
)
def test_work_order_resent_through_another_vm_runs_at_most_once(tmp_path, fault, runs):
    async def scenario(fleet):
        standin = fleet.standin(shards=2, replicas=3, domains="a,b,c", latency_ms=500, sigma=0)
        kinds = [log_pb2.KindConfig(name="work_order")]
        reply = await fleet.vms[0].put_service("demo", kinds=kinds)
        await fleet.in_force(reply.revision)
        for vm in fleet.vms:
            await until(lambda vm=vm: complete(vm), f"{vm.vm_id} answers in full")
        first, second = fleet.others(await fleet.leader())
        call = asyncio.ensure_future(first.request("POST", "/v1/query", order_of("order")))
        await fault(first, standin, call)
        statuses = []
        for _ in range(3):
            status, body = await second.request("POST", "/v1/query", order_of("order"))
            assert status == 200 or body["error"]["outcome"] == "unknown"
            statuses.append(status)
        first.thaw()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.7)  # Longer than the service time: a late run would show.
        count = (await standin.effects()).get("order", 0)
        assert count in runs
        if 200 in statuses:
            assert count == 1 and set(statuses[statuses.index(200) :]) == {200}
        if fault is lost_after_the_answer:
            assert statuses == [200, 200, 200]

    run_fleet(tmp_path, scenario)
