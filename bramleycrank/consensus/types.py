"""Types of the Raft core: settings, durable state, membership changes and actions."""

from __future__ import annotations

import enum
from collections.abc import Sequence

import attrs

from bramleycrank.consensus.bounds import LogBounds
from bramleycrank.exceptions import BramleycrankError
from bramleycrank.proto.log_pb2 import (
    ConsensusMessage,
    Entry,
    HardState,
    LogSnapshot,
    Member,
    Membership,
)

MAX_VOTERS = 7


class Role(enum.StrEnum):
    """Role of a node as shown to operators."""

    LEARNER = "learner"
    """Not a voter in the node's own view of the membership."""
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class RaftConfig:
    """Settings of a Raft node.

    Parameters
    ----------
    node_id : str
        ``vm_id/disk_id``.
    election_timeout_s : tuple of float
        Shortest and longest election timeout in seconds.
    heartbeat_s : float
        Time between heartbeats of a leader in seconds.
    max_entries_per_append : int
        Maximum number of entries in one message.
    max_uncommitted_entries : int
        Maximum number of uncommitted entries of a leader; further proposals are rejected.
    snapshot_retry_s : float
        Shortest time in seconds after which a snapshot without a reply is sent again.
    bounds : LogBounds
        Bounds on the bytes of the log and of messages.
    answer_timeout_s : float
        Time in seconds after which a large message without a reply counts as lost, beside the time
        for its bytes. Longer than a link tries to send it, so that it is not sent twice at once.
    restart_window_s : float
        Time in seconds after a start in which a node that has received nothing from a leader uses
        ``restart_election_timeout_s``.
    restart_election_timeout_s : tuple of float
        Shortest and longest election timeout in seconds during ``restart_window_s``.
    restart_all_pre_votes_s : float
        Time in seconds after a start, two heartbeats, in which a live leader may not have sent a
        message to the node yet. Until then an election needs the pre-votes of all voters.
    """

    node_id: str
    election_timeout_s: tuple[float, float] = (0.6, 1.2)
    heartbeat_s: float = 0.15
    max_entries_per_append: int = 256
    max_uncommitted_entries: int = 8192
    snapshot_retry_s: float = 3.0
    bounds: LogBounds = attrs.field(factory=LogBounds)
    answer_timeout_s: float = 1.2
    restart_window_s: float = 3.0
    restart_election_timeout_s: tuple[float, float] = (0.03, 0.12)
    restart_all_pre_votes_s: float = 0.3


@attrs.frozen
class DurableState:
    """State that a node reads from its disk at start.

    Parameters
    ----------
    hard_state : HardState
        Term and vote.
    snapshot : LogSnapshot or None
        Newest snapshot; ``None`` on a node that belongs to no cluster yet.
    entries : sequence of Entry
        Entries after the snapshot, contiguous.
    """

    hard_state: HardState = attrs.field(factory=HardState)
    snapshot: LogSnapshot | None = None
    entries: Sequence[Entry] = ()


@attrs.frozen
class Proposal:
    """Command to append to the log, with the id under which its outcome is reported."""

    proposal_id: str
    command: bytes


@attrs.frozen
class AddLearner:
    """Adds a member that receives the log but does not vote; ``member.voter`` is ignored."""

    member: Member


@attrs.frozen
class Promote:
    """Makes a caught-up learner a voter."""

    node_id: str


@attrs.frozen
class Demote:
    """Makes a voter a learner; it keeps its place in the order of the members."""

    node_id: str


@attrs.frozen
class Remove:
    """Removes a voter or learner."""

    node_id: str


MembershipChange = AddLearner | Promote | Demote | Remove


@attrs.frozen
class Persist:
    """Write to the log and sync it before any later action is executed.

    Parameters
    ----------
    hard_state : HardState or None
        New term and vote; ``None`` if unchanged.
    truncate_from : int
        First drop the entries from this index on; 0 to drop none.
    entries : sequence of Entry
        Entries to append.
    """

    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: Sequence[Entry] = ()


@attrs.frozen
class PersistSnapshot:
    """Store the snapshot and drop the entries that it covers or conflicts with."""

    snapshot: LogSnapshot


@attrs.frozen
class Send:
    """Send the message to the member ``message.recipient``; it may be lost."""

    message: ConsensusMessage


@attrs.frozen
class Apply:
    """Apply committed entries to the state machine in order."""

    entries: Sequence[Entry]


@attrs.frozen
class RestoreState:
    """Replace the state machine with the image of the snapshot."""

    snapshot: LogSnapshot


@attrs.frozen
class ProposalRejected:
    """Reports that the proposal is in no log and will not be committed."""

    proposal_id: str
    error: BramleycrankError


@attrs.frozen
class ProposalUnresolved:
    """Reports that the leadership was lost; the proposal may still be committed."""

    proposal_id: str


@attrs.frozen
class ReadReady:
    """Reports that a quorum confirmed the leadership for the read; ``index`` is applied."""

    read_id: str
    index: int


@attrs.frozen
class ReadFailed:
    """Reports that this node cannot confirm the read."""

    read_id: str
    error: BramleycrankError


@attrs.frozen
class RoleChanged:
    """Reports a change of role, term or known leader; ``leader_id`` is empty if unknown."""

    role: Role
    term: int
    leader_id: str


Action = (
    Persist
    | PersistSnapshot
    | Send
    | Apply
    | RestoreState
    | ProposalRejected
    | ProposalUnresolved
    | ReadReady
    | ReadFailed
    | RoleChanged
)

__all__ = [
    "MAX_VOTERS",
    "Action",
    "AddLearner",
    "Apply",
    "Demote",
    "DurableState",
    "LogBounds",
    "Membership",
    "MembershipChange",
    "Persist",
    "PersistSnapshot",
    "Promote",
    "Proposal",
    "ProposalRejected",
    "ProposalUnresolved",
    "RaftConfig",
    "ReadFailed",
    "ReadReady",
    "Remove",
    "RestoreState",
    "Role",
    "RoleChanged",
    "Send",
]
