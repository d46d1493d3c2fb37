"""The consensus node: one member of the replicated log."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bramleycrank.consensus import quorum
from bramleycrank.consensus.core import NodeCore, State
from bramleycrank.consensus.election import Election
from bramleycrank.consensus.follower import FollowerLog
from bramleycrank.consensus.leadership import Leadership
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

_FROM_LEADER = ("append_request", "install_snapshot", "timeout_now")
_TO_LEADER = ("append_reply", "install_snapshot_reply")


class RaftNode:
    """A node of the replicated log.

    Every method that takes an event returns the actions to execute in order. A failed ``Persist``
    must end the process: the node assumes that it succeeded.
    """

    def __init__(self, core: NodeCore) -> None:
        self._core = core
        self._election = Election(core, self._follow)
        self._follower = FollowerLog(core)
        self._leadership: Leadership | None = None

    @classmethod
    def from_config(
        cls, cfg: RaftConfig, durable: DurableState, rng: random.Random, now: float
    ) -> RaftNode:
        """Build a node; the caller restores its state machine from ``durable.snapshot`` itself."""
        return cls(NodeCore(cfg, durable, rng, now))

    def bootstrap(self, membership: Membership, now: float) -> list[Action]:
        """Make an empty node a member of a new cluster.

        Parameters
        ----------
        membership : Membership
            The first voters; equal on all of them.
        now : float
            Time in seconds.

        Raises
        ------
        AlreadyBootstrapped
            The node has a snapshot or entries.
        InvalidMembershipChange
            The membership is not a valid first one or lacks this node.
        """
        core = self._core
        core.now = now
        if core.log.snapshot is not None or core.log.last_index:
            raise AlreadyBootstrapped(outcome=Outcome.NOT_RUN)
        quorum.check_first_membership(membership, core.node_id)
        # Index 1 makes the first log position known, so that a node without a log always gets the
        # snapshot, and with it the cluster id and a membership.
        snapshot = LogSnapshot(index=1, term=1, membership=membership)
        core.set_term(max(core.term, 1), core.voted_for)
        core.log.restore(snapshot)
        core.commit_index = snapshot.index
        core.emit(PersistSnapshot(snapshot))
        core.reset_election()
        return core.take_actions()

    def receive(self, msg: ConsensusMessage, now: float) -> list[Action]:
        """Handle a message; those of another cluster or for another node are ignored."""
        self._core.now = now
        body = msg.WhichOneof("body")
        if body is None or not self._is_for_this_node(msg, body):
            return []
        if body == "vote_request":
            self._election.on_request(msg)
        elif body == "vote_reply":
            if self._election.on_reply(msg):
                self._lead()
        elif self._is_current_term(msg, body):
            self._dispatch(msg, body)
        self._leave_if_removed()
        return self._core.take_actions()

    def propose(self, proposals: Sequence[Proposal], now: float) -> list[Action]:
        """Append commands; all of one call are persisted together."""
        self._core.now = now
        error = self._check_leading()
        if error is None:
            self._leadership.propose(proposals)
        else:
            for proposal in proposals:
                self._core.emit(ProposalRejected(proposal.proposal_id, error))
        return self._core.take_actions()

    def change_membership(
        self, proposal_id: str, change: MembershipChange, now: float
    ) -> list[Action]:
        """Start a membership change; its outcome is reported like that of a proposal."""
        self._core.now = now
        error = self._check_leading()
        if error is None:
            self._leadership.change_membership(proposal_id, change)
        else:
            self._core.emit(ProposalRejected(proposal_id, error))
        self._leave_if_removed()
        return self._core.take_actions()

    def read_index(self, read_id: str, now: float) -> list[Action]:
        """Ask for a read that a quorum confirms."""
        self._core.now = now
        error = self._check_leading()
        if error is None:
            self._leadership.read_index(read_id)
        else:
            self._core.emit(ReadFailed(read_id, error))
        return self._core.take_actions()

    def transfer_leadership(self, now: float) -> list[Action]:
        """Hand the leadership to the most caught-up voter that answers; does nothing without."""
        self._core.now = now
        if self._leadership is not None:
            self._leadership.transfer()
        return self._core.take_actions()

    def tick(self, now: float) -> list[Action]:
        """Send heartbeats, check the quorum or start an election, as far as due at ``now``."""
        self._core.now = now
        if self._leadership is not None:
            if self._check_leading() is None:
                self._leadership.tick()
        elif now >= self._core.election_due and self._election.start():
            self._lead()
        self._leave_if_removed()
        return self._core.take_actions()

    def compact(self, index: int, image: bytes) -> list[Action]:
        """Replace the log up to an applied index by an image of the state machine.

        An index that is already compacted or not applied yet changes nothing.
        """
        core = self._core
        if core.log.snapshot_index < index <= core.commit_index:
            snapshot = LogSnapshot(
                index=index,
                term=core.log.term_at(index),
                membership=core.log.membership_at(index),
                image=image,
            )
            core.log.compact(snapshot)
            core.emit(PersistSnapshot(snapshot))
        return core.take_actions()

    def next_deadline(self) -> float:
        """Return the time of the next needed tick, in seconds."""
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
        """Time at which a leader was last heard, or the start."""
        return self._core.heard_at

    @property
    def members_heard_at(self) -> dict[str, float]:
        """Time at which each other member answered this leader last; empty elsewhere."""
        progress = self._leadership.replication.progress if self._leadership else {}
        return {i: item.heard_at for i, item in progress.items() if i != self._core.node_id}

    @property
    def term(self) -> int:
        """Current term."""
        return self._core.term

    @property
    def leader_id(self) -> str:
        """Node id of the known leader, empty if unknown."""
        return self._core.leader_id

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry; all committed entries are applied."""
        return self._core.commit_index

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self._core.log.last_index

    @property
    def membership(self) -> Membership:
        """Membership in effect: the newest one in the log."""
        return self._core.log.membership

    @property
    def confirmed_at(self) -> float | None:
        """Time since which the applied state holds every commit; ``None`` unless leading.

        At this time a round of heartbeats started that a quorum answered. The state that this
        node has applied holds everything that was committed before.
        """
        return self._leadership.confirmed_at if self._leadership is not None else None

    def _is_for_this_node(self, msg: ConsensusMessage, body: str) -> bool:
        core = self._core
        if msg.recipient != core.node_id or msg.sender == core.node_id:
            return False
        own = core.log.membership.cluster_id
        if own:
            return msg.cluster_id == own
        # A node without a membership only answers leaders: one that has added it to its cluster
        # sends appends and snapshots to this disk id.
        core.joining_cluster = msg.cluster_id
        return bool(msg.cluster_id) and body in _FROM_LEADER

    def _is_current_term(self, msg: ConsensusMessage, body: str) -> bool:
        """Adopt a higher term; answer a leader of a lower one so that it steps down."""
        core = self._core
        if msg.term < core.term:
            if body in _FROM_LEADER:
                core.send(msg.sender, append_reply=AppendReply(success=False))
            return False
        if msg.term > core.term:
            known = quorum.find(core.log.membership, msg.sender) is not None
            if body in _TO_LEADER and not known:
                return False
            self._follow(msg.term, msg.sender if body in _FROM_LEADER else "")
        return True

    def _dispatch(self, msg: ConsensusMessage, body: str) -> None:
        core = self._core
        if body in _TO_LEADER:
            if self._leadership is not None:
                self._leadership.on_reply(msg)
            return
        if self._leadership is not None:
            return
        core.follow(core.term, msg.sender)
        core.hear_leader()
        if body == "append_request":
            self._follower.on_append(msg)
        elif body == "install_snapshot":
            self._follower.on_snapshot(msg)
        elif self._election.start_transferred():
            self._lead()

    def _check_leading(self) -> BramleycrankError | None:
        """Step down without a quorum; returns why this node must not accept anything."""
        if self._leadership is None:
            return NotLeader("this node does not lead", leader_address=self._leader_address())
        if self._leadership.has_quorum():
            return None
        core = self._core
        error = NoQuorum("no majority of the voters answers", outcome=Outcome.NOT_RUN)
        self._step_down(error)
        # The others may elect a new leader; this node must not refuse its vote as one that hears
        # a leader.
        core.heard_at = core.now - core.cfg.election_timeout_s[0]
        core.trusts_until = core.now
        return error

    def _leader_address(self) -> str:
        member = quorum.find(self._core.log.membership, self._core.leader_id)
        return f"{member.host}:{member.port}" if member is not None else ""

    def _lead(self) -> None:
        core = self._core
        core.state = State.LEADER
        core.leader_id = core.node_id
        self._leadership = Leadership(core)
        self._leadership.advance()

    def _follow(self, term: int, leader_id: str) -> None:
        """Follow in a term; ends the own leadership, whose log is still unchanged here."""
        if self._leadership is not None:
            self._step_down(NotLeader("another term began"))
        self._core.follow(term, leader_id)

    def _step_down(self, error: BramleycrankError) -> None:
        leadership, self._leadership = self._leadership, None
        leadership.end(error)
        self._core.follow(self._core.term, "")
        self._core.reset_election()

    def _leave_if_removed(self) -> None:
        if self._leadership is not None and self._leadership.removed:
            self._leadership.replication.start_round()
            self._step_down(NotLeader("this node was removed from the membership"))
