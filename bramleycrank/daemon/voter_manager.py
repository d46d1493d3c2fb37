"""Maintains the members and voters of the replicated log without an operator."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Collection, Sequence
from typing import Protocol

import attrs

from bramleycrank.consensus import Demote, MembershipChange, Remove
from bramleycrank.daemon.consensus_controller import ConsensusController
from bramleycrank.daemon.voter_changes import VoterChanges
from bramleycrank.daemon.voter_choice import (
    READY_SILENCE_S,
    MemberSignals,
    RecentMembers,
    next_membership_change,
    vm_of,
)
from bramleycrank.exceptions import (
    BramleycrankError,
    LearnerNotCaughtUp,
    MembershipChangeInProgress,
    NotLeader,
)
from bramleycrank.observability.metrics import Metrics, NullMetrics
from bramleycrank.proto import log_pb2, peer_pb2
from bramleycrank.transport.peer_client import PeerClients

log = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.2
"""Interval between two checks of the members, in seconds."""

BOOTSTRAP_STAGGER_S = 1.0
"""Time that each seed waits for every seed before it to form the cluster, in seconds."""

CALL_TIMEOUT_S = 1.0
"""Timeout of a call to another VM and of a change of the members, in seconds."""

LEADER_SILENCE_S = 2.0
"""Silence of the leader after which a member requests to join again, in seconds.

A VM that is removed during a partition does not learn of its removal: the leader stops sending to
it, and its own log still lists it as a member.
"""


class Peers(Protocol):
    """What is known of other VMs."""

    def addresses(self) -> Sequence[str]:
        """Return the addresses of VMs that may be alive, without this one."""

    def departed(self) -> Collection[str]:
        """Return the ids of the VMs that announced that they have left."""


@attrs.frozen
class VotingConfig:
    """Settings for the formation of the cluster.

    Parameters
    ----------
    bootstrap : bool
        Whether the cluster has to be formed, because the system starts for the first time.
    seeds : tuple of str
        gRPC addresses of the first voters; the same on all VMs at the first start.
    catch_up_s : float
        Time that a new VM has until the one it succeeds may no longer be counted, in seconds.
    """

    bootstrap: bool = False
    seeds: tuple[str, ...] = ()
    catch_up_s: float = 4.0


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
        What is known of other VMs.
    rng : random.Random
        Source of random choices.
    metrics : Metrics, optional
        Receiver of metrics.
    """

    def __init__(
        self,
        cfg: VotingConfig,
        consensus: ConsensusController,
        changes: VoterChanges,
        clients: PeerClients,
        peers: Peers,
        rng: random.Random,
        metrics: Metrics | None = None,
    ) -> None:
        self._cfg = cfg
        self._consensus = consensus
        self._changes = changes
        self._clients = clients
        self._peers = peers
        self._rng = rng
        self._metrics = metrics or NullMetrics()
        own_vm = "" if consensus.membership else vm_of(consensus.node_id)
        self._recent = RecentMembers(cfg.bootstrap, own_vm)
        self._silent: frozenset[str] = frozenset()
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
        """Return the VMs that wait to become members and the newest members, in JSON form."""
        return {
            "newcomers": sorted(m.node_id for m in self._newcomers.values()),
            "recent": sorted(self._recent.ids()),
            "silent": sorted(self._silent),
        }

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
        if membership is not None:
            # Each member remembers the newest ones, since it may become the leader.
            self._recent.update(membership.members, asyncio.get_running_loop().time())
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
        """Make changes until none is due: between two of them, fewer losses can be borne."""
        while self._consensus.is_leader:
            signals = self._signals(membership)
            change = next_membership_change(
                membership.members,
                self._consensus.node_id,
                signals,
                list(self._newcomers.values()),
            )
            if change is None:
                return
            if change in (Demote(self._consensus.node_id), Remove(self._consensus.node_id)):
                log.info("voters: another voter has to lead, since this one gives up its vote")
                await self._consensus.transfer_leadership()
                return
            membership = await self._consensus.change_membership(change, CALL_TIMEOUT_S)
            self._on_changed(change, membership, signals)

    def _signals(self, membership: log_pb2.Membership) -> MemberSignals:
        consensus, recent = self._consensus, self._recent.ids()
        signals = MemberSignals(
            consensus.member_silence_s(),
            recent,
            consensus.unsynced_members(),
            self._peers.departed() if recent else frozenset(),
            self._cfg.catch_up_s,
        )
        self._record_silent(membership, signals)
        return signals

    def _record_silent(self, membership: log_pb2.Membership, signals: MemberSignals) -> None:
        """Count the silent members, and log each change of them."""
        silence = signals.silent_s
        silent = frozenset(
            m.node_id for m in membership.members if silence.get(m.node_id, 0.0) > READY_SILENCE_S
        )
        if silent != self._silent:
            log.info(
                "voters: members that do not respond",
                extra={
                    "silent": sorted(silent),
                    "recent": sorted(signals.recent),
                    "departed": sorted(signals.departed),
                },
            )
        self._silent = silent
        voters = {m.node_id for m in membership.members if m.voter}
        self._metrics.gauge("consensus.voters", len(voters))
        self._metrics.gauge("consensus.voters_silent", len(voters & silent))

    def _on_changed(
        self, change: MembershipChange, after: log_pb2.Membership, signals: MemberSignals
    ) -> None:
        self._recent.update(after.members, asyncio.get_running_loop().time())
        log.info(
            "voters: changed the members",
            extra={
                "change": repr(change)[:200],
                "voters": [m.node_id for m in after.members if m.voter],
                "silent_s": {i: round(s, 2) for i, s in signals.silent_s.items()},
                "recent": sorted(signals.recent),
            },
        )
        ids = {m.node_id for m in after.members}
        self._newcomers = {k: m for k, m in self._newcomers.items() if m.node_id not in ids}
