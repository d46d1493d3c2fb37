"""Measures how cost grows with size, for docs/CAPACITY.md.

Each slope comes from a least-squares line through several sizes. Costs of a single data structure
are measured in this process, all others with real daemons.
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

from bench import control, customers, messages
from bench.fleet import BenchFleet, resident_mb
from bench.runner import WARMUP_S, ScenarioRunner
from bench.shapes import ServiceShape, Shape
from bramleycrank.membership import MembershipConfig, TargetRegistry
from bramleycrank.proto import log_pb2, peer_pb2, target_pb2
from bramleycrank.state import ReplicatedState

log = logging.getLogger(__name__)

SETTLE_DURATION_S = 12.0
IDLE_DURATION_S = 20.0
CLAIM_SIZES = (8000, 32000, 128000)
CLAIM_COUNT, CLAIM_CLIENTS = 3000, 32
PROPAGATION_CHANGES = 40
QUERIES_PER_S = 25.0
QUERY_DURATION_S = 10.0


def fit_line(points: Iterable[tuple[float, float]]) -> dict[str, Any]:
    """Return slope and intercept of the least-squares line, and the points."""
    pairs = list(points)
    fit = statistics.linear_regression([x for x, _ in pairs], [y for _, y in pairs])
    return {"slope": fit.slope, "intercept": fit.intercept, "points": pairs}


def min_processor_s(build: Callable[[], object]) -> float:
    """Return the shortest processor time of three runs, in seconds."""

    def measure_once() -> float:
        start = time.process_time()
        build()
        return time.process_time() - start

    return min(measure_once() for _ in range(3))


def resident_bytes(build: Callable[[], object]) -> float:
    """Return the resident memory that the result of a function occupies, in bytes.

    Counters of the Python allocator don't include the memory that protobuf allocates natively. A
    new child process would exclude reuse of memory that was freed earlier, but the sizes are large
    enough for that error to be small.
    """
    gc.collect()
    before = resident_mb(os.getpid())
    retained = build()
    gc.collect()
    after = resident_mb(os.getpid())
    del retained
    return (after - before) * 1e6


def _entry(index: int, command: log_pb2.Command) -> log_pb2.Entry:
    return log_pb2.Entry(index=index, term=1, command=command.SerializeToString())


def build_state(services: int = 0, claims: int = 0, changes: int = 0) -> ReplicatedState:
    """Return a replicated state with these numbers of items; services are changed in turn."""
    state = ReplicatedState()
    commands = [_put_service_command(n, 0) for n in range(services)]
    versions = list(range(1, services + 1))
    for number in range(changes):
        service_index = number % services
        commands.append(
            _put_service_command(service_index, versions[service_index], f"more{number}")
        )
        versions[service_index] = services + number + 1
    commands += [_claim_command(n) for n in range(claims)]
    for index, command in enumerate(commands, 1):
        state.apply(_entry(index, command))
    return state


def _put_service_command(number: int, expected: int, change_id: str = "") -> log_pb2.Command:
    kinds = [log_pb2.KindConfig(name="work_order")]
    service = log_pb2.ServiceConfig(name=f"service{number:05}", kinds=kinds, queue_limit=100)
    change = log_pb2.Change(
        change_id=change_id or f"change{number}", expected_version=expected, put_service=service
    )
    return log_pb2.Command(change=change)


def _claim_command(number: int) -> log_pb2.Command:
    claim_id = log_pb2.ClaimId(
        service="service", request_key=f"{number:032}", issued_at_ms=1_800_000_000_000
    )
    return log_pb2.Command(
        claim_open=log_pb2.ClaimOpen(id=claim_id, attempt_id=f"{number:032x}", vm_id="vm1")
    )


def state_slopes() -> dict[str, Any]:
    """Measure image size, memory and apply time of the replicated state by number of items."""
    sizes = (60, 240, 960)
    return {
        "image_bytes_by_services": fit_line(
            (n, len(build_state(services=n).config.image().SerializeToString())) for n in sizes
        ),
        "memory_bytes_by_services": fit_line(
            (n, resident_bytes(lambda n=n: build_state(services=n))) for n in sizes
        ),
        "apply_s_by_changes": fit_line(
            (n, min_processor_s(lambda n=n: build_state(services=50, changes=n))) for n in sizes
        ),
        "delta_bytes": _put_service_command(1, 1, "0" * 32).ByteSize(),
        "memory_bytes_by_claims": fit_line(
            (n, resident_bytes(lambda n=n: build_state(claims=n))) for n in CLAIM_SIZES
        ),
        "apply_s_by_claims": fit_line(
            (n, min_processor_s(lambda n=n: build_state(claims=n))) for n in CLAIM_SIZES
        ),
    }


def _target_record(number: int) -> target_pb2.TargetRecord:
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


def _build_registry(count: int) -> TargetRegistry:
    registry = TargetRegistry.from_config(MembershipConfig(), "vm1", 0.0)
    registry.merge([_target_record(n) for n in range(count)], 1.0)
    return registry


def registry_slopes() -> dict[str, Any]:
    """Measure memory and merge time of the target registry by number of targets."""
    sizes = (2000, 8000, 32000)
    return {
        "memory_bytes_by_targets": fit_line(
            (n, resident_bytes(lambda n=n: _build_registry(n))) for n in sizes
        ),
        "merge_s_by_targets": fit_line(
            (n, min_processor_s(lambda n=n: _build_registry(n))) for n in sizes
        ),
        "record_bytes": _target_record(1).ByteSize(),
    }


def _slope_shape(vms: int, shards: int, replicas: int) -> Shape:
    return Shape(
        name="slope",
        domains=("a",) if vms == 1 else ("a", "b", "c"),
        vms=vms,
        search=ServiceShape("wide", shards, replicas, 16, 1000, 1.0, 5.0),
        records=ServiceShape("single", 1, 3, 4, 1000, 1.0, 5.0),
        order_kind="work_order",
    )


def loopback_bytes() -> int:
    """Return the number of bytes that this machine has sent over loopback since it booted."""
    for row in Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = row.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[8])
    return 0


async def _run_with_fleet(shape: Shape, measure: Callable[[BenchFleet], Any]) -> Any:
    with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
        fleet = BenchFleet(shape, "adaptive", Path(name), 1)
        try:
            await fleet.start()
            return await measure(fleet)
        finally:
            fleet.close()


async def _measure_idle(fleet: BenchFleet) -> dict[str, float]:
    """Measure processor share, memory and traffic per VM without requests."""
    await asyncio.sleep(SETTLE_DURATION_S)
    before, bytes_before = fleet.processor_s(), loopback_bytes()
    await asyncio.sleep(IDLE_DURATION_S)
    after, bytes_after = fleet.processor_s(), loopback_bytes()
    vms = len(fleet.vms)
    processor_s = [after[name] - before[name] for name in after]
    return {
        "processor_share": sum(processor_s) / vms / IDLE_DURATION_S,
        "resident_mb": max(resident_mb(vm.process.pid) for vm in fleet.vms),
        "bytes_per_s": (bytes_after - bytes_before) / vms / IDLE_DURATION_S,
    }


def idle_slopes(name: str, shapes: dict[int, Shape]) -> dict[str, Any]:
    """Measure idle fleets of several sizes and fit a line to each metric."""
    rows = {}
    for size, shape in shapes.items():
        rows[size] = asyncio.run(_run_with_fleet(shape, _measure_idle))
        log.warning("bench: idle by %s, %d: %s", name, size, rows[size])
    keys = ("processor_share", "resident_mb", "bytes_per_s")
    return {f"{key}_by_{name}": fit_line((n, row[key]) for n, row in rows.items()) for key in keys}


async def _measure_queries(fleet: BenchFleet) -> dict[str, float]:
    """Measure processor time per query, in s, and 99th percentile of latency."""
    runner = ScenarioRunner(fleet.shape, QUERIES_PER_S, QUERY_DURATION_S, 1)
    body = {"service": "wide", "kind": "search", "deadline_ms": 2000, "limit": 10}
    requests = [{"label": "search", "weight": 1, "body": body}]
    load = asyncio.create_task(runner.run_load(fleet, QUERIES_PER_S, QUERY_DURATION_S, requests))
    await asyncio.sleep(WARMUP_S + 1)
    before, start = sum(fleet.processor_s().values()), time.perf_counter()
    await asyncio.sleep(QUERY_DURATION_S - 2)
    processor_s, seconds = sum(fleet.processor_s().values()) - before, time.perf_counter() - start
    result = (await load)["all"]
    return {"processor_s": processor_s / (QUERIES_PER_S * seconds), "p99_ms": result["p99_ms"]}


def query_slopes() -> dict[str, Any]:
    """Measure processor time per query and latency by fan-out, with one VM."""
    rows = {}
    for shards in (1, 10, 20, 40, 80):
        rows[shards] = asyncio.run(_run_with_fleet(_slope_shape(1, shards, 1), _measure_queries))
        log.warning("bench: fan-out %d: %s", shards, rows[shards])
    return {
        "processor_s_by_fan_out": fit_line((n, row["processor_s"]) for n, row in rows.items()),
        "p99_ms_by_fan_out": fit_line((n, row["p99_ms"]) for n, row in rows.items()),
    }


async def _measure_claims(fleet: BenchFleet) -> dict[str, float]:
    """Measure rate, processor time and latency of concurrent claims through the leader."""
    leader = await control.find_leader(fleet)
    stub = fleet.clients.stub(leader.address)
    numbers = iter(range(CLAIM_COUNT))
    latencies = []

    async def client() -> None:
        for number in numbers:
            start = time.perf_counter()
            request = peer_pb2.ProposeRequest(
                proposal_id=f"claim{number}", command=_claim_command(number), timeout_ms=5000
            )
            await stub.Propose(request, timeout=6.0)
            latencies.append(time.perf_counter() - start)

    before, start = fleet.processor_s(), time.perf_counter()
    await asyncio.gather(*(client() for _ in range(CLAIM_CLIENTS)))
    seconds, after = time.perf_counter() - start, fleet.processor_s()
    processor_s = {name: after[name] - before[name] for name in after}
    return {
        "claims_per_s": CLAIM_COUNT / seconds,
        "leader_s_per_claim": processor_s.pop(leader.vm_id) / CLAIM_COUNT,
        "follower_s_per_claim": max(processor_s.values()) / CLAIM_COUNT,
        "p99_s": control.quantiles(latencies)["p99"],
    }


def propagation_slopes() -> dict[str, Any]:
    """Measure the time until a change is in force on every VM, by the number of VMs."""
    rows = {}
    for vms in (9, 18, 36):
        measure = lambda fleet: control.measure_propagation(fleet, PROPAGATION_CHANGES)  # noqa: E731
        rows[vms] = asyncio.run(_run_with_fleet(_slope_shape(vms, 1, 3), measure))
        log.warning("bench: in force on %d VMs: %s", vms, rows[vms]["everywhere_s"])
    return {
        f"{key}_s_by_ln_vms": fit_line(
            (math.log(n), row["everywhere_s"][key]) for n, row in rows.items()
        )
        for key in ("p50", "p99")
    }


PARTS: dict[str, Callable[[], dict[str, Any]]] = {
    "state": state_slopes,
    "registry": registry_slopes,
    "idle_vms": lambda: idle_slopes("vms", {n: _slope_shape(n, 1, 3) for n in (3, 9, 18, 36)}),
    "idle_targets": lambda: idle_slopes(
        "targets", {n + 3: _slope_shape(9, n // 3, 3) for n in (30, 120, 300)}
    ),
    "queries": query_slopes,
    "messages": messages.measure,
    "customers": lambda: customers.measure(resident_bytes, min_processor_s),
    "table_changes": lambda: customers.measure_changes(min_processor_s),
    "spread": propagation_slopes,
    "claims": lambda: asyncio.run(_run_with_fleet(_slope_shape(3, 1, 3), _measure_claims)),
}
