"""Real daemons: queries, changes and restarts through the whole system."""

import asyncio
import subprocess
import sys
import time
import uuid

import pytest
from processes import Fleet, run_fleet, wait_until

from bramleycrank.exceptions import InvalidChange, VersionConflict

pytestmark = pytest.mark.process


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    """Yield three voters and an entry VM with targets, shared by tests that stop no process."""
    with asyncio.Runner() as runner:

        async def start():
            fleet = Fleet(tmp_path_factory.mktemp("fleet"), ("a", "b", "c", "a"), voters=3)
            try:
                fleet.standin(shards=4, replicas=3, domains="a,b,c")
                await fleet.start()
                await fleet.wait_in_force((await fleet.vms[3].put_service("demo")).revision)
            except BaseException:
                fleet.close()
                raise
            return fleet

        fleet = runner.run(start())
        yield runner, fleet
        runner.run(asyncio.sleep(0))
        fleet.close()


async def answer_of(vm):
    status, body = await vm.query()
    return status == 200 and body


async def complete_answer(vm):
    status, body = await vm.query()
    return status == 200 and body["coverage"]["answered"] == 4 and body


def test_search_through_every_vm_is_complete(shared_fleet):
    runner, fleet = shared_fleet

    async def scenario():
        for vm in fleet.vms:
            body = await wait_until(
                lambda vm=vm: complete_answer(vm), f"complete answer of {vm.vm_id}"
            )
            assert body["outcome"] == "complete" and body["coverage"]["total"] == 4
            assert body["result"] and body["config"]["stale_ms"] == 0

    runner.run(scenario())


def test_unknown_service_is_a_typed_error(shared_fleet):
    runner, fleet = shared_fleet
    status, body = runner.run(fleet.vms[3].query(service="nothing"))
    assert status == 404 and body["error"]["name"] == "UnknownService"


MALFORMED_DATA = [
    b"\x00" * 40,
    b"GET / HTTP/1.1\r\nHost",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\xff\xff\x01\x05\x00\x00\x00\x01\x82",
    b"POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
]


def test_malformed_data_does_not_affect_other_connections(shared_fleet):
    # Guards against a listener or an event loop that malformed data can stop.
    runner, fleet = shared_fleet
    vm = fleet.vms[3]

    async def send(port, data):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async def scenario():
        pairs = [(port, data) for port in (vm.http, vm.grpc) for data in MALFORMED_DATA]
        await asyncio.gather(*(send(port, data) for port, data in pairs))
        assert (await wait_until(lambda: complete_answer(vm), "an answer"))["outcome"] == "complete"
        assert await vm.revision() >= 1

    runner.run(scenario())


def test_changes_are_in_force_everywhere_within_two_seconds(shared_fleet):
    # 20 changes through all VMs in turn, including the entry VM. Guards against a change that
    # waits for the next gossip round or synchronization.
    runner, fleet = shared_fleet

    async def scenario():
        slowest_s = 0.0
        for number in range(20):
            reply = await fleet.vms[number % 4].put_service(f"s{number}")
            accepted = time.monotonic()
            await fleet.wait_in_force(reply.revision)
            slowest_s = max(slowest_s, time.monotonic() - accepted)
        assert slowest_s < 2.0

    runner.run(scenario())


def test_change_resent_through_another_vm_gets_the_first_reply(shared_fleet):
    runner, fleet = shared_fleet

    async def scenario():
        change_id = uuid.uuid4().hex
        first = await fleet.vms[0].put_service("resent", change_id=change_id)
        later = await fleet.vms[1].put_service("resent", first.version, hits_limit=5)
        again = await fleet.vms[3].put_service("resent", change_id=change_id)
        assert again == first and later.revision > first.revision

    runner.run(scenario())


def test_only_one_of_concurrent_changes_with_the_same_version_is_accepted(shared_fleet):
    runner, fleet = shared_fleet

    async def scenario():
        base = (await fleet.vms[0].put_service("raced")).version
        results = await asyncio.gather(
            *(
                vm.put_service("raced", base, hits_limit=number + 1)
                for number, vm in enumerate(fleet.vms)
            ),
            return_exceptions=True,
        )
        accepted = [r for r in results if not isinstance(r, Exception)]
        conflicts = [r for r in results if isinstance(r, VersionConflict)]
        assert len(accepted) == 1 and len(conflicts) == 3
        assert {error.current_version for error in conflicts} == {accepted[0].version}

    runner.run(scenario())


def test_invalid_change_is_refused_with_its_reason(shared_fleet):
    runner, fleet = shared_fleet
    with pytest.raises(InvalidChange, match="classes"):
        runner.run(fleet.vms[3].put_service("bad", classes=["sometimes"]))


def test_status_shows_every_vm_and_dump_every_section(shared_fleet):
    runner, fleet = shared_fleet

    async def scenario():
        leader = await fleet.leader()
        status = await wait_until(lambda: fleet.vms[3].status(), "status")
        assert {vm.record.vm_id for vm in status.vms} == {vm.vm_id for vm in fleet.vms}
        assert all(vm.reachable and vm.current for vm in status.vms)
        assert status.leader_vm == leader.vm_id and len(status.membership.members) == 3
        assert sorted(vm.role for vm in status.vms) == ["entry", "follower", "follower", "leader"]
        dump = await leader.dump()
        assert {"life_cycle", "consensus", "config", "membership", "sessions", "query"} <= set(dump)
        assert dump["consensus"]["log"]["core"]["leadership"]["progress"]

    runner.run(scenario())


def test_vm_that_starts_alone_serves_its_stored_revision(tmp_path):
    # An isolated VM must not restart with an older configuration or report it as current.
    async def scenario(fleet):
        fleet.standin(shards=2, replicas=3, domains="a,b,c")
        await fleet.vms[0].put_service("other")
        reply = await fleet.vms[0].put_service("demo")
        await fleet.wait_in_force(reply.revision)
        for vm in fleet.vms:
            vm.kill()
        alone = fleet.vms[1]
        alone.start()
        await wait_until(lambda: alone.status(local=True), "the VM responds to operators")
        assert not await alone.ready()
        await wait_until(alone.ready, "the VM is ready without the others")
        # The targets have to reconnect to the only running VM first.
        body = await wait_until(lambda: answer_of(alone), "the VM answers")
        assert body["config"]["revision"] == reply.revision
        assert body["config"]["stale_ms"] > 0

    run_fleet(tmp_path, scenario)


def test_invalid_settings_exit_with_all_problems(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('[vm]\nid = ""\n[listen]\nhttp = "nowhere"\n')
    code = "from bramleycrank.daemon.main import main; main()"
    completed = subprocess.run(
        [sys.executable, "-c", code, f"--settings={path}"], capture_output=True, timeout=30
    )
    assert completed.returncode == 2
    assert all(key in completed.stderr for key in (b"vm.id", b"vm.domain", b"listen.http"))
