"""Forms a cluster and changes its voters on behalf of operators."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import uuid
from collections.abc import Iterator, Sequence

from bramleycrank.consensus import MAX_VOTERS, AddLearner, Promote, Remove
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.exceptions import (
    AlreadyBootstrapped,
    BramleycrankError,
    InvalidMembershipChange,
    LearnerNotCaughtUp,
    MembershipChangeInProgress,
    NotFound,
    NotLeader,
    Outcome,
    PeerUnreachable,
)
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.settings import Address
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

IDENTITY_TIMEOUT_S = 2.0
BOOTSTRAP_TIMEOUT_S = 5.0

# Interval at which a delayed change is retried, in seconds.
RETRY_DELAY_S = 0.1

# Namespace of the cluster identifiers. The value is arbitrary but must not change.
CLUSTER_NAMESPACE = uuid.UUID("5f6c2a0e-6d0b-4c62-9a1e-0c5b1f3a7d11")


def cluster_id_of(node_ids: Sequence[str]) -> str:
    """Return the identifier of the cluster that a set of first voters forms.

    It depends on the voters only. A bootstrap that is sent again after its reply was lost names the
    same cluster, and a bootstrap with other voters names another one.
    """
    return str(uuid.uuid5(CLUSTER_NAMESPACE, "\n".join(sorted(node_ids))))


class VoterChanges:
    """Carries out operators' changes of the voters.

    Each change of the members runs on the leader and may be sent again: it continues where the
    earlier call stopped.

    Parameters
    ----------
    consensus : ConsensusController
        The consensus node of this VM.
    clients : PeerClients
        Connections to other VMs.
    """

    def __init__(self, consensus: ConsensusController, clients: PeerClients) -> None:
        self._consensus = consensus
        self._clients = clients

    async def bootstrap(self, addresses: Sequence[str]) -> log_pb2.Membership:
        """Form a cluster of VMs with empty data folders.

        Raises
        ------
        InvalidMembershipChange
            There are too many voters, one is repeated or has no data folder, or this VM is missing.
        AlreadyBootstrapped
            One of the VMs belongs to another cluster.
        PeerUnreachable
            One of the VMs did not respond; the call may be sent again.
        """
        _check_addresses(addresses)
        voters = await asyncio.gather(*(self._identity_of(address) for address in addresses))
        _check_voters(voters, self._consensus.identity.vm_id)
        members = [_member(voter, voter=True) for voter in voters]
        cluster_id = cluster_id_of([member.node_id for member in members])
        for voter in voters:
            if voter.cluster_id not in ("", cluster_id):
                raise AlreadyBootstrapped(f"{voter.vm_id} already belongs to a cluster")
        membership = log_pb2.Membership(cluster_id=cluster_id, members=members)
        request = peer_pb2.BootstrapRequest(membership=membership)
        await asyncio.gather(*(self._bootstrap_one(address, request) for address in addresses))
        return membership

    async def add(self, address: str, timeout_s: float) -> log_pb2.Membership:
        """Add a VM as a learner and promote it once its log has caught up.

        Raises
        ------
        InvalidMembershipChange
            The VM may not vote, or there are too many voters.
        LearnerNotCaughtUp
            The log did not catch up in time; the VM stays a learner and the call may be sent again.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        newcomer = await self._newcomer(address)
        membership = await self._membership()
        vm_id = newcomer.vm_id
        for member in membership.members:
            if member.node_id.startswith(f"{vm_id}/") and member.node_id != newcomer.node_id:
                raise InvalidMembershipChange(
                    f"{vm_id} is already a member as {member.node_id}; replace that node instead"
                )
        return await self._add(newcomer, deadline)

    async def remove(self, node_id: str, timeout_s: float) -> log_pb2.Membership:
        """Remove a member; a leader that removes itself transfers the leadership instead.

        Raises
        ------
        NotFound
            The node is not a member.
        InvalidMembershipChange
            The node is the last voter.
        NotLeader
            This VM was the node to remove; send the call to the new leader.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        members = {m.node_id: m for m in (await self._membership()).members}
        if node_id not in members:
            raise NotFound(f"{node_id!r} is not a member")
        voters = [m for m in members.values() if m.voter]
        if voters == [members[node_id]]:
            raise InvalidMembershipChange("the last voter cannot be removed")
        if node_id == self._consensus.node_id:
            await self._consensus.transfer_leadership()
            raise NotLeader(leader_address=self._consensus.leader_address())
        return await self._commit(Remove(node_id), deadline)

    async def replace(self, address: str, node_id: str, timeout_s: float) -> log_pb2.Membership:
        """Add a VM as a voter and, once its promotion is committed, remove another node.

        Raises
        ------
        NotFound
            The node to replace is not a member, and the VM at the address is not a voter yet.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        newcomer = await self._newcomer(address)
        members = {m.node_id: m for m in (await self._membership()).members}
        promoted = newcomer.node_id in members and members[newcomer.node_id].voter
        if newcomer.node_id == node_id:
            raise InvalidMembershipChange("a node cannot replace itself")
        if node_id not in members:
            if promoted:
                return await self._membership()
            raise NotFound(f"{node_id!r} is not a member")
        await self._add(newcomer, deadline)
        left_s = deadline - asyncio.get_running_loop().time()
        with _partly_committed():
            return await self.remove(node_id, max(left_s, 0.001))

    async def _add(self, newcomer: peer_pb2.IdentityReply, deadline: float) -> log_pb2.Membership:
        node_id = newcomer.node_id
        membership = await self._membership()
        members = {m.node_id: m for m in membership.members}
        if node_id in members and members[node_id].voter:
            return membership
        if sum(m.voter for m in membership.members) >= MAX_VOTERS:
            raise InvalidMembershipChange(f"there are already {MAX_VOTERS} voters")
        if node_id not in members:
            await self._commit(AddLearner(_member(newcomer, voter=False)), deadline)
        log.info("consensus: %s is a learner", node_id)
        with _partly_committed():
            return await self._commit(Promote(node_id), deadline)

    async def _commit(self, change: object, deadline: float) -> log_pb2.Membership:
        """Commit one change; a delayed one is retried until the deadline."""
        loop = asyncio.get_running_loop()
        while True:
            left_s = max(deadline - loop.time(), 0.001)
            try:
                return await self._consensus.change_membership(change, left_s)
            except (LearnerNotCaughtUp, MembershipChangeInProgress):
                if deadline - loop.time() <= RETRY_DELAY_S:
                    raise
            await asyncio.sleep(RETRY_DELAY_S)

    async def _membership(self) -> log_pb2.Membership:
        """Return the members as confirmed by a quorum."""
        await self._consensus.confirm_read(IDENTITY_TIMEOUT_S)
        return self._consensus.membership or log_pb2.Membership()

    async def _newcomer(self, address: str) -> peer_pb2.IdentityReply:
        self._consensus.require_leader()
        _check_addresses([address])
        identity = await self._identity_of(address)
        if not identity.node_id:
            raise InvalidMembershipChange(f"{identity.vm_id} at {address} may not vote")
        own = self._consensus.membership
        if identity.cluster_id and own and identity.cluster_id != own.cluster_id:
            raise AlreadyBootstrapped(f"{identity.vm_id} belongs to another cluster")
        return identity

    async def _identity_of(self, address: str) -> peer_pb2.IdentityReply:
        if address == self._consensus.identity.address:
            return self._consensus.on_identity()
        stub = self._clients.stub(address)
        try:
            return await stub.Identity(peer_pb2.IdentityRequest(), timeout=IDENTITY_TIMEOUT_S)
        except PeerUnreachable as exc:
            raise PeerUnreachable(f"{address}: {exc}", outcome=exc.outcome) from exc

    async def _bootstrap_one(self, address: str, request: peer_pb2.BootstrapRequest) -> None:
        if address == self._consensus.identity.address:
            self._consensus.on_bootstrap(request.membership)
            return
        try:
            await self._clients.stub(address).Bootstrap(request, timeout=BOOTSTRAP_TIMEOUT_S)
        except PeerUnreachable as exc:
            raise PeerUnreachable(f"{address}: {exc}; send the bootstrap again") from exc


