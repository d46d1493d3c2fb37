"""Real daemons: planned stops fail no request, and a work order runs at most once."""

import asyncio
import http.client
import json
import time

import pytest
from processes import run_fleet, wait_until

from bramleycrank.proto import log_pb2

pytestmark = pytest.mark.process


class QueryStream:
    """Callers behind a load balancer that rotates over the VMs whose last /readyz succeeded."""

    def __init__(self, vms, callers=4):
        self.vms = vms
        self.ready = list(vms)
        self.answered = 0
        self.failures = []
        self._tasks = [asyncio.ensure_future(self._check_readiness())]
        self._tasks += [asyncio.ensure_future(self._send_queries(n)) for n in range(callers)]

    async def _check_readiness(self):
        while True:
            self.ready = [vm for vm in self.vms if await self._is_ready(vm)]
            await asyncio.sleep(0.05)

    async def _is_ready(self, vm):
        try:
            return await vm.ready()
        except OSError:
            return False

    async def _send_queries(self, number):
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
            await wait_until(lambda vm=vm: is_complete(vm), f"{vm.vm_id} answers completely")
        stream = QueryStream(fleet.vms)
        for vm in fleet.vms:
            before = stream.answered
            await vm.stop()
            await wait_until(lambda n=before: stream.answered > n + 20, "the others keep answering")
            vm.start()
            await wait_until(vm.ready, f"{vm.vm_id} is ready again")
            await wait_until(lambda vm=vm: vm in stream.ready, "the balancer uses it again")
        before = stream.answered
        await wait_until(lambda: stream.answered > before + 50, "all VMs answer")
        await stream.stop()
        assert stream.failures == []

    run_fleet(tmp_path, scenario, timeout_s=90)


async def is_complete(vm):
    status, body = await vm.query()
    return status == 200 and body["outcome"] == "complete"


def test_slow_requests_complete_during_a_stop(tmp_path):
    # The service time is longer than the drain notice, so the requests are in flight when the VM
    # stops listening.
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c", latency_ms=1200, sigma=0)
        kinds = [log_pb2.KindConfig(name="work_order")]
        reply = await fleet.vms[0].put_service("demo", kinds=kinds)
        await fleet.wait_in_force(reply.revision)
        leader = await fleet.leader()
        await wait_until(lambda: is_complete(leader), "the leader answers completely")
        calls = [asyncio.ensure_future(leader.query()) for _ in range(2)]
        calls.append(asyncio.ensure_future(leader.request("POST", "/v1/query", work_order("stop"))))
        await asyncio.sleep(0.1)  # The requests must reach the VM before the signal.
        await leader.stop()
        answers = await asyncio.gather(*calls)
        assert [status for status, _ in answers] == [200, 200, 200]
        resent = await fleet.others(leader)[0].request("POST", "/v1/query", work_order("stop"))
        assert resent[0] == 200 and resent[1]["result"] == answers[2][1]["result"]

    run_fleet(tmp_path, scenario)


def test_persistent_connections_close_before_the_vm_exits(tmp_path):
    # Guards against a request on a persistent connection that is lost when the VM exits.
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c")
        reply = await fleet.vms[0].put_service("demo")
        await fleet.wait_in_force(reply.revision)
        vm = fleet.vms[1]
        await wait_until(lambda: is_complete(vm), "the VM answers completely")
        caller = asyncio.ensure_future(asyncio.to_thread(query_until_connection_closes, vm.http))
        await asyncio.sleep(0.1)  # Allows some requests on the open connection.
        await vm.stop()
        statuses = await caller
        assert len(statuses) > 1 and set(statuses) == {200}

    run_fleet(tmp_path, scenario)


def query_until_connection_closes(port):
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


def work_order(key):
    return {
        "service": "demo",
        "kind": "work_order",
        "key": "bell-17",
        "request_key": key,
        "issued_at_ms": ISSUED_AT_MS,
        "deadline_ms": 4000,
    }


async def kill_at_once(vm, standin, call):
    vm.kill()


async def kill_during_the_claim(vm, standin, call):
    await asyncio.sleep(0.02)
    vm.kill()


async def kill_after_the_run_before_the_answer(vm, standin, call):
    await asyncio.sleep(0.25)
    vm.freeze()
    await wait_until(lambda: has_run_once(standin), "the target ran the order")
    vm.kill()


async def kill_after_the_answer(vm, standin, call):
    assert (await call)[0] == 200
    await asyncio.sleep(0.3)  # The claim is completed after the answer.
    vm.kill()


async def freeze_before_the_claim(vm, standin, call):
    vm.freeze()


async def has_run_once(standin):
    return (await standin.effects()).get("order") == 1


@pytest.mark.parametrize(
    "fault, expected_runs",
    [
        (kill_at_once, {0, 1}),
        (kill_during_the_claim, {0, 1}),
        (kill_after_the_run_before_the_answer, {1}),
        (kill_after_the_answer, {1}),
        (freeze_before_the_claim, {1}),
    ],
)
def test_work_order_resent_through_another_vm_runs_at_most_once(tmp_path, fault, expected_runs):
    async def scenario(fleet):
        standin = fleet.standin(shards=2, replicas=3, domains="a,b,c", latency_ms=500, sigma=0)
        kinds = [log_pb2.KindConfig(name="work_order")]
        reply = await fleet.vms[0].put_service("demo", kinds=kinds)
        await fleet.wait_in_force(reply.revision)
        for vm in fleet.vms:
            await wait_until(lambda vm=vm: is_complete(vm), f"{vm.vm_id} answers completely")
        first, second = fleet.others(await fleet.leader())
        call = asyncio.ensure_future(first.request("POST", "/v1/query", work_order("order")))
        await fault(first, standin, call)
        statuses = []
        for _ in range(3):
            status, body = await second.request("POST", "/v1/query", work_order("order"))
            assert status == 200 or body["error"]["outcome"] == "unknown"
            statuses.append(status)
        first.resume()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.7)  # Longer than the service time, so that a late run is counted.
        count = (await standin.effects()).get("order", 0)
        assert count in expected_runs
        if 200 in statuses:
            assert count == 1 and set(statuses[statuses.index(200) :]) == {200}
        if fault is kill_after_the_answer:
            assert statuses == [200, 200, 200]

    run_fleet(tmp_path, scenario)
