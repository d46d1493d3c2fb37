"""A whole failure domain, VMs and targets, is cut off from the others and comes back."""

from __future__ import annotations

import asyncio
import json
import time
import urllib.error
import urllib.request

import pytest

from bench.fleet import BenchFleet, Vm
from bench.shapes import ServiceShape, Shape
from harness.processes import until

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
    """Return how often each work order ran, over all targets of all domains."""
    total: dict[str, int] = {}
    for targets in fleet.search_target_groups():
        for item in await targets.stats():
            for key, count in item.effects.items():
                total[key] = total.get(key, 0) + count
    return total


async def scenario(fleet: BenchFleet) -> None:
    """Cut domain c off, use both sides, heal the cut and compare."""
    first, other, cut_off = fleet.vms
    now_ms = int(time.time() * 1000)
    before = await order(first, "before", now_ms)
    fleet.partition("c")

    async def stale() -> bool:
        answer = await search(cut_off)
        assert answer.get("outcome") == "complete", answer
        return answer["config"]["stale_ms"] > 0

    await until(stale, "the VM that is cut off says that it is stale", 20)
    resent = (await order(cut_off, "before", now_ms))["error"]
    assert resent["outcome"] == "unknown", "an earlier attempt ran on the other side"
    assert (await order(cut_off, "during", now_ms))["error"]["outcome"] == "unknown"
    ran = await order(other, "during", now_ms)
    assert ran["outcome"] == "complete", ran
    for vm in (first, other):
        assert (await search(vm))["outcome"] == "complete"
    version = await until(lambda: fleet.put_service("fonderia", 2, via=first), "a change")

    fleet.heal()

    async def back() -> bool:
        return await cut_off.revision() >= version

    await until(back, "the change is in force after the cut", 20)

    async def fresh() -> bool:
        return (await search(cut_off))["config"]["stale_ms"] == 0

    await until(fresh, "the VM is current again", 20)
    assert (await order(cut_off, "before", now_ms))["result"] == before["result"]
    assert (await order(cut_off, "during", now_ms))["result"] == ran["result"]
    assert await effects(fleet) == {"before": 1, "during": 1}


@pytest.mark.process
def test_a_domain_that_is_cut_off_serves_reads_and_repeats_no_effect(tmp_path):
    """Guards against reads that stop, untrue "not run" and double effects across a cut."""

    async def body() -> None:
        fleet = BenchFleet(SHAPE, "adaptive", tmp_path, 1)
        try:
            async with asyncio.timeout(90):
                await fleet.start()
                await scenario(fleet)
        finally:
            fleet.close()

    asyncio.run(body())
