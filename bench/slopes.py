"""Measures how cost grows with size, for docs/CAPACITY.md.

Each slope is a least-squares line through several sizes. Sizes that need processes use real
daemons; what depends on one data structure only is measured in this process.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import os
import statistics
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from bench import control, messages
from bench.fleet import BenchFleet, resident_mb
from bench.runner import WARMUP_S, Measurement
from bench.shapes import ServiceShape, Shape
from bramleycrank.membership import MembershipConfig, TargetRegistry
from bramleycrank.proto import log_pb2, peer_pb2, target_pb2
from bramleycrank.state import ReplicatedState

log = logging.getLogger(__name__)

SETTLE_S = 12.0
IDLE_S = 20.0
CLAIM_SIZES = (8000, 32000, 128000)
CLAIMS, CLAIM_CLIENTS = 3000, 32
SPREAD_CHANGES = 40
QUERY_RATE = 25.0
QUERY_SECONDS = 10.0


def line(points: Iterable[tuple[float, float]]) -> dict[str, Any]:
    """Return slope and intercept of the least-squares line with the points."""
    pairs = list(points)
    fit = statistics.linear_regression([x for x, _ in pairs], [y for _, y in pairs])
    return {"slope": fit.slope, "intercept": fit.intercept, "points": pairs}


def timed(work: Callable[[], object]) -> float:
    """Return the shortest processor time of three runs, in seconds."""

    def once() -> float:
        start = time.process_time()
        work()
        return time.process_time() - start

    return min(once() for _ in range(3))


def grown_bytes(work: Callable[[], object]) -> float:
    """Return how much resident memory the result of some work holds, in bytes.

    The allocator's own counters would miss the memory that protobuf messages hold outside of
    Python. A child process without earlier garbage would be cleaner; sizes are chosen so large
    that reuse of freed memory hardly matters.
    """
    gc.collect()
    before = resident_mb(os.getpid())
    kept = work()
    gc.collect()
    after = resident_mb(os.getpid())
    del kept
    return (after - before) * 1e6


def _entry(index: int, command: log_pb2.Command) -> log_pb2.Entry:
    return log_pb2.Entry(index=index, term=1, command=command.SerializeToString())


def state_with(services: int = 0, claims: int = 0, changes: int = 0) -> ReplicatedState:
    """Return a replicated state of some size; changes are spread over the services."""
    state = ReplicatedState()
    commands = [_put(n, 0) for n in range(services)]
    versions = list(range(1, services + 1))
    for number in range(changes):
        slot = number % services
        commands.append(_put(slot, versions[slot], f"more{number}"))
        versions[slot] = services + number + 1
    commands += [_claim(n) for n in range(claims)]
    for index, command in enumerate(commands, 1):
        state.apply(_entry(index, command))
    return state


def _put(number: int, expected: int, change_id: str = "") -> log_pb2.Command:
    kinds = [log_pb2.KindConfig(name="work_order")]
    service = log_pb2.ServiceConfig(name=f"service{number:05}", kinds=kinds, queue_limit=100)
    change = log_pb2.Change(
        change_id=change_id or f"change{number}", expected_version=expected, put_service=service
    )
    return log_pb2.Command(change=change)


def _claim(number: int) -> log_pb2.Command:
    claim_id = log_pb2.ClaimId(
        service="service", request_key=f"{number:032}", issued_at_ms=1_800_000_000_000
    )
    return log_pb2.Command(
        claim_open=log_pb2.ClaimOpen(id=claim_id, attempt_id=f"{number:032x}", vm_id="vm1")
    )


def state_slopes() -> dict[str, Any]:
    """Measure the replicated state: image size, memory and time per item."""
    sizes = (60, 240, 960)
    return {
        "image_bytes_by_services": line(
            (n, len(state_with(services=n).config.image().SerializeToString())) for n in sizes
        ),
        "memory_bytes_by_services": line(
            (n, grown_bytes(lambda n=n: state_with(services=n))) for n in sizes
        ),
        "apply_s_by_changes": line(
            (n, timed(lambda n=n: state_with(services=50, changes=n))) for n in sizes
        ),
        "delta_bytes": _put(1, 1, "0" * 32).ByteSize(),
        "memory_bytes_by_claims": line(
            (n, grown_bytes(lambda n=n: state_with(claims=n))) for n in CLAIM_SIZES
        ),
        "apply_s_by_claims": line(
            (n, timed(lambda n=n: state_with(claims=n))) for n in CLAIM_SIZES
        ),
    }


def _record(number: int) -> target_pb2.TargetRecord:
    snapshot = target_pb2.Snapshot(version=7, shard_count=500)
    return target_pb2.TargetRecord(
        target_id=f"target{number:06}",
        incarnation=1_800_000_000_000,
        sequence=3,
        state=target_pb2.TARGET_STATE_SERVING,
        service=f"service{number // 1500}",
        host="127.0.0.1",
        port=20000,
        domain="catania",
        replicas=[target_pb2.Replica(snapshot=snapshot, shard=number % 500)],
        slots=3,
        connections=30,
        home_vm=f"vm{number % 50}",
    )


def _registry(count: int) -> TargetRegistry:
    registry = TargetRegistry.from_config(MembershipConfig(), "vm1", 0.0)
    registry.merge([_record(n) for n in range(count)], 1.0)
    return registry


def registry_slopes() -> dict[str, Any]:
    """Measure what a VM keeps of the targets it knows."""
    sizes = (2000, 8000, 32000)
    return {
        "memory_bytes_by_targets": line((n, grown_bytes(lambda n=n: _registry(n))) for n in sizes),
        "merge_s_by_targets": line((n, timed(lambda n=n: _registry(n))) for n in sizes),
        "record_bytes": _record(1).ByteSize(),
    }


def _shape(vms: int, shards: int, replicas: int) -> Shape:
    return Shape(
        name="slope",
        domains=("a",) if vms == 1 else ("a", "b", "c"),
        vms=vms,
        search=ServiceShape("wide", shards, replicas, 16, 1000, 1.0, 5.0),
        records=ServiceShape("single", 1, 3, 4, 1000, 1.0, 5.0),
        order_kind="work_order",
    )


def loopback_bytes() -> int:
    """Return the bytes that have been sent over loopback on this machine."""
    for row in Path("/proc/net/dev").read_text().splitlines():
        name, _, rest = row.partition(":")
        if name.strip() == "lo":
            return int(rest.split()[8])
    return 0


async def _with_fleet(shape: Shape, work: Callable[[BenchFleet], Any]) -> Any:
    with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
        fleet = BenchFleet(shape, "adaptive", Path(name), 1)
        try:
            await fleet.start()
            return await work(fleet)
        finally:
            fleet.close()


async def _idle(fleet: BenchFleet) -> dict[str, float]:
    """Measure processor, memory and traffic of VMs that serve no requests."""
    await asyncio.sleep(SETTLE_S)
    before, bytes_before = fleet.processor_s(), loopback_bytes()
    await asyncio.sleep(IDLE_S)
    after, bytes_after = fleet.processor_s(), loopback_bytes()
    vms = len(fleet.vms)
    used = [after[name] - before[name] for name in after]
    return {
        "processor_share": sum(used) / vms / IDLE_S,
        "resident_mb": max(resident_mb(vm.process.pid) for vm in fleet.vms),
        "bytes_per_s": (bytes_after - bytes_before) / vms / IDLE_S,
    }


def idle_by(name: str, shapes: dict[int, Shape]) -> dict[str, Any]:
    """Measure idle fleets of several sizes and fit a line to each figure."""
    rows = {}
    for size, shape in shapes.items():
        rows[size] = asyncio.run(_with_fleet(shape, _idle))
        log.warning("bench: idle by %s, %d: %s", name, size, rows[size])
    keys = ("processor_share", "resident_mb", "bytes_per_s")
    return {f"{key}_by_{name}": line((n, row[key]) for n, row in rows.items()) for key in keys}


async def _queries(fleet: BenchFleet) -> dict[str, float]:
    """Measure the processor time of one VM per query."""
    measurement = Measurement(fleet.shape, QUERY_RATE, QUERY_SECONDS, 1)
    body = {"service": "wide", "kind": "search", "deadline_ms": 2000, "limit": 10}
    requests = [{"label": "search", "weight": 1, "body": body}]
    load = asyncio.create_task(measurement.load(fleet, QUERY_RATE, QUERY_SECONDS, requests))
    await asyncio.sleep(WARMUP_S + 1)
    before, start = sum(fleet.processor_s().values()), time.perf_counter()
    await asyncio.sleep(QUERY_SECONDS - 2)
    used, seconds = sum(fleet.processor_s().values()) - before, time.perf_counter() - start
    result = (await load)["all"]
    return {"processor_s": used / (QUERY_RATE * seconds), "p99_ms": result["p99_ms"]}


def query_slopes() -> dict[str, Any]:
    """Measure processor time per query against the fan-out, with one VM."""
    rows = {}
    for shards in (1, 10, 20, 40, 80):
        rows[shards] = asyncio.run(_with_fleet(_shape(1, shards, 1), _queries))
        log.warning("bench: fan-out %d: %s", shards, rows[shards])
    return {
        "processor_s_by_fan_out": line((n, row["processor_s"]) for n, row in rows.items()),
        "p99_ms_by_fan_out": line((n, row["p99_ms"]) for n, row in rows.items()),
    }


async def _claims(fleet: BenchFleet) -> dict[str, float]:
    """Measure claims through the leader, many at a time."""
    leader = await control.find_leader(fleet)
    stub = fleet.clients.stub(leader.address)
    numbers = iter(range(CLAIMS))
    latencies = []

    async def client() -> None:
        for number in numbers:
            start = time.perf_counter()
            request = peer_pb2.ProposeRequest(
                proposal_id=f"claim{number}", command=_claim(number), timeout_ms=5000
            )
            await stub.Propose(request, timeout=6.0)
            latencies.append(time.perf_counter() - start)

    before, start = fleet.processor_s(), time.perf_counter()
    await asyncio.gather(*(client() for _ in range(CLAIM_CLIENTS)))
    seconds, after = time.perf_counter() - start, fleet.processor_s()
    used = {name: after[name] - before[name] for name in after}
    return {
        "claims_per_s": CLAIMS / seconds,
        "leader_s_per_claim": used.pop(leader.vm_id) / CLAIMS,
        "follower_s_per_claim": max(used.values()) / CLAIMS,
        "p99_s": control.quantiles(latencies)["p99"],
    }


def spread_by_vms() -> dict[str, Any]:
    """Measure how long a change takes to every VM, against the number of VMs."""
    rows = {}
    for vms in (9, 18, 36):
        work = lambda fleet: control.in_force(fleet, SPREAD_CHANGES)  # noqa: E731
        rows[vms] = asyncio.run(_with_fleet(_shape(vms, 1, 3), work))
        log.warning("bench: in force on %d VMs: %s", vms, rows[vms]["everywhere_s"])
    return {
        f"{key}_s_by_ln_vms": line(
            (math.log(n), row["everywhere_s"][key]) for n, row in rows.items()
        )
        for key in ("p50", "p99")
    }


PARTS: dict[str, Callable[[], dict[str, Any]]] = {
    "state": state_slopes,
    "registry": registry_slopes,
    "idle_vms": lambda: idle_by("vms", {n: _shape(n, 1, 3) for n in (3, 9, 18, 36)}),
    "idle_targets": lambda: idle_by(
        "targets", {n + 3: _shape(9, n // 3, 3) for n in (30, 120, 300)}
    ),
    "queries": query_slopes,
    "messages": messages.measure,
    "spread": spread_by_vms,
    "claims": lambda: asyncio.run(_with_fleet(_shape(3, 1, 3), _claims)),
}
