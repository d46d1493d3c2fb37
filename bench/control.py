"""Measures the control plane: propagation of changes and recovery from a failed leader."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.fleet import VOTER_COUNT, BenchFleet, Vm, resident_mb
from bench.shapes import Shape
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto import operator_pb2
from harness.processes import wait_until

POLL_INTERVAL_S = 0.02
IDLE_DURATION_S = 20.0


async def measure(shape: Shape, changes: int, recoveries: int) -> dict[str, Any]:
    """Measure idle cost, propagation and recovery on one fleet."""
    with tempfile.TemporaryDirectory(prefix="bramleycrank-bench-") as name:
        fleet = BenchFleet(shape, "adaptive", Path(name), 1)
        try:
            await fleet.start()
            return {
                "idle": await measure_idle(fleet),
                "in_force": await measure_propagation(fleet, changes),
                "recovery": await measure_recovery(fleet, recoveries),
            }
        finally:
            fleet.close()


async def measure_idle(fleet: BenchFleet) -> dict[str, float]:
    """Measure the processor share and the memory of VMs without load."""
    before = fleet.processor_s()
    await asyncio.sleep(IDLE_DURATION_S)
    after = fleet.processor_s()
    shares = [(after[name] - before[name]) / IDLE_DURATION_S for name in after]
    return {
        "processor_share_mean": sum(shares) / len(shares),
        "processor_share_max": max(shares),
        "resident_mb_max": max(resident_mb(vm.process.pid) for vm in fleet.vms),
    }


async def measure_propagation(fleet: BenchFleet, changes: int) -> dict[str, Any]:
    """Measure the time until a change is accepted and until it is in force on every VM."""
    propagation_times, accept_times = [], []
    service = fleet.shape.records.name
    version = await current_version(fleet, service)
    for number in range(changes):
        start = time.perf_counter()
        version = await fleet.put_service(service, version, queue_limit=200 + number % 2)
        accepted_at = time.perf_counter()
        await asyncio.gather(*(wait_for_revision(vm, version) for vm in fleet.vms))
        accept_times.append(accepted_at - start)
        propagation_times.append(time.perf_counter() - accepted_at)
    return {"accepted_s": quantiles(accept_times), "everywhere_s": quantiles(propagation_times)}


async def current_version(fleet: BenchFleet, service: str) -> int:
    """Return the current version of a service."""
    stub = fleet.clients.operator_stub(fleet.vms[0].address)
    reply = await stub.GetService(operator_pb2.GetServiceRequest(name=service))
    return reply.version


async def wait_for_revision(vm: Vm, revision: int) -> None:
    """Wait until a configuration revision is in force on a VM."""

    async def is_in_force() -> bool:
        return await vm.revision() >= revision

    await wait_until(is_in_force, f"{vm.vm_id} has revision {revision}", 30, POLL_INTERVAL_S)


async def measure_recovery(fleet: BenchFleet, rounds: int) -> dict[str, Any]:
    """Measure the time from killing the leader to the next accepted change."""
    recovery_times = []
    service = fleet.shape.records.name
    for number in range(rounds):
        leader = await find_leader(fleet)
        others = [vm for vm in fleet.vms if vm is not leader]
        version = await current_version(fleet, service)
        leader.process.reap()
        start = time.perf_counter()
        fleet.vms.remove(leader)
        await wait_until(
            lambda v=version, n=number: fleet.put_service(service, v, queue_limit=300 + n % 2),
            "a change is accepted again",
            30,
            POLL_INTERVAL_S,
        )
        recovery_times.append(time.perf_counter() - start)
        fleet.vms[:] = sorted([*others, leader], key=lambda vm: int(vm.vm_id[2:]))
        leader.start()
        await wait_until(leader.is_ready, f"{leader.vm_id} is ready again", 40)
    return {"rounds": rounds, "accepted_again_s": quantiles(recovery_times)}


async def find_leader(fleet: BenchFleet) -> Vm:
    """Return the VM of the leader."""

    async def find_once() -> Vm | None:
        for vm in fleet.vms[:VOTER_COUNT]:
            with contextlib.suppress(BramleycrankError):
                stub = fleet.clients.operator_stub(vm.address)
                status = await stub.Status(operator_pb2.StatusRequest(local=True), timeout=2.0)
                if status.vms[0].role == "leader":
                    return vm
        return None

    return await wait_until(find_once, "a leader is elected", 30)


def quantiles(values: list[float]) -> dict[str, float]:
    """Return minimum, median, 99th percentile (nearest rank) and maximum, in s."""
    ordered = sorted(values)

    def rank(share: float) -> float:
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    return {"min": ordered[0], "p50": rank(0.5), "p99": rank(0.99), "max": ordered[-1]}