@contextlib.contextmanager
def _partly_committed() -> Iterator[None]:
    """Set the outcome of errors to unknown, because an earlier step of the change is committed."""
    try:
        yield
    except BramleycrankError as exc:
        exc.outcome = Outcome.UNKNOWN
        raise


def _member(identity: peer_pb2.IdentityReply, *, voter: bool) -> log_pb2.Member:
    return log_pb2.Member(
        node_id=identity.node_id,
        host=identity.host,
        port=identity.port,
        domain=identity.domain,
        voter=voter,
    )


def _check_addresses(addresses: Sequence[str]) -> None:
    if not addresses:
        raise InvalidMembershipChange("no address is given")
    if len(set(addresses)) != len(addresses):
        raise InvalidMembershipChange("an address is given twice")
    if len(addresses) > MAX_VOTERS:
        raise InvalidMembershipChange(f"{len(addresses)} voters; at most {MAX_VOTERS} are allowed")
    for address in addresses:
        if Address.parse(address) is None:
            raise InvalidMembershipChange(f"{address[:100]!r} is not host:port with an IP number")


def _check_voters(voters: Sequence[peer_pb2.IdentityReply], own_vm_id: str) -> None:
    for voter in voters:
        if not voter.node_id:
            raise InvalidMembershipChange(f"{voter.vm_id} may not vote")
    vm_ids = [voter.vm_id for voter in voters]
    if len(set(vm_ids)) != len(vm_ids):
        raise InvalidMembershipChange(f"a VM is named twice: {', '.join(sorted(vm_ids))}")
    if own_vm_id not in vm_ids:
        raise InvalidMembershipChange(f"the addresses lack the VM that was called, {own_vm_id}")
