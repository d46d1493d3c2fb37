"""Shared state of a Raft node and the actions that a call returns."""

from __future__ import annotations

import enum
import random

from bramleycrank.consensus import quorum
from bramleycrank.consensus.log import RaftLog
from bramleycrank.consensus.types import (
    Action,
    Apply,
    DurableState,
    Persist,
    PersistSnapshot,
    RaftConfig,
    RestoreState,
    Role,
    RoleChanged,
    Send,
)
from bramleycrank.proto.log_pb2 import ConsensusMessage, Entry, HardState, LogSnapshot, Membership


class State(enum.Enum):
    """Raft state of a node; ``Role`` is the view for operators."""

    FOLLOWER = enum.auto()
    PRE_CANDIDATE = enum.auto()
    CANDIDATE = enum.auto()
    LEADER = enum.auto()


class NodeCore:
    """Term, vote, log and commit index of a node.

    Changes are collected and returned by ``pop_actions`` with ``Persist`` first, so that no
    message is sent before the state that it depends on is synced.
    """

    def __init__(
        self, cfg: RaftConfig, durable: DurableState, rng: random.Random, now: float
    ) -> None:
        self.cfg = cfg
        self.now = now
        self.rng = rng
        self.log = RaftLog(durable.snapshot, durable.entries)
        self.term = durable.hard_state.term
        self.voted_for = durable.hard_state.voted_for
        self.state = State.FOLLOWER
        self.leader_id = ""
        self.last_leader_id = ""  # sender of the message received at `heard_at`
        self.commit_index = self.log.snapshot_index
        self.heard_at = now
        self.started_at = now
        self.had_leader_contact = False
        # A leader is presumed alive until this time, and the node grants no vote against it. A
        # node that has just started knows no leader; a candidate that has just started needs the
        # pre-votes of all voters instead.
        self.leader_presumed_until = now
        self.election_due = 0.0
        self.joining_cluster_id = ""
        self._hard_state_changed = False
        self._truncate_from = 0
        self._new_entries: list[Entry] = []
        self._actions: list[Action] = []
        self._reported_role_state = self._role_state()
        self.reset_election()

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self.cfg.node_id

    @property
    def cluster_id(self) -> str:
        """Id of this node's cluster; without a membership, that of the last message received."""
        return self.log.membership.cluster_id or self.joining_cluster_id

    @property
    def is_member(self) -> bool:
        """Whether this node may vote: it is a member, or its removal is not known to be committed.

        If the leader is lost and only the removed node holds the removal entry, a majority may
        need the vote of this node. Without that vote the entry could be neither committed nor
        overwritten.
        """
        return any(
            quorum.find_member(item, self.node_id)
            for item in self._newest_and_committed_memberships()
        )

    @property
    def may_campaign(self) -> bool:
        """Whether this node may request votes; its own counts only if it is still a voter."""
        return any(
            quorum.is_voter(item, self.node_id) for item in self._newest_and_committed_memberships()
        )

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter in the newest membership of its log."""
        return quorum.is_voter(self.log.membership, self.node_id)

    @property
    def role(self) -> Role:
        """Role as shown to operators."""
        if self.state is State.LEADER:
            return Role.LEADER
        if self.state is not State.FOLLOWER:
            return Role.CANDIDATE
        return Role.FOLLOWER if self.is_voter else Role.LEARNER

    @property
    def recently_started(self) -> bool:
        """Whether this node started recently and has received no message from a leader since."""
        return (
            not self.had_leader_contact and self.now < self.started_at + self.cfg.restart_window_s
        )

    @property
    def needs_all_pre_votes(self) -> bool:
        """Whether an election needs all pre-votes, since an unseen leader may be alive."""
        return (
            self.recently_started and self.now < self.started_at + self.cfg.restart_all_pre_votes_s
        )

    def record_leader_contact(self) -> None:
        """Record a message from the leader and restart the election timeout."""
        self.had_leader_contact = True
        self.last_leader_id = self.leader_id
        self.heard_at = self.now
        self.leader_presumed_until = self.now + self.cfg.election_timeout_s[0]
        self.reset_election()

    def reset_election(self) -> None:
        """Start a new election timeout of random length.

        The timeout is short after a restart: when all voters lose power and restart together, no
        leader is alive and nothing can be committed until one is elected. A node that is not a
        voter in its newest membership waits longer, so that the voters campaign first. It may
        campaign, but would step down as soon as it learned that its removal is committed.
        """
        cfg = self.cfg
        range_s = cfg.election_timeout_s
        if self.log.membership.members and not self.is_voter:
            range_s = tuple(limit_s + cfg.election_timeout_s[1] for limit_s in range_s)
        elif self.recently_started:
            range_s = cfg.restart_election_timeout_s
        self.election_due = self.now + self.rng.uniform(*range_s)

    def set_term(self, term: int, voted_for: str) -> None:
        """Set the term and the vote, which are persisted together."""
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._hard_state_changed = True

    def become_follower(self, term: int, leader_id: str) -> None:
        """Become a follower; a newer term starts without a vote."""
        if term > self.term:
            self.set_term(term, "")
        self.state = State.FOLLOWER
        self.leader_id = leader_id

    def append(self, entries: list[Entry]) -> None:
        """Append entries and collect them for the next ``Persist``."""
        self.log.append(entries)
        self._new_entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at ``index`` and all after it; none of them may be committed."""
        if index <= self.commit_index:
            raise RuntimeError(f"entry {index} is committed and cannot be truncated")
        self.log.truncate_from(index)
        self._truncate_from = index

    def commit_to(self, index: int) -> None:
        """Raise the commit index and apply the newly committed entries."""
        if index > self.commit_index:
            entries = self.log.entries_between(self.commit_index + 1, index)
            self.commit_index = index
            self._actions.append(Apply(tuple(entries)))

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace the log and the state machine with a snapshot."""
        self.log.restore(snapshot)
        self.commit_index = snapshot.index
        self._actions += [PersistSnapshot(snapshot), RestoreState(snapshot)]

    def add_action(self, action: Action) -> None:
        """Add an action to those that the current call returns."""
        self._actions.append(action)

    def send(self, recipient: str, term: int | None = None, **body: object) -> None:
        """Add a message to the actions; ``body`` is the one field of the message body."""
        message = ConsensusMessage(
            cluster_id=self.cluster_id,
            sender=self.node_id,
            recipient=recipient,
            term=self.term if term is None else term,
            **body,
        )
        self._actions.append(Send(message))

    def pop_actions(self) -> list[Action]:
        """Return and clear the collected actions, with ``Persist`` first."""
        actions: list[Action] = []
        if self._hard_state_changed or self._truncate_from or self._new_entries:
            hard_state = HardState(term=self.term, voted_for=self.voted_for)
            actions.append(
                Persist(
                    hard_state if self._hard_state_changed else None,
                    self._truncate_from,
                    tuple(self._new_entries),
                )
            )
        actions += self._actions
        if self._role_state() != self._reported_role_state:
            self._reported_role_state = self._role_state()
            actions.append(RoleChanged(*self._reported_role_state))
        self._hard_state_changed, self._truncate_from = False, 0
        self._new_entries, self._actions = [], []
        return actions

    def _newest_and_committed_memberships(self) -> tuple[Membership, Membership]:
        return self.log.membership, self.log.membership_at(self.commit_index)

    def _role_state(self) -> tuple[Role, int, str]:
        return self.role, self.term, self.leader_id
