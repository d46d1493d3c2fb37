"""Runs the copy of the replicated log on this VM, if it has one, and routes proposals."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
import uuid
from collections.abc import Callable, Sequence

import attrs

from bramleycrank.consensus import LogBounds, RaftNode, Role
from bramleycrank.daemon.claim_floors import ClaimFloorProposer
from bramleycrank.daemon.explain import explain_role, lagging_members
from bramleycrank.daemon.identity import Directory, Identity, format_address
from bramleycrank.daemon.log_host import LogHost
from bramleycrank.daemon.proposal_router import ProposalRouter
from bramleycrank.daemon.raft_runner import RaftRunner
from bramleycrank.daemon.subscribers import notify
from bramleycrank.exceptions import (
    BramleycrankError,
    InvalidMembershipChange,
    NoQuorum,
    NotBootstrapped,
    NotLeader,
    Outcome,
    ProposalOutcomeUnknown,
    StorageError,
)
from bramleycrank.observability.metrics import Metrics, NullMetrics
from bramleycrank.observability.traffic import Traffic
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.state import ReplicatedState
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)


class ConsensusController:
    """Runs the Raft node if this VM may vote, and sends proposals to the leader on every VM.

    Parameters
    ----------
    identity : Identity
        Id, failure domain and address of this VM, and whether it may vote.
    directory : Directory
        Addresses of VMs and of the leader according to gossip.
    clients : PeerClients
        Connections to other VMs.
    rng : random.Random
        Source of all randomness.
    metrics : Metrics, optional
        Receiver of metrics.
    traffic : Traffic, optional
        Counts the messages to other members of the log.
    bounds : LogBounds, optional
        Bounds on the bytes of the log.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        clients: PeerClients,
        rng: random.Random,
        metrics: Metrics | None = None,
        traffic: Traffic | None = None,
        bounds: LogBounds | None = None,
    ) -> None:
        self._metrics = metrics or NullMetrics()
        self.identity = identity
        self._directory = directory
        self._log_host = LogHost(
            identity,
            self.address_of,
            rng,
            self._metrics,
            self,
            on_reopened=self._notify,
            traffic=traffic,
            bounds=bounds or LogBounds(),
        )
        self._callbacks: list[Callable[[], None]] = []
        self._floor_proposer = ClaimFloorProposer(self)
        self._role_changed = asyncio.Event()
        self._router = ProposalRouter(
            identity.address,
            self.propose_local,
            self.leader_address,
            self._candidates,
            clients,
            rng,
        )

    async def start(self) -> None:
        """Open the log and start the Raft node, if this VM may vote."""
        if self.identity.data_dir is None or not self.identity.vote:
            return
        self._log_host.open()
        self._floor_proposer.start()

    async def stop(self) -> None:
        """Stop the Raft node and close the log."""
        self._floor_proposer.stop()
        self._log_host.stop()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the applied state, the role or the known leader."""
        self._callbacks.append(callback)

    # State of the log on this VM.

    @property
    def node_id(self) -> str:
        """Id of the Raft node of this VM; empty if the VM may not vote."""
        return self._log_host.node_id

    @property
    def _runner(self) -> RaftRunner | None:
        """Runner of the Raft node, on a VM that may vote."""
        return self._log_host.runner

    @property
    def state(self) -> ReplicatedState | None:
        """Replicated state as applied on this VM, if its log has members."""
        return self._runner.state if self._runner and self.membership else None

    @property
    def membership(self) -> log_pb2.Membership | None:
        """Newest membership in the log of this VM, if there is one."""
        if self._runner is None or not self._runner.node.membership.members:
            return None
        return self._runner.node.membership

    @property
    def _node(self) -> RaftNode | None:
        """The Raft node while it runs; None after a failure, when its state may be out of date."""
        return self._runner.node if self._runner and not self._runner.failure else None

    @property
    def is_leader(self) -> bool:
        """Whether the Raft node of this VM has the role of leader; a newer leader may exist."""
        return self._node is not None and self._node.role is Role.LEADER

    @property
    def leader_term(self) -> int:
        """Term in which the Raft node of this VM has the role of leader; 0 if it has not."""
        return self._node.term if self.is_leader else 0

    @property
    def role(self) -> str:
        """Role shown to operators: entry, learner, follower, candidate or leader."""
        members = self.membership.members if self.membership else ()
        if self._node is None or self.node_id not in {m.node_id for m in members}:
            return "entry"
        return str(self._node.role)

    def leader_address(self) -> str:
        """Return ``host:port`` of the leader known to the log or to gossip, or an empty string."""
        if self._node is not None and self._node.leader_id:
            return self.address_of(self._node.leader_id) or ""
        return self._directory.leader_address()

    def leader_endpoint(self) -> tuple[str, int] | None:
        """Return host and port of the leader known to the Raft node of this VM, or None."""
        leader_id = self._node.leader_id if self._node else ""
        address = self.address_of(leader_id) if leader_id else None
        if not address:
            return None
        host, _, port = address.rpartition(":")
        return host.strip("[]"), int(port)

    def leader_vm(self) -> str:
        """Return the id of the VM that the Raft node knows as the leader, or an empty string."""
        return self._node.leader_id.partition("/")[0] if self._node else ""

    def address_of(self, node_id: str) -> str | None:
        """Return ``host:port`` of a node.

        Gossip takes precedence over the log, because a VM may restart at another address.
        """
        vm_id = node_id.partition("/")[0]
        if vm_id == self.identity.vm_id:
            return self.identity.address
        known = self._directory.vm_address(vm_id)
        if known:
            return known
        members = self.membership.members if self.membership else ()
        member = next((m for m in members if m.node_id == node_id), None)
        return format_address(member.host, member.port) if member else None

    def on_identity(self) -> peer_pb2.IdentityReply:
        """Return the identity that other VMs need to make this VM a voter."""
        node = self._runner.node if self._runner else None
        return peer_pb2.IdentityReply(
            vm_id=self.identity.vm_id,
            node_id=self.node_id,
            cluster_id=node.membership.cluster_id if node else "",
            host=self.identity.host,
            port=self.identity.port,
            domain=self.identity.domain,
            last_index=node.last_index if node else 0,
        )

    def dump(self) -> dict[str, object]:
        """Return the state of the log on this VM in JSON form."""
        core = self._runner.node.dump() if self._runner else None
        failure = self._runner.failure if self._runner else None
        now = asyncio.get_running_loop().time()
        return {
            "role": self.role,
            "why": explain_role(self.role, self.identity.vote, failure, core),
            "lagging_members": lagging_members(core, now),
            "node_id": self.node_id,
            "may_vote": self.identity.vote,
            "leader_address": self.leader_address(),
            "router": attrs.asdict(self._router.stats),
            "log": self._runner.dump() if self._runner else None,
        }

    def report_bytes(self) -> None:
        """Set the gauges of the bytes that the log holds, on a VM that has one."""
        if self._runner is not None:
            self._runner.report_bytes()

    @property
    def has_log(self) -> bool:
        """Whether this VM has a copy of the replicated log."""
        return self._runner is not None

    @property
    def applied_index(self) -> int:
        """Index of the last entry of the log that the state includes; 0 without a log."""
        return self._runner.applied_index if self._runner else 0

    def has_left(self, target_id: str, incarnation: int) -> bool:
        """Return whether a target has left according to the log of this VM, committed or not."""
        return self._runner is not None and self._runner.has_left(target_id, incarnation)

    def confirmed_at(self) -> float | None:
        """Return the time up to which the state includes every commit, or None if not leading."""
        return self._node.confirmed_at if self._node else None

    def member_silence_s(self) -> dict[str, float]:
        """Return the seconds since each other member last replied; empty if not leading."""
        now = asyncio.get_running_loop().time()
        replied_at = self._node.members_last_reply_at if self._node else {}
        return {node_id: now - at for node_id, at in replied_at.items()}

    def unsynced_members(self) -> frozenset[str]:
        """Return the members that have acknowledged no entry to this leader."""
        return self._node.unsynced_members if self._node else frozenset()

    def leader_silence_s(self) -> float:
        """Return the seconds since the last message of a leader; 0 if no Raft node runs."""
        if self._node is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._node.heard_at

    # Commands and reads.

    async def propose(self, command: log_pb2.Command, timeout_s: float) -> log_pb2.CommandResult:
        """Commit a command through the leader, which may be another VM.

        Raises
        ------
        NoQuorum
            The command is in no log and will not be committed.
        ProposalOutcomeUnknown
            The command may still be committed.
        """
        started = time.monotonic()
        try:
            return await self._router.propose(command, timeout_s)
        finally:
            self._metrics.timing("consensus.propose", time.monotonic() - started)

    async def propose_local(
        self, proposal_id: str, command: log_pb2.Command, timeout_s: float
    ) -> log_pb2.CommandResult:
        """Commit a command as the leader.

        Raises
        ------
        NotLeader
            This VM is not the leader; the command is in no log.
        ProposalOutcomeUnknown
            The command may still be committed.
        """
        future = self._leading_runner().propose(proposal_id, command)
        return await self._wait_for_result(future, timeout_s, ProposalOutcomeUnknown)

    def require_leader(self) -> None:
        """Raise `NotLeader` unless the Raft node of this VM is the leader."""
        self._leading_runner()

    async def confirm_read(self, timeout_s: float) -> int:
        """Have a quorum confirm that this VM leads and wait until its state is up to date.

        Returns
        -------
        int
            Index of the log that the state now covers.

        Raises
        ------
        NotLeader
            This VM is not the leader.
        NoQuorum
            No quorum replied in time.
        """
        runner = self._leading_runner()
        return await self._wait_for_result(runner.read_index(uuid.uuid4().hex), timeout_s, NoQuorum)

    async def change_membership(self, change: object, timeout_s: float) -> log_pb2.Membership:
        """Commit one change of the members as the leader; return the new membership."""
        future = self._leading_runner().change_membership(uuid.uuid4().hex, change)
        await self._wait_for_result(future, timeout_s, ProposalOutcomeUnknown)
        return self.membership or log_pb2.Membership()

    async def transfer_leadership(self, timeout_s: float = 2.0) -> None:
        """Transfer the leadership; wait until another VM leads, for at most `timeout_s` seconds."""
        if not self.is_leader or self._runner is None:
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.is_leader and loop.time() < deadline:
            # Has no effect while a transfer is in progress; the Raft node aborts one that failed.
            self._runner.transfer_leadership()
            await asyncio.sleep(0.02)

    # Calls of other VMs.

    def on_message(self, message: log_pb2.ConsensusMessage) -> None:
        """Process a consensus message; a reply to it is sent as a separate message."""
        if self._runner is not None:
            self._runner.receive(message)

    def on_bootstrap(self, membership: log_pb2.Membership) -> None:
        """Make this VM a first voter of a new cluster.

        Raises
        ------
        AlreadyBootstrapped
            The log of this VM belongs to another cluster.
        InvalidMembershipChange
            The members are not valid for a new cluster, or this VM is not among them.
        StorageError
            Writing to the data folder failed.
        """
        if self._runner is None:
            raise InvalidMembershipChange(f"{self.identity.vm_id} may not vote")
        known = self._runner.node.membership.cluster_id
        if known and known == membership.cluster_id and not self._runner.failure:
            return  # A resend: the reply to the first call was lost.
        self._runner.bootstrap(membership)
        log.info("consensus: bootstrapped cluster %s", membership.cluster_id)
        self._notify()

    # Listener of the runner.

    def on_applied(self) -> None:
        """Notify subscribers that the state changed."""
        self._notify()

    def on_role(self) -> None:
        """Notify subscribers that the role or the leader changed; reopen the log if it failed."""
        self._role_changed.set()
        failure = self._runner.failure if self._runner else None
        if isinstance(failure, StorageError | OSError):
            self._log_host.reopen()
        self._notify()

    async def wait_role_change(self, timeout_s: float) -> None:
        """Wait until the role or the known leader changes, for at most `timeout_s` seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._role_changed.wait(), timeout_s)
        self._role_changed.clear()

    def _notify(self) -> None:
        # The runner calls this between actions and would stop the Raft node permanently after an
        # exception, so `notify` catches those of the callbacks.
        notify(self._callbacks)

    def _leading_runner(self) -> RaftRunner:
        if self.is_leader:
            return self._runner
        address = self.leader_address()
        if not address and self.membership is None:
            raise NotBootstrapped(outcome=Outcome.NOT_RUN)
        raise NotLeader(leader_address="" if address == self.identity.address else address)

    async def _wait_for_result(
        self, future: asyncio.Future, timeout_s: float, error: type[BramleycrankError]
    ) -> object:
        try:
            # Resends share the future, so a timeout of one caller must not cancel it. The Raft node
            # always resolves it, at the latest when it loses the leadership.
            return await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            raise error(f"no quorum replied within {timeout_s:.1f} s") from None

    def _candidates(self) -> Sequence[str]:
        membership = self.membership
        members = membership.members if membership else ()
        addresses = [self.address_of(m.node_id) for m in members if m.node_id != self.node_id]
        return [a for a in addresses if a] or self._directory.addresses()
