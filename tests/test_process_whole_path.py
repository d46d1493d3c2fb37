"""Real daemons: the way of a query, of a change and of a stop through the whole system."""

import asyncio
import subprocess
import sys
import time
import uuid

import pytest
from processes import Fleet, run_fleet, until

from bramleycrank.exceptions import InvalidChange, VersionConflict

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    """Three voters and an entry VM without a disk, with targets; shared by gentle tests."""
    with asyncio.Runner() as runner:

        async def start():
            fleet = Fleet(tmp_path_factory.mktemp("fleet"), ("a", "b", "c", "a"), voters=3)
            try:
                fleet.standin(shards=4, replicas=3, domains="a,b,c")
                await fleet.start()
                await fleet.in_force((await fleet.vms[3].put_service("demo")).revision)
            except BaseException:
                fleet.close()
                raise
            return fleet

        fleet = runner.run(start())
        yield runner, fleet
        runner.run(asyncio.sleep(0))
        fleet.close()


async def answered(vm):
    status, body = await vm.query()
    return status == 200 and body


async def covered(vm):
    status, body = await vm.query()
    return status == 200 and body["coverage"]["answered"] == 4 and body


def test_search_through_every_vm_is_complete(world):
    runner, fleet = world

    async def scenario():
        for vm in fleet.vms:
            body = await until(lambda vm=vm: covered(vm), f"complete answer of {vm.vm_id}")
            assert body["outcome"] == "complete" and body["coverage"]["total"] == 4
            assert body["result"] and body["config"]["stale_ms"] == 0

    runner.run(scenario())


def test_unknown_service_is_a_typed_error(world):
    runner, fleet = world
    status, body = runner.run(fleet.vms[3].query(service="nothing"))
    assert status == 404 and body["error"]["name"] == "UnknownService"


FRAGMENTS = [
    b"\x00" * 40,
    b"GET / HTTP/1.1\r\nHost",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\xff\xff\x01\x05\x00\x00\x00\x01\x82",
    b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
]


def test_truncated_frames_disturb_nobody_else(world):
    # Guards against a listener or a loop that a broken peer can stop.
    runner, fleet = world
    vm = fleet.vms[3]

    async def send(port, data):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async def scenario():
        pairs = [(port, data) for port in (vm.http, vm.grpc) for data in FRAGMENTS]
        await asyncio.gather(*(send(port, data) for port, data in pairs))
        assert (await until(lambda: covered(vm), "a complete answer"))["outcome"] == "complete"
        assert await vm.revision() >= 1

    runner.run(scenario())


def test_changes_are_in_force_everywhere_within_two_seconds(world):
    # 20 changes through all VMs in turn, entry VM included. Guards against a change that waits
    # for the next gossip round or exchange.
    runner, fleet = world

    async def scenario():
        slowest = 0.0
        for number in range(20):
            reply = await fleet.vms[number % 4].put_service(f"s{number}")
            accepted = time.monotonic()
            await fleet.in_force(reply.revision)
            slowest = max(slowest, time.monotonic() - accepted)
        assert slowest < 2.0

    runner.run(scenario())


def test_resend_through_another_vm_gets_the_first_answer(world):
    runner, fleet = world

    async def scenario():
        change_id = uuid.uuid4().hex
        first = await fleet.vms[0].put_service("resent", change_id=change_id)
        later = await fleet.vms[1].put_service("resent", first.version, hits_limit=5)
        again = await fleet.vms[3].put_service("resent", change_id=change_id)
        assert again == first and later.revision > first.revision

    runner.run(scenario())


def test_race_with_equal_versions_has_one_winner(world):
    runner, fleet = world

    async def scenario():
        base = (await fleet.vms[0].put_service("raced")).version
        results = await asyncio.gather(
            *(
                vm.put_service("raced", base, hits_limit=number + 1)
                for number, vm in enumerate(fleet.vms)
            ),
            return_exceptions=True,
        )
        won = [r for r in results if not isinstance(r, Exception)]
        lost = [r for r in results if isinstance(r, VersionConflict)]
        assert len(won) == 1 and len(lost) == 3
        assert {error.current_version for error in lost} == {won[0].version}

    runner.run(scenario())


def test_invalid_change_is_refused_with_its_reason(world):
    runner, fleet = world
    with pytest.raises(InvalidChange, match="classes"):
        runner.run(fleet.vms[3].put_service("bad", classes=["sometimes"]))


def test_status_and_dump_show_every_vm_and_part(world):
    runner, fleet = world

    async def scenario():
        leader = await fleet.leader()
        status = await until(lambda: fleet.vms[3].status(), "status")
        assert {vm.record.vm_id for vm in status.vms} == {vm.vm_id for vm in fleet.vms}
        assert all(vm.reachable and vm.current for vm in status.vms)
        assert status.leader_vm == leader.vm_id and len(status.membership.members) == 3
        assert sorted(vm.role for vm in status.vms) == ["entry", "follower", "follower", "leader"]
        dump = await leader.dump()
        assert {"life_cycle", "consensus", "config", "membership", "sessions", "query"} <= set(dump)
        assert dump["consensus"]["log"]["core"]["leadership"]["progress"]

    runner.run(scenario())


def test_vm_that_starts_alone_serves_the_revision_of_its_folder(tmp_path):
    # A cut-off VM must not come back on an older configuration, nor claim to be current.
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c")
        await fleet.vms[0].put_service("other")
        reply = await fleet.vms[0].put_service("demo")
        await fleet.in_force(reply.revision)
        for vm in fleet.vms:
            vm.kill()
        alone = fleet.vms[1]
        alone.start()
        await until(lambda: alone.status(local=True), "the VM answers operators")
        assert not await alone.ready()
        await until(alone.ready, "the VM is ready without the others")
        # The targets still have to find the one VM that is left.
        body = await until(lambda: answered(alone), "the VM answers")
        assert body["config"]["revision"] == reply.revision
        assert body["config"]["stale_ms"] > 0

    run_fleet(tmp_path, scenario)


def test_invalid_settings_exit_with_all_problems(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('[vm]\nid = ""\n[listen]\nhttp = "nowhere"\n')
    code = "from bramleycrank.daemon.main import main; main()"
    done = subprocess.run(
        [sys.executable, "-c", code, f"--settings={path}"], capture_output=True, timeout=30
    )
    assert done.returncode == 2
    assert all(key in done.stderr for key in (b"vm.id", b"vm.domain", b"listen.http"))
