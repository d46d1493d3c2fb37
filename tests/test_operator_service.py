"""Tests of the operator service on a real server: typed errors, status, forwarding and drains."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from grpclib.server import Server

from bramleycrank.daemon.identity import Identity
from bramleycrank.exceptions import (
    BodyTooLarge,
    InvalidChange,
    NoQuorum,
    NotFound,
    NotLeader,
    Outcome,
    UnknownService,
    VersionConflict,
)
from bramleycrank.proto import log_pb2, operator_pb2, peer_pb2
from bramleycrank.transport.operator_service import OperatorService
from bramleycrank.transport.peer_client import PeerClients

OK = log_pb2.CommandResult(code=log_pb2.RESULT_CODE_OK, revision=3, version=3)
MEMBERS = log_pb2.Membership(members=[log_pb2.Member(node_id="other/1", voter=True)])


class Harness:
    """A server with fake controllers; `proposed` contains the commands that reached the log."""

    def __init__(self):
        self.proposed = []
        self.results = [OK]
        self.calls = []
        self.error = self.voter_error = None
        self.consensus = SimpleNamespace(
            identity=Identity(vm_id="own", domain="a", host="127.0.0.1", port=1),
            membership=None,
            is_leader=False,
            role="entry",
            leader_vm=str,
            leader_address=str,
            propose=self.propose,
        )
        self.config = SimpleNamespace(
            revision=3,
            service=self.service,
            services=list,
            vm=lambda vm_id: None,
            domain=lambda name: log_pb2.DomainConfig(domain=name),
            domains=list,
            status=lambda: peer_pb2.ConfigStatus(leader_revision=4),
            stale_ms=lambda: 0,
            is_current=lambda: True,
        )
        self.records = [peer_pb2.VmRecord(vm_id="own", state=peer_pb2.VM_STATE_ALIVE)]
        self.voters = SimpleNamespace(add=self.voter_call, remove=self.voter_call)

    async def propose(self, command, timeout_s):
        self.proposed.append(command.change)
        if self.error:
            raise self.error
        return self.results.pop(0) if len(self.results) > 1 else self.results[0]

    async def voter_call(self, *args):
        self.calls.append(args)
        if self.voter_error:
            raise self.voter_error
        return MEMBERS

    def service(self, name):
        raise UnknownService()

    def run(self, scenario):
        async def body():
            clients = PeerClients()
            directory = SimpleNamespace(all_vms=lambda: self.records, all_targets=list)
            service = OperatorService(
                self.config, self.consensus, directory, self.voters, clients, lambda: {"a": 1}
            )
            server = Server([service])
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            try:
                self.address = f"127.0.0.1:{port}"
                return await scenario(clients.operator_stub(self.address))
            finally:
                clients.close()
                server.close()
                await server.wait_closed()

        return asyncio.run(body())

    def call(self, method, request, timeout=5.0):
        return self.run(lambda stub: getattr(stub, method)(request, timeout=timeout))


def put(change_id="c1", **fields):
    service = log_pb2.ServiceConfig(**{"name": "demo", **fields})
    change = log_pb2.Change(change_id=change_id, put_service=service)
    return operator_pb2.ChangeRequest(change=change)


def with_unknown_field():
    request = put()
    # Field 100, varint 1: stands for a setting of a newer version.
    request.change.put_service.MergeFromString(b"\xa0\x06\x01")
    return request


@pytest.mark.parametrize(
    "request_, error, message_part",
    [
        (operator_pb2.ChangeRequest(), InvalidChange, "change_id"),
        (operator_pb2.ChangeRequest(change=log_pb2.Change(change_id="x")), InvalidChange, "body"),
        (put(change_id=""), InvalidChange, "change_id"),
        (put(change_id="x" * 200), InvalidChange, "change_id"),
        (put(name=""), InvalidChange, "name"),
        (put(name="a\nb"), InvalidChange, "name"),
        (put(classes=["sometimes"]), InvalidChange, "sometimes"),
        (put(kinds=[log_pb2.KindConfig(name="search")]), InvalidChange, "idempotent"),
        (put(kinds=[log_pb2.KindConfig(name="a")] * 2), InvalidChange, "twice"),
        (put(default_deadline_ms=60_001), InvalidChange, "default_deadline_ms"),
        (put(classes=["normal" * 20_000]), BodyTooLarge, "bytes"),
        (with_unknown_field(), InvalidChange, "field 100"),
    ],
)
def test_invalid_change_is_rejected_before_it_is_proposed(request_, error, message_part):
    harness = Harness()
    with pytest.raises(error, match=message_part):
        harness.call("ApplyChange", request_)
    assert harness.proposed == []


@pytest.mark.parametrize(
    "code, error",
    [
        (log_pb2.RESULT_CODE_VERSION_CONFLICT, VersionConflict),
        (log_pb2.RESULT_CODE_NOT_FOUND, NotFound),
        (log_pb2.RESULT_CODE_INVALID, InvalidChange),
    ],
)
def test_error_of_the_replicated_state_keeps_its_type(code, error):
    harness = Harness()
    harness.results = [log_pb2.CommandResult(code=code, version=9, message="m")]
    with pytest.raises(error) as caught:
        harness.call("ApplyChange", put())
    assert getattr(caught.value, "current_version", 9) == 9


def test_change_without_quorum_has_outcome_unknown():
    # An earlier attempt with the same change id may have been committed.
    harness = Harness()
    harness.error = NoQuorum(outcome=Outcome.NOT_RUN)
    with pytest.raises(NoQuorum) as caught:
        harness.call("ApplyChange", put())
    assert caught.value.outcome is Outcome.UNKNOWN


def test_drain_is_retried_with_the_current_version_and_another_change_id():
    # With the same change id, each retry would get the stored result: the conflict.
    harness = Harness()
    harness.records.append(peer_pb2.VmRecord(vm_id="vm2"))
    conflict = log_pb2.CommandResult(code=log_pb2.RESULT_CODE_VERSION_CONFLICT, version=8)
    harness.results = [conflict, OK]
    request = operator_pb2.DrainRequest(vm_id="vm2", drained=True, change_id="d")
    assert harness.call("DrainVm", request).revision == 3
    assert [(c.change_id, c.expected_version) for c in harness.proposed] == [("d", 0), ("d/1", 8)]


def test_orders_for_a_domain_are_retried_with_the_current_version():
    harness = Harness()
    harness.records.append(peer_pb2.VmRecord(vm_id="vm2", domain="b"))
    conflict = log_pb2.CommandResult(code=log_pb2.RESULT_CODE_VERSION_CONFLICT, version=8)
    harness.results = [conflict, OK]
    request = operator_pb2.DomainRequest(domain="b", evacuated=True, change_id="e")
    assert harness.call("SetDomain", request).revision == 3
    assert [(c.change_id, c.expected_version) for c in harness.proposed] == [("e", 0), ("e/1", 8)]
    assert all(change.put_domain.evacuated for change in harness.proposed)
    listed = harness.call("ListDomains", operator_pb2.ListDomainsRequest()).domains
    assert [(item.domain, item.vms) for item in listed] == [("b", 1)]
    request.domain = "typo"
    with pytest.raises(NotFound):
        harness.call("SetDomain", request)


def test_drain_of_an_unknown_vm_is_rejected():
    request = operator_pb2.DrainRequest(vm_id="typo", drained=True, change_id="d")
    with pytest.raises(NotFound):
        Harness().call("DrainVm", request)


def test_status_shows_unreachable_and_forgotten_vms():
    harness = Harness()
    harness.records.append(peer_pb2.VmRecord(vm_id="gone", host="127.0.0.1", port=9))
    harness.consensus.membership = MEMBERS
    reply = harness.call("Status", operator_pb2.StatusRequest())
    shown = {vm.record.vm_id: vm.reachable for vm in reply.vms}
    assert shown == {"own": True, "gone": False, "other": False}
    assert reply.leader_revision == 4


def test_status_shows_a_vm_as_unreachable_if_another_one_uses_its_address():
    # A VM that was replaced at its address was shown as reachable, with the state of the new VM.
    harness = Harness()

    async def scenario(stub):
        host, _, port = harness.address.rpartition(":")
        harness.records.append(peer_pb2.VmRecord(vm_id="replaced", host=host, port=int(port)))
        return await stub.Status(operator_pb2.StatusRequest())

    shown = {vm.record.vm_id: vm.reachable for vm in harness.run(scenario).vms}
    assert shown == {"own": True, "replaced": False}


def test_voter_change_is_retried_when_the_leader_changes():
    harness = Harness()
    harness.consensus.is_leader = True
    harness.voter_error = NotLeader()

    async def scenario(stub):
        request = operator_pb2.MemberRequest(node_id="n", timeout_ms=3000)
        call = asyncio.ensure_future(stub.RemoveVoter(request))
        while len(harness.calls) < 2:
            await asyncio.sleep(0.01)
        harness.voter_error = None
        return await call

    assert harness.run(scenario).membership == MEMBERS


def test_forwarded_voter_change_is_not_forwarded_again():
    # Two VMs that each presume the other to be the leader would forward the call endlessly.
    harness = Harness()
    harness.voter_error = NotLeader(leader_address="127.0.0.1:9")
    with pytest.raises(NotLeader):
        harness.call("AddVoter", operator_pb2.MemberRequest(address="a", forwarded=True))
    assert len(harness.calls) == 1


def test_voter_change_without_a_leader_fails():
    with pytest.raises(NoQuorum):
        Harness().call("AddVoter", operator_pb2.MemberRequest(address="a", timeout_ms=300))


def test_voter_change_switches_from_an_unresponsive_leader_to_the_new_one():
    # A call to a leader that accepts connections but never replies used up the whole timeout.
    harness = Harness()

    async def scenario(stub):
        unresponsive_leader = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = unresponsive_leader.sockets[0].getsockname()[1]
        harness.consensus.leader_address = lambda: f"127.0.0.1:{port}"
        request = operator_pb2.MemberRequest(node_id="n", timeout_ms=20_000)
        call = asyncio.ensure_future(stub.RemoveVoter(request, timeout=21))
        await asyncio.sleep(0.2)
        assert not call.done()
        harness.consensus.leader_address = lambda: harness.address
        reply = await asyncio.wait_for(call, 5)
        unresponsive_leader.close()
        return reply

    assert harness.run(scenario).membership == MEMBERS


def test_voter_change_that_may_have_run_has_outcome_unknown():
    # The first attempt may have been committed; only the last one is known to have failed.
    harness = Harness()

    async def scenario(stub):
        unresponsive_leader = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = unresponsive_leader.sockets[0].getsockname()[1]
        harness.consensus.leader_address = lambda: f"127.0.0.1:{port}"
        request = operator_pb2.MemberRequest(node_id="n", timeout_ms=1500)
        call = asyncio.ensure_future(stub.RemoveVoter(request))
        await asyncio.sleep(0.2)
        harness.voter_error = NotLeader()
        harness.consensus.is_leader = True
        harness.consensus.leader_address = lambda: harness.address
        unresponsive_leader.close()
        await call

    with pytest.raises((NotLeader, NoQuorum)) as caught:
        harness.run(scenario)
    assert caught.value.outcome is Outcome.UNKNOWN and harness.calls


def test_dump_of_this_vm_and_of_an_unknown_one():
    harness = Harness()
    assert json.loads(harness.call("Dump", operator_pb2.DumpRequest()).json) == {"a": 1}
    with pytest.raises(NotFound):
        harness.call("Dump", operator_pb2.DumpRequest(vm_id="typo"))


def test_unknown_service_raises_a_typed_error():
    with pytest.raises(UnknownService):
        Harness().call("GetService", operator_pb2.GetServiceRequest(name=""))
