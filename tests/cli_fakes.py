"""Fake operator service and fake HTTP server for the tests of the command line."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from grpclib.server import Server

from bramleycrank.exceptions import NotFound, Outcome, UnknownService, VersionConflict
from bramleycrank.proto import log_pb2, operator_pb2, peer_pb2, target_pb2
from bramleycrank.proto.operator_grpc import OperatorBase
from bramleycrank.transport.grpc_errors import unary

HOST = "127.0.0.1"
MEMBERSHIP = log_pb2.Membership(
    cluster_id="c", members=[log_pb2.Member(node_id="vm1/d1", host=HOST, port=7070, voter=True)]
)


def vm_status(vm_id, revision, *, reachable=True, current=True):
    """Return the status of one VM."""
    record = peer_pb2.VmRecord(
        vm_id=vm_id, state=peer_pb2.VM_STATE_ALIVE, domain="catania", host=HOST, port=7070
    )
    return operator_pb2.VmStatus(
        record=record,
        reachable=reachable,
        revision=revision,
        current=current,
        stale_ms=0 if current else 2500,
        role="follower",
    )


class FakeOperator(OperatorBase):
    """Stores services and records all requests."""

    def __init__(self):
        self.services = {}
        self.requests = []
        self.revision = 0
        self.replies_by_change_id = {}
        self.lagging_calls = 0

    def _record_request(self, request):
        self.requests.append(request)

    @unary
    async def ListServices(self, request):  # noqa: N802
        """Return all services."""
        return operator_pb2.ListServicesReply(
            services=self.services.values(), revision=self.revision
        )

    @unary
    async def GetService(self, request):  # noqa: N802
        """Return one service."""
        if request.name not in self.services:
            raise UnknownService(f"no service {request.name!r}", outcome=Outcome.NOT_RUN)
        return self.services[request.name]

    @unary
    async def ApplyChange(self, request):  # noqa: N802
        """Apply a change once for each change id, if the version is the expected one."""
        self._record_request(request)
        change = request.change
        if change.change_id not in self.replies_by_change_id:
            self.replies_by_change_id[change.change_id] = self._apply(change)
        return self.replies_by_change_id[change.change_id]

    def _apply(self, change):
        name = change.put_service.name or change.delete_service
        current = self.services[name].version if name in self.services else 0
        if current != change.expected_version:
            raise VersionConflict(f"{name} has version {current}", current_version=current)
        self.revision += 1
        if change.HasField("put_service"):
            change.put_service.version = self.revision
            self.services[name] = change.put_service
        else:
            del self.services[name]
        return operator_pb2.ChangeReply(revision=self.revision, version=self.revision)

    @unary
    async def Status(self, request):  # noqa: N802
        """Return two VMs that lag for some calls and one that is unreachable."""
        self.lagging_calls -= 1
        lagging = self.lagging_calls >= 0
        return operator_pb2.StatusReply(
            leader_revision=self.revision,
            leader_vm="vm1",
            vms=[
                vm_status("vm1", self.revision),
                vm_status("vm2", self.revision - lagging, current=not lagging),
                vm_status("vm3", 0, reachable=False),
            ],
            membership=MEMBERSHIP,
        )

    @unary
    async def ListTargets(self, request):  # noqa: N802
        """Return one target."""
        self._record_request(request)
        snapshot = target_pb2.Snapshot(version=3, shard_count=10)
        record = target_pb2.TargetRecord(
            target_id="archivio-4-0",
            service="archivio",
            state=target_pb2.TARGET_STATE_SERVING,
            incarnation=2**60,
            replicas=[target_pb2.Replica(snapshot=snapshot, shard=4)],
        )
        return operator_pb2.ListTargetsReply(targets=[record])

    async def _member(self, request):
        self._record_request(request)
        return operator_pb2.MembershipReply(membership=MEMBERSHIP)

    Bootstrap = AddVoter = RemoveVoter = ReplaceVoter = unary(_member)

    @unary
    async def DrainVm(self, request):  # noqa: N802
        """Accept the drain of vm1."""
        self._record_request(request)
        if request.vm_id != "vm1":
            raise NotFound(f"no VM is named {request.vm_id!r}", outcome=Outcome.NOT_RUN)
        return operator_pb2.ChangeReply(revision=8)

    @unary
    async def SetDomain(self, request):  # noqa: N802
        """Accept an order for catania."""
        self._record_request(request)
        if request.domain != "catania":
            raise NotFound(f"no failure domain is named {request.domain!r}")
        return operator_pb2.ChangeReply(revision=8)

    @unary
    async def ListDomains(self, request):  # noqa: N802
        """Return one evacuated domain."""
        status = operator_pb2.DomainStatus(
            domain="catania", evacuated=True, revision=8, vms=2, targets=5
        )
        return operator_pb2.ListDomainsReply(domains=[status])

    @unary
    async def Dump(self, request):  # noqa: N802
        """Return a small dump."""
        return operator_pb2.DumpReply(json=json.dumps({"vm": request.vm_id or "vm1"}))


class OperatorThread:
    """Runs a fake operator service on a separate thread."""

    def __init__(self, service):
        self._service = service
        self._loop = asyncio.new_event_loop()
        self._sock = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._sock.getsockname()[1]}"
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._loop.run_until_complete, args=(self._serve(),))

    def __enter__(self):
        self._thread.start()
        assert self._ready.wait(10)
        return self

    def __exit__(self, *exc):
        self._loop.call_soon_threadsafe(self._stopping.set)
        self._thread.join(10)
        self._loop.close()

    async def _serve(self):
        self._stopping = asyncio.Event()
        server = Server([self._service])
        await server.start(sock=self._sock)
        self._ready.set()
        await self._stopping.wait()
        server.close()
        await server.wait_closed()


class HttpThread:
    """Responds to each POST with the next given status and JSON, and records the bodies."""

    def __init__(self, *responses):
        self.bodies = bodies = []
        remaining = list(responses)

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):
                bodies.append(json.loads(self.rfile.read(int(self.headers["Content-Length"]))))
                status, content = remaining.pop(0)
                self.send_response(status)
                self.end_headers()
                self.wfile.write(content.encode())

            def log_message(self, *args):
                pass

        self._server = ThreadingHTTPServer((HOST, 0), Handler)
        self.address = f"{HOST}:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.02,))

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc):
        self._server.shutdown()
        self._server.server_close()
        self._thread.join(10)
