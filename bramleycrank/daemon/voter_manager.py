"""Maintains the members and voters of the replicated log without an operator."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from bramleycrank.consensus import MAX_VOTERS, AddLearner, Promote, Remove
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.voter_changes import VoterChanges
from bramleycrank.exceptions import (
    BramleycrankError,
    LearnerNotCaughtUp,
    MembershipChangeInProgress,
    NotLeader,
)
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.2
"""Interval between two checks of the members, in seconds."""

BOOTSTRAP_STAGGER_S = 1.0
"""Time that each seed waits for every seed before it to form the cluster, in seconds."""

CALL_TIMEOUT_S = 1.0
"""Timeout of a call to another VM and of a change of the members, in seconds."""

DEAD_AFTER_S = 3.0
"""Silence after which a ready learner replaces a voter, in seconds.

Even a long election after a partition or a frozen VM has ended by then. A voter that returns later
joins again as a learner and keeps its log.
"""

LEADER_SILENCE_S = 2.0
"""Silence of the leader after which a member requests to join again, in seconds.

A VM that is removed during a partition does not learn of its removal: the leader stops sending to
it, and its own log still lists it as a member.
"""


class Peers(Protocol):
    """Source of the addresses of other VMs."""

    def addresses(self) -> Sequence[str]:
        """Return the addresses of VMs that may be alive, without this one."""


@attrs.frozen
class VotingConfig:
    """Settings for the formation of the cluster.

    Parameters
    ----------
    bootstrap : bool
        Whether the cluster has to be formed, because the system starts for the first time.
    seeds : tuple of str
        gRPC addresses of the first voters; the same on all VMs at the first start.
    """

    bootstrap: bool = False
    seeds: tuple[str, ...] = ()


def next_membership_change(
    members: Sequence[log_pb2.Member],
    own_id: str,
    silent_s: dict[str, float],
    newcomers: Sequence[log_pb2.Member],
) -> object | None:
    """Return the next change of the members that the leader should make, or None.

    - A member whose VM returned with another disk, or whose address another VM uses, is removed
      immediately, because that node never returns. It is removed before its successor is added,
      so that the quorum does not count it.
    - A newcomer is added as a learner.
    - The number of voters is odd: with an even number, a partition into two halves leaves neither
      of them with a quorum.
    - A silent voter is replaced by a learner that responds.

    Parameters
    ----------
    members : sequence of Member
        Members of the log.
    own_id : str
        Node id of the leader.
    silent_s : dict
        Time since the last message of each member, in seconds, by node id.
    newcomers : sequence of Member
        VMs that requested to become members.
    """
    ids = {member.node_id for member in members}
    unadmitted = [item for item in newcomers if item.node_id not in ids]
    for newcomer in unadmitted:
        for member in members:
            if member.node_id != own_id and _replaces(newcomer, member):
                return Remove(member.node_id)
    if unadmitted:
        return AddLearner(unadmitted[0])
    voters = [member for member in members if member.voter]
    ready = [
        m for m in members if not m.voter and silent_s.get(m.node_id, 0.0) < CHECK_PERIOD_S * 5
    ]
    dead = [m for m in voters if silent_s.get(m.node_id, 0.0) > DEAD_AFTER_S]
    if ready and dead:
        return Remove(dead[0].node_id)
    if ready and len(voters) < _desired_voter_count(len(voters) + len(ready)):
        return Promote(min(ready, key=lambda m: _promotion_order(m, voters)).node_id)
    return None


def _replaces(newcomer: log_pb2.Member, member: log_pb2.Member) -> bool:
    same_vm = _vm_of(newcomer.node_id) == _vm_of(member.node_id)
    return same_vm or (newcomer.host, newcomer.port) == (member.host, member.port)


def _vm_of(node_id: str) -> str:
    return node_id.partition("/")[0]


def _desired_voter_count(candidates: int) -> int:
    return min(candidates - (candidates + 1) % 2, MAX_VOTERS)


def _promotion_order(member: log_pb2.Member, voters: Sequence[log_pb2.Member]) -> tuple[int, str]:
    """Return the sort key of a learner: the number of voters in its domain, then its node id."""
    return sum(voter.domain == member.domain for voter in voters), member.node_id


class VoterManager:
    """Forms the cluster at the first start, joins it later, and changes its members as the leader.

    Parameters
    ----------
    cfg : VotingConfig
        Settings for the formation of the cluster.
    consensus : ConsensusController
        The consensus node of this VM.
    changes : VoterChanges
        Forms clusters.
    clients : PeerClients
        Connections to other VMs.
    peers : Peers
        Source of the addresses of other VMs.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        cfg: VotingConfig,
        consensus: ConsensusController,
        changes: VoterChanges,
        clients: PeerClients,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._consensus = consensus
        self._changes = changes
        self._clients = clients
        self._peers = peers
        self._rng = rng
        self._newcomers: dict[str, log_pb2.Member] = {}
        self._task: asyncio.Task[None] | None = None
        self._started_at = asyncio.get_running_loop().time()

    def start(self) -> None:
        """Start the periodic checks, unless this VM may not vote."""
        if self._consensus.node_id:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def on_join(self, identity: peer_pb2.IdentityReply) -> None:
        """Record a VM's request to become a member; later checks add it.

        Raises
        ------
        NotLeader
            This VM is not the leader.
        """
        self._consensus.require_leader()
        self._newcomers[identity.vm_id] = log_pb2.Member(
            node_id=identity.node_id,
            host=identity.host,
            port=identity.port,
            domain=identity.domain,
        )

    def dump(self) -> dict[str, object]:
        """Return the VMs that wait to become members, in JSON form."""
        return {"newcomers": sorted(m.node_id for m in self._newcomers.values())}

    async def _run(self) -> None:
        while True:
            try:
                await self._check_members()
            except (MembershipChangeInProgress, LearnerNotCaughtUp) as exc:
                log.debug("voters: change of the members is delayed: %s", exc)
            except BramleycrankError as exc:
                log.info("voters: %s", exc)
            except Exception:
                log.exception("voters: check of the members failed")
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _check_members(self) -> None:
        consensus = self._consensus
        membership = consensus.membership
        if membership is None and self._may_bootstrap():
            await self._bootstrap()
        elif membership is None or consensus.node_id not in {m.node_id for m in membership.members}:
            await self._join()
        elif consensus.is_leader:
            await self._change_members(membership)
        elif consensus.leader_silence_s() > LEADER_SILENCE_S:
            await self._join()

    def _may_bootstrap(self) -> bool:
        """Return whether this VM is a seed and has waited for the seeds before it."""
        own = self._consensus.identity.address
        order = sorted(self._cfg.seeds)
        if not self._cfg.bootstrap or own not in order:
            return False
        elapsed_s = asyncio.get_running_loop().time() - self._started_at
        return elapsed_s >= order.index(own) * BOOTSTRAP_STAGGER_S

    async def _bootstrap(self) -> None:
        membership = await self._changes.bootstrap(sorted(self._cfg.seeds))
        log.info(
            "voters: formed a cluster",
            extra={"cluster": membership.cluster_id, "members": len(membership.members)},
        )

    async def _join(self) -> None:
        request = peer_pb2.JoinRequest(identity=self._consensus.on_identity())
        leader = self._consensus.leader_address()
        others = list(self._peers.addresses())
        # The leader in the own log may have failed, so half of the requests go to other VMs.
        use_leader = bool(leader) and (not others or self._rng.random() < 0.5)
        if not use_leader and not others:
            return
        address = leader if use_leader else self._rng.choice(others)
        try:
            await self._clients.stub(address).Join(request, timeout=CALL_TIMEOUT_S)
        except NotLeader as exc:
            if exc.leader_address:
                stub = self._clients.stub(exc.leader_address)
                await stub.Join(request, timeout=CALL_TIMEOUT_S)

    async def _change_members(self, membership: log_pb2.Membership) -> None:
        change = next_membership_change(
            membership.members,
            self._consensus.node_id,
            self._consensus.member_silence_s(),
            list(self._newcomers.values()),
        )
        if change is None:
            return
        after = await self._consensus.change_membership(change, CALL_TIMEOUT_S)
        log.info(
            "voters: changed the members",
            extra={
                "change": repr(change)[:200],
                "voters": [m.node_id for m in after.members if m.voter],
            },
        )
        ids = {m.node_id for m in after.members}
        self._newcomers = {k: m for k, m in self._newcomers.items() if m.node_id not in ids}
