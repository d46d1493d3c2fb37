"""Scenarios: faults and changes applied to the fleet while the load runs."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable

import attrs

from bench.fleet import BenchFleet
from bramleycrank.proto import standin_pb2, target_pb2
from harness.processes import wait_until

# Time from the start of the recorded load to the fault.
FAULT_DELAY_S = 3.0

FleetAction = Callable[[BenchFleet, float], Awaitable[None]]


@attrs.frozen
class Scenario:
    """A load pattern with the actions on the fleet that go with it.

    Parameters
    ----------
    name : str
        Name on the command line and in the tables.
    before : FleetAction
        Action before the load starts.
    during : FleetAction
        Action from the start of the recorded load on. Like `before`, it receives the fleet and the
        duration of the recorded load in s.
    load_factor : float
        Ratio of the offered rate to the calm rate; 0 means twice the sustainable rate.
    seconds : float
        Duration of the recorded load, in s; 0 means the duration given on the command line.
    """

    name: str
    before: FleetAction
    during: FleetAction
    load_factor: float = 1.0
    seconds: float = 0.0


async def no_action(_fleet: BenchFleet, _seconds: float) -> None:
    """Leave the fleet unchanged."""


async def stragglers(fleet: BenchFleet, _seconds: float) -> None:
    """Make 2% of the sub-requests take 20 times as long."""
    for group in fleet.search_target_groups():
        await group.fault(straggler_share=0.02, straggler_factor=20.0)


async def kill_replicas(fleet: BenchFleet, _seconds: float) -> None:
    """Kill the search targets of one domain (one replica of each shard) without notice."""
    await asyncio.sleep(FAULT_DELAY_S)
    fleet.search_target_groups()[0].process.signal(signal.SIGKILL)


async def silence_connections(fleet: BenchFleet, _seconds: float) -> None:
    """Make a third of the open connections permanently silent."""
    await asyncio.sleep(FAULT_DELAY_S)
    for group in fleet.target_groups:
        await group.fault(silent_share=1 / 3)


async def restart_targets_cold(fleet: BenchFleet, _seconds: float) -> None:
    """Replace the search targets of one domain by cold targets, five times slower at first."""
    await asyncio.sleep(FAULT_DELAY_S)
    group = fleet.search_target_groups()[0]
    group.process.signal(signal.SIGTERM)
    old_process = group.process
    group.stub_channel.close()
    await wait_until(lambda: old_process.exit_code is not None, "the targets exit", 30)
    group.cold_s = 10.0
    await group.start()


def _replicas(shards: list[tuple[int, int, int]]) -> list[target_pb2.Replica]:
    return [
        target_pb2.Replica(
            snapshot=target_pb2.Snapshot(version=version, shard_count=shard_count), shard=shard
        )
        for version, shard_count, shard in shards
    ]


async def change_snapshot_versions(fleet: BenchFleet, seconds: float) -> None:
    """Update target by target to snapshot version 2, then to version 3 with half the shards."""
    shard_count = fleet.shape.search.shards
    half_count = shard_count // 2
    steps = [
        lambda old_shard: [(1, shard_count, old_shard), (2, shard_count, old_shard)],
        lambda old_shard: [(2, shard_count, old_shard)],
        lambda old_shard: [(2, shard_count, old_shard), (3, half_count, old_shard % half_count)],
        lambda old_shard: [(3, half_count, old_shard % half_count)],
    ]
    target_ids = [
        (item, target_id) for item in fleet.search_target_groups() for target_id in item.targets
    ]
    step_interval_s = seconds * 0.8 / (len(steps) * len(target_ids))
    for step, (group, target_id) in itertools.product(steps, target_ids):
        shard = int(target_id.split("-")[-2])
        request = standin_pb2.SetReplicasRequest(
            target_id=target_id, replicas=_replicas(step(shard))
        )
        await group.stub.SetReplicas(request)
        await asyncio.sleep(step_interval_s)


async def partition_domain(fleet: BenchFleet, seconds: float) -> None:
    """Partition the last domain from the others for half of the run."""
    await asyncio.sleep(FAULT_DELAY_S)
    fleet.partition(fleet.shape.domains[-1])
    await asyncio.sleep(seconds * 0.5)
    fleet.heal()


async def restart_vms(fleet: BenchFleet, _seconds: float) -> None:
    """Restart every VM in turn with SIGTERM."""
    for vm in fleet.vms:
        await vm.stop_gracefully()
        vm.start()
        await wait_until(vm.is_ready, f"{vm.vm_id} is ready again", 40)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("calm", no_action, no_action),
        Scenario("stragglers", stragglers, no_action),
        Scenario("replica_lost", no_action, kill_replicas),
        Scenario("silent_connections", no_action, silence_connections),
        Scenario("overload", no_action, no_action, load_factor=0.0),
        Scenario("cold_targets", no_action, restart_targets_cold),
        Scenario("version_change", no_action, change_snapshot_versions),
        Scenario("domain_cut", no_action, partition_domain),
        Scenario("rolling_restart", no_action, restart_vms, seconds=60.0),
    )
}
