"""Real daemons behind relays: partitioned, silent and slow links between VMs."""

import time

import pytest
from processes import run_fleet, wait_until
from relay import Links

from bramleycrank.exceptions import NoQuorum, ProposalOutcomeUnknown
from bramleycrank.proto import log_pb2

pytestmark = pytest.mark.process

WORK_ORDER = [log_pb2.KindConfig(name="work_order")]


def run_with_links(folder, scenario, **options):
    async def body(fleet):
        links = Links(fleet)
        await links.start()
        try:
            await fleet.start()
            await scenario(fleet, links)
        finally:
            await links.close()

    run_fleet(folder, body, start=False, **options)


def work_order(key):
    return {
        "kind": "work_order",
        "key": key,
        "request_key": key,
        "issued_at_ms": time.time_ns() // 1_000_000,
        "query": "",
        "deadline_ms": 1500,
    }


def test_isolated_leader_refuses_changes_and_still_serves_reads(tmp_path):
    async def scenario(fleet, links):
        standin = fleet.standin(shards=2, replicas=3, domains="a,b,c")
        leader = await fleet.leader()
        remaining = fleet.others(leader)
        first = await leader.put_service("demo", kinds=WORK_ORDER)
        await fleet.wait_in_force(first.revision)
        for vm in fleet.vms:
            await wait_until(lambda vm=vm: complete_answer(vm), f"{vm.vm_id} answers completely")

        for relay in links.between(leader):
            relay.refuse_connections()
        new_leader = await fleet.leader(remaining)
        second = await new_leader.put_service("later")
        with pytest.raises((NoQuorum, ProposalOutcomeUnknown)):
            await leader.put_service("refused", timeout_s=1.5)
        assert await leader.role() != "leader"

        body = await wait_until(
            lambda: stale_answer(leader), "the answer reports a stale configuration"
        )
        assert body["coverage"]["answered"] == 2
        assert body["config"]["revision"] == first.revision
        status, body = await leader.request(
            "POST", "/v1/query", {"service": "demo", **work_order("cut")}
        )
        assert status >= 400 and body["error"]["outcome"] == "unknown"
        assert (await standin.effects()).get("cut", 0) == 0
        status_by_vm = {vm.record.vm_id: vm for vm in (await new_leader.status()).vms}
        assert not status_by_vm[leader.vm_id].reachable
        dump = await new_leader.dump()
        assert "silent" in dump["consensus"]["lagging_members"][await node_id(leader)]
        assert "old" in (await leader.dump())["config"]["why"]
        assert "no leader" in (await leader.dump())["consensus"]["why"]

        for relay in links.between(leader):
            relay.heal()
        await fleet.wait_in_force(second.revision, [leader])
        await wait_until(lambda: current_answer(leader), "the VM has a current configuration again")

    run_with_links(tmp_path, scenario)


async def node_id(vm):
    return (await vm.dump())["consensus"]["node_id"]


async def complete_answer(vm):
    status, body = await vm.query()
    return status == 200 and body["outcome"] == "complete" and body


async def stale_answer(vm):
    body = await complete_answer(vm)
    return body and body["config"]["stale_ms"] > 0 and body


async def current_answer(vm):
    body = await complete_answer(vm)
    return body and body["config"]["stale_ms"] == 0


def test_silent_follower_delays_no_change(tmp_path):
    # An open connection without data must not delay replication to the other followers.
    async def scenario(fleet, links):
        leader = await fleet.leader()
        silent, other = fleet.others(leader)
        for relay in links.between(silent):
            relay.freeze()
        slowest_s = 0.0
        for number in range(30):
            started = time.monotonic()
            reply = await other.put_service(f"s{number}")
            slowest_s = max(slowest_s, time.monotonic() - started)
        assert slowest_s < 1.0
        assert await leader.role() == "leader"
        for relay in links.between(silent):
            relay.heal()
        await fleet.wait_in_force(reply.revision)

    run_with_links(tmp_path, scenario)


def test_slow_links_neither_unseat_the_leader_nor_delay_changes(tmp_path):
    # The round trip is longer than the heartbeat interval: messages must not queue up.
    async def scenario(fleet, links):
        leader = await fleet.leader()
        await leader.put_service("before")
        term = (await leader.dump())["consensus"]["log"]["core"]["term"]
        links.delay(0.1)
        for number in range(8):
            reply = await leader.put_service(f"s{number}")
            await fleet.wait_in_force(reply.revision, timeout_s=2.0)
        assert await leader.role() == "leader"
        assert (await leader.dump())["consensus"]["log"]["core"]["term"] == term
        dropped = [
            link["dropped"] for link in (await leader.dump())["consensus"]["log"]["links"].values()
        ]
        assert dropped == [0, 0]

    run_with_links(tmp_path, scenario)
