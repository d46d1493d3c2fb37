"""What happens to the fleet while the load runs."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections.abc import Awaitable, Callable

import attrs

from bench.fleet import BenchFleet
from bramleycrank.proto import standin_pb2, target_pb2
from harness.processes import wait_until

# Time from the start of the recorded load to the fault, in seconds.
FAULT_AT_S = 3.0

Script = Callable[[BenchFleet, float], Awaitable[None]]


@attrs.frozen
class Scenario:
    """One scenario.

    Parameters
    ----------
    name : str
        Name on the command line and in the tables.
    before : Script
        Runs before the load starts.
    during : Script
        Runs from the start of the recorded load; its second argument is the length in seconds.
    load_factor : float
        Offered rate over the calm rate; 0: twice the sustainable rate.
    seconds : float
        Length of the recorded load; 0: as the command says.
    """

    name: str
    before: Script
    during: Script
    load_factor: float = 1.0
    seconds: float = 0.0


async def nothing(_fleet: BenchFleet, _seconds: float) -> None:
    """Change nothing."""


async def stragglers(fleet: BenchFleet, _seconds: float) -> None:
    """Make 2% of the sub-requests take 20 times as long."""
    for targets in fleet.of_search():
        await targets.fault(straggler_share=0.02, straggler_factor=20.0)


async def lose_replicas(fleet: BenchFleet, _seconds: float) -> None:
    """End the targets of one domain without a sign: one replica of each shard."""
    await asyncio.sleep(FAULT_AT_S)
    fleet.of_search()[0].process.signal(signal.SIGKILL)


async def silence_connections(fleet: BenchFleet, _seconds: float) -> None:
    """Let a third of the open connections go silent for good."""
    await asyncio.sleep(FAULT_AT_S)
    for targets in fleet.targets:
        await targets.fault(silent_share=1 / 3)


async def restart_cold(fleet: BenchFleet, _seconds: float) -> None:
    """Replace the targets of one domain by cold ones, five times slower at first."""
    await asyncio.sleep(FAULT_AT_S)
    targets = fleet.of_search()[0]
    targets.process.signal(signal.SIGTERM)
    old = targets.process
    targets.stub_channel.close()
    await wait_until(lambda: old.exit_code is not None, "the targets exit", 30)
    targets.cold_s = 10.0
    await targets.start()


def _replicas(shards: list[tuple[int, int, int]]) -> list[target_pb2.Replica]:
    return [
        target_pb2.Replica(
            snapshot=target_pb2.Snapshot(version=version, shard_count=count), shard=shard
        )
        for version, count, shard in shards
    ]


async def change_versions(fleet: BenchFleet, seconds: float) -> None:
    """Move to version 2, then to version 3 with half the shards, target by target."""
    count = fleet.shape.search.shards
    half = count // 2
    steps = [
        lambda s: [(1, count, s), (2, count, s)],
        lambda s: [(2, count, s)],
        lambda s: [(2, count, s), (3, half, s % half)],
        lambda s: [(3, half, s % half)],
    ]
    hosts = [(t, target_id) for t in fleet.of_search() for target_id in t.targets]
    pause_s = seconds * 0.8 / (len(steps) * len(hosts))
    for step, (targets, target_id) in itertools.product(steps, hosts):
        shard = int(target_id.split("-")[-2])
        request = standin_pb2.SetReplicasRequest(
            target_id=target_id, replicas=_replicas(step(shard))
        )
        await targets.stub.SetReplicas(request)
        await asyncio.sleep(pause_s)


async def cut_domain(fleet: BenchFleet, seconds: float) -> None:
    """Cut the last domain off for the middle of the run."""
    await asyncio.sleep(FAULT_AT_S)
    fleet.cut(fleet.shape.domains[-1])
    await asyncio.sleep(seconds * 0.5)
    fleet.heal()


async def roll(fleet: BenchFleet, _seconds: float) -> None:
    """Restart every VM in turn by SIGTERM."""
    for vm in fleet.vms:
        await vm.stop_gracefully()
        vm.start()
        await wait_until(vm.ready, f"{vm.vm_id} is ready again", 40)


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("calm", nothing, nothing),
        Scenario("stragglers", stragglers, nothing),
        Scenario("replica_lost", nothing, lose_replicas),
        Scenario("silent_connections", nothing, silence_connections),
        Scenario("overload", nothing, nothing, load_factor=0.0),
        Scenario("cold_targets", nothing, restart_cold),
        Scenario("version_change", nothing, change_versions),
        Scenario("domain_cut", nothing, cut_domain),
        Scenario("rolling_restart", nothing, roll, seconds=60.0),
    )
}
