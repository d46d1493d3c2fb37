"""Owns this VM's part in the replicated log."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
import uuid
from collections.abc import Callable, Sequence

import attrs

from bramleycrank.consensus import RaftNode, Role
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
    """Runs the consensus core where this VM may vote, and forwards proposals everywhere.

    Parameters
    ----------
    identity : Identity
        Who and where this VM is.
    directory : Directory
        What gossip knows of VMs.
    clients : PeerClients
        Connections to other VMs.
    rng : random.Random
        Source of all randomness.
    metrics : Metrics, optional
        Receiver of metrics.
    traffic : Traffic, optional
        Counts the messages to other voters.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        clients: PeerClients,
        rng: random.Random,
        metrics: Metrics | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        self._metrics = metrics or NullMetrics()
        self.identity = identity
        self._directory = directory
        self._host = LogHost(
            identity,
            self.address_of,
            rng,
            self._metrics,
            self,
            on_reopened=self._notify,
            traffic=traffic,
        )
        self._callbacks: list[Callable[[], None]] = []
        self._floors = ClaimFloorProposer(self)
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
        """Open the log and start the core, if this VM may vote."""
        if self.identity.data_dir is None or not self.identity.vote:
            return
        self._host.open()
        self._floors.start()

    async def stop(self) -> None:
        """Stop the core and close the log."""
        self._floors.stop()
        self._host.stop()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the applied state, the role or the known leader."""
        self._callbacks.append(callback)

    # What this VM knows.

    @property
    def node_id(self) -> str:
        """Identity of this node in the log; empty if the VM may not vote."""
        return self._host.node_id

    @property
    def _runner(self) -> RaftRunner | None:
        """Driver of the core, on a VM that may vote."""
        return self._host.runner

    @property
    def state(self) -> ReplicatedState | None:
        """Replicated state as applied here, if this VM has a part in the log."""
        return self._runner.state if self._runner and self.membership else None

    @property
    def membership(self) -> log_pb2.Membership | None:
        """Newest membership in the log of this VM, if there is one."""
        if self._runner is None or not self._runner.node.membership.members:
            return None
        return self._runner.node.membership

    @property
    def _node(self) -> RaftNode | None:
        """The core while it runs; one that stopped after a failure knows nothing any more."""
        return self._runner.node if self._runner and not self._runner.failure else None

    @property
    def is_leader(self) -> bool:
        """Whether this VM believes that it leads."""
        return self._node is not None and self._node.role is Role.LEADER

    @property
    def role(self) -> str:
        """Role for operators: entry, learner, follower, candidate or leader."""
        members = self.membership.members if self.membership else ()
        if self._node is None or self.node_id not in {m.node_id for m in members}:
            return "entry"
        return str(self._node.role)

    def leader_address(self) -> str:
        """Return ``host:port`` of the leader as far as this VM knows, or an empty string."""
        if self._node is not None and self._node.leader_id:
            return self.address_of(self._node.leader_id) or ""
        return self._directory.leader_address()

    def leader_endpoint(self) -> tuple[str, int] | None:
        """Return host and port of the leader as this VM's own log knows it."""
        leader_id = self._node.leader_id if self._node else ""
        address = self.address_of(leader_id) if leader_id else None
        if not address:
            return None
        host, _, port = address.rpartition(":")
        return host.strip("[]"), int(port)

    def leader_vm(self) -> str:
        """Return the VM that leads as far as this VM's log knows, or an empty string."""
        return self._node.leader_id.partition("/")[0] if self._node else ""

    def address_of(self, node_id: str) -> str | None:
        """Return ``host:port`` of a node.

        Gossip goes before the log, because a VM may come back under another address.
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
        """Return what other VMs need to know to make this VM a voter."""
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
        """Return the state of this VM's part in the log in JSON form."""
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

    def confirmed_at(self) -> float | None:
        """Return the time before which the state holds every commit, or None if not leading."""
        return self._node.confirmed_at if self._node else None

    def member_silence_s(self) -> dict[str, float]:
        """Return the seconds since each other member answered this leader; empty elsewhere."""
        now = asyncio.get_running_loop().time()
        heard_at = self._node.members_last_reply_at if self._node else {}
        return {node_id: now - at for node_id, at in heard_at.items()}

    def leader_silence_s(self) -> float:
        """Return the seconds since this VM heard a leader; 0 where no core runs."""
        if self._node is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._node.heard_at

    # Commands and reads.

    async def propose(self, command: log_pb2.Command, timeout_s: float) -> log_pb2.CommandResult:
        """Commit a command through the leader, wherever it is.

        Raises
        ------
        NoQuorum
            The command was never put into a log and never will be.
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
            This VM does not lead; the command is in no log.
        ProposalOutcomeUnknown
            The command may still be committed.
        """
        future = self._leading_runner().propose(proposal_id, command)
        return await self._bounded(future, timeout_s, ProposalOutcomeUnknown)

    def require_leader(self) -> None:
        """Raise `NotLeader` unless this VM believes that it leads."""
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
            This VM does not lead.
        NoQuorum
            No quorum answered in time.
        """
        runner = self._leading_runner()
        return await self._bounded(runner.read_index(uuid.uuid4().hex), timeout_s, NoQuorum)

    async def change_membership(self, change: object, timeout_s: float) -> log_pb2.Membership:
        """Commit one change of the members as the leader; return the members after it."""
        future = self._leading_runner().change_membership(uuid.uuid4().hex, change)
        await self._bounded(future, timeout_s, ProposalOutcomeUnknown)
        return self.membership or log_pb2.Membership()

    async def transfer_leadership(self, timeout_s: float = 2.0) -> None:
        """Hand the leadership over and wait until another VM leads or the time is up."""
        if not self.is_leader or self._runner is None:
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.is_leader and loop.time() < deadline:
            # Without effect while a transfer is under way; the core gives a failed one up.
            self._runner.transfer_leadership()
            await asyncio.sleep(0.02)

    # Calls of other VMs.

    def on_message(self, message: log_pb2.ConsensusMessage) -> None:
        """Take a consensus message; replies are messages of their own."""
        if self._runner is not None:
            self._runner.receive(message)

    def on_bootstrap(self, membership: log_pb2.Membership) -> None:
        """Make this VM a first voter of a new cluster.

        Raises
        ------
        AlreadyBootstrapped
            The log of this VM belongs to another cluster.
        InvalidMembershipChange
            The members are no valid first ones or lack this VM.
        StorageError
            The data folder failed.
        """
        if self._runner is None:
            raise InvalidMembershipChange(f"{self.identity.vm_id} may not vote")
        known = self._runner.node.membership.cluster_id
        if known and known == membership.cluster_id and not self._runner.failure:
            return  # A resend after a lost answer.
        self._runner.bootstrap(membership)
        log.info("consensus: bootstrapped cluster %s", membership.cluster_id)
        self._notify()

    # Listener of the runner.

    def on_applied(self) -> None:
        """Tell subscribers that the state changed."""
        self._notify()

    def on_role(self) -> None:
        """Tell subscribers that the role or the leader changed."""
        self._role_changed.set()
        failure = self._runner.failure if self._runner else None
        if isinstance(failure, StorageError | OSError):
            self._host.reopen()
        self._notify()

    async def wait_role_change(self, timeout_s: float) -> None:
        """Wait until the role or the known leader changes, or the time is up."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._role_changed.wait(), timeout_s)
        self._role_changed.clear()

    def _notify(self) -> None:
        # The runner calls this between actions and would stop the core for good.
        notify(self._callbacks)

    def _leading_runner(self) -> RaftRunner:
        if self.is_leader:
            return self._runner
        address = self.leader_address()
        if not address and self.membership is None:
            raise NotBootstrapped(outcome=Outcome.NOT_RUN)
        raise NotLeader(leader_address="" if address == self.identity.address else address)

    async def _bounded(
        self, future: asyncio.Future, timeout_s: float, error: type[BramleycrankError]
    ) -> object:
        try:
            # Resends share the future, so the end of one caller's wait must not cancel it. The core
            # ends it in any case, at the latest when it loses the leadership.
            return await asyncio.wait_for(asyncio.shield(future), timeout_s)
        except TimeoutError:
            raise error(f"no answer of a quorum within {timeout_s:.1f} s") from None

    def _candidates(self) -> Sequence[str]:
        membership = self.membership
        members = membership.members if membership else ()
        addresses = [self.address_of(m.node_id) for m in members if m.node_id != self.node_id]
        return [a for a in addresses if a] or self._directory.addresses()
