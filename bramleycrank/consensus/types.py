"""Values of the replicated-log core: settings, durable state, membership changes and actions."""

from __future__ import annotations

import enum
from collections.abc import Sequence

import attrs

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
    """Role of a node as operators see it."""

    LEARNER = "learner"
    """Not a voter in the node's own view of the membership."""
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class RaftConfig:
    """Settings of a node.

    Parameters
    ----------
    node_id : str
        ``vm_id/disk_id``.
    election_timeout_s : tuple of float
        Shortest and longest election timeout in seconds.
    heartbeat_s : float
        Time between heartbeats of a leader in seconds.
    max_entries_per_append : int
        Most entries in one message.
    max_uncommitted : int
        Most entries that a leader holds beyond its commit index; further proposals are rejected.
    snapshot_retry_s : float
        Time in seconds after which an unanswered snapshot is sent again.
    restart_s : float
        Time in seconds after a start in which a node that hears no leader asks for votes often.
    restart_retry_s : tuple of float
        Shortest and longest time in seconds between two such questions.
    restart_trust_s : float
        Time in seconds after a start in which a leader may be alive without having been heard; two
        heartbeats. Until then a node campaigns only if all voters know no leader.
    """

    node_id: str
    election_timeout_s: tuple[float, float] = (0.6, 1.2)
    heartbeat_s: float = 0.15
    max_entries_per_append: int = 256
    max_uncommitted: int = 8192
    snapshot_retry_s: float = 3.0
    restart_s: float = 3.0
    restart_retry_s: tuple[float, float] = (0.03, 0.12)
    restart_trust_s: float = 0.3


@attrs.frozen
class DurableState:
    """What a node finds on its disk at start.

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
    """A command to append to the log, with the id that resolves its waiting caller."""

    proposal_id: str
    command: bytes


@attrs.frozen
class AddLearner:
    """Adds a member that receives the log and does not vote; ``member.voter`` is ignored."""

    member: Member


@attrs.frozen
class Promote:
    """Makes a caught-up learner a voter."""

    node_id: str


@attrs.frozen
class Remove:
    """Removes a voter or learner."""

    node_id: str


MembershipChange = AddLearner | Promote | Remove


@attrs.frozen
class Persist:
    """Write and sync before any later action is executed.

    Parameters
    ----------
    hard_state : HardState or None
        New term and vote; ``None`` if unchanged.
    truncate_from : int
        Drop entries with this index and above first; 0 for none.
    entries : sequence of Entry
        Entries to append.
    """

    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: Sequence[Entry] = ()


@attrs.frozen
class PersistSnapshot:
    """Store the snapshot; entries up to its index and those that conflict with it are dropped."""

    snapshot: LogSnapshot


@attrs.frozen
class Send:
    """Send the message to the member ``message.recipient``; losing it is allowed."""

    message: ConsensusMessage


@attrs.frozen
class Apply:
    """Apply committed entries to the state machine in order."""

    entries: Sequence[Entry]


@attrs.frozen
class RestoreState:
    """Replace the state machine by the image of the snapshot."""

    snapshot: LogSnapshot


@attrs.frozen
class ProposalRejected:
    """The proposal is in no log and never will be."""

    proposal_id: str
    error: BramleycrankError


@attrs.frozen
class ProposalUnresolved:
    """Leadership was lost; the proposal may still be committed."""

    proposal_id: str


@attrs.frozen
class ReadReady:
    """A quorum confirmed the leadership after the read was asked for; ``index`` is applied."""

    read_id: str
    index: int


@attrs.frozen
class ReadFailed:
    """The read cannot be confirmed by this node."""

    read_id: str
    error: BramleycrankError


@attrs.frozen
class RoleChanged:
    """Role, term or known leader changed; ``leader_id`` is empty if unknown."""

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
    "DurableState",
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
