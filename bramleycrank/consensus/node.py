"""Raft node: one member of the replicated log."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore, State
from bramleycrank.consensus.election import Election
from bramleycrank.consensus.follower import FollowerLog
from bramleycrank.consensus.leadership import Leadership
from bramleycrank.consensus.progress import Progress
from bramleycrank.consensus.types import (
    Action,
    DurableState,
    MembershipChange,
    PersistSnapshot,
    Proposal,
    ProposalRejected,
    RaftConfig,
    ReadFailed,
    Role,
)
from bramleycrank.exceptions import (
    AlreadyBootstrapped,
    BramleycrankError,
    NoQuorum,
    NotLeader,
    Outcome,
)
from bramleycrank.proto.log_pb2 import AppendReply, ConsensusMessage, LogSnapshot, Membership

_LEADER_MESSAGES = ("append_request", "install_snapshot", "timeout_now")
_MEMBER_REPLIES = ("append_reply", "install_snapshot_reply")


class RaftNode:
    """Node of the replicated log.

    Every method that handles an event returns actions, which the caller must execute in order. If
    a ``Persist`` fails, the process must end, because the node assumes that it succeeded.
    """

    def __init__(self, core: NodeCore) -> None:
        self._core = core
        self._election = Election(core, self._become_follower)
        self._follower = FollowerLog(core)
        self._leadership: Leadership | None = None

    @classmethod
    def from_config(
        cls, cfg: RaftConfig, durable: DurableState, rng: random.Random, now: float
    ) -> RaftNode:
        """Create a node; the caller must restore its state machine from ``durable.snapshot``."""
        return cls(NodeCore(cfg, durable, rng, now))

    def bootstrap(self, membership: Membership, now: float) -> list[Action]:
        """Initialize an empty node as a voter of a new cluster.

        Parameters
        ----------
        membership : Membership
            Initial voters; must be the same on all of them.
        now : float
            Current time in seconds.

        Raises
        ------
        AlreadyBootstrapped
            The node has a snapshot or entries.
        InvalidMembershipChange
            The membership is not a valid initial one or does not include this node.
        """
        core = self._core
        core.now = now
        if core.log.snapshot is not None or core.log.last_index:
            raise AlreadyBootstrapped(outcome=Outcome.NOT_RUN)
        quorum.check_initial_membership(membership, core.node_id)
        # The snapshot at index 1 stands for the start of the log, so that a node without a log
        # always receives a snapshot, which carries the cluster id and a membership.
        snapshot = LogSnapshot(index=1, term=1, membership=membership)
        core.set_term(max(core.term, 1), core.voted_for)
        core.log.restore(snapshot)
        core.commit_index = snapshot.index
        core.add_action(PersistSnapshot(snapshot))
        core.reset_election()
        return core.pop_actions()

    def receive(self, msg: ConsensusMessage, now: float) -> list[Action]:
        """Handle a message; one of another cluster or for another node is ignored."""
        self._core.now = now
        body = msg.WhichOneof("body")
        if body is None or not self._is_for_this_node(msg, body):
            return []
        if body == "vote_request":
            self._election.on_request(msg)
        elif body == "vote_reply":
            if self._election.on_reply(msg):
                self._become_leader()
        elif self._accept_term(msg, body):
            self._dispatch(msg, body)
        self._step_down_if_removed()
        return self._core.pop_actions()

    def report_unsent(self, node_id: str, now: float) -> list[Action]:
        """Handle that a large message to a member could not be sent."""
        self._core.now = now
        if node_id in self._progress:
            self._leadership.replication.on_unsent(node_id)
        return self._core.pop_actions()

    def propose(self, proposals: Sequence[Proposal], now: float) -> list[Action]:
        """Append commands, which are persisted together."""
        self._core.now = now
        error = self._check_leadership()
        if error is None:
            self._leadership.propose(proposals)
        else:
            for proposal in proposals:
                self._core.add_action(ProposalRejected(proposal.proposal_id, error))
        return self._core.pop_actions()

    def change_membership(
        self, proposal_id: str, change: MembershipChange, now: float
    ) -> list[Action]:
        """Start a membership change; its outcome is reported like that of a proposal."""
        self._core.now = now
        error = self._check_leadership()
        if error is None:
            self._leadership.change_membership(proposal_id, change)
        else:
            self._core.add_action(ProposalRejected(proposal_id, error))
        self._step_down_if_removed()
        return self._core.pop_actions()

    def read_index(self, read_id: str, now: float) -> list[Action]:
        """Start a linearizable read; ``ReadReady`` or ``ReadFailed`` reports the outcome."""
        self._core.now = now
        error = self._check_leadership()
        if error is None:
            self._leadership.read_index(read_id)
        else:
            self._core.add_action(ReadFailed(read_id, error))
        return self._core.pop_actions()

    def transfer_leadership(self, now: float) -> list[Action]:
        """Transfer the leadership to the most caught-up responsive voter, if there is one."""
        self._core.now = now
        if self._leadership is not None:
            self._leadership.transfer()
        return self._core.pop_actions()

    def tick(self, now: float) -> list[Action]:
        """Send heartbeats, check the quorum or start an election if due at ``now``."""
        self._core.now = now
        if self._leadership is not None:
            if self._check_leadership() is None:
                self._leadership.tick()
        elif now >= self._core.election_due and self._election.start():
            self._become_leader()
        self._step_down_if_removed()
        return self._core.pop_actions()

    def compact(self, index: int, image: bytes) -> list[Action]:
        """Compact the log up to an applied index into an image of the state machine.

        An index that is already compacted or not yet applied is ignored.
        """
        core = self._core
        if core.log.snapshot_index < index <= core.commit_index:
            snapshot = LogSnapshot(
                index=index,
                term=core.log.term_at(index),
                membership=core.log.membership_at(index),
                image=image,
            )
            core.log.compact(snapshot, core.cfg.bounds.retained_bytes)
            core.add_action(PersistSnapshot(snapshot))
            if self._leadership is not None:
                self._leadership.replication.needs_snapshot = False
                self._leadership.replication.broadcast_entries()
        return core.pop_actions()

    def next_deadline(self) -> float:
        """Return the time of the next required tick, in seconds."""
        if self._leadership is not None:
            return self._leadership.replication.heartbeat_due
        return self._core.election_due

    def dump(self) -> dict[str, object]:
        """Return the node's state for operators."""
        core = self._core
        return {
            "node_id": core.node_id,
            "cluster_id": core.log.membership.cluster_id,
            "role": str(core.role),
            "state": core.state.name.lower(),
            "term": core.term,
            "voted_for": core.voted_for,
            "leader_id": core.leader_id,
            "heard_at": core.heard_at,
            "election_due": core.election_due,
            "commit_index": core.commit_index,
            "last_index": core.log.last_index,
            "snapshot_index": core.log.snapshot_index,
            "snapshot_bytes": core.log.snapshot_bytes,
            "log_bytes": core.log.memory_bytes,
            "members": {
                m.node_id: "voter" if m.voter else "learner" for m in core.log.membership.members
            },
            "leadership": self._leadership.dump() if self._leadership else None,
        }

    @property
    def role(self) -> Role:
        """Current role."""
        return self._core.role

    @property
    def heard_at(self) -> float:
        """Time of the last message from a leader, or of the start, in seconds."""
        return self._core.heard_at

    @property
    def members_last_reply_at(self) -> dict[str, float]:
        """Time of the last reply of each other member, in seconds; empty unless leading.

        Until a member has replied to this leader, it is the start of the leadership, but for the
        leader before, whose silence began with its last message.
        """
        core = self._core
        return {
            node_id: core.heard_at
            if node_id == core.last_leader_id and not progress.acked_round
            else progress.heard_at
            for node_id, progress in self._progress.items()
            if node_id != core.node_id
        }

    @property
    def unsynced_members(self) -> frozenset[str]:
        """Members that have not acknowledged any entry to this leader; empty unless leading."""
        return frozenset(i for i, item in self._progress.items() if not item.match_index)

    @property
    def _progress(self) -> dict[str, Progress]:
        return self._leadership.replication.progress if self._leadership else {}

    @property
    def term(self) -> int:
        """Current term."""
        return self._core.term

    @property
    def leader_id(self) -> str:
        """Node id of the leader; empty if unknown."""
        return self._core.leader_id

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed; entries up to it are applied."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._core.log.last_index

    @property
    def log_bytes(self) -> int:
        """Size of the log entries in memory, in bytes."""
        return self._core.log.memory_bytes

    @property
    def needs_compaction(self) -> bool:
        """Whether the entries that a snapshot could cover are too large, or a member needs it.

        They may be as large as the last snapshot, which bounds the cost of images that exceed the
        bound by themselves.
        """
        core = self._core
        if self._leadership is not None and self._leadership.replication.needs_snapshot:
            return core.log.snapshot_index < core.commit_index
        covered_bytes = core.log.bytes_between(core.log.snapshot_index + 1, core.commit_index)
        return covered_bytes > max(core.cfg.bounds.log_bytes, core.log.snapshot_bytes)

    @property
    def membership(self) -> Membership:
        """Membership in effect: the newest one in the log, committed or not."""
        return self._core.log.membership

    @property
    def confirmed_at(self) -> float | None:
        """Time before which every commit is in the applied state; ``None`` unless leading.

        It is the start time, in seconds, of the newest heartbeat round that a quorum replied to.
        """
        return self._leadership.confirmed_at if self._leadership is not None else None

    def _is_for_this_node(self, msg: ConsensusMessage, body: str) -> bool:
        core = self._core
        if msg.recipient != core.node_id or msg.sender == core.node_id:
            return False
        own_cluster_id = core.log.membership.cluster_id
        if own_cluster_id:
            return msg.cluster_id == own_cluster_id
        # A node without a membership replies only to leaders: a leader that has added it to a
        # cluster sends appends and snapshots to this disk id.
        core.joining_cluster_id = msg.cluster_id
        return bool(msg.cluster_id) and body in _LEADER_MESSAGES

    def _accept_term(self, msg: ConsensusMessage, body: str) -> bool:
        """Adopt a higher term; reject a leader of a lower term so that it steps down."""
        core = self._core
        if msg.term < core.term:
            if body in _LEADER_MESSAGES:
                core.send(msg.sender, append_reply=AppendReply(success=False))
            return False
        if msg.term > core.term:
            is_member = quorum.find_member(core.log.membership, msg.sender) is not None
            if body in _MEMBER_REPLIES and not is_member:
                return False
            self._become_follower(msg.term, msg.sender if body in _LEADER_MESSAGES else "")
        return True

    def _dispatch(self, msg: ConsensusMessage, body: str) -> None:
        core = self._core
        if body in _MEMBER_REPLIES:
            if self._leadership is not None:
                self._leadership.on_reply(msg)
            return
        if self._leadership is not None:
            return
        core.become_follower(core.term, msg.sender)
        core.record_leader_contact()
        if body == "append_request":
            self._follower.on_append(msg)
        elif body == "install_snapshot":
            self._follower.on_snapshot(msg)
        elif self._election.start_for_transfer():
            self._become_leader()

    def _check_leadership(self) -> BramleycrankError | None:
        """Step down if the quorum is lost; returns an error unless this node may act as leader."""
        if self._leadership is None:
            return NotLeader("this node is not the leader", leader_address=self._leader_address())
        if self._leadership.has_quorum():
            return None
        core = self._core
        error = NoQuorum("no majority of the voters responds", outcome=Outcome.NOT_RUN)
        self._step_down(error)
        # The other voters may elect a new leader. This node must not refuse its vote as if a
        # leader were alive.
        core.heard_at = core.now - core.cfg.election_timeout_s[0]
        core.leader_presumed_until = core.now
        return error

    def _leader_address(self) -> str:
        member = quorum.find_member(self._core.log.membership, self._core.leader_id)
        return f"{member.host}:{member.port}" if member is not None else ""

    def _become_leader(self) -> None:
        core = self._core
        core.state = State.LEADER
        core.leader_id = core.node_id
        self._leadership = Leadership(core)
        self._leadership.advance()

    def _become_follower(self, term: int, leader_id: str) -> None:
        """Become a follower; an own leadership ends first, while the log is still unchanged."""
        if self._leadership is not None:
            self._step_down(NotLeader("a newer term has started"))
        self._core.become_follower(term, leader_id)

    def _step_down(self, error: BramleycrankError) -> None:
        leadership, self._leadership = self._leadership, None
        leadership.resolve_pending(error)
        self._core.become_follower(self._core.term, "")
        self._core.reset_election()

    def _step_down_if_removed(self) -> None:
        if self._leadership is not None and self._leadership.is_removed:
            self._leadership.replication.start_round()
            self._step_down(NotLeader("this node was removed from the membership"))
