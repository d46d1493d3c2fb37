"""When a starting VM is ready, and when a stopping one has sent its answers."""

import asyncio
from types import SimpleNamespace

from bramleycrank.daemon import node as node_module
from bramleycrank.daemon.node import Node
from bramleycrank.settings import Settings


def make_node(connected, usable=("t1", "t2")):
    node = Node(Settings.from_dict({"vm": {"id": "v", "domain": "a"}}))
    in_force = asyncio.Event()
    targets = [SimpleNamespace(target_id=name) for name in ("t1", "t2", "expired")]
    node._parts = SimpleNamespace(
        config=SimpleNamespace(wait_in_force=in_force.wait),
        membership=SimpleNamespace(
            all_targets=lambda: targets, is_usable=lambda target_id: target_id in usable
        ),
        sessions=SimpleNamespace(is_connected=lambda target_id: target_id in connected),
    )
    return node, in_force


def test_vm_joins_when_configuration_is_in_force_and_targets_are_connected():
    # If a VM is ready too early, its first requests wait for connections or are refused.
    async def scenario():
        connected = {"t1"}
        node, in_force = make_node(connected)
        joining = asyncio.ensure_future(node.join())
        await asyncio.sleep(0.05)
        assert not joining.done()
        in_force.set()
        await asyncio.sleep(0.05)
        assert not joining.done()
        connected.add("t2")
        await asyncio.wait_for(joining, 1.0)

    asyncio.run(scenario())


def test_unreachable_target_delays_the_start_for_a_bounded_time(monkeypatch):
    monkeypatch.setattr(node_module, "SESSIONS_WAIT_S", 0.1)

    async def scenario():
        node, in_force = make_node(connected=set())
        in_force.set()
        await asyncio.wait_for(node.join(), 1.0)

    asyncio.run(scenario())


def test_stop_waits_a_bounded_time_for_answers_that_are_being_sent(monkeypatch):
    # Without the wait, a caller that reads slowly gets a truncated answer. A caller that has
    # stopped reading must not block the stop.
    monkeypatch.setattr(node_module, "FLUSH_LIMIT_S", 0.5)

    async def scenario():
        async def drain(limit_s):
            return True

        node, _ = make_node(set())
        node._parts.query = SimpleNamespace(drain=drain)
        node._operator = SimpleNamespace(in_flight=0)
        node._site = SimpleNamespace(flushing=1)
        finishing = asyncio.ensure_future(node.finish_requests(10.0))
        await asyncio.sleep(0.2)
        assert not finishing.done()
        node._site.flushing = 0
        await asyncio.wait_for(finishing, 0.2)
        node._site.flushing = 1
        await asyncio.wait_for(node.finish_requests(10.0), 2.0)

    asyncio.run(scenario())
