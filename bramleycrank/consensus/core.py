"""State that all parts of a node share, and the actions that one call collects."""

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
    """State of a node in elections."""

    FOLLOWER = enum.auto()
    PRE_CANDIDATE = enum.auto()
    CANDIDATE = enum.auto()
    LEADER = enum.auto()


class NodeCore:
    """Term, vote, log and commit index of a node.

    Changes are collected and returned by ``take_actions`` with ``Persist`` in front, so no
    message leaves before what it depends on is synced.
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
        self.commit_index = self.log.snapshot_index
        self.heard_at = now
        self.started_at = now
        self.heard_leader = False
        # Until then a leader may be alive, and no vote of this node helps to depose it. After a
        # start it knows none; candidates have asked all voters then.
        self.trusts_until = now
        self.election_due = 0.0
        self.joining_cluster = ""
        self._hard_dirty = False
        self._truncate_from = 0
        self._new_entries: list[Entry] = []
        self._actions: list[Action] = []
        self._reported = self._role_state()
        self.reset_election()

    @property
    def node_id(self) -> str:
        """Own node id."""
        return self.cfg.node_id

    @property
    def cluster_id(self) -> str:
        """Own cluster; that of the sender while a node without a membership answers a leader."""
        return self.log.membership.cluster_id or self.joining_cluster

    @property
    def is_member(self) -> bool:
        """Whether this node may vote: it is a member, or its removal is not known as committed.

        A removal that only the removed node holds, because its leader was lost, could otherwise
        never be committed or undone.
        """
        return any(quorum.find(item, self.node_id) for item in self._memberships())

    @property
    def may_campaign(self) -> bool:
        """Whether this node may ask for votes; it counts its own only if it is still a voter."""
        return any(quorum.is_voter(item, self.node_id) for item in self._memberships())

    @property
    def is_voter(self) -> bool:
        """Whether this node votes in its own view of the membership."""
        return quorum.is_voter(self.log.membership, self.node_id)

    @property
    def role(self) -> Role:
        """Role as operators see it."""
        if self.state is State.LEADER:
            return Role.LEADER
        if self.state is not State.FOLLOWER:
            return Role.CANDIDATE
        return Role.FOLLOWER if self.is_voter else Role.LEARNER

    @property
    def restarting(self) -> bool:
        """Whether this node has just started and has heard no leader since."""
        return not self.heard_leader and self.now < self.started_at + self.cfg.restart_s

    @property
    def needs_all_votes(self) -> bool:
        """Whether a leader may be alive that this node has not heard since its start."""
        return self.restarting and self.now < self.started_at + self.cfg.restart_trust_s

    def hear_leader(self) -> None:
        """Take note of a message of a leader."""
        self.heard_leader = True
        self.heard_at = self.now
        self.trusts_until = self.now + self.cfg.election_timeout_s[0]
        self.reset_election()

    def reset_election(self) -> None:
        """Start a new election timeout of random length.

        Load pattern: all voters lose power and return together; no leader is alive, and each
        further timeout is time in which nothing can be decided. A node that is no voter in its
        newest membership, though it may still campaign, leaves the voters their time: it would step
        down once it learns that its removal is committed.
        """
        cfg = self.cfg
        waits_s = cfg.election_timeout_s
        if self.log.membership.members and not self.is_voter:
            waits_s = tuple(limit_s + cfg.election_timeout_s[1] for limit_s in waits_s)
        elif self.restarting:
            waits_s = cfg.restart_retry_s
        self.election_due = self.now + self.rng.uniform(*waits_s)

    def set_term(self, term: int, voted_for: str) -> None:
        """Change term and vote; both are persisted together."""
        if (term, voted_for) != (self.term, self.voted_for):
            self.term, self.voted_for = term, voted_for
            self._hard_dirty = True

    def follow(self, term: int, leader_id: str) -> None:
        """Become a follower, in a new term without a vote."""
        if term > self.term:
            self.set_term(term, "")
        self.state = State.FOLLOWER
        self.leader_id = leader_id

    def append(self, entries: list[Entry]) -> None:
        """Append entries and collect them for the next ``Persist``."""
        self.log.append(entries)
        self._new_entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Drop conflicting entries; committed ones never conflict."""
        if index <= self.commit_index:
            raise RuntimeError(f"entry {index} is committed and cannot be dropped")
        self.log.truncate_from(index)
        self._truncate_from = index

    def commit_to(self, index: int) -> None:
        """Move the commit index up and apply the entries that it passes."""
        if index > self.commit_index:
            entries = self.log.between(self.commit_index + 1, index)
            self.commit_index = index
            self._actions.append(Apply(tuple(entries)))

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace log and state machine by a snapshot."""
        self.log.restore(snapshot)
        self.commit_index = snapshot.index
        self._actions += [PersistSnapshot(snapshot), RestoreState(snapshot)]

    def emit(self, action: Action) -> None:
        """Collect an action that does not depend on order with others of its kind."""
        self._actions.append(action)

    def send(self, recipient: str, term: int | None = None, **body: object) -> None:
        """Collect a message; ``body`` is the one field of the message's body."""
        message = ConsensusMessage(
            cluster_id=self.cluster_id,
            sender=self.node_id,
            recipient=recipient,
            term=self.term if term is None else term,
            **body,
        )
        self._actions.append(Send(message))

    def take_actions(self) -> list[Action]:
        """Return what the call collected, with ``Persist`` first."""
        actions: list[Action] = []
        if self._hard_dirty or self._truncate_from or self._new_entries:
            hard = HardState(term=self.term, voted_for=self.voted_for)
            actions.append(
                Persist(
                    hard if self._hard_dirty else None,
                    self._truncate_from,
                    tuple(self._new_entries),
                )
            )
        actions += self._actions
        if self._role_state() != self._reported:
            self._reported = self._role_state()
            actions.append(RoleChanged(*self._reported))
        self._hard_dirty, self._truncate_from = False, 0
        self._new_entries, self._actions = [], []
        return actions

    def _memberships(self) -> tuple[Membership, Membership]:
        return self.log.membership, self.log.membership_at(self.commit_index)

    def _role_state(self) -> tuple[Role, int, str]:
        return self.role, self.term, self.leader_id
