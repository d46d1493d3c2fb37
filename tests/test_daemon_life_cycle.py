"""Tests the order of the steps of a stop, and the effects of an operator's drain."""

import asyncio
import gc

import pytest

from bramleycrank.daemon.life_cycle import LifeCycle


class Steps:
    """Records the calls of steps; selected steps fail or block."""

    def __init__(self, fail=(), block=(), fail_late=()):
        self.calls = []
        self.fail = fail
        self.fail_late = fail_late
        self.block = block
        self.release = asyncio.Event()

    def set_draining(self, draining):
        self.calls.append(f"draining={draining}")

    def __getattr__(self, name):
        async def step(*_):
            self.calls.append(name)
            if name in self.fail:
                raise OSError(name)
            if name in self.block:
                await self.release.wait()
            if name in self.fail_late:
                raise OSError(name)

        return step


async def wait_until(condition):
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.001)


def run(scenario, notice_s=0.02, **steps_args):
    async def body():
        steps = Steps(**steps_args)
        life = LifeCycle(steps, drain_notice_s=notice_s, drain_limit_s=1.0)
        await scenario(life, steps)

    asyncio.run(body())


STOP = ["stop_listening", "finish_requests", "transfer_leadership", "leave", "close"]


@pytest.mark.parametrize("fail", [(), ("transfer_leadership", "leave", "finish_requests")])
def test_stop_runs_all_steps_in_order_even_if_some_fail(fail):
    # A stop that skips a step aborts requests, leaves no leader for a time, or leaves a stale VM
    # record.
    async def scenario(life, steps):
        life.start()
        await wait_until(life.ready)
        steps.calls.clear()
        life.stop()
        assert not life.ready()
        assert steps.calls == []  # Still accepts requests during the notice period.
        await life.finished.wait()
        assert steps.calls == ["draining=True", *STOP]
        assert life.state == "stopped"

    run(scenario, fail=fail)


def test_stop_waits_for_requests_in_flight():
    async def scenario(life, steps):
        life.start()
        await wait_until(life.ready)
        life.stop()
        await wait_until(lambda: "finish_requests" in steps.calls)
        await asyncio.sleep(0.05)
        assert life.state == "draining" and "close" not in steps.calls
        steps.release.set()
        await life.finished.wait()

    run(scenario, block=("finish_requests",))


def test_repeated_stop_runs_the_steps_once():
    async def scenario(life, steps):
        life.start()
        await wait_until(life.ready)
        for _ in range(3):
            life.stop()
        await life.finished.wait()
        life.stop()
        assert steps.calls.count("close") == 1

    run(scenario)


def test_operator_drain_is_reversible_and_transfers_the_leadership():
    async def scenario(life, steps):
        life.start()
        await wait_until(life.ready)
        life.set_operator_drain(True)
        await wait_until(lambda: "transfer_leadership" in steps.calls)
        assert life.state == "drained" and not life.ready()
        assert "stop_listening" not in steps.calls
        life.set_operator_drain(False)
        assert life.ready() and steps.calls[-1] == "draining=False"

    run(scenario)


def test_drain_before_the_join_takes_effect_after_it():
    async def scenario(life, steps):
        life.start()
        await wait_until(lambda: "join" in steps.calls)
        life.set_operator_drain(True)
        steps.release.set()
        await wait_until(lambda: life.state == "drained")

    run(scenario, block=("join",))


def test_stop_while_joining_finishes_requests_without_notice():
    # A configuration may be in force while the VM waits for sessions, and requests that the load
    # balancer still sends after a quick restart are served. The notice period is for ready VMs.
    async def scenario(life, steps):
        life.start()
        await wait_until(lambda: "join" in steps.calls)
        steps.calls.clear()
        life.stop()
        await wait_until(lambda: "finish_requests" in steps.calls)
        await asyncio.sleep(0.05)
        assert life.state == "draining" and "close" not in steps.calls
        steps.release.set()
        await life.finished.wait()
        assert steps.calls == ["draining=True", *STOP]

    run(scenario, block=("join", "finish_requests"), notice_s=60)


def test_stop_completes_before_a_configuration_is_in_force():
    async def scenario(life, steps):
        life.start()
        await wait_until(lambda: "join" in steps.calls)
        life.stop()
        await asyncio.wait_for(life.finished.wait(), 1.0)
        assert steps.calls[-1] == "close"

    run(scenario, block=("join",), notice_s=60)


def test_failed_start_closes_all_parts_and_reports_the_failure():
    async def scenario(life, steps):
        life.start()
        await life.finished.wait()
        assert isinstance(life.failure, OSError) and steps.calls[-1] == "close"

    run(scenario, fail=("start_parts",))


def test_stop_during_the_start_is_not_reported_as_a_failure():
    async def scenario(life, steps):
        life.start()
        await wait_until(lambda: "start_parts" in steps.calls)
        life.stop()
        steps.release.set()
        await life.finished.wait()
        await asyncio.sleep(0)
        assert life.failure is None and steps.calls[-1] == "close"

    # The start fails because the stop closes resources that the start uses.
    run(scenario, block=("start_parts",), fail_late=("start_parts",))


def test_full_collection_skips_objects_created_before_the_vm_was_ready():
    """Load pattern: the first requests, whose garbage triggers a full collection.

    A collection over the 50,000 objects of a VM took 150 to 330 ms on half a core.
    """

    async def scenario(life, steps):
        life.start()
        await wait_until(life.ready)
        assert len(gc.get_objects()) < 1000 < gc.get_freeze_count()
        life.stop()
        await wait_until(life.finished.is_set)
        assert gc.get_freeze_count() == 0

    run(scenario)
