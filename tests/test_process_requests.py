"""Real daemons: planned stops cut no request, and a work order runs at most once."""

import asyncio
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


@pytest.mark.parametrize("kill_after_s", [0.0, 0.02, 0.25])
def test_work_order_resent_after_a_lost_vm_runs_at_most_once(tmp_path, kill_after_s):
    async def scenario(fleet):
        standin = fleet.standin(shards=2, replicas=3, domains="a,b,c", latency_ms=500, sigma=0)
        kinds = [log_pb2.KindConfig(name="work_order")]
        reply = await fleet.vms[0].put_service("demo", kinds=kinds)
        await fleet.in_force(reply.revision)
        for vm in fleet.vms:
            await until(lambda vm=vm: complete(vm), f"{vm.vm_id} answers in full")
        leader = await fleet.leader()
        first, second = fleet.others(leader)
        order = {
            "service": "demo",
            "kind": "work_order",
            "key": "bell-17",
            "request_key": "order-17",
            "issued_at_ms": time.time_ns() // 1_000_000,
            "deadline_ms": 4000,
        }
        call = asyncio.ensure_future(first.request("POST", "/v1/query", order))
        await asyncio.sleep(kill_after_s)  # Where the request stands when its VM dies.
        first.kill()
        await asyncio.gather(call, return_exceptions=True)
        for _ in range(3):
            status, body = await second.request("POST", "/v1/query", order)
            runs = (await standin.effects()).get("order-17", 0)
            assert runs <= 1
            if status == 200:
                assert runs == 1
            else:
                assert body["error"]["outcome"] == "unknown"
        await asyncio.sleep(0.7)  # Longer than the service time: a late run would show.
        assert (await standin.effects()).get("order-17", 0) <= 1

    run_fleet(tmp_path, scenario)
