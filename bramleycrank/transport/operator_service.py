"""The `Operator` service: handles the calls of the command-line tool."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, Protocol

from google.protobuf.message import Message

from bramleycrank.daemon.config_controller import ConfigController
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.identity import format_address
from bramleycrank.daemon.voter_changes import VoterChanges
from bramleycrank.exceptions import (
    BramleycrankError,
    InternalError,
    InvalidChange,
    NoQuorum,
    NotFound,
    NotLeader,
    Outcome,
    PeerUnreachable,
    VersionConflict,
)
from bramleycrank.membership.records import ENDED_STATES
from bramleycrank.proto import log_pb2, operator_pb2, peer_pb2, target_pb2
from bramleycrank.proto.operator_grpc import OperatorBase
from bramleycrank.transport.change_checks import check_change, check_known_fields, check_name
from bramleycrank.transport.grpc_errors import unary
from bramleycrank.transport.peer_client import PeerClients

CHANGE_TIMEOUT_S = 5.0
MEMBER_TIMEOUT_S = 30.0
DUMP_TIMEOUT_S = 5.0

# A VM that does not reply within this time is shown as unreachable.
STATUS_TIMEOUT_S = 1.0

# Delay between attempts while no leader is known.
RETRY_PAUSE_S = 0.1

# Interval at which a forwarded membership change checks for another leader.
LEADER_CHECK_S = 0.5

# Requests to drain a VM or to evacuate a domain carry no version, so a conflict with another change
# of the same object is retried; conflicts are rare.
CHANGE_ATTEMPTS = 5


class Directory(Protocol):
    """Known VMs and targets; implemented by the membership controller."""

    def all_vms(self) -> Sequence[peer_pb2.VmRecord]:
        """Return the records of all known VMs, including this one and those that left or died."""

    def all_targets(self) -> Sequence[target_pb2.TargetRecord]:
        """Return the records of all targets."""


def change_reply(result: log_pb2.CommandResult) -> operator_pb2.ChangeReply:
    """Return the reply to a committed change.

    Raises
    ------
    VersionConflict, NotFound, InvalidChange
        The change was committed, but the replicated state rejected it.
    """
    match result.code:
        case log_pb2.RESULT_CODE_OK:
            return operator_pb2.ChangeReply(revision=result.revision, version=result.version)
        case log_pb2.RESULT_CODE_VERSION_CONFLICT:
            raise VersionConflict(result.message, current_version=result.version)
        case log_pb2.RESULT_CODE_NOT_FOUND:
            raise NotFound(result.message)
        case log_pb2.RESULT_CODE_INVALID:
            raise InvalidChange(result.message)
    raise InternalError(f"unexpected result {result.code} of a change")


class OperatorService(OperatorBase):
    """Serves operators on every VM; forwards changes to the leader.

    Parameters
    ----------
    config : ConfigController
        The configuration in force.
    consensus : ConsensusController
        Replicated log of this VM.
    directory : Directory
        Known VMs and targets.
    voters : VoterChanges
        Adds, removes and replaces voters.
    clients : PeerClients
        Connections to other VMs.
    dump : callable
        Returns the JSON-ready state of this VM.

    Attributes
    ----------
    in_flight : int
        Number of changes without a reply yet.
    """

    def __init__(
        self,
        config: ConfigController,
        consensus: ConsensusController,
        directory: Directory,
        voters: VoterChanges,
        clients: PeerClients,
        dump: Callable[[], dict[str, Any]],
    ) -> None:
        self._config = config
        self._consensus = consensus
        self._directory = directory
        self._voters = voters
        self._clients = clients
        self._dump = dump
        self._identity = consensus.identity
        self.in_flight = 0

    # Configuration.

    @unary
    async def ListServices(  # noqa: N802
        self, request: operator_pb2.ListServicesRequest
    ) -> operator_pb2.ListServicesReply:
        """Return all services in force on this VM."""
        return operator_pb2.ListServicesReply(
            services=self._config.services(), revision=self._config.revision
        )

    @unary
    async def GetService(  # noqa: N802
        self, request: operator_pb2.GetServiceRequest
    ) -> log_pb2.ServiceConfig:
        """Return one service in force on this VM."""
        return self._config.service(request.name)

    @unary
    async def ApplyChange(  # noqa: N802
        self, request: operator_pb2.ChangeRequest
    ) -> operator_pb2.ChangeReply:
        """Commit a change; a repeated change id gets the reply of the first call."""
        check_known_fields(request, "request")
        check_change(request.change)
        timeout_s = request.timeout_ms / 1000 or CHANGE_TIMEOUT_S
        return await self._commit(request.change, timeout_s)

    @unary
    async def DrainVm(  # noqa: N802
        self, request: operator_pb2.DrainRequest
    ) -> operator_pb2.ChangeReply:
        """Commit that a VM is drained, or that its drain ends.

        The change id of each attempt is derived from that of the operator, so a repeated call gets
        the same results in the same order.
        """
        check_name(request.vm_id, "vm_id")
        check_name(request.change_id, "change_id")
        current = self._config.vm(request.vm_id)
        if current is None and request.vm_id not in self._vm_records():
            raise NotFound(f"no VM is named {request.vm_id!r}")
        vm = log_pb2.VmConfig(vm_id=request.vm_id, drained=request.drained)
        version = current.version if current else 0
        return await self._commit_over_any_version(request.change_id, version, put_vm=vm)

    @unary
    async def SetDomain(  # noqa: N802
        self, request: operator_pb2.DomainRequest
    ) -> operator_pb2.ChangeReply:
        """Commit that a failure domain is evacuated, or that its evacuation ends.

        The change id tells a repeated call from a new order, as for `DrainVm`.
        """
        check_name(request.domain, "domain")
        check_name(request.change_id, "change_id")
        current = self._config.domain(request.domain)
        if not current.version and request.domain not in self._domain_names():
            raise NotFound(f"no failure domain is named {request.domain!r}")
        domain = log_pb2.DomainConfig()
        domain.CopyFrom(current)
        domain.evacuated = request.evacuated
        return await self._commit_over_any_version(
            request.change_id, current.version, put_domain=domain
        )

    @unary
    async def ListDomains(  # noqa: N802
        self, request: operator_pb2.ListDomainsRequest
    ) -> operator_pb2.ListDomainsReply:
        """Return the failure domains that this VM knows."""
        vms = Counter(record.domain for record in self._vm_records().values())
        targets = Counter(
            record.domain
            for record in self._directory.all_targets()
            if record.state not in ENDED_STATES
        )
        configs = map(self._config.domain, sorted(self._domain_names()))
        return operator_pb2.ListDomainsReply(
            domains=[
                operator_pb2.DomainStatus(
                    domain=item.domain,
                    evacuated=item.evacuated,
                    revision=item.version,
                    vms=vms[item.domain],
                    targets=targets[item.domain],
                )
                for item in configs
            ]
        )

    def _domain_names(self) -> set[str]:
        """Return the domains of all known VMs and targets, and those with an order."""
        records = (*self._vm_records().values(), *self._directory.all_targets())
        ordered = (item.domain for item in self._config.domains())
        return {*(record.domain for record in records if record.domain), *ordered}

    async def _commit_over_any_version(
        self, change_id: str, version: int, **body: Message
    ) -> operator_pb2.ChangeReply:
        """Commit a change of an object whatever its version; retry when another change is first."""
        for attempt in range(CHANGE_ATTEMPTS):
            attempt_id = f"{change_id}/{attempt}" if attempt else change_id
            change = log_pb2.Change(change_id=attempt_id, expected_version=version, **body)
            try:
                return await self._commit(change, CHANGE_TIMEOUT_S)
            except VersionConflict as exc:
                version, conflict = exc.current_version, exc
        raise conflict

    async def _commit(self, change: log_pb2.Change, timeout_s: float) -> operator_pb2.ChangeReply:
        command = log_pb2.Command(change=change)
        with self._count_in_flight():
            try:
                result = await self._consensus.propose(command, timeout_s)
            except BramleycrankError as exc:
                # The change of an earlier call with the same id may have been committed.
                exc.outcome = Outcome.UNKNOWN
                raise
        return change_reply(result)

    @contextlib.contextmanager
    def _count_in_flight(self) -> Iterator[None]:
        """Count a change as in flight, so that a graceful shutdown can wait for it."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    # Status.

    @unary
    async def Status(  # noqa: N802
        self, request: operator_pb2.StatusRequest
    ) -> operator_pb2.StatusReply:
        """Return the state of each VM, with the revision in force on it."""
        reply = operator_pb2.StatusReply(
            leader_revision=self._config.status().leader_revision,
            leader_vm=self._consensus.leader_vm(),
            vms=[self._own_status()],
            membership=self._consensus.membership,
        )
        if not request.local:
            await self._add_remote_statuses(reply)
        return reply

    async def _add_remote_statuses(self, reply: operator_pb2.StatusReply) -> None:
        """Add the status of all other VMs; the membership of the leader takes precedence."""
        others = [r for vm_id, r in self._vm_records().items() if vm_id != self._identity.vm_id]
        replies = await asyncio.gather(*(self._fetch_status(record) for record in others))
        for record, vm_reply in zip(others, replies, strict=True):
            status = reply.vms.add(record=record)
            if vm_reply is None or not vm_reply.vms:
                continue
            status.CopyFrom(vm_reply.vms[0])
            status.reachable = True
            status.record.CopyFrom(record)
            reply.leader_revision = max(reply.leader_revision, vm_reply.leader_revision)
            if vm_reply.membership.members and (
                status.role == "leader" or not reply.membership.members
            ):
                reply.membership.CopyFrom(vm_reply.membership)
        leaders = [status.record.vm_id for status in reply.vms if status.role == "leader"]
        reply.leader_vm = leaders[0] if len(leaders) == 1 else reply.leader_vm

    async def _fetch_status(self, record: peer_pb2.VmRecord) -> operator_pb2.StatusReply | None:
        if record.state == peer_pb2.VM_STATE_LEFT:
            return None
        stub = self._clients.operator_stub(format_address(record.host, record.port))
        try:
            request = operator_pb2.StatusRequest(local=True)
            vm_reply = await stub.Status(request, timeout=STATUS_TIMEOUT_S)
        except BramleycrankError:
            return None
        # Another VM may use the address now.
        same = any(status.record.vm_id == record.vm_id for status in vm_reply.vms)
        return vm_reply if same else None

    def _own_status(self) -> operator_pb2.VmStatus:
        return operator_pb2.VmStatus(
            record=self._vm_records().get(self._identity.vm_id),
            reachable=True,
            revision=self._config.revision,
            stale_ms=self._config.stale_ms(),
            current=self._config.is_current(),
            role=self._consensus.role,
        )

    def _vm_records(self) -> dict[str, peer_pb2.VmRecord]:
        """Return the VMs known from gossip or the log; gossip drops long-dead VMs."""
        records = {record.vm_id: record for record in self._directory.all_vms()}
        membership = self._consensus.membership
        for member in membership.members if membership else ():
            vm_id = member.node_id.partition("/")[0]
            records.setdefault(
                vm_id,
                peer_pb2.VmRecord(
                    vm_id=vm_id, domain=member.domain, host=member.host, port=member.port
                ),
            )
        return records

    @unary
    async def ListTargets(  # noqa: N802
        self, request: operator_pb2.ListTargetsRequest
    ) -> operator_pb2.ListTargetsReply:
        """Return the targets known to this VM."""
        records = self._directory.all_targets()
        wanted = [r for r in records if request.service in ("", r.service)]
        return operator_pb2.ListTargetsReply(targets=wanted)

    @unary
    async def Dump(self, request: operator_pb2.DumpRequest) -> operator_pb2.DumpReply:  # noqa: N802
        """Return the state of this VM or of another one."""
        if request.vm_id in ("", self._identity.vm_id):
            return operator_pb2.DumpReply(json=json.dumps(self._dump(), default=str))
        record = self._vm_records().get(request.vm_id)
        if record is None:
            raise NotFound(f"no VM is named {request.vm_id!r}")
        stub = self._clients.operator_stub(format_address(record.host, record.port))
        return await stub.Dump(request, timeout=DUMP_TIMEOUT_S)

    # Voters.

    @unary
    async def Bootstrap(  # noqa: N802
        self, request: operator_pb2.BootstrapRequest
    ) -> operator_pb2.MembershipReply:
        """Form a cluster from VMs with empty data directories."""
        membership = await self._voters.bootstrap(list(request.addresses))
        return operator_pb2.MembershipReply(membership=membership)

    @unary
    async def AddVoter(  # noqa: N802
        self, request: operator_pb2.MemberRequest
    ) -> operator_pb2.MembershipReply:
        """Add a voter."""
        return await self._run_on_leader(
            "AddVoter", request, lambda remaining_s: self._voters.add(request.address, remaining_s)
        )

    @unary
    async def RemoveVoter(  # noqa: N802
        self, request: operator_pb2.MemberRequest
    ) -> operator_pb2.MembershipReply:
        """Remove a voter or learner."""
        return await self._run_on_leader(
            "RemoveVoter",
            request,
            lambda remaining_s: self._voters.remove(request.node_id, remaining_s),
        )

    @unary
    async def ReplaceVoter(  # noqa: N802
        self, request: operator_pb2.MemberRequest
    ) -> operator_pb2.MembershipReply:
        """Add a voter, and remove another one after the first is promoted."""
        return await self._run_on_leader(
            "ReplaceVoter",
            request,
            lambda remaining_s: self._voters.replace(request.address, request.node_id, remaining_s),
        )

    async def _run_on_leader(
        self,
        method: str,
        request: operator_pb2.MemberRequest,
        local: Callable[[float], Awaitable[log_pb2.Membership]],
    ) -> operator_pb2.MembershipReply:
        """Run a membership change on the leader; retry it if the leader changes."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (request.timeout_ms / 1000 or MEMBER_TIMEOUT_S)
        error: BramleycrankError = NoQuorum("no leader is known")
        outcome = Outcome.NOT_RUN
        while (remaining_s := deadline - loop.time()) > 0:
            try:
                with self._count_in_flight():
                    return await self._attempt(method, request, local, remaining_s)
            except BramleycrankError as exc:
                # An earlier attempt may have run, even if the last one did not.
                if exc.outcome is Outcome.UNKNOWN:
                    outcome = Outcome.UNKNOWN
                error, exc.outcome = exc, outcome
                if request.forwarded or not isinstance(exc, NotLeader | NoQuorum):
                    raise
            await asyncio.sleep(min(RETRY_PAUSE_S, remaining_s))
        raise error

    async def _attempt(
        self,
        method: str,
        request: operator_pb2.MemberRequest,
        local: Callable[[float], Awaitable[log_pb2.Membership]],
        timeout_s: float,
    ) -> operator_pb2.MembershipReply:
        if self._consensus.is_leader or request.forwarded:
            return operator_pb2.MembershipReply(membership=await local(timeout_s))
        return await self._forward(method, request, timeout_s)

    async def _forward(
        self, method: str, request: operator_pb2.MemberRequest, timeout_s: float
    ) -> operator_pb2.MembershipReply:
        address = self._consensus.leader_address()
        if address in ("", self._identity.address):
            raise NoQuorum("no leader is known", outcome=Outcome.NOT_RUN)
        forwarded = operator_pb2.MemberRequest(
            address=request.address,
            node_id=request.node_id,
            timeout_ms=max(1, int(timeout_s * 1000)),
            forwarded=True,
        )
        stub = self._clients.operator_stub(address)
        call = asyncio.ensure_future(getattr(stub, method)(forwarded, timeout=timeout_s))
        try:
            while not (await asyncio.wait([call], timeout=LEADER_CHECK_S))[0]:
                # An unresponsive leader would use up the timeout; the change is safe to retry.
                if self._consensus.leader_address() not in ("", address):
                    raise NoQuorum("the leader changed before it replied")
            return await call
        except PeerUnreachable as exc:
            text = f"the leader does not reply: {exc}"
            raise NoQuorum(text, outcome=exc.outcome) from exc
        finally:
            call.cancel()
