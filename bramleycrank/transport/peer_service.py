"""The `Peer` service: handles the calls of other VMs."""

from __future__ import annotations

from typing import Protocol

from bramleycrank.daemon.config_controller import ConfigController
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.exceptions import InvalidMembershipChange, InvalidRequest, Outcome
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.proto.peer_grpc import PeerBase
from bramleycrank.transport.grpc_errors import unary

DEFAULT_PROPOSE_TIMEOUT_S = 5.0


class Gossip(Protocol):
    """Handles probes and anti-entropy exchanges; implemented by the membership controller."""

    async def on_probe(self, request: peer_pb2.ProbeRequest) -> peer_pb2.ProbeReply:
        """Return the reply to a probe."""

    async def on_sync(self, request: peer_pb2.SyncRequest) -> peer_pb2.SyncReply:
        """Return the reply to one round of an exchange."""


class Admission(Protocol):
    """Admits VMs to the replicated log."""

    async def on_join(self, identity: peer_pb2.IdentityReply) -> None:
        """Handle a VM's request to become a member."""


class Grants(Protocol):
    """Issues allowances of customers."""

    async def on_grant(self, request: peer_pb2.GrantRequest) -> peer_pb2.GrantReply:
        """Return the grants for a holder's request."""


class PeerService(PeerBase):
    """Delegates the calls of other VMs to the controllers.

    Parameters
    ----------
    gossip : Gossip
        The membership controller.
    config : ConfigController
        Returns the configuration in force.
    consensus : ConsensusController
        Replicated log of this VM.
    admission : Admission, optional
        Admits VMs to the log automatically; without it only operators admit them.
    grants : Grants, optional
        Issues allowances of customers.
    """

    def __init__(
        self,
        gossip: Gossip,
        config: ConfigController,
        consensus: ConsensusController,
        admission: Admission | None = None,
        grants: Grants | None = None,
    ) -> None:
        self._grants = grants
        self._admission = admission
        self._gossip = gossip
        self._config = config
        self._consensus = consensus

    @unary
    async def Probe(self, request: peer_pb2.ProbeRequest) -> peer_pb2.ProbeReply:  # noqa: N802
        """Reply to a probe, or probe a third VM on behalf of the sender."""
        return await self._gossip.on_probe(request)

    @unary
    async def Sync(self, request: peer_pb2.SyncRequest) -> peer_pb2.SyncReply:  # noqa: N802
        """Reply to one round of an anti-entropy exchange."""
        return await self._gossip.on_sync(request)

    @unary
    async def FetchConfig(  # noqa: N802
        self, request: peer_pb2.FetchConfigRequest
    ) -> peer_pb2.FetchConfigReply:
        """Return the deltas to the configuration in force, or its full image."""
        return await self._config.on_fetch(request)

    @unary
    async def Propose(self, request: peer_pb2.ProposeRequest) -> peer_pb2.ProposeReply:  # noqa: N802
        """Commit a command on the leader; a VM that is not the leader does not forward it."""
        if not request.proposal_id:
            # An empty id would match the log entries that have none.
            raise InvalidRequest("the proposal has no id", outcome=Outcome.NOT_RUN)
        timeout_s = request.timeout_ms / 1000 or DEFAULT_PROPOSE_TIMEOUT_S
        result = await self._consensus.propose_local(
            request.proposal_id, request.command, timeout_s
        )
        return peer_pb2.ProposeReply(result=result)

    @unary
    async def Consensus(self, request: log_pb2.ConsensusMessage) -> peer_pb2.Ack:  # noqa: N802
        """Pass a message to the consensus core, which sends its reply as a separate call."""
        self._consensus.on_message(request)
        return peer_pb2.Ack()

    @unary
    async def Identity(self, request: peer_pb2.IdentityRequest) -> peer_pb2.IdentityReply:  # noqa: N802
        """Return the identity of this VM."""
        return self._consensus.on_identity()

    @unary
    async def Bootstrap(self, request: peer_pb2.BootstrapRequest) -> peer_pb2.BootstrapReply:  # noqa: N802
        """Make this VM one of the first voters of a new cluster."""
        self._consensus.on_bootstrap(request.membership)
        return peer_pb2.BootstrapReply()

    @unary
    async def Join(self, request: peer_pb2.JoinRequest) -> peer_pb2.Ack:  # noqa: N802
        """Handle a VM's request to become a member of the replicated log."""
        if self._admission is None:
            raise InvalidMembershipChange("automatic admission is off; an operator must add the VM")
        await self._admission.on_join(request.identity)
        return peer_pb2.Ack()

    @unary
    async def Grant(self, request: peer_pb2.GrantRequest) -> peer_pb2.GrantReply:  # noqa: N802
        """Return the grants for a VM that serves callers."""
        if self._grants is None:
            raise InvalidRequest("this VM grants no allowances", outcome=Outcome.NOT_RUN)
        return await self._grants.on_grant(request)
