"""Tests of how stand-in targets announce themselves."""

import asyncio

from standin_fakes import FakeRegistry, run_fleet, wait_until

from bramleycrank.proto import target_pb2 as pb

SIX_TARGETS = {"shards": 3, "domains": ["a", "b"], "replicas": 2}


async def start_registries(count):
    started = [FakeRegistry() for _ in range(count)]
    for registry in started:
        await registry.start()
    return started


def test_targets_are_distributed_over_vms_and_renew_their_leases():
    """Guards against one VM becoming the home of all targets, and against expiring leases."""

    async def body():
        first, second = await start_registries(2)
        async with run_fleet(
            fleet=SIX_TARGETS, registry={"vms": [first.address, second.address]}
        ) as running:
            await wait_until(lambda: len(first.announced) >= 9 and len(second.announced) >= 9)
            homes = [{r.target_id for r in registry.announced} for registry in (first, second)]
            assert homes[0] | homes[1] == set(running.targets) and not homes[0] & homes[1]
            record = first.announced[-1]
            assert record.state == pb.TARGET_STATE_SERVING and record.port
            assert {r.domain for r in first.announced + second.announced} == {"a", "b"}
        for registry in (first, second):
            await registry.stop()

    asyncio.run(body())


def test_a_target_switches_to_another_vm_when_its_home_vm_is_silent():
    """Guards against a target that becomes unknown when its home VM fails."""

    async def body():
        first, second = await start_registries(2)
        registry = {"vms": [first.address, second.address], "timeout_s": 0.1}
        async with run_fleet(registry=registry):
            await wait_until(lambda: len(first.announced) >= 2)
            first.frozen = True
            await wait_until(lambda: second.announced)
            # The higher sequence lets the record replace one that was marked as expired.
            assert second.announced[0].sequence > first.announced[-1].sequence
        for registry in (first, second):
            await registry.stop()

    asyncio.run(body())


def test_stop_sends_a_leave_message():
    """Guards against a planned stop that VMs detect only by failed sub-requests."""

    async def body():
        (registry,) = await start_registries(1)
        async with run_fleet(registry={"vms": [registry.address]}) as running:
            await wait_until(lambda: registry.announced)
            await running.stop(timeout_s=5)
            assert registry.left == ["demo-0-0"]
            assert all(record.state != pb.TARGET_STATE_LEAVING for record in registry.announced)
        await registry.stop()

    asyncio.run(body())


def test_a_new_target_announces_warming_then_serving():
    """Guards against full load on a target that is still warming."""

    async def body():
        (registry,) = await start_registries(1)
        timing = {"warming_s": 0.3}
        async with run_fleet(registry={"vms": [registry.address]}, timing=timing):
            await wait_until(lambda: registry.announced)
            assert registry.announced[0].state == pb.TARGET_STATE_WARMING
            await wait_until(lambda: registry.announced[-1].state == pb.TARGET_STATE_SERVING)
            assert registry.announced[-1].sequence > registry.announced[0].sequence
        await registry.stop()

    asyncio.run(body())


def test_a_frozen_target_does_not_renew():
    """Guards against a lease that stays valid while the target is unresponsive."""

    async def body():
        (registry,) = await start_registries(1)
        async with run_fleet(registry={"vms": [registry.address]}) as running:
            await wait_until(lambda: registry.announced)
            (target,) = running.targets.values()
            target.resumed.clear()
            await asyncio.sleep(0.2)
            count = len(registry.announced)
            await asyncio.sleep(0.3)
            assert len(registry.announced) == count
            target.resumed.set()
            await wait_until(lambda: len(registry.announced) > count)
        await registry.stop()

    asyncio.run(body())
