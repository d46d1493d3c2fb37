"""Membership controller and registry service over real gRPC connections on loopback."""

import asyncio
import time

import pytest
from grpclib.client import Channel
from grpclib.server import Server

from bramleycrank.daemon.dead_vms import DEAD_RETENTION_S
from bramleycrank.daemon.membership_controller import MembershipController
from bramleycrank.exceptions import Draining, InvalidRequest
from bramleycrank.membership import MembershipConfig, VmChanged
from bramleycrank.proto import peer_pb2, target_pb2
from bramleycrank.proto.peer_grpc import PeerBase
from bramleycrank.proto.target_grpc import RegistryStub
from bramleycrank.transport.grpc_errors import call, unary
from bramleycrank.transport.peer_client import PeerClients
from bramleycrank.transport.registry_service import RegistryService

FAST = MembershipConfig(
    probe_period_s=0.2, probe_timeout_s=0.08, sync_period_s=1.0, lease_s=1.2, renew_s=0.4
)


class GossipService(PeerBase):
    """The two methods of `Peer` that membership needs."""

    def __init__(self):
        self.controller = None

    @unary
    async def Probe(self, request):  # noqa: N802
        return await self.controller.on_probe(request)

    @unary
    async def Sync(self, request):  # noqa: N802
        return await self.controller.on_sync(request)

    FetchConfig = Propose = Consensus = Identity = Bootstrap = Join = Grant = Probe


class Vm:
    """One VM with its server on loopback."""

    async def start(self, vm_id, seeds):
        service = GossipService()
        self.clients = PeerClients()
        registry = RegistryService(None)
        self.server = Server([service, registry])
        await self.server.start("127.0.0.1", 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        local = peer_pb2.VmRecord(vm_id=vm_id, domain="a", host="127.0.0.1", port=port)
        self.controller = MembershipController.from_config(FAST, local, seeds, self.clients)
        self.service = service
        service.controller = registry._membership = self.controller
        status = peer_pb2.ConfigStatus(revision=port)
        self.controller.set_config_status(lambda: status)
        await self.controller.start()
        return self

    async def stop(self):
        # The grpclib server keeps connections open after `close`, so later calls must fail.
        self.service.controller = None
        self.server.close()
        await self.controller.stop()
        self.clients.close()


async def until(condition, limit_s=5.0):
    """Wait for a condition and return the time it took in seconds."""
    started = time.monotonic()
    while not condition():
        assert time.monotonic() - started < limit_s, "the condition did not become true"
        await asyncio.sleep(0.01)
    return time.monotonic() - started


def announcement(**fields):
    record = target_pb2.TargetRecord(
        target_id="t-1",
        incarnation=1,
        sequence=1,
        state=target_pb2.TARGET_STATE_SERVING,
        service="archivio",
        host="127.0.0.1",
        port=9000,
    )
    record.MergeFrom(target_pb2.TargetRecord(**fields))
    return target_pb2.AnnounceRequest(record=record)


def test_targets_and_vms_are_announced_expire_and_leave_over_real_connections():
    """Guards against gossip, pushes, leases or typed errors that fail over real connections."""

    async def scenario():
        vms = [await Vm().start("vm-0", [])]
        vms += [await Vm().start(f"vm-{i}", [vms[0].address]) for i in (1, 2)]
        seen = set()
        vms[2].controller.subscribe_config_status(lambda address, status: seen.add(address))
        controllers = [vm.controller for vm in vms]
        await until(lambda: all(c.vm_count() == 3 for c in controllers))
        await until(lambda: seen >= {vms[0].address, vms[1].address})

        async with Channel(*vms[0].address.split(":")) as channel:
            registry = RegistryStub(channel)
            await call(registry.Announce, announcement(), timeout_s=1.0)
            await until(lambda: all(len(c.targets("archivio")) == 1 for c in controllers))
            await until(lambda: not any(c.targets("archivio") for c in controllers))  # lease ends
            await call(registry.Announce, announcement(), timeout_s=1.0)
            await until(lambda: all(len(c.targets("archivio")) == 1 for c in controllers))
            left = target_pb2.LeaveRequest(target_id="t-1", incarnation=1)
            await call(registry.Leave, left, timeout_s=1.0)
            assert not any(c.targets("archivio") for c in controllers), "pushed before the reply"
            with pytest.raises(InvalidRequest):
                await call(registry.Announce, announcement(sequence=9), timeout_s=1.0)
            vms[0].controller.drain()
            with pytest.raises(Draining):
                await call(registry.Announce, announcement(incarnation=2), timeout_s=1.0)

        await vms[0].controller.leave()
        assert all(len(c.vms()) == 2 for c in controllers[1:])
        await vms[0].stop()
        await vms[1].stop()  # without leaving
        await until(lambda: len(vms[2].controller.vms()) == 1)
        await vms[2].stop()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_calls_that_fail_with_an_untyped_error_are_retried():
    """Guards against syncs and pushes of a leaving target that are never retried.

    The core waits for the reply of each call, so untyped failures must be reported to it too.
    """

    class Clients:
        """Fails the first call of each kind, as grpclib does on a connection that it has closed."""

        def __init__(self):
            self.calls = []

        async def call(self, address, method, request, *, timeout_s, purpose):
            leaves = bool(request.gossip.targets)
            self.calls.append((method, leaves))
            if self.calls.count((method, leaves)) == 1:
                raise AttributeError("'NoneType' object has no attribute 'stream'")
            reply = peer_pb2.SyncReply(equal=True) if method == "Sync" else peer_pb2.ProbeReply()
            reply.gossip.sender.CopyFrom(
                peer_pb2.VmRecord(vm_id="vm-1", incarnation=1, state=1, host="127.0.0.1", port=9)
            )
            return reply

    async def scenario():
        clients = Clients()
        local = peer_pb2.VmRecord(vm_id="vm-0", domain="a", host="127.0.0.1", port=8)
        controller = MembershipController.from_config(FAST, local, ["127.0.0.1:9"], clients)
        await controller.start()
        try:
            await until(lambda: clients.calls.count(("Sync", False)) > 1, 2.0)
            await until(lambda: len(controller.vms()) == 2)
            await controller.leave_target(target_pb2.LeaveRequest(target_id="t", incarnation=1))
            await until(lambda: clients.calls.count(("Probe", True)) > 1, 2.0)
        finally:
            await controller.stop()

    asyncio.run(scenario())


def test_dead_vms_are_listed_for_their_retention_time():
    """Guards against a status without the VMs of a domain that is partitioned for minutes."""
    now = [1000.0]
    local = peer_pb2.VmRecord(vm_id="own", host="127.0.0.1", port=7000)
    controller = MembershipController(FAST, local, [], PeerClients(), clock=lambda: now[0])

    def record_state(vm_id, state, port):
        record = peer_pb2.VmRecord(vm_id=vm_id, state=state, host="127.0.0.1", port=port)
        controller._execute([VmChanged(record)])

    def listed():
        return {record.vm_id for record in controller.all_vms()}

    # The core has removed all of these records.
    for port, vm_id in enumerate(("cut", "back", "left", "replaced")):
        record_state(vm_id, peer_pb2.VM_STATE_DEAD, port)
    assert listed() == {"own", "cut", "back", "left", "replaced"}
    record_state("back", peer_pb2.VM_STATE_ALIVE, 1)
    record_state("left", peer_pb2.VM_STATE_LEFT, 2)
    record_state("new", peer_pb2.VM_STATE_ALIVE, 3)
    now[0] += DEAD_RETENTION_S - 1
    assert listed() == {"own", "cut"}
    now[0] += 2
    assert listed() == {"own"}
