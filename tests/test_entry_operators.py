"""Tests what operators see of customers and of the way of a request."""

from __future__ import annotations

import asyncio
import json
import logging
import pickle
import random

import pytest
from grpclib.server import Server
from http_fakes import header, ok
from test_entry_allowances import KEY, LIMITED, LimitedVm
from test_entry_controller import EntryVm, run, status
from test_entry_customers import KEY as URGENT_KEY
from test_entry_customers import KeyedVm, ask

from bramleycrank.cli.context import Context
from bramleycrank.cli.entry import EntryCommands
from bramleycrank.proto import entry_pb2
from bramleycrank.transport.entry_service import EntryService, merge_uses
from bramleycrank.transport.peer_client import PeerClients

SEEDS = range(12)


def place(vm: EntryVm, path: str, customer: str = "") -> dict:
    return vm.entry.place(
        entry_pb2.PlaceRequest(method="GET", host="h", path=path, customer=customer)
    )


def test_a_placement_names_the_targets_that_the_request_is_sent_to():
    """Guards against a second decision beside the real one, and against one that leaves a trace."""
    seen: list[tuple[str, str]] = []

    def record(name):
        def script(request):
            seen.append((name[0], name))
            return ok(request)

        return script

    async def scenario(vm):
        policy = vm.entry._targets.policy
        rng = policy._rng

        def state():
            return rng.getstate(), json.dumps(policy.dump(vm.entry._clock()), default=str)

        for seed in SEEDS:
            rng.setstate(random.Random(seed).getstate())
            before = state()
            first = place(vm, "/all/x")
            assert place(vm, "/all/x") == first
            assert state() == before
            assert not seen
            assert status(await vm.get("/all/x")) == 200
            expected = {s: choices[0]["target"] for s, choices in first["services"].items()}
            assert dict(seen) == expected
            seen.clear()

    names = ("a1", "a2", "a3", "b1", "b2")
    run(scenario, **{name: record(name) for name in names})


def test_a_placement_tells_why_a_request_would_be_refused_and_spends_nothing():
    """Guards against a look that uses up an allowance, and against reasons that differ."""

    async def scenario(vm):
        assert "401" in place(vm, "/one/x")["steps"]["customer"]
        assert "401" in place(vm, "/one/x", "other")["steps"]["customer"]
        assert "404" in place(vm, "/none/x")["steps"]["route"]
        assert status(await ask(vm, "/one/x", KEY)) == 200
        before, calls = vm.allowances.dump()["customers"]["acme"]["held"], len(vm.calls)
        assert "0.5/s" in place(vm, "/one/x", "acme")["steps"]["allowance"]
        assert vm.allowances.dump()["customers"]["acme"]["held"] == before
        assert len(vm.calls) == calls
        assert vm.entry.customer_uses("acme").customers[0].admitted == 1

    run(scenario, LimitedVm, a1=ok)


def test_a_placement_tells_that_a_request_would_be_refused_for_lack_of_room():
    """Load: 100 requests of an urgent customer at once, at a target that answers four in 60 ms."""

    async def scenario(vm):
        vm.fakes["a1"].delay_s = 0.06
        urgent, other = f"Authorization: Token {URGENT_KEY}\r\n", "Authorization: Token key-b\r\n"
        assert status(await vm.get("/one/x", urgent)) == 200
        assert place(vm, "/one/y", "Bolt")["steps"]["admission"] == "served by this VM"
        requests = [
            asyncio.ensure_future(vm.get(f"/one/{number}", urgent)) for number in range(100)
        ]
        waiting = vm.entry._waiting
        state = waiting._shares, waiting._refused, waiting._refusals._times
        while (
            "503, return after" not in (placed := place(vm, "/one/y", "Bolt"))["steps"]["admission"]
        ):
            assert not all(request.done() for request in requests)
            await asyncio.sleep(0)
            before = pickle.dumps(state)
        assert pickle.dumps(state) == before and not placed["services"]
        assert status(await vm.get("/one/y", other)) == 503
        await asyncio.gather(*requests)

    run(scenario, KeyedVm, a1=ok)


