"""A whole failure domain, VMs and targets, is partitioned from the others and rejoins."""

from __future__ import annotations

import asyncio
import json
import time
import urllib.error
import urllib.request

import pytest

from bench.fleet import BenchFleet, Vm
from bench.shapes import ServiceShape, Shape
from harness.processes import wait_until

SHAPE = Shape(
    name="cut",
    domains=("a", "b", "c"),
    vms=3,
    search=ServiceShape("archivio", 4, 3, 4, 30, 0.0, 3.0),
    records=ServiceShape("fonderia", 1, 3, 4, 30, 0.0, 3.0),
    order_kind="work_order",
)


async def send(vm: Vm, **fields: object) -> dict:
    """Return the JSON answer of one query, whatever its status."""
    body = {"service": "archivio", "deadline_ms": 3000, **fields}

    def call() -> dict:
        request = urllib.request.Request(f"{vm.url}/v1/query", json.dumps(body).encode())
        try:
            with urllib.request.urlopen(request, timeout=6) as rsp:
                return json.loads(rsp.read())
        except urllib.error.HTTPError as exc:
            return json.loads(exc.read())

    return await asyncio.to_thread(call)


async def search(vm: Vm) -> dict:
    """Return the answer of a search over all shards."""
    return await send(vm, kind="search", query="bell")


async def order(vm: Vm, key: str, issued_at_ms: int) -> dict:
    """Return the answer of a work order."""
    fields = {"kind": "work_order", "key": "bell-17", "request_key": key}
    return await send(vm, issued_at_ms=issued_at_ms, **fields)


async def effects(fleet: BenchFleet) -> dict[str, int]:
    """Return the number of runs of each work order, summed over all targets."""
    counts: dict[str, int] = {}
    for targets in fleet.search_target_groups():
        for target in await targets.stats():
            for key, count in target.effects.items():
                counts[key] = counts.get(key, 0) + count
    return counts


async def scenario(fleet: BenchFleet) -> None:
    """Partition domain c, send requests to both sides, end the partition and compare."""
    first, other, isolated = fleet.vms
    issued_at_ms = int(time.time() * 1000)
    answer_before = await order(first, "before", issued_at_ms)
    fleet.partition("c")

    async def is_stale() -> bool:
        answer = await search(isolated)
        assert answer.get("outcome") == "complete", answer
        return answer["config"]["stale_ms"] > 0

    await wait_until(is_stale, "the isolated VM reports a stale configuration", 20)
    resent = (await order(isolated, "before", issued_at_ms))["error"]
    assert resent["outcome"] == "unknown", "an earlier attempt ran in another domain"
    assert (await order(isolated, "during", issued_at_ms))["error"]["outcome"] == "unknown"
    answer_during = await order(other, "during", issued_at_ms)
    assert answer_during["outcome"] == "complete", answer_during
    for vm in (first, other):
        assert (await search(vm))["outcome"] == "complete"
    version = await wait_until(lambda: fleet.put_service("fonderia", 2, via=first), "a change")

    fleet.heal()

    async def has_change() -> bool:
        return await isolated.revision() >= version

    await wait_until(has_change, "the change is in force after the partition", 20)

    async def is_current() -> bool:
        return (await search(isolated))["config"]["stale_ms"] == 0

    await wait_until(is_current, "the VM has a current configuration again", 20)
    assert (await order(isolated, "before", issued_at_ms))["result"] == answer_before["result"]
    assert (await order(isolated, "during", issued_at_ms))["result"] == answer_during["result"]
    assert await effects(fleet) == {"before": 1, "during": 1}


@pytest.mark.process
def test_an_isolated_domain_serves_reads_and_no_work_order_runs_twice(tmp_path):
    """Guards against failed reads, wrong "not run" outcomes and double runs in a partition."""

    async def body() -> None:
        fleet = BenchFleet(SHAPE, "adaptive", tmp_path, 1)
        try:
            async with asyncio.timeout(90):
                await fleet.start()
                await scenario(fleet)
        finally:
            fleet.close()

    asyncio.run(body())
