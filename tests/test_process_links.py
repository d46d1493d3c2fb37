"""Real daemons behind a relay: cut and silent links between VMs."""

import time

import pytest
from processes import run_fleet, until
from relay import Links

from bramleycrank.exceptions import NoQuorum, ProposalOutcomeUnknown
from bramleycrank.proto import log_pb2

pytestmark = pytest.mark.process

WORK_ORDER = [log_pb2.KindConfig(name="work_order")]


def with_links(folder, scenario, **options):
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


def test_cut_off_leader_stops_accepting_and_goes_on_reading(tmp_path):
    async def scenario(fleet, links):
        standin = fleet.standin(shards=2, replicas=3, domains="a,b,c")
        leader = await fleet.leader()
        rest = fleet.others(leader)
        first = await leader.put_service("demo", kinds=WORK_ORDER)
        await fleet.in_force(first.revision)
        for vm in fleet.vms:
            await until(lambda vm=vm: complete(vm), f"{vm.vm_id} answers in full")

        for relay in links.between(leader):
            relay.cut()
        other = await fleet.leader(rest)
        second = await other.put_service("later")
        with pytest.raises((NoQuorum, ProposalOutcomeUnknown)):
            await leader.put_service("refused", timeout_s=1.5)
        assert await leader.role() != "leader"

        body = await until(lambda: stale(leader), "the answer says that it is stale")
        assert body["coverage"]["answered"] == 2
        assert body["config"]["revision"] == first.revision
        status, body = await leader.request(
            "POST", "/v1/query", {"service": "demo", **work_order("cut")}
        )
        assert status >= 400 and body["error"]["outcome"] == "unknown"
        assert (await standin.effects()).get("cut", 0) == 0
        shown = {vm.record.vm_id: vm for vm in (await other.status()).vms}
        assert not shown[leader.vm_id].reachable
        dump = await other.dump()
        assert "silent" in dump["consensus"]["lagging_members"][await node_id(leader)]
        assert "old" in (await leader.dump())["config"]["why"]
        assert "no leader" in (await leader.dump())["consensus"]["why"]

        for relay in links.between(leader):
            relay.heal()
        await fleet.in_force(second.revision, [leader])
        await until(lambda: fresh(leader), "the VM is current again")

    with_links(tmp_path, scenario)


async def node_id(vm):
    return (await vm.dump())["consensus"]["node_id"]


async def complete(vm):
    status, body = await vm.query()
    return status == 200 and body["outcome"] == "complete" and body


async def stale(vm):
    body = await complete(vm)
    return body and body["config"]["stale_ms"] > 0 and body


async def fresh(vm):
    body = await complete(vm)
    return body and body["config"]["stale_ms"] == 0


def test_silent_follower_delays_no_change(tmp_path):
    # A connection that stays open and says nothing must not hold up the other followers.
    async def scenario(fleet, links):
        leader = await fleet.leader()
        silent, other = fleet.others(leader)
        for relay in links.between(silent):
            relay.freeze()
        slowest = 0.0
        for number in range(30):
            started = time.monotonic()
            reply = await other.put_service(f"s{number}")
            slowest = max(slowest, time.monotonic() - started)
        assert slowest < 1.0
        assert await leader.role() == "leader"
        for relay in links.between(silent):
            relay.heal()
        await fleet.in_force(reply.revision)

    with_links(tmp_path, scenario)


def test_slow_links_neither_unseat_the_leader_nor_hold_up_changes(tmp_path):
    # The round trip is longer than the heartbeat: messages must not pile up.
    async def scenario(fleet, links):
        leader = await fleet.leader()
        await leader.put_service("before")
        term = (await leader.dump())["consensus"]["log"]["core"]["term"]
        links.delay(0.1)
        for number in range(8):
            reply = await leader.put_service(f"s{number}")
            await fleet.in_force(reply.revision, timeout_s=2.0)
        assert await leader.role() == "leader"
        assert (await leader.dump())["consensus"]["log"]["core"]["term"] == term
        dropped = [
            link["dropped"] for link in (await leader.dump())["consensus"]["log"]["links"].values()
        ]
        assert dropped == [0, 0]

    with_links(tmp_path, scenario)