def test_the_use_of_a_customer_is_listed_over_all_vms_without_its_keys(capsys):
    """Guards against sums that leave a VM out silently, and against keys in lists."""

    async def scenario(vm):
        assert status(await ask(vm, "/one/x", KEY)) == 200
        for _ in range(20):
            await ask(vm, "/one/x", KEY)
        other = EntryService(lambda: vm.entry, dict, list, PeerClients())
        servers = [Server([other])]
        await servers[0].start("127.0.0.1", 0)
        port = servers[0]._server.sockets[0].getsockname()[1]
        others = [("vm2", f"127.0.0.1:{port}"), ("vm3", "127.0.0.1:1")]
        servers.append(
            Server([EntryService(lambda: vm.entry, vm.entry.dump, lambda: others, PeerClients())])
        )
        await servers[1].start("127.0.0.1", 0)
        address = f"127.0.0.1:{servers[1]._server.sockets[0].getsockname()[1]}"
        commands = EntryCommands(Context(server=address, as_json=True))
        await commands.customers()._run()
        listed = json.loads(capsys.readouterr().out)
        await commands.dump()._run()
        await commands.place("h", "/one/x", customer="acme")._run()
        assert LIMITED.customers[0].keys[0] not in listed
        [use] = listed["customers"]
        own = vm.entry.customer_uses("").customers[0]
        assert use["admitted"] == 2 * own.admitted
        assert use["refused"] == {"allowance": 2 * own.refused["allowance"]}
        assert use["refused"]["allowance"] > 0
        assert (use["keys"], use["vms"], listed["vms"]) == (1, 2, 2)
        assert listed["silent_vms"] == ["vm3"]
        for server in servers:
            server.close()
        await asyncio.gather(*(server.wait_closed() for server in servers))

    run(scenario, LimitedVm, a1=ok)


def test_a_sum_over_vms_takes_rates_from_the_newest_table():
    """Guards against a lowered rate that a VM with an older table raises again in the list."""
    old, new = (
        entry_pb2.ListCustomersReply(
            routes_version=version,
            customers=[entry_pb2.CustomerUse(name="acme", per_s=rate, admitted=3)],
        )
        for version, rate in ((1, 20.0), (2, 5.0))
    )
    for replies in ([old, new], [new, old]):
        [use] = merge_uses(replies).customers
        assert (use.per_s, use.admitted) == (5.0, 6)


def test_a_sum_over_vms_counts_those_that_serve_callers():
    """Guards against a list that counts the VMs that only hold the log."""
    serving, other = entry_pb2.ListCustomersReply(vms=1), entry_pb2.ListCustomersReply()
    assert merge_uses([serving, other, serving]).vms == 2


def refuse(request: bytes) -> bytes:
    request_id = header(request, b"X-Request-Id")
    return (
        b"HTTP/1.1 503 X\r\nX-Request-Id: %b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        % request_id
    )


@pytest.mark.parametrize(
    ("target", "script", "rule"),
    [("b1", ok, "no_target"), ("a1", refuse, "targets"), ("a1", None, "unsent")],
)
def test_each_refusal_counts_under_its_rule_and_names_it_in_the_log(target, script, rule, caplog):
    """Guards against an operator who adds targets although there is room."""
    caplog.set_level(logging.INFO)

    async def scenario(vm):
        if script is None:
            vm.fakes[target].stop()
        reply = await ask(vm, "/one/x", "Authorization: Token key-b\r\n")
        assert status(reply) == 503
        [use] = vm.entry.customer_uses("Bolt").customers
        assert dict(use.refused) == {rule: 1}

    run(scenario, KeyedVm, **{target: script})
    line = next(vars(r) for r in caplog.records if vars(r).get("status") == 503)
    assert (line["rule"], line["customer"]) == (rule, "Bolt")


def test_a_refusal_leads_to_the_allowance_and_the_use_of_the_customer(caplog):
    """Guards against a log line from which the age of a share cannot be told."""
    caplog.set_level(logging.INFO)

    async def scenario(vm):
        assert status(await ask(vm, "/one/x", KEY)) == 200
        vm.fakes["a1"].script = refuse
        for _ in range(5):
            await ask(vm, "/one/x", KEY)

    run(scenario, LimitedVm, a1=ok)
    by_rule = {vars(r)["rule"]: vars(r) for r in caplog.records if "rule" in vars(r)}
    assert set(by_rule) == {"targets", "allowance"}
    for line in by_rule.values():
        assert line["customer"] == "acme"
        assert line["allowance"]["reply_age_s"] >= 0
    assert by_rule["targets"]["weight"] > 0
