"""Keeps the voters of the replicated log in order without an operator."""

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

PERIOD_S = 0.2
"""Time between two looks at the members, in seconds."""

BOOTSTRAP_STAGGER_S = 1.0
"""Time that each further seed leaves the ones before it to form the cluster, in seconds."""

CALL_TIMEOUT_S = 1.0
"""Limit for one call to another VM and for one change of the members, in seconds."""

DEAD_AFTER_S = 3.0
"""Silence after which a voter gives its place to a learner that is ready, in seconds.

A longer election after a cut or a frozen VM is over by then; a voter that comes back later joins
again as a learner with the log that it has.
"""


LOST_LEADER_S = 2.0
"""Silence of the leader after which a member asks whether it still is one, in seconds.

A VM that was cut off while it was removed never hears of its removal: the leader no longer sends to
it, and its own log says that it is a member.
"""


class Peers(Protocol):
    """Other VMs."""

    def addresses(self) -> Sequence[str]:
        """Return the addresses of VMs that may be alive, without this one."""


@attrs.frozen
class VotingConfig:
    """How the voters are found.

    Parameters
    ----------
    bootstrap : bool
        Whether the system starts for the first time.
    seeds : tuple of str
        gRPC addresses of the first voters, equal on all VMs at the first start.
    """

    bootstrap: bool = False
    seeds: tuple[str, ...] = ()


def next_change(
    members: Sequence[log_pb2.Member],
    own_id: str,
    silent_s: dict[str, float],
    newcomers: Sequence[log_pb2.Member],
) -> object | None:
    """Return the next change of the members that the leader should make, or None.

    - A member whose VM came back with another disk, or whose address another VM has taken, is
      removed at once: its old self never returns. It goes before its successor comes, so that the
      number of voters that must answer never includes it.
    - A newcomer becomes a learner.
    - The number of voters is odd: with an even one a cut in two halves stops both.
    - A voter that is silent gives its place to a learner that answers.

    Parameters
    ----------
    members : sequence of Member
        Members of the log.
    own_id : str
        Node id of the leader.
    silent_s : dict
        Seconds since each member answered last.
    newcomers : sequence of Member
        VMs that asked to become members.
    """
    ids = {member.node_id for member in members}
    joining = [item for item in newcomers if item.node_id not in ids]
    for newcomer in joining:
        for member in members:
            if member.node_id != own_id and _succeeds(newcomer, member):
                return Remove(member.node_id)
    if joining:
        return AddLearner(joining[0])
    voters = [member for member in members if member.voter]
    ready = [m for m in members if not m.voter and silent_s.get(m.node_id, 0.0) < PERIOD_S * 5]
    dead = [m for m in voters if silent_s.get(m.node_id, 0.0) > DEAD_AFTER_S]
    if ready and dead:
        return Remove(dead[0].node_id)
    if ready and len(voters) < _wanted_voters(len(voters) + len(ready)):
        return Promote(min(ready, key=lambda m: _crowding(m, voters)).node_id)
    return None


def _succeeds(newcomer: log_pb2.Member, member: log_pb2.Member) -> bool:
    same_vm = _vm_of(newcomer.node_id) == _vm_of(member.node_id)
    return same_vm or (newcomer.host, newcomer.port) == (member.host, member.port)


def _vm_of(node_id: str) -> str:
    return node_id.partition("/")[0]


def _wanted_voters(candidates: int) -> int:
    return min(candidates - (candidates + 1) % 2, MAX_VOTERS)


def _crowding(member: log_pb2.Member, voters: Sequence[log_pb2.Member]) -> tuple[int, str]:
    """Order learners by the number of voters in their failure domain."""
    return sum(voter.domain == member.domain for voter in voters), member.node_id


class VoterKeeper:
    """Forms the cluster at the first start, joins it later, and as the leader admits others.

    Parameters
    ----------
    cfg : VotingConfig
        How the voters are found.
    consensus : ConsensusController
        This VM's part in the log.
    changes : VoterChanges
        Forms clusters.
    clients : PeerClients
        Connections to other VMs.
    peers : Peers
        Other VMs.
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
        """Start to look after the members."""
        if self._consensus.node_id:
            self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def on_join(self, identity: peer_pb2.IdentityReply) -> None:
        """Take a VM's wish to become a member; it is granted within a few periods.

        Raises
        ------
        NotLeader
            This VM does not lead.
        """
        self._consensus.require_leader()
        self._newcomers[identity.vm_id] = log_pb2.Member(
            node_id=identity.node_id,
            host=identity.host,
            port=identity.port,
            domain=identity.domain,
        )

    def dump(self) -> dict[str, object]:
        """Return who waits to become a member."""
        return {"newcomers": sorted(m.node_id for m in self._newcomers.values())}

    async def _run(self) -> None:
        while True:
            try:
                await self._look()
            except (MembershipChangeInProgress, LearnerNotCaughtUp) as exc:
                log.debug("voters: change has to wait: %s", exc)
            except BramleycrankError as exc:
                log.info("voters: %s", exc)
            except Exception:
                log.exception("voters: look failed")
            await asyncio.sleep(PERIOD_S)

    async def _look(self) -> None:
        consensus = self._consensus
        membership = consensus.membership
        if membership is None and self._may_bootstrap():
            await self._bootstrap()
        elif membership is None or consensus.node_id not in {m.node_id for m in membership.members}:
            await self._join()
        elif consensus.is_leader:
            await self._change(membership)
        elif consensus.leader_silence_s() > LOST_LEADER_S:
            await self._join()

    def _may_bootstrap(self) -> bool:
        """Whether this VM is one of the first voters, and the seeds before it had their time."""
        own = self._consensus.identity.address
        order = sorted(self._cfg.seeds)
        if not self._cfg.bootstrap or own not in order:
            return False
        waited_s = asyncio.get_running_loop().time() - self._started_at
        return waited_s >= order.index(own) * BOOTSTRAP_STAGGER_S

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
        # The own log may name a leader that is gone, so others are asked too.
        known = bool(leader) and (not others or self._rng.random() < 0.5)
        if not known and not others:
            return
        address = leader if known else self._rng.choice(others)
        try:
            await self._clients.stub(address).Join(request, timeout=CALL_TIMEOUT_S)
        except NotLeader as exc:
            if exc.leader_address:
                stub = self._clients.stub(exc.leader_address)
                await stub.Join(request, timeout=CALL_TIMEOUT_S)

    async def _change(self, membership: log_pb2.Membership) -> None:
        change = next_change(
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
